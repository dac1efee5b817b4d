//! Classes and teams that a lasting shortage would leave behind, as this copy shows them: see
//! [`crate::scheduler::fair_shares`]. All controllers work it out alike.

use crate::coordination::Controller;
use crate::scheduler::fair_shares::{Deficit, Share, deficits};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::{BTreeMap, HashSet};

/// A class or a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareOwner<'a> {
    /// A class of jobs.
    Class(&'a str),
    /// A team.
    Team(&'a str),
}

impl<'a> ShareOwner<'a> {
    fn of(job: &'a Job) -> [ShareOwner<'a>; 2] {
        [
            ShareOwner::Class(&job.spec().job_class),
            ShareOwner::Team(&job.spec().team),
        ]
    }
}

/// What classes and teams are due under a lasting shortage, in thousandths of a core; nothing for all others.
#[derive(Clone, Debug, Default)]
pub struct FairShares<'a> {
    deficits: BTreeMap<ShareOwner<'a>, Deficit>,
    /// Jobs whose tasks are not stopped for others: they are late, and their class or team has too little.
    protected: HashSet<JobId>,
}

impl<'a> FairShares<'a> {
    /// How many tasks of this job, each taking so much, may go ahead of their turn. They are counted.
    pub fn take(&mut self, job: &'a Job, tasks: u64) -> u64 {
        if self.deficits.is_empty() {
            return 0;
        }
        let each = job.spec().need.cores.max(1);
        let most = ShareOwner::of(job)
            .iter()
            .filter_map(|k| self.deficits.get(k))
            .map(|d| d.ahead)
            .max()
            .unwrap_or(0);
        // One more than fits, or what is smaller than a task would never be made up.
        let n = tasks.min(most.div_ceil(each));
        for k in ShareOwner::of(job) {
            if let Some(deficit) = self.deficits.get_mut(&k) {
                deficit.ahead = deficit.ahead.saturating_sub(n * each);
            }
        }
        n
    }

    /// Whether a job's tasks are not stopped for others.
    pub fn protects(&self, id: JobId) -> bool {
        self.protected.contains(&id)
    }
}

impl Controller {
    /// Classes and teams that are left behind, with the whole cores that they lack to half of their part.
    pub(in crate::coordination) fn starved_classes_and_teams(&self) -> Vec<(String, u64)> {
        let (_, fair_shares) = self.jobs_in_order();
        let starved_classes_and_teams = fair_shares
            .deficits
            .iter()
            .filter(|(_, deficit)| deficit.ahead > 0);
        starved_classes_and_teams
            .map(
                |(ShareOwner::Class(name) | ShareOwner::Team(name), deficit)| {
                    ((*name).to_owned(), deficit.ahead / 1_000)
                },
            )
            .collect()
    }

    /// Who is left behind now, by the jobs with tasks to place.
    pub(super) fn fair_shares<'a>(&'a self, waiting: &[(JobId, &'a Job)]) -> FairShares<'a> {
        let mut fair_shares = FairShares::default();
        // A job that should have started before this is so late that machines hired for it would be up: the shortage
        // lasts. What is late and all booked counts as well: were it stopped, it would be late and wait again.
        let types = self.cell.machine_types();
        let long_ago = self
            .now
            .day
            .since(types.map(|t| t.boot).max().unwrap_or(Micros::FOREVER));
        let is_late = |id: &JobId, j: &Job| {
            j.ready() && self.latest_start(j) < long_ago && !self.rounds.is_suspect(*id)
        };
        let late: Vec<(JobId, &Job)> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, j)| is_late(id, j))
            .map(|(id, j)| (*id, j))
            .collect();
        if late.is_empty() {
            return fair_shares;
        }
        let mut shares: BTreeMap<ShareOwner<'a>, Share> = BTreeMap::new();
        for (id, job) in &self.cell.jobs {
            let assigned = u64::from(self.cell.assigned_count(*id)) * job.spec().need.cores;
            for k in ShareOwner::of(job) {
                shares.entry(k).or_default().assigned += assigned;
            }
        }
        for (id, job) in waiting
            .iter()
            .filter(|(id, _)| !self.rounds.is_suspect(*id))
        {
            let wants = u64::from(self.cell.pending_count(*id, job)) * job.spec().need.cores;
            for k in ShareOwner::of(job) {
                shares.entry(k).or_default().waiting += wants;
            }
        }
        for k in late.iter().flat_map(|(_, job)| ShareOwner::of(job)) {
            shares.entry(k).or_default().late = true;
        }
        for (k, share) in &mut shares {
            if let ShareOwner::Team(name) = k
                && let Some(limit) = self.settings.team(name).and_then(|t| t.cores_limit)
            {
                share.waiting = share.waiting.min(limit.saturating_sub(share.assigned));
            }
        }
        let room = self
            .cell
            .machines_up()
            .filter_map(|(_, r)| self.cell.machine_type(&r.machine_type))
            .map(|t| t.room.cores)
            .sum();
        let (classes, teams): (Vec<_>, Vec<_>) = shares
            .into_iter()
            .partition(|(k, _)| matches!(k, ShareOwner::Class(_)));
        for kind in [classes, teams] {
            let (owners, shares): (Vec<ShareOwner<'a>>, Vec<Share>) = kind.into_iter().unzip();
            fair_shares.deficits.extend(
                owners
                    .into_iter()
                    .zip(deficits(room, &shares))
                    .filter(|(_, deficit)| *deficit != Deficit::default()),
            );
        }
        let protects = |job: &Job| {
            ShareOwner::of(job)
                .iter()
                .any(|k| fair_shares.deficits.get(k).is_some_and(|d| d.protected))
        };
        fair_shares.protected = late
            .into_iter()
            .filter(|(_, job)| protects(job))
            .map(|(id, _)| id)
            .collect();
        fair_shares
    }
}
