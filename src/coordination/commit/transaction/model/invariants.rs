//! Invariants of the store that are checked after every step.

use super::state::State;
use super::{CORES_LIMIT, JOB, TASK_CORES, TASKS};
use std::collections::BTreeSet;

impl State {
    /// Returns the first violated invariant as an error.
    pub fn check_invariants(&self) -> Result<(), String> {
        let store = self.store();
        let assigned: Vec<u32> = store
            .machines()
            .flat_map(|(_, _, record)| &record.tasks)
            .map(|assignment| assignment.attempt().task.index)
            .collect();
        let distinct: BTreeSet<u32> = assigned.iter().copied().collect();
        if distinct.len() < assigned.len() {
            return Err(format!("task assigned twice: {assigned:?}"));
        }
        if assigned.len() as u64 * TASK_CORES > CORES_LIMIT {
            return Err(format!("team limit exceeded: {assigned:?}"));
        }
        let Some(job) = store.jobs.get(&JOB) else {
            return self.check_end(&assigned);
        };
        let recorded: BTreeSet<u32> = (0..TASKS).filter(|index| job.is_finished(*index)).collect();
        if recorded != self.done {
            return Err(format!(
                "tasks {:?} are done, but {recorded:?} are recorded as done",
                self.done
            ));
        }
        if let Some(index) = distinct.intersection(&recorded).next() {
            return Err(format!("task assigned after its completion: {index}"));
        }
        Ok(())
    }

    /// A job ends only when all of its tasks are done and nothing is assigned.
    fn check_end(&self, assigned: &[u32]) -> Result<(), String> {
        if self.done.len() == TASKS as usize && assigned.is_empty() {
            return Ok(());
        }
        Err(format!(
            "job ended with {:?} done, {assigned:?} assigned",
            self.done
        ))
    }
}
