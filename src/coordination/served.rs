//! What was served of each class and team, for the log: jobs done as the watch tells of their ends, and what runs and
//! waits now. Told by the owner of slice 0 for all, every 30 s.

use super::Controller;
use crate::bookkeeping::view::Ended;
use std::collections::BTreeMap;

/// Counts by class and by team since this process has had a copy.
#[derive(Debug, Default)]
pub struct Served {
    classes: BTreeMap<String, Count>,
    teams: BTreeMap<String, Count>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    done: u64,
    running: u64,
    waiting: u64,
}

impl Served {
    /// A job has ended; what is not known to be done is not counted.
    pub fn note(&mut self, ended: &Ended) {
        if ended.how.is_some_and(|f| !f.cancelled) {
            self.classes.entry(ended.lane.clone()).or_default().done += 1;
            self.teams.entry(ended.crew.clone()).or_default().done += 1;
        }
    }
}

impl Controller {
    /// Tells how much of each class and team was done, runs and waits, and which are left behind.
    pub(super) fn log_served(&mut self) {
        if !self.owns(0) {
            return;
        }
        let mut classes = self.served.classes.clone();
        let mut teams = self.served.teams.clone();
        for (id, job) in &self.view.jobs {
            let spec = job.spec();
            let running = self.view.booked(*id).map_or(0, |b| b.len() as u64);
            let waiting = u64::from(self.view.pending_count(*id, job));
            for count in [classes.entry(spec.lane.clone()).or_default(), teams.entry(spec.crew.clone()).or_default()] {
                count.running += running;
                count.waiting += waiting;
            }
        }
        for (kind, counts) in [("class", classes), ("team", teams)] {
            for (name, Count { done, running, waiting }) in counts {
                tracing::info!(kind, name, jobs_done = done, tasks_booked = running, tasks_waiting = waiting, "served");
            }
        }
        for (name, cores) in self.behind() {
            tracing::info!(name, cores, "left behind while others have more than half of their part: goes ahead");
        }
    }
}
