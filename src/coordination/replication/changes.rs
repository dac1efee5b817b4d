//! Responses to watches and barriers: their changes are applied, or the replica is listed again.

use super::Phase;
use crate::coordination::{CallId, Controller};
use crate::protocol::state::{CallError, StateResponse};
use crate::storage::cell_state::{CellChanges, Change};
use crate::time::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The response contained changes, or showed that the replica is too old to apply any.
    Handled,
    /// There was no response, or it was not one to a read.
    Failed,
}

impl Controller {
    pub(in crate::coordination) fn on_watch_answered(
        &mut self,
        id: CallId,
        sent: Micros,
        result: Result<StateResponse, CallError>,
    ) {
        let now = self.now.monotonic;
        self.replica.watch.on_answered(now);
        if self.on_changes(id, sent, result) == ReadOutcome::Failed {
            self.replica.watch.on_failed(now);
        }
    }

    pub(in crate::coordination) fn on_barrier_answered(
        &mut self,
        id: CallId,
        sent: Micros,
        result: Result<StateResponse, CallError>,
    ) {
        let now = self.now.monotonic;
        self.replica.barrier.on_answered(id);
        if self.on_changes(id, sent, result) == ReadOutcome::Failed {
            self.replica.barrier.on_failed(now);
            self.fail_pending_reads();
        }
    }

    /// Applies a response, or begins a new listing if the response shows that the replica is too old.
    fn on_changes(
        &mut self,
        id: CallId,
        sent: Micros,
        result: Result<StateResponse, CallError>,
    ) -> ReadOutcome {
        match result {
            Ok(StateResponse::Changes(changes, revision)) => {
                self.apply_changes(id, sent, changes, revision);
            }
            Ok(StateResponse::Compacted) => {
                self.list_again("changes are no longer in the state store");
            }
            // The response to a retry would be even larger: it contains all changes at once, however many there are.
            Err(CallError::ResponseTooLarge) => {
                self.list_again("changes exceed the size of one response");
            }
            other => {
                tracing::debug!(?other, "read failed");
                return ReadOutcome::Failed;
            }
        }
        ReadOutcome::Handled
    }

    /// The replica can't be brought up to date by changes: it is listed again, and this process leads no shard meanwhile.
    fn list_again(&mut self, reason: &'static str) {
        // Several reads may have been in flight: the first response has already begun the listing.
        if !self.replica.is_listed() {
            return;
        }
        let revision = self.cell.revision;
        tracing::info!(
            revision,
            reason,
            "replica too old, listing everything again"
        );
        self.step_down_everywhere();
        self.replica.phase = Phase::Empty;
    }

    fn apply_changes(&mut self, id: CallId, sent: Micros, changes: Vec<Change>, revision: u64) {
        if !self.replica.is_listed() {
            return;
        }
        let mut changes_seen = CellChanges::default();
        self.cell.apply(changes, &mut changes_seen);
        self.cell.advance(revision);
        if self.cell.is_format_unsupported(self.record_format) {
            // Other controllers may raise the record format beyond what this process supports while it runs.
            self.step_down_everywhere();
            self.refuse_unknown_format();
            return;
        }
        let now = self.now.monotonic;
        self.replica.progress.on_read(id, sent, now);
        self.end_stall_recovery();
        if self.replica.phase == Phase::Listed {
            if !self.replica.listing.is_consistent_at(revision) {
                return;
            }
            self.on_replica_ready(&mut changes_seen);
        }
        self.on_cell_changed(&changes_seen);
        let newest_call = self.replica.progress.newest_call;
        self.rounds.on_read(revision, newest_call);
        self.resume_pending_reads();
    }

    /// The replica is complete and consistent: everything in it counts as changed.
    fn on_replica_ready(&mut self, changes_seen: &mut CellChanges) {
        self.replica.phase = Phase::Ready;
        tracing::info!(
            revision = self.cell.revision,
            jobs = self.cell.jobs.len(),
            machines = self.cell.machines().count(),
            "replica ready"
        );
        changes_seen.leaders = (0..self.cell.leaders.len()).collect();
        changes_seen.nodes = true;
        changes_seen.jobs = self.cell.jobs.keys().copied().collect();
    }
}
