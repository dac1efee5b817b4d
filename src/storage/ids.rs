//! Identifiers. The names that are used on the wire correspond one to one to numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A name that is not of the form that identifiers of its kind have.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not a valid name")]
pub struct BadName;

/// Least number of digits in a name; smaller numbers are padded with zeros.
const LEAST_DIGITS: usize = 6;

/// Largest number of digits in a name: such a number always fits into 64 bits.
const MOST_DIGITS: usize = 18;

/// Parses the digits of a name. There is only one name for each number, so that names can be compared.
fn parse_number(digits: &str) -> Result<u64, BadName> {
    let is_padded = digits.len() == LEAST_DIGITS;
    let is_longer =
        (LEAST_DIGITS + 1..=MOST_DIGITS).contains(&digits.len()) && !digits.starts_with('0');
    if !(is_padded || is_longer) || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(BadName);
    }
    digits.parse().map_err(|_| BadName)
}

macro_rules! named_number {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:0width$}"), self.0, width = LEAST_DIGITS)
            }
        }

        impl FromStr for $name {
            type Err = BadName;
            fn from_str(name: &str) -> Result<Self, BadName> {
                let digits = name.strip_prefix($prefix).ok_or(BadName)?;
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
    /// The job that it belongs to.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = BadName;
    fn from_str(name: &str) -> Result<Self, BadName> {
        let (job, index) = name.split_once('/').ok_or(BadName)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| BadName)?,
        })
    }
}

/// One attempt at a task: the assignment that it was started for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The attempt's number; it increases from one assignment of a task to the next.
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
