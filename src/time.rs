//! Time as whole microseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Mul, Sub};

/// A point in time or a span, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// No time at all.
    pub const ZERO: Micros = Micros(0);
    /// Further away than anything that happens.
    pub const FOREVER: Micros = Micros(u64::MAX);

    /// A span of whole milliseconds.
    pub const fn millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// A span of whole seconds.
    pub const fn secs(s: u64) -> Micros {
        Micros(s * 1_000_000)
    }

    /// In milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// In seconds, for arithmetic that needs no exactness.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// A span of `s` seconds, rounded to the nearest microsecond; negative counts as zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        Micros((s * 1e6).round().max(0.0) as u64)
    }

    /// The time from `earlier` to `self`, zero if it lies ahead.
    pub const fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Lengthened by the drift between two steady clocks (0.05 %, taken twice over).
    pub const fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / 1_000 + 1)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}

impl Mul<u64> for Micros {
    type Output = Micros;
    fn mul(self, by: u64) -> Micros {
        Micros(self.0.saturating_mul(by))
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000_000, self.0 / 1_000 % 1_000)
    }
}
