//! The number of surplus machines of an offer: as many as were idle at every time of a window.

use crate::time::Micros;
use std::collections::VecDeque;

/// The number of idle machines at a point in time.
#[derive(Clone, Copy, Debug)]
struct IdleCount {
    at: Micros,
    idle: usize,
}

/// The minimum number of idle machines of one offer within a sliding window.
///
/// In a large fleet the idle machines change all the time, so it can be that no single machine is idle for long although many are
/// idle at any time. As many machines as were idle at every moment within the boot time of a new machine are not needed. Should
/// they turn out to be needed after all, replacements are up after as long as the machines were idle.
#[derive(Debug, Default)]
pub(super) struct IdleWindow {
    /// When the window began.
    since: Option<Micros>,
    /// Increasing counts within the window (a monotonic queue): the first one is the minimum.
    counts: VecDeque<IdleCount>,
}

impl IdleWindow {
    /// Records how many machines are idle now; returns the minimum within the window, or 0 until the window is full.
    pub fn record(&mut self, now: Micros, idle: usize, window: Micros) -> usize {
        let since = *self.since.get_or_insert(now);
        while self.counts.back().is_some_and(|count| count.idle >= idle) {
            self.counts.pop_back();
        }
        self.counts.push_back(IdleCount { at: now, idle });
        while self
            .counts
            .front()
            .is_some_and(|count| now.since(count.at) > window)
        {
            self.counts.pop_front();
        }
        if now.since(since) < window {
            0
        } else {
            self.counts.front().map_or(0, |count| count.idle)
        }
    }

    /// Subtracts machines that are being released from the recorded counts.
    pub fn subtract(&mut self, released: usize) {
        for count in &mut self.counts {
            count.idle = count.idle.saturating_sub(released);
        }
    }
}

#[cfg(test)]
mod tests;
