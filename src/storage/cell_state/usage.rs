//! Resources assigned to the teams, and the finished tasks in the shards' usage records.

use super::{CellChanges, CellState};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{JobId, ShardId};
use std::cell::OnceCell;
use std::collections::{BTreeMap, HashMap};

/// Cores and accelerators assigned to each team, in thousandths. The sums are computed on demand, since most changes
/// are not followed by a query.
#[derive(Debug, Default)]
pub(super) struct AssignedByTeam(OnceCell<HashMap<String, (u64, u64)>>);

impl AssignedByTeam {
    /// Discards the sums, because a job or a machine group is about to change.
    pub(super) fn invalidate(&mut self) {
        self.0.take();
    }
}

impl CellState {
    /// Cores and accelerators assigned to a team of this shard, in thousandths.
    ///
    /// The shard's leader knows all assignments of the shard's jobs; otherwise its next commit fails for its condition
    /// on the usage record. It may not know all releases. So the returned amounts are never less than what is assigned,
    /// and a quota that they stay within is not exceeded.
    pub fn assigned_to_team(&self, shard: ShardId, team: &str) -> (u64, u64) {
        if !self.is_fenced() {
            return self
                .usage
                .get(shard)
                .map_or((0, 0), |usage| usage.value.assigned_to(team));
        }
        self.assigned_by_team
            .0
            .get_or_init(|| self.sum_assigned_by_team())
            .get(team)
            .copied()
            .unwrap_or_default()
    }

    fn sum_assigned_by_team(&self) -> HashMap<String, (u64, u64)> {
        let mut sums: HashMap<String, (u64, u64)> = HashMap::new();
        for (id, tasks) in self.assignments.task_counts() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let spec = job.spec();
            let cores = tasks * spec.need.cores;
            let accelerators = tasks * spec.need.accelerators;
            // `entry` would copy the team's name for every job.
            match sums.get_mut(&spec.team) {
                Some(sum) => *sum = (sum.0 + cores, sum.1 + accelerators),
                None => {
                    sums.insert(spec.team.clone(), (cores, accelerators));
                }
            }
        }
        sums
    }

    /// The finished tasks of a job in all usage records. A finished task stays finished, so the result is the union
    /// over the records.
    pub(super) fn recorded_finished_tasks(&self, id: JobId) -> CompletionBitmap {
        let mut recorded = self
            .usage
            .iter()
            .filter_map(|usage| usage.value.finished_tasks.get(&id));
        let mut all = recorded.next().cloned().unwrap_or_default();
        recorded.for_each(|ends| all.merge(ends));
        all
    }

    /// Updates the jobs whose finished tasks in a shard's usage record differ from those that it had before.
    pub(super) fn update_recorded_finished_tasks(
        &mut self,
        shard: ShardId,
        before: &BTreeMap<JobId, CompletionBitmap>,
        changes_seen: &mut CellChanges,
    ) {
        let after = &self.usage[shard].value.finished_tasks;
        let changed = after
            .iter()
            .filter(|(id, ends)| before.get(id) != Some(ends))
            .map(|(id, _)| *id);
        let removed = before.keys().filter(|id| !after.contains_key(id)).copied();
        for id in changed.chain(removed).collect::<Vec<_>>() {
            if !self.jobs.contains_key(&id) {
                continue;
            }
            let ends = self.recorded_finished_tasks(id);
            if let Some(job) = self.jobs.get_mut(&id)
                && job.recorded_finished_tasks != ends
            {
                job.recorded_finished_tasks = ends;
                changes_seen.jobs.push(id);
            }
        }
    }
}
