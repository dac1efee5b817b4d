//! Classes and teams that are behind their fair share in a lasting shortage, see
//! [`crate::scheduler::fair_shares`]. They follow from the replica alone, so all controllers find the
//! same ones.

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
    /// The class and the team of a job.
    fn of(job: &'a Job) -> [ShareOwner<'a>; 2] {
        [
            ShareOwner::Class(&job.spec().job_class),
            ShareOwner::Team(&job.spec().team),
        ]
    }
}

/// The shares of all classes and teams that have jobs.
type Shares<'a> = BTreeMap<ShareOwner<'a>, Share>;

/// The deficits of classes and teams under a lasting shortage, in thousandths of a core. Classes and
/// teams without a deficit have no entry.
#[derive(Clone, Debug, Default)]
pub struct FairShares<'a> {
    deficits: BTreeMap<ShareOwner<'a>, Deficit>,
    /// Jobs that are not preempted, since they are late and their class or team is behind its share.
    protected: HashSet<JobId>,
}

impl<'a> FairShares<'a> {
    /// Computes the deficits from these shares. `total_cores`: cores of all machines; `late`: jobs that
    /// are late.
    fn new(total_cores: u64, shares: Shares<'a>, late: &[(JobId, &'a Job)]) -> FairShares<'a> {
        let (classes, teams): (Vec<_>, Vec<_>) = shares
            .into_iter()
            .partition(|(owner, _)| matches!(owner, ShareOwner::Class(_)));
        let mut fair_shares = FairShares::default();
        for kind in [classes, teams] {
            fair_shares.add_deficits(total_cores, kind);
        }
        fair_shares.protected = late
            .iter()
            .filter(|(_, job)| fair_shares.is_owner_protected(job))
            .map(|(id, _)| *id)
            .collect();
        fair_shares
    }

    fn add_deficits(&mut self, total_cores: u64, shares: Vec<(ShareOwner<'a>, Share)>) {
        let (owners, shares): (Vec<ShareOwner<'a>>, Vec<Share>) = shares.into_iter().unzip();
        let with_deficit = owners
            .into_iter()
            .zip(deficits(total_cores, &shares))
            .filter(|(_, deficit)| *deficit != Deficit::default());
        self.deficits.extend(with_deficit);
    }

    fn is_owner_protected(&self, job: &Job) -> bool {
        ShareOwner::of(job).iter().any(|owner| {
            self.deficits
                .get(owner)
                .is_some_and(|deficit| deficit.protected_from_preemption)
        })
    }

    /// Returns how many tasks of this job may go ahead of their precedence, and subtracts them from the
    /// deficits.
    pub fn take_tasks_ahead(&mut self, job: &'a Job, tasks: u64) -> u64 {
        if self.deficits.is_empty() {
            return 0;
        }
        let cores_per_task = job.spec().need.cores.max(1);
        let cores_ahead = ShareOwner::of(job)
            .iter()
            .filter_map(|owner| self.deficits.get(owner))
            .map(|deficit| deficit.cores_ahead_of_order)
            .max()
            .unwrap_or(0);
        // Rounded up, otherwise a deficit smaller than a task would never be made up.
        let tasks_ahead = tasks.min(cores_ahead.div_ceil(cores_per_task));
        for owner in ShareOwner::of(job) {
            if let Some(deficit) = self.deficits.get_mut(&owner) {
                deficit.cores_ahead_of_order = deficit
                    .cores_ahead_of_order
                    .saturating_sub(tasks_ahead * cores_per_task);
            }
        }
        tasks_ahead
    }

    /// Whether a job's tasks are protected from preemption.
    pub fn is_protected(&self, id: JobId) -> bool {
        self.protected.contains(&id)
    }
}

impl Controller {
    /// Classes and teams that are behind their fair share, with the number of whole cores that they are
    /// short of half of it.
    pub(in crate::coordination) fn classes_and_teams_with_deficit(&self) -> Vec<(String, u64)> {
        self.jobs_in_order()
            .fair_shares
            .deficits
            .iter()
            .filter(|(_, deficit)| deficit.cores_ahead_of_order > 0)
            .map(|(owner, deficit)| {
                let (ShareOwner::Class(name) | ShareOwner::Team(name)) = owner;
                ((*name).to_owned(), deficit.cores_ahead_of_order / 1_000)
            })
            .collect()
    }

    /// The classes and teams that are behind their fair share now. `waiting`: jobs with tasks to place.
    pub(super) fn fair_shares<'a>(&'a self, waiting: &[(JobId, &'a Job)]) -> FairShares<'a> {
        let late = self.late_jobs();
        if late.is_empty() {
            return FairShares::default();
        }
        let mut shares = Shares::new();
        self.add_assigned(&mut shares);
        self.add_waiting(&mut shares, waiting);
        for owner in late.iter().flat_map(|(_, job)| ShareOwner::of(job)) {
            shares.entry(owner).or_default().late = true;
        }
        self.cap_by_limits(&mut shares);
        let total_cores = self
            .cell
            .schedulable_machines()
            .filter_map(|(_, record)| self.cell.machine_type(&record.machine_type))
            .map(|machine_type| machine_type.capacity.cores)
            .sum();
        FairShares::new(total_cores, shares, &late)
    }

    /// Jobs that are so late that machines provisioned for them would be up by now, which shows that the
    /// shortage lasts. Jobs whose tasks are all assigned are included: if they were preempted, they would
    /// be late and wait again.
    fn late_jobs(&self) -> Vec<(JobId, &Job)> {
        let longest_boot = self
            .cell
            .machine_types()
            .map(|machine_type| machine_type.boot_time)
            .max()
            .unwrap_or(Micros::FOREVER);
        let late_before = self.now.time_of_day.since(longest_boot);
        self.cell
            .jobs
            .iter()
            .filter(|(id, job)| {
                job.is_ready()
                    && self.latest_start(job) < late_before
                    && !self.rounds.is_suspect(**id)
            })
            .map(|(id, job)| (*id, job))
            .collect()
    }

    fn add_assigned<'a>(&'a self, shares: &mut Shares<'a>) {
        for (id, job) in &self.cell.jobs {
            let cores = u64::from(self.cell.assigned_count(*id)) * job.spec().need.cores;
            for owner in ShareOwner::of(job) {
                shares.entry(owner).or_default().assigned += cores;
            }
        }
    }

    fn add_waiting<'a>(&self, shares: &mut Shares<'a>, waiting: &[(JobId, &'a Job)]) {
        for (id, job) in waiting {
            if self.rounds.is_suspect(*id) {
                continue;
            }
            let cores = u64::from(self.cell.pending_count(*id, job)) * job.spec().need.cores;
            for owner in ShareOwner::of(job) {
                shares.entry(owner).or_default().waiting += cores;
            }
        }
    }

    /// Leaves out what a team waits for beyond its limit.
    fn cap_by_limits(&self, shares: &mut Shares<'_>) {
        for (owner, share) in shares {
            if let ShareOwner::Team(name) = owner
                && let Some(limit) = self.settings.team(name).and_then(|team| team.cores_limit)
            {
                share.waiting = share.waiting.min(limit.saturating_sub(share.assigned));
            }
        }
    }
}
