//! The state store's limits in force: the current ones of the settings, until refusals show that the
//! next ones hold.

use crate::protocol::settings::{Settings, StateLimits};
use crate::time::Micros;
use std::collections::VecDeque;

/// The limits that hold, as far as this process has learned.
#[derive(Debug)]
pub struct EffectiveLimits {
    current: StateLimits,
    next: StateLimits,
    /// A transaction was refused that the current limits allow and the next ones do not.
    next_sizes_hold: bool,
    /// The rate of changes was found to be the next one.
    next_rate_holds: bool,
    /// Recent refusals for the rate.
    rate_refusals: VecDeque<Micros>,
}

impl EffectiveLimits {
    /// How long refusals for the rate count.
    const REFUSAL_WINDOW: Micros = Micros::secs(15);

    /// Refusals within the window that show a lower rate: more than clocks that differ and rates that
    /// were lent explain.
    const MIN_REFUSALS: usize = 12;

    /// The limits of the settings, the current and the next.
    pub fn new(settings: &Settings) -> EffectiveLimits {
        EffectiveLimits {
            current: settings.limits,
            next: settings.next_limits,
            next_sizes_hold: false,
            next_rate_holds: false,
            rate_refusals: VecDeque::new(),
        }
    }

    /// The current limits of the settings alone: as a controller behaves that knows of no others.
    pub fn without_next(settings: &Settings) -> EffectiveLimits {
        EffectiveLimits {
            next: settings.limits,
            ..EffectiveLimits::new(settings)
        }
    }

    /// The limits of sizes that hold.
    fn sizes(&self) -> &StateLimits {
        if self.next_sizes_hold {
            &self.next
        } else {
            &self.current
        }
    }

    /// The next rate holds by itself, or along with the next sizes.
    fn is_next_rate(&self) -> bool {
        self.next_rate_holds || self.next_sizes_hold
    }

    /// Most changes of one transaction.
    pub fn max_changes(&self) -> usize {
        self.sizes().txn_ops
    }

    /// Bytes that a newly written value may have, whichever limits hold.
    pub fn value_bytes(&self) -> usize {
        self.current.value_bytes.min(self.next.value_bytes)
    }

    /// Bytes of the largest value that the store takes.
    pub fn stored_value_bytes(&self) -> usize {
        self.sizes().value_bytes
    }

    /// Changes a second that the store takes from all controllers together.
    pub fn writes_per_second(&self) -> f64 {
        if self.is_next_rate() {
            self.next.write_rps
        } else {
            self.current.write_rps
        }
    }

    /// The store refused a transaction of this many changes, the largest value of so many bytes, as
    /// invalid. Whether that shows that the next limits hold from now on.
    pub fn on_refused(&mut self, changes: usize, largest_value: usize) -> bool {
        let is_within =
            |limits: &StateLimits| changes <= limits.txn_ops && largest_value <= limits.value_bytes;
        let is_proof = !self.next_sizes_hold && is_within(&self.current) && !is_within(&self.next);
        self.next_sizes_hold |= is_proof;
        is_proof
    }

    /// The store refused a request for its rate. Whether that shows that the next rate holds from now
    /// on.
    pub fn on_throttled(&mut self, now: Micros) -> bool {
        if self.is_next_rate() || self.next.write_rps >= self.current.write_rps {
            return false;
        }
        self.rate_refusals.push_back(now);
        while self
            .rate_refusals
            .front()
            .is_some_and(|refused_at| now.since(*refused_at) > Self::REFUSAL_WINDOW)
        {
            self.rate_refusals.pop_front();
        }
        self.next_rate_holds = self.rate_refusals.len() >= Self::MIN_REFUSALS;
        self.next_rate_holds
    }
}
