//! Marks: who has the right to answer a message, and whether that was done.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One connection of one process: what it seals it answers itself, or nobody does before it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The run of the process, drawn at random when it starts.
    pub run: u64,
    /// Its connection, counted from 1.
    pub link: u64,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.run, self.link)
    }
}

/// What is kept of a message for as long as it may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// This connection has the right to answer it, and may have done so.
    #[serde(rename = "s")]
    Sealed(Holder),
    /// It is answered.
    #[serde(rename = "a")]
    Answered,
}
