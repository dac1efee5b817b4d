//! Units of time.

/// A point in time or a duration in microseconds. Points in time count from the Unix epoch and never go back.
pub type Micros = u64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Microseconds as seconds with a fraction.
pub fn as_seconds(micros: Micros) -> f64 {
    micros as f64 / SECOND as f64
}

/// Seconds with a fraction as whole microseconds, rounded down; negative values and NaN become 0.
pub fn from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}
