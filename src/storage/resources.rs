//! Amounts of machine resources, in whole thousandths of a unit.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub, SubAssign};

/// Number of thousandths in one unit.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;

/// Rounding error of wire amounts that conversions ignore, in thousandths.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Cores, accelerators and memory, in thousandths of a core, an accelerator and a GB.
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

/// Whether a field is omitted from the stored form, for `skip_serializing_if`.
pub(crate) fn is_zero(amount: &u64) -> bool {
    *amount == 0
}

impl Amount {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Amount) -> bool {
        self.cores <= room.cores
            && self.accelerators <= room.accelerators
            && self.memory <= room.memory
    }

    /// How many times `self` fits into `room`, at most `limit`.
    pub fn count_fitting_in(&self, room: &Amount, limit: u64) -> u64 {
        let times = |need: u64, available: u64| available.checked_div(need).unwrap_or(limit);
        times(self.cores, room.cores)
            .min(times(self.accelerators, room.accelerators))
            .min(times(self.memory, room.memory))
            .min(limit)
    }

    /// `self` multiplied by `count`.
    pub fn times(&self, count: u64) -> Amount {
        Amount {
            cores: self.cores.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
        }
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        self.cores = self.cores.saturating_add(other.cores);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.memory = self.memory.saturating_add(other.memory);
    }
}

impl Sub for Amount {
    type Output = Amount;
    fn sub(mut self, other: Amount) -> Amount {
        self -= other;
        self
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        self.cores = self.cores.saturating_sub(other.cores);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.memory = self.memory.saturating_sub(other.memory);
    }
}

/// Converts a wire amount to thousandths, rounded up: for what a task needs.
pub fn thousandths_rounded_up(amount: f64) -> u64 {
    (amount * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE)
        .ceil()
        .max(0.0) as u64
}

/// Converts a wire amount to thousandths, rounded down: for what a machine or a quota provides.
pub fn thousandths_rounded_down(amount: f64) -> u64 {
    (amount * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE)
        .floor()
        .max(0.0) as u64
}
