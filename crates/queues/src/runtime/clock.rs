//! A clock for the event loop.

use crate::time::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch that never go back, whatever happens to the system's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started_instant: Instant,
    started_at: Micros,
}

impl Clock {
    /// A clock that agrees with the system's clock now.
    pub fn new() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_instant: Instant::now(),
            started_at: whole_micros(since_epoch),
        }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.started_at + whole_micros(self.started_instant.elapsed())
    }

    /// The time that remains until `at`; zero if `at` has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.saturating_sub(self.now()))
    }
}

fn whole_micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or_default()
}
