//! Classes and teams that a lasting shortage would leave behind, as this copy shows them: see
//! [`crate::bookkeeping::shares`]. All controllers work it out alike.

use crate::bookkeeping::ids::JobId;
use crate::bookkeeping::shares::{Due, Part, dues};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::Job;
use crate::coordination::Controller;
use std::collections::{BTreeMap, HashSet};

/// A class or a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kin<'a> {
    /// A class of jobs.
    Class(&'a str),
    /// A team.
    Team(&'a str),
}

impl<'a> Kin<'a> {
    fn of(job: &'a Job) -> [Kin<'a>; 2] {
        [
            Kin::Class(&job.spec().job_class),
            Kin::Team(&job.spec().team),
        ]
    }
}

/// What classes and teams are due under a lasting shortage, in thousandths of a core; nothing for all others.
#[derive(Clone, Debug, Default)]
pub struct Floors<'a> {
    dues: BTreeMap<Kin<'a>, Due>,
    /// Jobs whose tasks are not stopped for others: they are late, and their class or team has too little.
    shielded: HashSet<JobId>,
}

impl<'a> Floors<'a> {
    /// How many tasks of this job, each taking so much, may go ahead of their turn. They are counted.
    pub fn take(&mut self, job: &'a Job, tasks: u64) -> u64 {
        if self.dues.is_empty() {
            return 0;
        }
        let each = job.spec().need.cores.max(1);
        let most = Kin::of(job)
            .iter()
            .filter_map(|k| self.dues.get(k))
            .map(|d| d.ahead)
            .max()
            .unwrap_or(0);
        // One more than fits, or what is smaller than a task would never be made up.
        let n = tasks.min(most.div_ceil(each));
        for k in Kin::of(job) {
            if let Some(due) = self.dues.get_mut(&k) {
                due.ahead = due.ahead.saturating_sub(n * each);
            }
        }
        n
    }

    /// Whether a job's tasks are not stopped for others.
    pub fn shields(&self, id: JobId) -> bool {
        self.shielded.contains(&id)
    }
}

impl Controller {
    /// Classes and teams that are left behind, with the whole cores that they lack to half of their part.
    pub(in crate::coordination) fn behind(&self) -> Vec<(String, u64)> {
        let (_, floors) = self.jobs_in_order();
        let behind = floors.dues.iter().filter(|(_, due)| due.ahead > 0);
        behind
            .map(|(Kin::Class(name) | Kin::Team(name), due)| {
                ((*name).to_owned(), due.ahead / 1_000)
            })
            .collect()
    }

    /// Who is left behind now, by the jobs with tasks to place.
    pub(super) fn floors<'a>(&'a self, waiting: &[(JobId, &'a Job)]) -> Floors<'a> {
        let mut floors = Floors::default();
        // A job that should have started before this is so late that machines hired for it would be up: the shortage
        // lasts. What is late and all booked counts as well: were it stopped, it would be late and wait again.
        let types = self.view.machine_types();
        let long_ago = self
            .now
            .day
            .since(types.map(|t| t.boot).max().unwrap_or(Micros::FOREVER));
        let is_late = |id: &JobId, j: &Job| {
            j.ready() && self.latest_start(j) < long_ago && !self.rounds.is_suspect(*id)
        };
        let late: Vec<(JobId, &Job)> = self
            .view
            .jobs
            .iter()
            .filter(|(id, j)| is_late(id, j))
            .map(|(id, j)| (*id, j))
            .collect();
        if late.is_empty() {
            return floors;
        }
        let mut parts: BTreeMap<Kin<'a>, Part> = BTreeMap::new();
        for (id, job) in &self.view.jobs {
            let booked = u64::from(self.view.booked_count(*id)) * job.spec().need.cores;
            for k in Kin::of(job) {
                parts.entry(k).or_default().booked += booked;
            }
        }
        for (id, job) in waiting
            .iter()
            .filter(|(id, _)| !self.rounds.is_suspect(*id))
        {
            let wants = u64::from(self.view.pending_count(*id, job)) * job.spec().need.cores;
            for k in Kin::of(job) {
                parts.entry(k).or_default().waiting += wants;
            }
        }
        for k in late.iter().flat_map(|(_, job)| Kin::of(job)) {
            parts.entry(k).or_default().late = true;
        }
        for (k, part) in &mut parts {
            if let Kin::Team(name) = k
                && let Some(limit) = self.cfg.team(name).and_then(|t| t.cores_limit)
            {
                part.waiting = part.waiting.min(limit.saturating_sub(part.booked));
            }
        }
        let room = self
            .view
            .machines_up()
            .filter_map(|(_, r)| self.view.machine_type(&r.machine_type))
            .map(|t| t.room.cores)
            .sum();
        let (classes, teams): (Vec<_>, Vec<_>) = parts
            .into_iter()
            .partition(|(k, _)| matches!(k, Kin::Class(_)));
        for kind in [classes, teams] {
            let (kin, parts): (Vec<Kin<'a>>, Vec<Part>) = kind.into_iter().unzip();
            floors.dues.extend(
                kin.into_iter()
                    .zip(dues(room, &parts))
                    .filter(|(_, due)| *due != Due::default()),
            );
        }
        let shields = |job: &Job| {
            Kin::of(job)
                .iter()
                .any(|k| floors.dues.get(k).is_some_and(|d| d.shielded))
        };
        floors.shielded = late
            .into_iter()
            .filter(|(_, job)| shields(job))
            .map(|(id, _)| id)
            .collect();
        floors
    }
}
