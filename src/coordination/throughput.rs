//! Throughput of each class and team, for the log: ended jobs, and assigned and pending tasks. The leader of shard 0
//! logs it for all controllers, together with the counters of the controller.

use crate::coordination::Controller;
use crate::storage::cell_state::EndedJob;
use std::collections::BTreeMap;

/// A class or a team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Owner {
    /// `class` or `team`.
    kind: &'static str,
    name: String,
}

impl Owner {
    /// The class and the team of a job.
    fn of_job(job_class: &str, team: &str) -> [Owner; 2] {
        [("class", job_class), ("team", team)].map(|(kind, name)| Owner {
            kind,
            name: name.to_owned(),
        })
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    jobs_done: u64,
    tasks_assigned: u64,
    tasks_waiting: u64,
}

/// Jobs of each class and team that have ended since this process read the cell state.
#[derive(Debug, Default)]
pub struct Throughput(BTreeMap<Owner, Counts>);

impl Throughput {
    /// Counts a job that has ended, unless it was cancelled or its outcome is unknown.
    pub fn record_ended(&mut self, ended: &EndedJob) {
        if ended.outcome.is_some_and(|outcome| !outcome.cancelled) {
            for owner in Owner::of_job(&ended.job_class, &ended.team) {
                self.0.entry(owner).or_default().jobs_done += 1;
            }
        }
    }
}

impl Controller {
    /// Logs the throughput of each class and team, and which of them get resources ahead of the usual order because of a
    /// fair share deficit.
    pub(super) fn log_throughput(&mut self) {
        if !self.leads(0) {
            return;
        }
        for (Owner { kind, name }, counts) in self.current_throughput() {
            tracing::info!(
                kind,
                name,
                jobs_done = counts.jobs_done,
                tasks_assigned = counts.tasks_assigned,
                tasks_waiting = counts.tasks_waiting,
                "throughput"
            );
        }
        for (name, cores) in self.classes_and_teams_with_deficit() {
            tracing::info!(name, cores, "fair share deficit");
        }
    }

    /// The jobs that have ended, and the tasks that are assigned and pending now.
    fn current_throughput(&self) -> BTreeMap<Owner, Counts> {
        let mut throughput = self.throughput.0.clone();
        for (id, job) in &self.cell.jobs {
            let spec = job.spec();
            let assigned = u64::from(self.cell.assigned_count(*id));
            let pending = u64::from(self.cell.pending_count(*id, job));
            for owner in Owner::of_job(&spec.job_class, &spec.team) {
                let counts = throughput.entry(owner).or_default();
                counts.tasks_assigned += assigned;
                counts.tasks_waiting += pending;
            }
        }
        throughput
    }
}
