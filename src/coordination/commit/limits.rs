//! The state service's limits in force: those of the settings, until it turns out that the next ones hold.

use crate::protocol::settings::{Settings, StateLimits};
use crate::time::Micros;
use std::collections::VecDeque;

/// What holds now, as far as this process has learned.
#[derive(Debug)]
pub struct InForce {
    now: StateLimits,
    next: StateLimits,
    /// A transaction was refused as only the next limits explain.
    sizes_fell: bool,
    /// The rate of changes was found to be the next one.
    rate_fell: bool,
    /// Refusals for the rate lately.
    refusals: VecDeque<Micros>,
}

impl InForce {
    /// How long refusals for the rate are looked back on, and how many within that time are more than
    /// clocks that differ and rates that were lent explain.
    const WINDOW: Micros = Micros::secs(15);
    const REFUSALS: usize = 12;

    /// The limits of the settings.
    pub fn new(settings: &Settings) -> InForce {
        let (now, next) = (settings.limits, settings.next_limits);
        InForce {
            now,
            next,
            sizes_fell: false,
            rate_fell: false,
            refusals: VecDeque::new(),
        }
    }

    /// The limits of the settings as they are now, for ever.
    pub fn unaware(settings: &Settings) -> InForce {
        InForce {
            next: settings.limits,
            ..InForce::new(settings)
        }
    }

    /// Most changes of one transaction.
    pub fn txn_ops(&self) -> usize {
        if self.sizes_fell {
            self.next.txn_ops
        } else {
            self.now.txn_ops
        }
    }

    /// Bytes that a value may have that is written anew, whichever limits hold.
    pub fn value_bytes(&self) -> usize {
        self.now.value_bytes.min(self.next.value_bytes)
    }

    /// Bytes of the largest value that the service takes.
    pub fn taken_bytes(&self) -> usize {
        if self.sizes_fell {
            self.next.value_bytes
        } else {
            self.now.value_bytes
        }
    }

    /// Changes a second that it takes from all controllers together.
    pub fn write_rps(&self) -> f64 {
        if self.rate_fell || self.sizes_fell {
            self.next.write_rps
        } else {
            self.now.write_rps
        }
    }

    /// A transaction of this many changes, the largest value of so many bytes, was refused as wrong.
    /// Whether that shows that the next limits hold from now on.
    pub fn refused(&mut self, changes: usize, largest: usize) -> bool {
        let allowed = changes <= self.now.txn_ops && largest <= self.now.value_bytes;
        let then = changes <= self.next.txn_ops && largest <= self.next.value_bytes;
        let fell = !self.sizes_fell && allowed && !then;
        self.sizes_fell |= fell;
        fell
    }

    /// A request was refused for its rate. Whether that shows that the next rate holds from now on.
    pub fn throttled(&mut self, now: Micros) -> bool {
        if self.rate_fell || self.sizes_fell || self.next.write_rps >= self.now.write_rps {
            return false;
        }
        self.refusals.push_back(now);
        while self
            .refusals
            .front()
            .is_some_and(|t| now.since(*t) > Self::WINDOW)
        {
            self.refusals.pop_front();
        }
        self.rate_fell = self.refusals.len() >= Self::REFUSALS;
        self.rate_fell
    }
}
