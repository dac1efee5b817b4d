//! Who is left waiting although there is room: judged by what workers have, not by the controllers' copies.

use super::World;
use super::worker::Phase;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Notes the jobs of which a task could start now: a machine that is well fits, and the team is under its limit. None may
    /// wait so for 90 s once the troubles are over. Jobs that fail wherever they run are left out, and those whose place
    /// depends on more than their own machine (rules, zones of their other tasks).
    pub(super) fn check_starvation(&mut self) {
        if self.now < self.checker.last_fault_end || !self.script.rules.is_empty() {
            return;
        }
        let mut here = BTreeSet::new();
        for w in self.workers.values() {
            here.extend(
                w.pieces
                    .iter()
                    .filter(|(_, p)| !matches!(p.phase, Phase::Exited(_)))
                    .map(|((t, _), _)| *t),
            );
        }
        let mut waiting = BTreeMap::new();
        for job in self.checker.unfinished_jobs() {
            let (asked, info) = (&self.checker.job_requests[&job], &self.jobs[&job]);
            let one_of_many = asked.single_zone || asked.anti_affinity || asked.own_rules.is_some();
            // What is left of a set that lost a task ends first; then all are placed anew.
            let in_part = info.together && here.range((job, 0)..=(job, u32::MAX)).next().is_some();
            if info.fails || one_of_many || in_part || !self.checker.dependencies_reported_done(job)
            {
                continue;
            }
            let pending = (0..info.pieces)
                .filter(|i| {
                    !here.contains(&(job, *i)) && !self.checker.is_task_completed((job, *i))
                })
                .count();
            let at_once = if info.together {
                pending
            } else {
                pending.min(1)
            };
            if at_once > 0
                && self
                    .checker
                    .is_within_team_limit(&asked.team, asked.cores * at_once as f64)
                && let Some(machine) = self.machine_with_room(job, at_once)
            {
                waiting.insert(job, machine);
            }
        }
        self.checker.observe_waiting_jobs(self.now, &waiting);
    }

    /// Whether machines that are well have room for so many tasks of a job; the last of these.
    fn machine_with_room(&self, job: u64, tasks: usize) -> Option<u64> {
        let (asked, info) = (&self.checker.job_requests[&job], &self.jobs[&job]);
        let fits = self.workers.values().filter(|w| {
            self.now >= w.hung_until
                && w.recall_at.is_none()
                && !w.faulty
                && (!w.spot || asked.spot_allowed)
                && asked
                    .machine_types
                    .as_ref()
                    .is_none_or(|b| b.contains(&w.build))
                && asked.zone.as_ref().is_none_or(|y| *y == w.yard)
        });
        let mut room = 0;
        for w in fits {
            let (cores, mem) = w.free(&self.jobs);
            let by_cores = if info.cores > 0.0 {
                cores / info.cores
            } else {
                f64::MAX
            };
            let by_mem = if info.mem > 0.0 {
                mem / info.mem
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
