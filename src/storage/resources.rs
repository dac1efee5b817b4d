//! Amounts of what a machine offers, in whole thousandths.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub, SubAssign};

/// Cores, accelerators and memory, each in thousandths (of a core, a card, a GB).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Cores.
    #[serde(rename = "c", default)]
    pub cores: u64,
    /// Accelerators.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub accelerators: u64,
    /// Memory.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    pub memory: u64,
}

pub(crate) fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Amount {
    /// Whether `self` goes into `room`.
    pub fn fits(&self, room: &Amount) -> bool {
        self.cores <= room.cores
            && self.accelerators <= room.accelerators
            && self.memory <= room.memory
    }

    /// How many times `self` goes into `room`, at most `most`.
    pub fn times_in(&self, room: &Amount, most: u64) -> u64 {
        let part = |need: u64, have: u64| have.checked_div(need).unwrap_or(most);
        part(self.cores, room.cores)
            .min(part(self.accelerators, room.accelerators))
            .min(part(self.memory, room.memory))
            .min(most)
    }

    /// `self` taken `n` times.
    pub fn times(&self, n: u64) -> Amount {
        Amount {
            cores: self.cores.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, o: Amount) {
        self.cores = self.cores.saturating_add(o.cores);
        self.accelerators = self.accelerators.saturating_add(o.accelerators);
        self.memory = self.memory.saturating_add(o.memory);
    }
}

impl Sub for Amount {
    type Output = Amount;
    fn sub(mut self, o: Amount) -> Amount {
        self -= o;
        self
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, o: Amount) {
        self.cores = self.cores.saturating_sub(o.cores);
        self.accelerators = self.accelerators.saturating_sub(o.accelerators);
        self.memory = self.memory.saturating_sub(o.memory);
    }
}

/// Thousandths of a wire amount, rounded up: what a task takes.
pub fn taken(amount: f64) -> u64 {
    (amount * 1_000.0 - 1e-6).ceil().max(0.0) as u64
}

/// Thousandths of a wire amount, rounded down: what a machine or a limit offers.
pub fn offered(amount: f64) -> u64 {
    (amount * 1_000.0 + 1e-6).floor().max(0.0) as u64
}
