//! How often a controller has started lately, as its node record tells it to all alike.
//!
//! A process that ends and is back within its lease takes its slices again at once, each time under new terms. One that
//! ends again and again would drag them to and fro, use the rate for claims, and leave its machines unanswered half of
//! the time. So after a few starts in a short time it takes none until it has lived for a while. This is suspicion like
//! any other: it says who should claim, never who may.

use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// Recent starts, by the time of day in whole seconds, the latest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RestartHistory(Vec<u64>);

impl RestartHistory {
    /// Starts that count together.
    const WINDOW: u64 = 60;
    /// So many within the window say nothing: a roll of all or a crash of all beside it.
    const USUAL: usize = 2;
    /// Most that are kept.
    const KEPT: usize = 8;
    /// How long a process has to live after one more than the usual starts, doubled for each further one, and at most.
    const LIVES: (u64, u64) = (5, 40);

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// These, and one more now; what is long past is left out.
    pub fn and(&self, day: Micros) -> RestartHistory {
        let now = day.0 / 1_000_000;
        let recent = self
            .0
            .iter()
            .copied()
            .filter(|t| now.saturating_sub(*t) < Self::WINDOW);
        let mut all: Vec<u64> = recent.chain([now]).collect();
        all.drain(..all.len().saturating_sub(Self::KEPT));
        RestartHistory(all)
    }

    /// From when on the process that started last may take slices, by the time of day.
    pub fn steady_from(&self) -> Micros {
        let Some(last) = self.0.last() else {
            return Micros::ZERO;
        };
        let recent = self
            .0
            .iter()
            .filter(|t| last.saturating_sub(**t) < Self::WINDOW)
            .count();
        let Some(beyond) = recent.checked_sub(Self::USUAL + 1) else {
            return Micros::ZERO;
        };
        let (first, most) = Self::LIVES;
        Micros::secs(last + (first << beyond.min(8)).min(most))
    }

    /// Whether it has lived long enough for how often it started.
    pub fn is_steady(&self, day: Micros) -> bool {
        day >= self.steady_from()
    }
}

#[cfg(test)]
mod tests;
