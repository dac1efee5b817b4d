//! The process's clocks.

use crate::coordination::Now;
use crate::time::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Latest monotonic time for which an instant is computed, in microseconds. One year is practically never, and the sum
/// cannot overflow.
const MAX_INSTANT_MICROS: u64 = 365 * 86_400_000_000;

/// A monotonic clock that starts with the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The time by both clocks.
    pub fn now(&self) -> Now {
        let day = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            monotonic: Micros(self.start.elapsed().as_micros() as u64),
            time_of_day: Micros(day.as_micros() as u64),
        }
    }

    /// The instant at which the monotonic clock shows `at`, but at most a year after its start.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let since_start = Duration::from_micros(at.0.min(MAX_INSTANT_MICROS));
        tokio::time::Instant::from_std(self.start + since_start)
    }
}
