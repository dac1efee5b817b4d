//! Starvation prevention: a bound for how long a job may be kept from a machine that fits.
//!
//! There are good reasons to keep work waiting: price limits, machines that are reserved in this plan
//! for requests of higher precedence, a team's limit that is set aside for a gang that does not fit
//! yet, and zones that recover and accept tasks on a growing share of their machines. But none of them
//! ends by itself. So a job that has waited for [`StarvationPrevention::THRESHOLD`] without a single
//! assignment is placed regardless of them: one task, on the remaining free capacity, within its team's
//! limit. The next task of the job waits as long again, so requests of higher precedence lose little.

use crate::coordination::Controller;
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// How long a job has had tasks to place without an assignment.
#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    since: Micros,
    /// How many tasks it had to place at the last update.
    tasks: u32,
}

/// How long each job with tasks to place has waited for an assignment.
#[derive(Debug, Default)]
pub struct StarvationPrevention {
    waiting: HashMap<JobId, WaitingJob>,
}

impl StarvationPrevention {
    /// After this time without an assignment, only free capacity, placement rules and team limits are
    /// considered. Even with the backoff of a suspect job and the duration of a round added, a job
    /// waits less than what users consider starvation.
    pub const THRESHOLD: Micros = Micros::secs(45);

    /// Updates which jobs have tasks to place now, and how many.
    pub fn update(&mut self, now: Micros, waiting: impl Iterator<Item = (JobId, u32)>) {
        let before = std::mem::take(&mut self.waiting);
        self.waiting = waiting
            .map(|(id, tasks)| {
                let since = match before.get(&id) {
                    // The number grows if assigned tasks are lost with their machines.
                    Some(previous) if tasks >= previous.tasks => previous.since,
                    _ => now,
                };
                (id, WaitingJob { since, tasks })
            })
            .collect();
    }

    /// Whether a job has waited for longer than the threshold.
    pub fn is_starved(&self, id: JobId, now: Micros) -> bool {
        self.waiting
            .get(&id)
            .is_some_and(|waiting| now.since(waiting.since) > Self::THRESHOLD)
    }
}

impl Controller {
    /// Updates which jobs wait, and requests a round if one of them is starved.
    pub(in crate::coordination) fn tick_starvation(&mut self) {
        let cell = &self.cell;
        let now = self.now.monotonic;
        let waiting = cell
            .jobs
            .iter()
            .filter(|(_, job)| job.is_ready())
            .map(|(id, job)| (*id, cell.pending_count(*id, job)))
            .filter(|(_, pending)| *pending > 0);
        self.rounds.update_waiting(now, waiting);
        if cell.jobs.keys().any(|id| self.rounds.is_starved(*id, now)) {
            self.rounds.request();
        }
    }

    /// Whether a job has waited for longer than [`StarvationPrevention::THRESHOLD`].
    pub(super) fn is_job_starved(&self, id: JobId) -> bool {
        self.rounds.is_starved(id, self.now.monotonic)
    }
}
