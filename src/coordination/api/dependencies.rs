//! What awaiting jobs need of the state service: how the jobs before them ended.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateReply, StateRequest};
use crate::storage::cell_state::CellChanges;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::{Key, PIPED};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Ends that are being looked up.
#[derive(Debug, Default)]
pub struct DependencyLookups {
    /// When each may be asked for again.
    asked: BTreeMap<JobId, Micros>,
}

impl Controller {
    const LOOK_UP_AGAIN: Micros = Micros::secs(2);

    /// Whether jobs may await others: every controller understands them.
    pub(in crate::coordination) fn supports_dependencies(&self) -> bool {
        self.cell
            .meta
            .value
            .as_ref()
            .is_some_and(|m| m.layout >= PIPED)
    }

    /// Looks up how jobs ended that others await. Until that is known these wait.
    pub(in crate::coordination) fn drive_dependencies(&mut self) {
        if !self.replica.ready() {
            return;
        }
        let now = self.now.steady;
        let unknown = self.cell.dependencies.unknown();
        if unknown.is_empty() {
            self.dependency_lookups.asked.clear();
            return;
        }
        self.dependency_lookups
            .asked
            .retain(|id, _| unknown.contains(id));
        let known: Vec<(JobId, FinalRecord)> = unknown
            .iter()
            .filter_map(|id| Some((*id, self.users.end_of(*id)?)))
            .collect();
        let asked = |id: &JobId| {
            self.dependency_lookups
                .asked
                .get(id)
                .is_some_and(|again| now < *again)
        };
        let due: Vec<JobId> = unknown.iter().filter(|id| !asked(id)).copied().collect();
        if !known.is_empty() {
            let mut changes_seen = CellChanges::default();
            known
                .into_iter()
                .for_each(|(id, end)| self.cell.learn(id, end, &mut changes_seen));
            self.on_cell_changed(&changes_seen);
        }
        for id in due {
            if !self.cell.dependencies.unknown().contains(&id) {
                continue;
            }
            if let Err(at) = self.budget.spend(now, 0, 0.0) {
                self.wake_at(at);
                return;
            }
            self.dependency_lookups
                .asked
                .insert(id, now + Self::LOOK_UP_AGAIN);
            self.ask_state(
                Purpose::DependencyLookup(id),
                StateRequest::Get(Key::Final(id)),
            );
        }
    }

    pub(in crate::coordination) fn on_dependency_lookup(
        &mut self,
        id: JobId,
        result: Result<StateReply, CallError>,
    ) {
        let Ok(StateReply::Value(Some(value))) = result else {
            // A record that is neither live nor final is not there yet: this copy is behind.
            self.dependency_lookups
                .asked
                .insert(id, self.now.steady + Micros::millis(400));
            return;
        };
        let Ok(end) = serde_json::from_str::<FinalRecord>(value.get()) else {
            return;
        };
        tracing::debug!(job = %id, cancelled = end.cancelled, "how a job before others ended");
        self.users.remember(id, end);
        let mut changes_seen = CellChanges::default();
        self.cell.learn(id, end, &mut changes_seen);
        self.on_cell_changed(&changes_seen);
    }
}
