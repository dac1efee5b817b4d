//! Recent starts of a controller, stored in its node record so that all controllers know the same.
//!
//! A controller that restarts before its lease expires takes over its shards again at once, each time under a new
//! leader term. A controller that keeps crashing would make the leadership of its shards change again and again, use up
//! the rate of leadership changes, and leave the agents of its machines without responses half of the time. So after
//! several starts in a short time, a controller acquires no shard until it has been up for a while. This only decides
//! which controller should acquire a shard, not which controllers are allowed to.

use crate::time::{MICROS_PER_SECOND, Micros};
use serde::{Deserialize, Serialize};

/// Start times of a controller, by the time of day in whole seconds, the latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RestartHistory(Vec<u64>);

impl RestartHistory {
    /// Starts are counted together if they are within this many seconds of the latest one.
    const WINDOW_SECS: u64 = 60;
    /// Number of starts within the window without backoff: one for a rolling upgrade, and one for a crash in addition
    /// to it.
    const STARTS_WITHOUT_BACKOFF: usize = 2;
    /// Largest number of starts that are stored.
    const MAX_STORED_STARTS: usize = 8;
    /// Seconds that a process has to be up after the first start beyond [`Self::STARTS_WITHOUT_BACKOFF`]; doubled for
    /// each further start.
    const FIRST_BACKOFF_SECS: u64 = 5;
    /// Largest number of seconds that a process has to be up.
    const MAX_BACKOFF_SECS: u64 = 40;
    /// Largest number of doublings: keeps the shift in range, and is enough to reach the longest backoff.
    const MAX_DOUBLINGS: usize = 8;

    /// Whether no start is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// This history with one more start at `time_of_day`. Starts before the window are omitted.
    pub fn with_start(&self, time_of_day: Micros) -> RestartHistory {
        let now = time_of_day.0 / MICROS_PER_SECOND;
        let mut starts = self.0.clone();
        starts.retain(|start| is_recent(*start, now));
        starts.push(now);
        starts.drain(..starts.len().saturating_sub(Self::MAX_STORED_STARTS));
        RestartHistory(starts)
    }

    /// When the process of the latest start may first acquire shards, by the time of day.
    pub fn may_acquire_shards_from(&self) -> Micros {
        let Some(last) = self.0.last() else {
            return Micros::ZERO;
        };
        let recent = self.0.iter().filter(|start| is_recent(**start, *last));
        let Some(doublings) = recent.count().checked_sub(Self::STARTS_WITHOUT_BACKOFF + 1) else {
            return Micros::ZERO;
        };
        let backoff = Self::FIRST_BACKOFF_SECS << doublings.min(Self::MAX_DOUBLINGS);
        Micros::secs(last + backoff.min(Self::MAX_BACKOFF_SECS))
    }

    /// Whether, at `time_of_day`, the process of the latest start has been up for long enough to acquire shards.
    pub fn is_stable(&self, time_of_day: Micros) -> bool {
        time_of_day >= self.may_acquire_shards_from()
    }
}

/// Whether a start is within the window before `now`; both in seconds.
fn is_recent(start: u64, now: u64) -> bool {
    now.saturating_sub(start) < RestartHistory::WINDOW_SECS
}

#[cfg(test)]
mod tests;
