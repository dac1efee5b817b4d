//! Lookups of how the jobs ended that live jobs depend on.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateRequest, StateResponse};
use crate::storage::cell_state::CellChanges;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::{DEPENDENCIES_FORMAT, Key};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Lookups of final records that were sent.
#[derive(Debug, Default)]
pub struct DependencyLookups {
    /// When the lookup of each job may be repeated.
    retry_at: BTreeMap<JobId, Micros>,
}

impl DependencyLookups {
    /// Time after which a lookup without an outcome is repeated.
    const TIMEOUT: Micros = Micros::secs(2);
    /// Time after which a final record that did not exist yet is read again.
    const RETRY_DELAY: Micros = Micros::millis(400);

    fn clear(&mut self) {
        self.retry_at.clear();
    }

    /// Forgets lookups of jobs that no longer need one.
    fn retain(&mut self, unknown: &BTreeSet<JobId>) {
        self.retry_at.retain(|job, _| unknown.contains(job));
    }

    fn is_due(&self, job: JobId, now: Micros) -> bool {
        self.retry_at.get(&job).is_none_or(|at| now >= *at)
    }

    fn on_sent(&mut self, job: JobId, now: Micros) {
        self.retry_at.insert(job, now + Self::TIMEOUT);
    }

    fn on_missing(&mut self, job: JobId, now: Micros) {
        self.retry_at.insert(job, now + Self::RETRY_DELAY);
    }
}

impl Controller {
    /// Whether jobs may depend on others: every controller respects dependencies.
    pub(in crate::coordination) fn supports_dependencies(&self) -> bool {
        self.cell
            .meta
            .value
            .as_ref()
            .is_some_and(|meta| meta.record_format >= DEPENDENCIES_FORMAT)
    }

    /// Looks up how the jobs ended that live jobs depend on; the live jobs wait until that is known.
    pub(in crate::coordination) fn drive_dependencies(&mut self) {
        if !self.replica.is_ready() {
            return;
        }
        let unknown = self.cell.dependencies.jobs_with_unknown_end();
        if unknown.is_empty() {
            return self.dependency_lookups.clear();
        }
        self.dependency_lookups.retain(unknown);
        let now = self.now.monotonic;
        let due: Vec<JobId> = unknown
            .iter()
            .filter(|job| self.dependency_lookups.is_due(**job, now))
            .copied()
            .collect();
        self.apply_known_ends();
        self.send_dependency_lookups(due);
    }

    /// Applies the ends of dependencies that the history of jobs already contains.
    fn apply_known_ends(&mut self) {
        let known: Vec<(JobId, FinalRecord)> = self
            .cell
            .dependencies
            .jobs_with_unknown_end()
            .iter()
            .filter_map(|job| Some((*job, self.users.end_of(*job)?)))
            .collect();
        if known.is_empty() {
            return;
        }
        let mut changes_seen = CellChanges::default();
        for (job, end) in known {
            self.cell.on_end_learned(job, end, &mut changes_seen);
        }
        self.on_cell_changed(&changes_seen);
    }

    fn send_dependency_lookups(&mut self, due: Vec<JobId>) {
        let now = self.now.monotonic;
        for job in due {
            if !self
                .cell
                .dependencies
                .jobs_with_unknown_end()
                .contains(&job)
            {
                continue;
            }
            if let Err(at) = self.budget.spend(now, 0, 0.0) {
                return self.wake_at(at);
            }
            self.dependency_lookups.on_sent(job, now);
            let request = StateRequest::Get(Key::Final(job));
            self.send_state_request(Purpose::DependencyLookup(job), request);
        }
    }

    pub(in crate::coordination) fn on_dependency_lookup(
        &mut self,
        job: JobId,
        result: Result<StateResponse, CallError>,
    ) {
        let Ok(StateResponse::Value(Some(value))) = result else {
            // An accepted job has a live record or a final one. The replica shows neither, so it is behind.
            return self.dependency_lookups.on_missing(job, self.now.monotonic);
        };
        let Ok(end) = serde_json::from_str::<FinalRecord>(value.get()) else {
            return;
        };
        tracing::debug!(%job, cancelled = end.cancelled, "dependency end known");
        self.users.record_end(job, end);
        let mut changes_seen = CellChanges::default();
        self.cell.on_end_learned(job, end, &mut changes_seen);
        self.on_cell_changed(&changes_seen);
    }
}
