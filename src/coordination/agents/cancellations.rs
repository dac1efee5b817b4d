//! Cancelled jobs whose tasks may still reach a machine: by when those must be gone.
//!
//! A leader that cannot know of a cancellation stops acknowledging heartbeats in time (`Settings::contact_limit`). One that knows
//! of it stops the tasks that are reported. But a pushed launch without an answer may be held anywhere and be delivered much
//! later. Only the agent's next incarnation or a higher fencing token ends that, and a higher token needs the state store. While
//! the store is away, the age of the contact with it is that of its outage, which may have begun long after the cancellation. So
//! such a machine has a deadline of its own, which counts from the cancellation. After it its agent's heartbeats are no longer
//! acknowledged, and the end of its lease ends all tasks there.
//!
//! What earlier leaders launched needs none of this: an agent that accepts this leader's answer has its token, and one
//! that does not accept it renews no lease.

use crate::coordination::Controller;
use crate::storage::ids::{Attempt, JobId};
use crate::time::Micros;
use std::collections::BTreeMap;

/// When any controller may have reported jobs as cancelled, at the earliest.
#[derive(Debug, Default)]
pub struct Cancellations {
    since: BTreeMap<JobId, Micros>,
    /// Since when contact has been too old to acknowledge heartbeats.
    contact_lost_at: Option<Micros>,
}

impl Cancellations {
    /// A job turns out to be cancelled. `before`: the latest time at which it was not.
    pub fn note(&mut self, job: JobId, before: Micros) {
        self.since.entry(job).or_insert(before);
    }

    /// Forgets jobs that were cancelled before this time: no launch of them can be in flight any more.
    pub fn forget(&mut self, before: Micros) {
        self.since.retain(|_, since| *since >= before);
    }

    /// The earliest time at which the job of one of these launches may have been reported as cancelled.
    pub fn earliest<'a>(&self, launches: impl Iterator<Item = &'a Attempt>) -> Option<Micros> {
        launches
            .filter_map(|launch| self.since.get(&launch.task.job))
            .min()
            .copied()
    }
}

impl Controller {
    /// Cancellations are remembered for so many times the time in which a cancelled job's tasks have to be gone.
    const MEMORY_FACTOR: u64 = 4;

    /// Whether contact with the state store is too old to acknowledge heartbeats.
    pub(in crate::coordination) fn is_out_of_contact(&mut self) -> bool {
        let (now, contact) = (self.now.steady, self.contact_age());
        let out = contact > self.settings.contact_limit();
        if out && self.cancelled.contact_lost_at.is_none() {
            tracing::info!(%contact, "heartbeats not acknowledged: no contact with the state store");
            self.cancelled.contact_lost_at = Some(now);
        } else if !out && let Some(since) = self.cancelled.contact_lost_at.take() {
            tracing::info!(after = %now.since(since), "heartbeats acknowledged again");
        }
        out
    }

    /// Whether a job with a launch in flight may have been reported as cancelled so long ago that only the end of the machine's
    /// lease can keep the launch from running there. `since`: when it may have been reported.
    pub(in crate::coordination) fn is_overdue(&self, since: Option<Micros>) -> bool {
        since.is_some_and(|at| self.now.steady.since(at) > self.settings.contact_limit())
    }

    /// Forgets old cancellations.
    pub(in crate::coordination) fn tick_cancellations(&mut self) {
        let memory = (self.settings.cancel + self.settings.lease) * Self::MEMORY_FACTOR;
        if self.now.steady > memory {
            self.cancelled.forget(self.now.steady - memory);
        }
    }
}

#[cfg(test)]
mod tests;
