//! Progress entries: which consumer may answer a message, and whether it has done so.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// One broker connection of one process.
///
/// The identity is the fencing token of the queue service: a claim belongs to exactly one connection, and no identity
/// is used twice. A message claimed by one consumer is answered by that consumer, or by another one once the claimant
/// is known to be dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConsumerId {
    /// Random number drawn when the process starts.
    pub process: u64,
    /// Number of the connection attempt within the process, counted from 1.
    pub connection: u64,
}

impl fmt::Display for ConsumerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.process, self.connection)
    }
}

/// Why a text is not a [`ConsumerId`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidConsumerId {
    /// There is no dash between the two numbers.
    #[error("consumer id {0:?} has no dash")]
    MissingDash(String),
    /// The process is not a hexadecimal number.
    #[error("consumer id {text:?}: invalid process number")]
    Process {
        /// The whole text.
        text: String,
        /// What is wrong with the number.
        source: ParseIntError,
    },
    /// The connection is not a decimal number.
    #[error("consumer id {text:?}: invalid connection number")]
    Connection {
        /// The whole text.
        text: String,
        /// What is wrong with the number.
        source: ParseIntError,
    },
}

impl FromStr for ConsumerId {
    type Err = InvalidConsumerId;

    fn from_str(text: &str) -> Result<ConsumerId, InvalidConsumerId> {
        let (process, connection) = text
            .split_once('-')
            .ok_or_else(|| InvalidConsumerId::MissingDash(text.to_owned()))?;
        let process =
            u64::from_str_radix(process, 16).map_err(|source| InvalidConsumerId::Process {
                text: text.to_owned(),
                source,
            })?;
        let connection = connection
            .parse()
            .map_err(|source| InvalidConsumerId::Connection {
                text: text.to_owned(),
                source,
            })?;
        Ok(ConsumerId {
            process,
            connection,
        })
    }
}

/// What the log keeps about a message for as long as the message may be delivered again.
///
/// Times are whole seconds since the Unix epoch; they serve only the expiry of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressEntry {
    /// A consumer has the exclusive right to answer the message, and may have done so.
    Claimed {
        /// Who claimed it.
        by: ConsumerId,
        /// When the entry was written.
        at_s: u64,
    },
    /// The message is answered.
    Answered {
        /// When the entry was written.
        at_s: u64,
    },
}

impl ProgressEntry {
    /// When the entry was written, in seconds since the Unix epoch.
    pub fn written_at_s(self) -> u64 {
        match self {
            ProgressEntry::Claimed { at_s, .. } | ProgressEntry::Answered { at_s } => at_s,
        }
    }

    /// Who holds the claim, if the entry is one.
    pub fn claimant(self) -> Option<ConsumerId> {
        match self {
            ProgressEntry::Claimed { by, .. } => Some(by),
            ProgressEntry::Answered { .. } => None,
        }
    }

    /// Whether both entries are equal except for the time at which they were written.
    pub fn has_same_meaning(self, other: ProgressEntry) -> bool {
        self.claimant() == other.claimant()
    }
}

/// An entry together with its version, which counts how often the message's entry was written (first: 1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionedEntry {
    /// The entry.
    pub entry: ProgressEntry,
    /// Its version.
    pub version: u16,
}

/// Lifecycle of a registered consumer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConsumerState {
    /// Registered, has not consumed anything yet.
    #[serde(rename = "b")]
    Registered,
    /// Consumes and answers messages, or did until it ended.
    #[serde(rename = "u")]
    Active,
    /// Will not commit any more; the log contains everything that its receipts said.
    #[serde(rename = "t")]
    Settled,
    /// Will not commit any more, and the broker has lost its receipts.
    #[serde(rename = "l")]
    ReceiptsLost,
}

impl ConsumerState {
    /// Whether the consumer may still be running.
    pub fn may_be_running(self) -> bool {
        matches!(self, ConsumerState::Registered | ConsumerState::Active)
    }
}
