//! The state store's response to a round.

use super::{InFlightRound, PlannedAssignment};
use crate::coordination::Controller;
use crate::protocol::state::{CallError, StateResponse};
use crate::storage::cell_state::{CellChanges, Change};
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::Key;
use crate::time::Micros;

/// Delay before the next round after the store did not accept one.
const RETRY_DELAY: Micros = Micros::millis(250);

fn log_end(job: JobId, end: FinalRecord) {
    let how = if end.cancelled { "cancelled" } else { "done" };
    tracing::info!(%job, done = end.done, how, "ended");
}

impl Controller {
    /// Handles the result of the round in flight.
    pub(in crate::coordination) fn on_round_result(
        &mut self,
        round: InFlightRound,
        result: Result<StateResponse, CallError>,
    ) {
        self.rounds.on_result();
        match result {
            Ok(StateResponse::Applied(revision)) => self.on_round_applied(round, revision),
            Ok(StateResponse::Conflict(keys, revision)) => {
                self.on_round_conflict(&round, &keys, revision);
            }
            Err(CallError::Unavailable | CallError::RateLimited | CallError::Rejected) => {
                self.rounds.delay_until(self.now.monotonic + RETRY_DELAY);
            }
            _ => self.on_round_outcome_unknown(round),
        }
    }

    fn on_round_applied(&mut self, round: InFlightRound, revision: u64) {
        self.count_applied(&round);
        for assignment in &round.assigned {
            self.on_assigned(assignment);
        }
        let changes = round.changes.into_iter().map(|mut change| {
            change.mod_revision = revision;
            change
        });
        let mut changes_seen = CellChanges::default();
        self.cell.apply(changes, &mut changes_seen);
        for (job, end) in round.ended {
            self.rounds.take_unknown_end(job);
            log_end(job, end);
            self.users.record_end(job, end);
        }
        self.on_cell_changed(&changes_seen);
    }

    fn count_applied(&mut self, round: &InFlightRound) {
        self.counters.commits += 1;
        self.counters.assigned += round.assigned.len() as u64;
        self.counters.released += round.released as u64;
        let written = &mut self.counters.changes;
        written.ends += round.ended.len() as u64;
        for Change { key, .. } in &round.changes {
            *match key {
                Key::Group(..) => &mut written.groups,
                Key::Usage(_) => &mut written.usage,
                _ => &mut written.jobs,
            } += 1;
        }
    }

    fn on_assigned(&mut self, assignment: &PlannedAssignment) {
        let claim = assignment.claim;
        let shard = self
            .cell
            .jobs
            .get(&claim.job)
            .map(|job| self.cell.shard_of_job(claim.job, job.spec()));
        let term = shard.map_or(0, |shard| self.cell.mod_revision(&Key::ShardLeader(shard)));
        tracing::info!(
            task = %assignment.attempt().task,
            attempt = assignment.attempt_number,
            machine = %claim.machine,
            term,
            "task assigned"
        );
        if let Some(met) = self.preference_met(claim.job, claim.machine) {
            self.counters.preferences.0 += 1;
            self.counters.preferences.1 += u64::from(met);
        }
    }

    fn on_round_conflict(&mut self, round: &InFlightRound, keys: &[Key], revision: u64) {
        self.counters.conflicts += 1;
        self.counters.dropped_claims += round.assigned.len() as u64;
        tracing::debug!(?keys, claims = round.assigned.len(), "commit conflict");
        self.rounds.hold_until_revision(revision);
        self.replica.request_barrier();
    }

    fn on_round_outcome_unknown(&mut self, round: InFlightRound) {
        self.counters.unknown_outcomes += 1;
        tracing::info!(claims = round.assigned.len(), "commit outcome unknown");
        self.rounds.hold_until_read_after(self.next_call);
        for (job, end) in round.ended {
            // Often the watch has already shown the end when the call times out.
            if self.cell.jobs.contains_key(&job) {
                self.rounds.add_unknown_end(job, end);
            } else {
                log_end(job, end);
            }
        }
        self.replica.request_barrier();
    }

    /// Logs the end of a job that was removed from the replica, if a round with an unknown outcome ended
    /// it.
    pub(in crate::coordination) fn on_job_removed(&mut self, job: JobId) {
        if let Some(end) = self.rounds.take_unknown_end(job) {
            log_end(job, end);
        }
    }
}
