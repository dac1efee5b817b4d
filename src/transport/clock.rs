//! The process's clocks.

use crate::coordination::Now;
use crate::time::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A steady clock that starts with the process, and the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// The time.
    pub fn now(&self) -> Now {
        let day = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            steady: Micros(self.start.elapsed().as_micros() as u64),
            day: Micros(day.as_micros() as u64),
        }
    }

    /// The instant at which the steady clock shows `at`.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        // Far enough for "never", near enough not to overflow.
        let span = at.0.min(86_400_000_000 * 365);
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_micros(span))
    }
}
