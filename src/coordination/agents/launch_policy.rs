//! Which tasks may be launched, and the grace periods of tasks that are stopped.

use super::agent::Agent;
use crate::protocol::settings::Settings;
use crate::protocol::worker::TaskState;
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{Attempt, JobId};
use crate::storage::job::JobSpec;
use crate::storage::records::MachineRecord;
use crate::time::Micros;

/// The grace period for saving a checkpoint when a task of this job is stopped; zero if the job has no checkpoints.
pub(super) fn grace_period(job: Option<&Job>) -> Micros {
    let spec = job.map(Job::spec);
    spec.filter(|s| s.checkpoint_interval > Micros::ZERO)
        .map_or(Micros::ZERO, |s| s.checkpoint_duration.with_drift())
}

/// Whether more is assigned for a job's team than its quota allows. No controller assigns that much once it knows the quota, so
/// the assignments were made before a newer settings file introduced it. Those that have not been launched are released.
pub(super) fn exceeds_quota(cell: &CellState, settings: &Settings, job: JobId) -> bool {
    let Some(spec) = cell.jobs.get(&job).map(Job::spec) else {
        return false;
    };
    let Some(team) = settings.team(&spec.team) else {
        return false;
    };
    if team.cores_limit.is_none() && team.accelerators_limit.is_none() {
        return false;
    }
    let used = cell.assigned_to_team(cell.shard_of_job(job, spec), &spec.team);
    team.cores_limit.is_some_and(|limit| used.0 > limit)
        || team.accelerators_limit.is_some_and(|limit| used.1 > limit)
}

/// Whether the machine has room for a launch. It can lack room only while other tasks are being preempted to make room.
pub(super) fn has_room(
    agent: &Agent,
    cell: &CellState,
    record: Option<&MachineRecord>,
    attempt: &Attempt,
) -> bool {
    let Some(record) = record.filter(|r| !r.preempted.is_empty()) else {
        return true;
    };
    let mut room = cell
        .machine_type(&record.machine_type)
        .map(|t| t.capacity)
        .unwrap_or_default();
    for (reported, state) in agent.reported_tasks() {
        if reported != attempt && !matches!(state, TaskState::Exited(_)) {
            room -= cell.need(reported.task.job);
        }
    }
    for launched in agent.launches().sent() {
        if launched != attempt && agent.reported_state(launched).is_none() {
            room -= cell.need(launched.task.job);
        }
    }
    cell.need(attempt.task.job).fits(&room)
}

/// The time that is left until the cloud reclaims a spot machine.
pub(super) struct PreemptionWindow {
    pub remaining: Micros,
    pub heartbeat_interval: Micros,
}

impl PreemptionWindow {
    /// Heartbeat intervals that may pass until a stop command reaches the agent.
    const HEARTBEATS_UNTIL_STOP: u64 = 2;

    /// The grace period of a running task, if it has to be stopped now. A task with checkpoints is stopped as late as it can
    /// still save one; a task without is stopped at once if it is unlikely to end in time.
    pub(super) fn stop_grace_period(&self, spec: &JobSpec, running_for: Micros) -> Option<Micros> {
        let has_checkpoints = spec.checkpoint_interval > Micros::ZERO;
        if has_checkpoints {
            let needed =
                spec.checkpoint_duration + self.heartbeat_interval * Self::HEARTBEATS_UNTIL_STOP;
            (self.remaining < needed).then(|| spec.checkpoint_duration.with_drift())
        } else {
            (spec.estimated_runtime.since(running_for) > self.remaining * 2).then_some(Micros::ZERO)
        }
    }
}
