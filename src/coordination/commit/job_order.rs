//! The order in which jobs with pending tasks are considered in a plan.

use super::fair_shares::FairShares;
use crate::coordination::Controller;
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, ShardId};
use crate::storage::job::Priority;
use crate::time::Micros;

/// The precedence of a job: the most significant criterion is the first field, and lesser values go
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// Suspect jobs go last.
    suspect: bool,
    /// Work within its team's guarantee goes before work beyond the guarantee.
    borrows: bool,
    priority: Priority,
    /// Jobs that must start soonest go first.
    latest_start: Micros,
    /// Among otherwise equal jobs the oldest goes first.
    submitted: Micros,
}

/// A job's turn in the order.
pub(super) struct Turn<'a> {
    pub id: JobId,
    pub job: &'a Job,
    /// Most of its tasks that may be placed in this turn.
    pub max_tasks: u64,
    /// The job goes ahead of its precedence because its class or team is behind its fair share.
    pub ahead: bool,
}

/// Jobs with tasks to place.
pub(super) struct JobOrder<'a> {
    /// Their turns, in order.
    pub turns: Vec<Turn<'a>>,
    /// The deficits of classes and teams that are behind their fair share.
    pub fair_shares: FairShares<'a>,
}

impl Controller {
    /// All jobs with tasks to place. The job that has the gang reservation goes first, then jobs whose
    /// class or team is behind its fair share, then all others by their precedence.
    pub(super) fn jobs_in_order(&self) -> JobOrder<'_> {
        let mut jobs = self.jobs_by_precedence();
        let reservation_turn = jobs
            .iter()
            .position(|(id, _)| self.has_reservation(*id))
            .map(|position| jobs.remove(position))
            .map(|(id, job)| Turn {
                id,
                job,
                max_tasks: if job.spec().runs_all_tasks_at_once() {
                    u64::MAX
                } else {
                    1
                },
                ahead: false,
            });
        let fair_shares = self.fair_shares(&jobs);
        let mut shares_left = fair_shares.clone();
        let (mut ahead, mut in_order) = (Vec::new(), Vec::new());
        for (id, job) in jobs {
            let tasks_ahead = if self.rounds.is_suspect(id) {
                0
            } else {
                shares_left.take_tasks_ahead(job, self.cell.pending_count(id, job).into())
            };
            if tasks_ahead > 0 {
                ahead.push(Turn {
                    id,
                    job,
                    max_tasks: tasks_ahead,
                    ahead: true,
                });
            } else {
                in_order.push(Turn {
                    id,
                    job,
                    max_tasks: u64::MAX,
                    ahead: false,
                });
            }
        }
        JobOrder {
            turns: reservation_turn
                .into_iter()
                .chain(ahead)
                .chain(in_order)
                .collect(),
            fair_shares,
        }
    }

    fn jobs_by_precedence(&self) -> Vec<(JobId, &Job)> {
        let mut jobs: Vec<(Precedence, JobId, &Job)> = self
            .cell
            .jobs
            .iter()
            .filter(|(id, job)| self.is_placeable(**id, job))
            .map(|(id, job)| (self.precedence(*id, job), *id, job))
            .collect();
        jobs.sort_unstable_by_key(|(precedence, id, _)| (*precedence, *id));
        jobs.into_iter().map(|(_, id, job)| (id, job)).collect()
    }

    /// Whether a job has tasks to place, and nothing holds it back.
    pub(super) fn is_placeable(&self, id: JobId, job: &Job) -> bool {
        job.is_ready()
            && self.cell.pending_count(id, job) > 0
            // A job that fails on every machine is retried less and less often, until its user ends it.
            && !self.rounds.is_backing_off(id, self.now.monotonic)
            && !self.belongs_to_team_without_shard(job)
            && !self.rules.is_unschedulable(id)
    }

    fn precedence(&self, id: JobId, job: &Job) -> Precedence {
        Precedence {
            suspect: self.rounds.is_suspect(id),
            borrows: self.borrows(job, self.cell.shard_of_job(id, job.spec())),
            priority: job.priority(),
            latest_start: self.latest_start(job),
            submitted: job.record.submitted,
        }
    }

    /// Whether one more task of the job is beyond its team's guarantee.
    pub(super) fn borrows(&self, job: &Job, shard: ShardId) -> bool {
        let spec = job.spec();
        self.settings.team(&spec.team).is_some_and(|team| {
            let (cores, accelerators) = self.cell.assigned_to_team(shard, &spec.team);
            let (cores_guarantee, accelerators_guarantee) = team.guarantee;
            // A team without a guarantee is always beyond it.
            cores + spec.need.cores > cores_guarantee
                || spec.need.accelerators > 0
                    && accelerators + spec.need.accelerators > accelerators_guarantee
        })
    }

    /// Whether a job's team has no shard yet, see [`Controller::lacks_shard`].
    pub(in crate::coordination) fn belongs_to_team_without_shard(&self, job: &Job) -> bool {
        self.settings
            .team(&job.spec().team)
            .is_some_and(|team| self.lacks_shard(team))
    }
}
