//! Who is left waiting although there is room: judged by what workers have, not by the controllers' copies.

use super::World;
use super::worker::Phase;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Notes the jobs of which a task could start now: a machine that is well fits, and the team is under its limit. None may
    /// wait so for 90 s once the troubles are over. Jobs that fail wherever they run are left out, and those whose place
    /// depends on more than their own machine (rules, zones of their other tasks).
    pub(super) fn note_waiting(&mut self) {
        if self.now < self.check.calm || !self.script.rules.is_empty() {
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
        for job in self.check.open() {
            let (asked, info) = (&self.check.asked[&job], &self.jobs[&job]);
            let one_of_many = asked.one_zone || asked.apart || asked.rules.is_some();
            // What is left of a set that lost a task ends first; then all are placed anew.
            let in_part = info.together && here.range((job, 0)..=(job, u32::MAX)).next().is_some();
            if info.fails || one_of_many || in_part || !self.check.is_ready(job) {
                continue;
            }
            let pending = (0..info.pieces)
                .filter(|i| !here.contains(&(job, *i)) && !self.check.ran((job, *i)))
                .count();
            let at_once = if info.together {
                pending
            } else {
                pending.min(1)
            };
            if at_once > 0
                && self.check.allows(&asked.team, asked.cores * at_once as f64)
                && let Some(machine) = self.room_for(job, at_once)
            {
                waiting.insert(job, machine);
            }
        }
        self.check.waits(self.now, &waiting);
    }

    /// Whether machines that are well have room for so many tasks of a job; the last of these.
    fn room_for(&self, job: u64, tasks: usize) -> Option<u64> {
        let (asked, info) = (&self.check.asked[&job], &self.jobs[&job]);
        let fits = self.workers.values().filter(|w| {
            self.now >= w.hung_until
                && w.recall_at.is_none()
                && !w.faulty
                && (!w.spot || asked.spot)
                && asked.builds.as_ref().is_none_or(|b| b.contains(&w.build))
                && asked.yard.as_ref().is_none_or(|y| *y == w.yard)
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
