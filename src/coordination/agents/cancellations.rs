//! Cancelled jobs whose launches may still reach a machine, and the deadline by which their tasks must have ended.
//!
//! A leader that cannot know of a cancellation stops acknowledging heartbeats in time (`Settings::max_contact_age`). A leader that
//! knows of it stops the tasks that agents report. But the network may delay a pushed launch that got no response, and deliver it
//! much later. Only the agent's next incarnation or a higher fencing token makes the agent refuse it, and a higher token needs
//! the state store. While the store is unavailable, the age of the last contact with it is the age of the outage, which may have
//! begun long after the cancellation. So a machine with such a launch has a deadline of its own, which counts from the
//! cancellation. After the deadline its agent's heartbeats are no longer acknowledged, and the expiry of its lease ends all tasks
//! there.
//!
//! Launches of earlier leaders need no deadline: an agent that accepts this leader's response has its token, and an agent that
//! does not accept it does not renew its lease.

use crate::coordination::Controller;
use crate::storage::ids::{Attempt, JobId};
use crate::time::Micros;
use std::collections::BTreeMap;

/// The earliest time at which any controller may have reported each cancelled job as cancelled.
#[derive(Debug, Default)]
pub struct Cancellations {
    reported_since: BTreeMap<JobId, Micros>,
    /// Since when the contact with the state store has been too old to acknowledge heartbeats.
    contact_too_old_since: Option<Micros>,
}

impl Cancellations {
    /// Records a cancelled job. `before`: the latest time at which it was known not to be cancelled.
    pub fn record(&mut self, job: JobId, before: Micros) {
        self.reported_since.entry(job).or_insert(before);
    }

    /// Forgets jobs that were cancelled before this time: no launch of them can be in flight any more.
    pub fn forget_before(&mut self, before: Micros) {
        self.reported_since.retain(|_, since| *since >= before);
    }

    /// The earliest time at which the job of one of these launches may have been reported as cancelled.
    pub fn earliest_report<'a>(
        &self,
        launches: impl Iterator<Item = &'a Attempt>,
    ) -> Option<Micros> {
        launches
            .filter_map(|launch| self.reported_since.get(&launch.task.job))
            .min()
            .copied()
    }
}

impl Controller {
    /// Multiple of the time within which a cancelled job's tasks must have ended; cancellations are remembered for that long.
    const RETENTION_FACTOR: u64 = 4;

    /// Whether the last contact with the state store is too old to acknowledge heartbeats.
    pub(in crate::coordination) fn is_state_contact_too_old(&mut self) -> bool {
        let (now, contact) = (self.now.monotonic, self.contact_age());
        let too_old = contact > self.settings.max_contact_age();
        if too_old && self.cancellations.contact_too_old_since.is_none() {
            tracing::info!(%contact, "heartbeats not acknowledged: no contact with the state store");
            self.cancellations.contact_too_old_since = Some(now);
        } else if !too_old && let Some(since) = self.cancellations.contact_too_old_since.take() {
            tracing::info!(after = %now.since(since), "heartbeats acknowledged again");
        }
        too_old
    }

    /// Whether a job with a launch in flight may have been reported as cancelled so long ago that only the expiry of the
    /// machine's lease can keep the launch from running there. `reported_at`: the earliest time at which it may have been
    /// reported.
    pub(in crate::coordination) fn requires_lease_expiry(
        &self,
        reported_at: Option<Micros>,
    ) -> bool {
        reported_at.is_some_and(|at| self.now.monotonic.since(at) > self.settings.max_contact_age())
    }

    /// Forgets cancellations that are past the retention time.
    pub(in crate::coordination) fn tick_cancellations(&mut self) {
        let retention = (self.settings.cancellation_timeout + self.settings.agent_lease)
            * Self::RETENTION_FACTOR;
        if self.now.monotonic > retention {
            self.cancellations
                .forget_before(self.now.monotonic - retention);
        }
    }
}

#[cfg(test)]
mod tests;
