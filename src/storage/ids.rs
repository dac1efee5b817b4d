//! Identifiers. Names on the wire map one to one onto numbers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A name that is not of the stated form.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not a valid name")]
pub struct BadName;

/// Digits as the names carry them: six at least, and no leading zero beyond that.
fn number(digits: &str) -> Result<u64, BadName> {
    let plain = digits.len() == 6 || (7..=18).contains(&digits.len()) && !digits.starts_with('0');
    if !plain || !digits.bytes().all(|b| b.is_ascii_digit()) {
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
                write!(f, concat!($prefix, "{:06}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = BadName;
            fn from_str(s: &str) -> Result<Self, BadName> {
                number(s.strip_prefix($prefix).ok_or(BadName)?).map($name)
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
    /// The job it belongs to.
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
    fn from_str(s: &str) -> Result<Self, BadName> {
        let (job, index) = s.split_once('/').ok_or(BadName)?;
        Ok(TaskId {
            job: job.parse()?,
            index: index.parse().map_err(|_| BadName)?,
        })
    }
}

/// One attempt at a task: the booking that it was started for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The task.
    pub task: TaskId,
    /// The attempt's number; it grows from one booking of a task to the next.
    pub number: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// A slice: the unit of ownership, for jobs and machines alike.
pub type ShardId = usize;

/// One of the group records of a slice.
pub type GroupIndex = u32;

#[cfg(test)]
mod tests;
