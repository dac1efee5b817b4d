//! Finds jobs that starve although there is room, from the state of the workers and not from the controllers' cell state.

use super::World;
use super::worker::Phase;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Records the jobs of which a task could start now: a healthy machine fits, and the team is within its limit. No job may
    /// wait so for 90 s once all faults are over. Jobs whose tasks always fail are left out, and jobs whose placement depends
    /// on more than one machine (placement rules, zones of their other tasks).
    pub(super) fn check_starvation(&mut self) {
        if self.now < self.checker.last_fault_end || !self.script.rules.is_empty() {
            return;
        }
        let mut running_tasks = BTreeSet::new();
        for w in self.workers.values() {
            running_tasks.extend(
                w.attempts
                    .iter()
                    .filter(|(_, p)| !matches!(p.phase, Phase::Exited(_)))
                    .map(|((t, _), _)| *t),
            );
        }
        let mut waiting = BTreeMap::new();
        for job in self.checker.unfinished_jobs() {
            let (request, info) = (&self.checker.job_requests[&job], &self.jobs[&job]);
            let depends_on_other_machines =
                request.single_zone || request.anti_affinity || request.own_rules.is_some();
            // When a gang has lost a task, its other tasks end first; then the whole gang is placed anew.
            let has_running_part = info.gang
                && running_tasks
                    .range((job, 0)..=(job, u32::MAX))
                    .next()
                    .is_some();
            if info.fails
                || depends_on_other_machines
                || has_running_part
                || !self.checker.dependencies_reported_done(job)
            {
                continue;
            }
            let pending = (0..info.task_count)
                .filter(|i| {
                    !running_tasks.contains(&(job, *i))
                        && !self.checker.is_task_completed((job, *i))
                })
                .count();
            let tasks_at_once = if info.gang { pending } else { pending.min(1) };
            if tasks_at_once > 0
                && self
                    .checker
                    .is_within_team_limit(&request.team, request.cores * tasks_at_once as f64)
                && let Some(machine) = self.machine_with_room(job, tasks_at_once)
            {
                waiting.insert(job, machine);
            }
        }
        self.checker.observe_waiting_jobs(self.now, &waiting);
    }

    /// If healthy machines have room for `tasks` tasks of a job, the last machine that was needed for it.
    fn machine_with_room(&self, job: u64, tasks: usize) -> Option<u64> {
        let (request, info) = (&self.checker.job_requests[&job], &self.jobs[&job]);
        let fitting_workers = self.workers.values().filter(|w| {
            self.now >= w.stalled_until
                && w.preempted_at.is_none()
                && !w.all_tasks_fail
                && (!w.spot || request.spot_allowed)
                && request
                    .machine_types
                    .as_ref()
                    .is_none_or(|b| b.contains(&w.machine_type))
                && request.zone.as_ref().is_none_or(|y| *y == w.zone)
        });
        let mut room = 0;
        for w in fitting_workers {
            let (cores, mem) = w.free_resources(&self.jobs);
            let by_cores = if info.cores > 0.0 {
                cores / info.cores
            } else {
                f64::MAX
            };
            let by_mem = if info.memory_gb > 0.0 {
                mem / info.memory_gb
            } else {
                f64::MAX
            };
            room += by_cores.min(by_mem).max(0.0).min(tasks as f64) as usize;
            if room >= tasks {
                return Some(w.id);
            }
        }
        None
    }
}
