//! Cancelled jobs whose tasks may still get to a machine: by when they have to be gone.
//!
//! An owner that cannot know of a cancellation stops answering workers in time (`Settings::contact_limit`). One that knows of it stops the
//! tasks that it sees, but a direct launch without an answer may be held anywhere and be carried out much later. Only the
//! worker's next session or a higher token ends that, and a higher token needs the state service. While that is away contact
//! is as old as its outage, which may have begun long after the cancellation: so such a machine has a time of its own, which
//! counts from the cancellation. After it the machine is answered no more, and its lease ends all that is there.
//!
//! What earlier owners launched needs none of this: a worker that takes this owner's answer has its token, and one that
//! does not take it renews no lease.

use crate::coordination::Controller;
use crate::storage::ids::{Attempt, JobId};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Since when cancelled jobs may have been called so by any controller, at the earliest.
#[derive(Debug, Default)]
pub struct Cancellations {
    since: BTreeMap<JobId, Micros>,
    /// Contact is too old to answer workers: since when.
    contact_lost_at: Option<Micros>,
}

impl Cancellations {
    /// A job is seen to be cancelled. `before`: it was not by then.
    pub fn note(&mut self, job: JobId, before: Micros) {
        self.since.entry(job).or_insert(before);
    }

    /// Forgets what was cancelled before this time: no launch of it can be on its way any more.
    pub fn forget(&mut self, before: Micros) {
        self.since.retain(|_, since| *since >= before);
    }

    /// Of some launches the earliest time at which the job of one may have been called cancelled.
    pub fn earliest<'a>(&self, launches: impl Iterator<Item = &'a Attempt>) -> Option<Micros> {
        launches
            .filter_map(|a| self.since.get(&a.task.job))
            .min()
            .copied()
    }
}

impl Controller {
    /// Whether contact with the state service is too old to answer workers.
    pub(in crate::coordination) fn is_out_of_contact(&mut self) -> bool {
        let (now, contact) = (self.now.steady, self.contact_age());
        let out = contact > self.settings.contact_limit();
        if out && self.cancelled.contact_lost_at.is_none() {
            tracing::info!(%contact, "workers are not answered: what was cancelled since is not known");
            self.cancelled.contact_lost_at = Some(now);
        } else if !out && let Some(since) = self.cancelled.contact_lost_at.take() {
            tracing::info!(after = %now.since(since), "workers are answered again");
        }
        out
    }

    /// Whether a job, a launch of which is under way, may have been called cancelled so long ago that only the end of the
    /// machine's lease can keep it from running there.
    pub(in crate::coordination) fn is_overdue(&self, since: Option<Micros>) -> bool {
        since.is_some_and(|t| self.now.steady.since(t) > self.settings.contact_limit())
    }

    /// Forgets cancellations that are long over.
    pub(in crate::coordination) fn tick_cancellations(&mut self) {
        let old = (self.settings.cancel + self.settings.lease) * 4;
        if self.now.steady > old {
            self.cancelled.forget(self.now.steady - old);
        }
    }
}

#[cfg(test)]
mod tests;
