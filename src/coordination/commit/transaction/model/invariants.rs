//! What must hold in the store after every step.

use super::state::State;
use super::{CORES_LIMIT, JOB, TASK_CORES, TASKS};
use std::collections::BTreeSet;

impl State {
    /// The first invariant that is violated.
    pub fn check_invariants(&self) -> Result<(), String> {
        let store = self.store();
        let assigned: Vec<u32> = store
            .machines()
            .flat_map(|(_, _, record)| &record.tasks)
            .map(|assignment| assignment.attempt().task.index)
            .collect();
        let distinct: BTreeSet<u32> = assigned.iter().copied().collect();
        if distinct.len() < assigned.len() {
            return Err(format!("assigned twice: {assigned:?}"));
        }
        if assigned.len() as u64 * TASK_CORES > CORES_LIMIT {
            return Err(format!("beyond the limit: {assigned:?}"));
        }
        let Some(job) = store.jobs.get(&JOB) else {
            return self.check_end(&assigned);
        };
        let recorded: BTreeSet<u32> = (0..TASKS).filter(|index| job.finished(*index)).collect();
        if recorded != self.done {
            return Err(format!(
                "done are {:?}, recorded are {recorded:?}",
                self.done
            ));
        }
        if let Some(index) = distinct.intersection(&recorded).next() {
            return Err(format!("assigned after its end: {index}"));
        }
        Ok(())
    }

    /// A job ends only when all of its tasks are done and nothing is assigned.
    fn check_end(&self, assigned: &[u32]) -> Result<(), String> {
        if self.done.len() == TASKS as usize && assigned.is_empty() {
            return Ok(());
        }
        Err(format!(
            "ended with {:?} done, {assigned:?} assigned",
            self.done
        ))
    }
}
