//! Marks: who has the right to answer a message, and whether that was done.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// One connection of one process: what it seals it answers itself, or nobody does before it is gone. No name is
/// ever used by two connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The run of the process, drawn at random when it starts.
    pub run: u64,
    /// Its connection, counted with every attempt to connect.
    pub link: u64,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.run, self.link)
    }
}

/// A text that names no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("names no connection")]
pub struct BadHolder;

impl FromStr for Holder {
    type Err = BadHolder;

    fn from_str(text: &str) -> Result<Holder, BadHolder> {
        let (run, link) = text.split_once('-').ok_or(BadHolder)?;
        let run = u64::from_str_radix(run, 16).map_err(|_| BadHolder)?;
        Ok(Holder {
            run,
            link: link.parse().map_err(|_| BadHolder)?,
        })
    }
}

/// What is kept of a message for as long as it may come again. Times are whole seconds of the time of day, for
/// nothing but the end of marks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// This connection has the right to answer it, and may have done so.
    #[serde(rename = "s")]
    Sealed(Holder, u64),
    /// It is answered.
    #[serde(rename = "a")]
    Answered(u64),
}

impl Mark {
    /// When it was written, in seconds.
    pub fn at(self) -> u64 {
        match self {
            Mark::Sealed(_, at) | Mark::Answered(at) => at,
        }
    }
}

/// How a connection on record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// It is on record, and has not taken anything yet.
    #[serde(rename = "b")]
    Begun,
    /// It takes messages and answers them, or did until it ended.
    #[serde(rename = "u")]
    Up,
    /// It is gone, and the marks tell what its receipts told.
    #[serde(rename = "t")]
    Told,
    /// It is gone, and the broker has lost its receipts.
    #[serde(rename = "l")]
    Lost,
}
