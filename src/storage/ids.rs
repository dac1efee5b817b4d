//! Identifiers. Names on the wire correspond one to one to numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Error for a name that does not have the form of its kind of identifier.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not a valid name")]
pub struct InvalidName;

/// Smallest number of digits in a name; numbers with fewer digits are padded with zeros.
const MIN_DIGITS: usize = 6;

/// Largest number of digits in a name; a number of this many digits always fits into 64 bits.
const MAX_DIGITS: usize = 18;

/// Parses the digits of a name. There is only one name for each number, so that names can be compared.
fn parse_number(digits: &str) -> Result<u64, InvalidName> {
    let is_padded = digits.len() == MIN_DIGITS;
    let is_longer =
        (MIN_DIGITS + 1..=MAX_DIGITS).contains(&digits.len()) && !digits.starts_with('0');
    if !(is_padded || is_longer) || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidName);
    }
    digits.parse().map_err(|_| InvalidName)
}

macro_rules! named_number {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:0width$}"), self.0, width = MIN_DIGITS)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;
            fn from_str(name: &str) -> Result<Self, InvalidName> {
                let digits = name.strip_prefix($prefix).ok_or(InvalidName)?;
                parse_number(digits).map($name)
            }
        }
    };
}

named_number!(
    /// A job, by the number in its name.
    JobId,
    "req-"
);
named_number!(
    /// A machine, by the number in its name.
    MachineId,
    "i-"
);

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Number of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = InvalidName;
    fn from_str(name: &str) -> Result<Self, InvalidName> {
        let (job, index) = name.split_once('/').ok_or(InvalidName)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| InvalidName)?,
        })
    }
}

/// One attempt at a task. Each assignment of a task is a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt; it increases from one assignment of a task to the next.
    pub number: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// Number of a shard: a part of the jobs and the machines that has one leader.
pub type ShardId = usize;

/// Number of a machine group within its shard.
pub type GroupIndex = u32;

#[cfg(test)]
mod tests;
