//! Time in whole microseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Mul, Sub};

/// Microseconds in a second.
pub(crate) const MICROS_PER_SECOND: u64 = 1_000_000;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// The clocks of two machines drift apart by at most 0.05 %. The margin is a duration divided by this number: 0.1 %,
/// twice that drift.
const DRIFT_MARGIN_DIVISOR: u64 = 1_000;

/// A point in time or a duration, in whole microseconds. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The empty duration.
    pub const ZERO: Micros = Micros(0);
    /// Stands for never: later than any point in time that occurs.
    pub const FOREVER: Micros = Micros(u64::MAX);

    /// A duration of whole milliseconds.
    pub const fn millis(millis: u64) -> Micros {
        Micros(millis * MICROS_PER_MILLI)
    }

    /// A duration of whole seconds.
    pub const fn secs(secs: u64) -> Micros {
        Micros(secs * MICROS_PER_SECOND)
    }

    /// In milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// In seconds, approximately.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// A duration of `secs` seconds, rounded to the nearest microsecond; zero if `secs` is negative.
    pub fn from_secs_f64(secs: f64) -> Micros {
        Micros((secs * MICROS_PER_SECOND as f64).round().max(0.0) as u64)
    }

    /// The time from `earlier` to `self`; zero if `earlier` is the later one.
    pub const fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// The duration with a margin added for the drift between the monotonic clocks of two machines.
    pub const fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_MARGIN_DIVISOR + 1)
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
    fn mul(self, factor: u64) -> Micros {
        Micros(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secs = self.0 / MICROS_PER_SECOND;
        write!(f, "{secs}.{:03}s", self.as_millis() % 1_000)
    }
}
