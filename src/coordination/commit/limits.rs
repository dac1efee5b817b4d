//! The limits of the state store that are in force: the current ones of the settings, until refusals
//! show that the next ones apply.

use crate::protocol::settings::{Settings, StateLimits};
use crate::protocol::state::TransactionSize;
use crate::time::Micros;
use std::collections::VecDeque;

/// The limits in force, as far as this process has learned.
#[derive(Debug)]
pub struct EffectiveLimits {
    current: StateLimits,
    next: StateLimits,
    /// A transaction was refused that the current limits allow and the next ones do not.
    next_sizes_in_force: bool,
    /// Refusals have shown that the next rate of changes is in force.
    next_rate_in_force: bool,
    /// Recent refusals because of the rate.
    rate_refusals: VecDeque<Micros>,
}

impl EffectiveLimits {
    /// How long a refusal because of the rate counts.
    const RATE_REFUSAL_WINDOW: Micros = Micros::secs(15);

    /// Refusals within the window that show a lower rate: more than differing clocks and borrowed shares
    /// of other controllers can cause.
    const MIN_RATE_REFUSALS: usize = 12;

    /// The limits of the settings, the current and the next.
    pub fn new(settings: &Settings) -> EffectiveLimits {
        EffectiveLimits {
            current: settings.state_limits,
            next: settings.announced_state_limits,
            next_sizes_in_force: false,
            next_rate_in_force: false,
            rate_refusals: VecDeque::new(),
        }
    }

    /// The current limits of the settings alone, as a controller has them that knows no next limits.
    pub fn current_only(settings: &Settings) -> EffectiveLimits {
        EffectiveLimits {
            next: settings.state_limits,
            ..EffectiveLimits::new(settings)
        }
    }

    /// The size limits in force.
    fn sizes(&self) -> &StateLimits {
        if self.next_sizes_in_force {
            &self.next
        } else {
            &self.current
        }
    }

    /// Whether the next rate is in force, by itself or along with the next sizes.
    fn uses_next_rate(&self) -> bool {
        self.next_rate_in_force || self.next_sizes_in_force
    }

    /// Most changes of one transaction: what the store accepts, and no more than fit into a burst of the
    /// lower of both rates, whichever is in force. The store would refuse a larger transaction for ever.
    pub fn max_changes(&self) -> usize {
        let burst = self.current.burst_changes().min(self.next.burst_changes());
        self.sizes().txn_ops.min(burst)
    }

    /// Most conditions of one transaction.
    pub fn max_conditions(&self) -> usize {
        self.sizes().max_conditions()
    }

    /// Bytes that a newly written value may have, whichever limits are in force.
    pub fn value_bytes(&self) -> usize {
        self.current.value_bytes.min(self.next.value_bytes)
    }

    /// Bytes of the largest value that the store accepts.
    pub fn stored_value_bytes(&self) -> usize {
        self.sizes().value_bytes
    }

    /// Changes a second that the store accepts from all controllers together.
    pub fn writes_per_second(&self) -> f64 {
        if self.uses_next_rate() {
            self.next.write_rps
        } else {
            self.current.write_rps
        }
    }

    /// The store refused a transaction of this size as invalid. Returns whether that shows that the next
    /// limits are in force from now on.
    pub fn on_refused(&mut self, size: &TransactionSize) -> bool {
        let is_proof =
            !self.next_sizes_in_force && self.current.allow(size) && !self.next.allow(size);
        self.next_sizes_in_force |= is_proof;
        is_proof
    }

    /// The store refused a request because of the rate. Returns whether that shows that the next rate is
    /// in force from now on.
    pub fn on_throttled(&mut self, now: Micros) -> bool {
        if self.uses_next_rate() || self.next.write_rps >= self.current.write_rps {
            return false;
        }
        self.rate_refusals.push_back(now);
        while self
            .rate_refusals
            .front()
            .is_some_and(|refused_at| now.since(*refused_at) > Self::RATE_REFUSAL_WINDOW)
        {
            self.rate_refusals.pop_front();
        }
        self.next_rate_in_force = self.rate_refusals.len() >= Self::MIN_RATE_REFUSALS;
        self.next_rate_in_force
    }
}
