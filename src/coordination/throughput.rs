//! What was served of each class and team, for the log: jobs done as the watch tells of their ends, and what runs and
//! waits now. Told by the owner of slice 0 for all, every 30 s.

use crate::coordination::Controller;
use crate::storage::cell_state::EndedJob;
use std::collections::BTreeMap;

/// Counts by class and by team since this process has had a copy.
#[derive(Debug, Default)]
pub struct Served(BTreeMap<(&'static str, String), Count>);

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    done: u64,
    running: u64,
    waiting: u64,
}

/// A job's class and team, each with what it is.
fn owners(job_class: &str, team: &str) -> [(&'static str, String); 2] {
    [("class", job_class.to_owned()), ("team", team.to_owned())]
}

impl Served {
    /// A job has ended; what is not known to be done is not counted.
    pub fn note(&mut self, ended: &EndedJob) {
        if ended.how.is_some_and(|f| !f.cancelled) {
            for of in owners(&ended.job_class, &ended.team) {
                self.0.entry(of).or_default().done += 1;
            }
        }
    }
}

impl Controller {
    /// Tells how much of each class and team was done, runs and waits, and which are left behind.
    pub(super) fn log_served(&mut self) {
        if !self.leads(0) {
            return;
        }
        let mut counts = self.served.0.clone();
        for (id, job) in &self.cell.jobs {
            let spec = job.spec();
            let running = u64::from(self.cell.assigned_count(*id));
            let waiting = u64::from(self.cell.pending_count(*id, job));
            for of in owners(&spec.job_class, &spec.team) {
                let count = counts.entry(of).or_default();
                count.running += running;
                count.waiting += waiting;
            }
        }
        for (
            (kind, name),
            Count {
                done,
                running,
                waiting,
            },
        ) in counts
        {
            tracing::info!(
                kind,
                name,
                jobs_done = done,
                tasks_assigned = running,
                tasks_waiting = waiting,
                "served"
            );
        }
        for (name, cores) in self.starved_classes_and_teams() {
            tracing::info!(
                name,
                cores,
                "left behind while others have more than half of their part: goes ahead"
            );
        }
    }
}
