//! A token bucket whose rate adapts to back-pressure.

use crate::time::{Micros, SECOND};

/// Permits a number of operations per second, with bursts of up to one second's worth.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    /// Current time between two operations.
    interval: Micros,
    /// Time between two operations at the configured rate.
    min_interval: Micros,
    /// When the bucket is full again.
    full_at: Micros,
    last_slow_down_at: Micros,
}

impl RateLimiter {
    /// Longest time between two operations, however often the rate is halved.
    const MAX_INTERVAL: Micros = 4 * SECOND;
    const MAX_PER_SECOND: u32 = 1_000_000;

    /// A limiter with a full bucket. The rate is clamped to 1 to 1,000,000 per second.
    pub fn new(per_second: u32) -> RateLimiter {
        let interval = SECOND / Micros::from(per_second.clamp(1, Self::MAX_PER_SECOND));
        RateLimiter {
            interval,
            min_interval: interval,
            full_at: 0,
            last_slow_down_at: 0,
        }
    }

    /// Whether an operation is permitted now.
    pub fn is_permitted(&self, now: Micros) -> bool {
        self.next_permitted_at() <= now
    }

    /// When the next operation is permitted.
    pub fn next_permitted_at(&self) -> Micros {
        self.full_at
            .saturating_sub(SECOND.saturating_sub(self.interval))
    }

    /// Records an operation.
    pub fn record(&mut self, now: Micros) {
        self.full_at = self.full_at.max(now) + self.interval;
    }

    /// Halves the rate, at most once a second: all requests in flight report the same overload.
    pub fn slow_down(&mut self, now: Micros) {
        if now < self.last_slow_down_at + SECOND {
            return;
        }
        self.last_slow_down_at = now;
        let max_interval = Self::MAX_INTERVAL.max(self.min_interval);
        self.interval = (self.interval * 2).clamp(self.min_interval, max_interval);
        self.full_at = self.full_at.max(now + SECOND);
    }

    /// Raises the rate by about an eighth, up to the configured one.
    pub fn speed_up(&mut self) {
        self.interval = (self.interval - self.interval / 8).max(self.min_interval);
    }
}
