//! How long jobs have waited: what only orders, saves or suspects may hold a job from a machine that fits for a bounded time.
//!
//! Price limits, room that is kept for what comes first, limits of a team that are saved for a set that does not fit yet,
//! and the growing share of a zone that has come back each hold work back for a good reason, and none of them has an end by
//! itself. So whoever has waited for [`StarvationPrevention::THRESHOLD`] without a single booking is placed beside all that: one task, on what is left,
//! within its team's limit. The next one waits as long again, so what comes first loses little by it.

use crate::coordination::Controller;
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::HashMap;

#[cfg(test)]
mod tests;

/// Since when each job has had tasks to place and none was booked, and how many there were.
#[derive(Debug, Default)]
pub struct StarvationPrevention {
    since: HashMap<JobId, (Micros, u32)>,
}

impl StarvationPrevention {
    /// After so long without a booking only room, rules and limits count. With what a suspect job waits besides, and a round, this stays below
    /// what users take for left behind.
    pub const THRESHOLD: Micros = Micros::secs(45);

    /// Takes which jobs have how many tasks to place now.
    pub fn note(&mut self, now: Micros, waiting: impl Iterator<Item = (JobId, u32)>) {
        let before = std::mem::take(&mut self.since);
        self.since = waiting
            .map(|(id, tasks)| match before.get(&id) {
                // More may wait than before: some were lost with their machines.
                Some((since, had)) if tasks >= *had => (id, (*since, tasks)),
                _ => (id, (now, tasks)),
            })
            .collect();
    }

    /// Whether a job has waited for long.
    pub fn is_starved(&self, id: JobId, now: Micros) -> bool {
        self.since
            .get(&id)
            .is_some_and(|(since, _)| now.since(*since) > Self::THRESHOLD)
    }
}

impl Controller {
    /// Looks who waits.
    pub(in crate::coordination) fn tick_starvation(&mut self) {
        let cell = &self.cell;
        let waiting = cell.jobs.iter().filter(|(_, j)| j.ready());
        let waiting = waiting
            .map(|(id, j)| (*id, cell.pending_count(*id, j)))
            .filter(|(_, n)| *n > 0);
        let now = self.now.steady;
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
