//! Starvation prevention: a bound for how long a job may be held from a machine that fits.
//!
//! Price limits, room that is reserved for what comes first, limits of a team that are saved for a set
//! that does not fit yet, and the growing share of a recovering zone each hold work back for a good
//! reason, and none of them ends by itself. So a job that has waited for
//! [`StarvationPrevention::THRESHOLD`] without a single assignment is placed regardless of them: one
//! task, on what is left, within its team's limit. The next task waits as long again, so what comes
//! first loses little by it.

use crate::coordination::Controller;
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// How long a job has had tasks to place without an assignment.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Micros,
    /// How many tasks it had to place at the last look.
    tasks: u32,
}

/// How long each job with tasks to place has waited for an assignment.
#[derive(Debug, Default)]
pub struct StarvationPrevention {
    waiting: HashMap<JobId, Waiting>,
}

impl StarvationPrevention {
    /// After so long without an assignment only room, rules and limits count. With the back-off of a
    /// suspect job, and a round, this stays below what users take for starvation.
    pub const THRESHOLD: Micros = Micros::secs(45);

    /// Takes which jobs have how many tasks to place now.
    pub fn note(&mut self, now: Micros, waiting: impl Iterator<Item = (JobId, u32)>) {
        let before = std::mem::take(&mut self.waiting);
        self.waiting = waiting
            .map(|(id, tasks)| {
                let since = match before.get(&id) {
                    // More may wait than before: some were lost with their machines.
                    Some(known) if tasks >= known.tasks => known.since,
                    _ => now,
                };
                (id, Waiting { since, tasks })
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
    /// Notes which jobs wait, and requests a round if one is starved.
    pub(in crate::coordination) fn tick_starvation(&mut self) {
        let cell = &self.cell;
        let now = self.now.steady;
        let waiting = cell
            .jobs
            .iter()
            .filter(|(_, job)| job.ready())
            .map(|(id, job)| (*id, cell.pending_count(*id, job)))
            .filter(|(_, pending)| *pending > 0);
        self.rounds.note_waiting(now, waiting);
        if cell.jobs.keys().any(|id| self.rounds.is_starved(*id, now)) {
            self.rounds.request();
        }
    }

    /// Whether a job has waited so long that only room, rules and limits count.
    pub(super) fn is_job_starved(&self, id: JobId) -> bool {
        self.rounds.is_starved(id, self.now.steady)
    }
}
