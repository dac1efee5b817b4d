//! Recent starts of a controller, stored in its node record so that all controllers know the same.
//!
//! A process that ends and is back within its lease takes over its shards again at once, each time under a new term. One
//! that crashes again and again would move them to and fro, use up the rate of leadership changes, and leave the agents
//! of its machines without responses half of the time. So after several starts in a short time a controller acquires
//! no shard until it has been up for a while. This only decides which controller should acquire a shard, never
//! which one may.

use crate::time::{MICROS_PER_SECOND, Micros};
use serde::{Deserialize, Serialize};

/// Recent starts, by the time of day in whole seconds, the latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RestartHistory(Vec<u64>);

impl RestartHistory {
    /// Starts that are counted together are within this many seconds.
    const WINDOW_SECS: u64 = 60;
    /// Number of starts within the window that have no consequence: a rolling upgrade, and a crash beside it.
    const USUAL_STARTS: usize = 2;
    /// Most starts that are stored.
    const MOST_STORED: usize = 8;
    /// Seconds that a process has to be up after one start more than usual; doubled for each further one.
    const FIRST_BACKOFF_SECS: u64 = 5;
    /// Most seconds that a process has to be up.
    const LONGEST_BACKOFF_SECS: u64 = 40;
    /// Most doublings: keeps the shift in range, and reaches the longest backoff.
    const MOST_DOUBLINGS: usize = 8;

    /// Whether no start is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// This history with one more start at `day`, by the time of day. Starts before the window are left out.
    pub fn with_start(&self, day: Micros) -> RestartHistory {
        let now = day.0 / MICROS_PER_SECOND;
        let mut starts = self.0.clone();
        starts.retain(|start| is_recent(*start, now));
        starts.push(now);
        starts.drain(..starts.len().saturating_sub(Self::MOST_STORED));
        RestartHistory(starts)
    }

    /// When the process that started last may first acquire shards, by the time of day.
    pub fn stable_from(&self) -> Micros {
        let Some(last) = self.0.last() else {
            return Micros::ZERO;
        };
        let recent = self.0.iter().filter(|start| is_recent(**start, *last));
        let Some(doublings) = recent.count().checked_sub(Self::USUAL_STARTS + 1) else {
            return Micros::ZERO;
        };
        let backoff = Self::FIRST_BACKOFF_SECS << doublings.min(Self::MOST_DOUBLINGS);
        Micros::secs(last + backoff.min(Self::LONGEST_BACKOFF_SECS))
    }

    /// Whether the process that started last has been up for long enough to acquire shards.
    pub fn is_stable(&self, day: Micros) -> bool {
        day >= self.stable_from()
    }
}

/// Whether a start is within the window before `now`; both in seconds.
fn is_recent(start: u64, now: u64) -> bool {
    now.saturating_sub(start) < RestartHistory::WINDOW_SECS
}

#[cfg(test)]
mod tests;
