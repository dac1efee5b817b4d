//! How many machines of an offer are surplus because as many were idle at any time of a window.

use crate::time::Micros;
use std::collections::VecDeque;

/// How many machines were idle at a time.
#[derive(Clone, Copy, Debug)]
struct IdleCount {
    at: Micros,
    idle: usize,
}

/// The least number of machines of one offer that were idle at any time of a window.
///
/// Single machines of a large fleet take turns in being idle, so none may be idle for long although
/// many always are. As many as never had work at once in the time that a new one takes to boot are
/// not needed: should that turn out wrong, a replacement is up after as long as they were idle.
#[derive(Debug, Default)]
pub(super) struct IdleWindow {
    /// When the window began.
    since: Option<Micros>,
    /// Ever larger counts within the window: the first is the least.
    counts: VecDeque<IdleCount>,
}

impl IdleWindow {
    /// Records how many machines are idle now; returns the least number in the window, or 0 until the window is full.
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

    /// So many of the idle machines are being released.
    pub fn subtract(&mut self, released: usize) {
        for count in &mut self.counts {
            count.idle = count.idle.saturating_sub(released);
        }
    }
}

#[cfg(test)]
mod tests;
