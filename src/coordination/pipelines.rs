//! What awaiting jobs need of the state service: how the jobs before them ended.

use super::{Controller, Purpose};
use crate::bookkeeping::ids::JobId;
use crate::bookkeeping::job::FinalRecord;
use crate::bookkeeping::records::{Key, PIPED};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::Touched;
use crate::protocol::state::{CallError, StateReply, StateRequest};
use std::collections::BTreeMap;

/// Ends that are being looked up.
#[derive(Debug, Default)]
pub struct LookUps {
    /// When each may be asked for again.
    asked: BTreeMap<JobId, Micros>,
}

impl Controller {
    const LOOK_UP_AGAIN: Micros = Micros::secs(2);

    /// Whether jobs may await others: every controller understands them.
    pub(super) fn takes_pipelines(&self) -> bool {
        self.view
            .meta
            .value
            .as_ref()
            .is_some_and(|m| m.layout >= PIPED)
    }

    /// Looks up how jobs ended that others await. Until that is known these wait.
    pub(super) fn pump_pipelines(&mut self) {
        if !self.reader.ready() {
            return;
        }
        let now = self.now.steady;
        let unknown = self.view.pipelines.unknown();
        if unknown.is_empty() {
            self.look_ups.asked.clear();
            return;
        }
        self.look_ups.asked.retain(|id, _| unknown.contains(id));
        let known: Vec<(JobId, FinalRecord)> = unknown
            .iter()
            .filter_map(|id| Some((*id, self.users.end_of(*id)?)))
            .collect();
        let asked = |id: &JobId| {
            self.look_ups
                .asked
                .get(id)
                .is_some_and(|again| now < *again)
        };
        let due: Vec<JobId> = unknown.iter().filter(|id| !asked(id)).copied().collect();
        if !known.is_empty() {
            let mut touched = Touched::default();
            known
                .into_iter()
                .for_each(|(id, end)| self.view.learn(id, end, &mut touched));
            self.on_touched_view(&touched);
        }
        for id in due {
            if !self.view.pipelines.unknown().contains(&id) {
                continue;
            }
            if let Err(at) = self.budget.spend(now, 0, 0.0) {
                self.wake_at(at);
                return;
            }
            self.look_ups.asked.insert(id, now + Self::LOOK_UP_AGAIN);
            self.ask_state(Purpose::Forerunner(id), StateRequest::Get(Key::Final(id)));
        }
    }

    pub(super) fn on_forerunner(&mut self, id: JobId, result: Result<StateReply, CallError>) {
        let Ok(StateReply::Value(Some(value))) = result else {
            // A record that is neither live nor final is not there yet: this copy is behind.
            self.look_ups
                .asked
                .insert(id, self.now.steady + Micros::millis(400));
            return;
        };
        let Ok(end) = serde_json::from_str::<FinalRecord>(value.get()) else {
            return;
        };
        tracing::debug!(job = %id, cancelled = end.cancelled, "how a job before others ended");
        self.users.remember(id, end);
        let mut touched = Touched::default();
        self.view.learn(id, end, &mut touched);
        self.on_touched_view(&touched);
    }
}
