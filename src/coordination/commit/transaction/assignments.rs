//! Machines and bookings in a draft.

use super::{MachineAttempt, Needs, SPARE_BYTES, TransactionBuilder};
use crate::coordination::agents::HealthChange;
use crate::storage::ids::{Attempt, MachineId, ShardId};
use crate::storage::records::{Assignment, GroupRecord, Key, MachineHealth, MachineRecord};

impl<'a> TransactionBuilder<'a> {
    /// Adds a machine that was heard for the first time, to the first of the slice's groups that
    /// will still have room when all of its machines are full, else to a new one. `full`: bytes
    /// that a machine of a type takes then.
    ///
    /// Every addition writes the slice's first group, which is never removed. So an addition with
    /// unknown outcome cannot succeed beside a later one of the same machine to another group; one
    /// of an earlier owner fails for its term.
    pub fn add(
        &mut self,
        k: ShardId,
        m: MachineId,
        record: MachineRecord,
        full: &dyn Fn(&str) -> usize,
    ) -> bool {
        let size = GroupRecord::machine_bytes(m, &record);
        let expected = full(&record.machine_type).max(size);
        for n in 0.. {
            let at = (k, n);
            let group = match self.groups.get(&at) {
                Some(g) => Some(&g.record),
                None => self.cell.groups[k].get(&n).map(|g| &g.value),
            };
            let exists = group.is_some();
            let before = *self.expected.entry(at).or_insert_with(|| {
                group.map_or(64, |g| {
                    g.machines.values().map(|r| full(&r.machine_type)).sum()
                })
            });
            // A group with a single machine may be larger than a group should be.
            let fits = before + expected <= self.limits.part_bytes
                || group.is_none_or(|g| g.machines.is_empty());
            if !fits {
                continue;
            }
            let both = [(k, 0), at];
            let groups = if n == 0 { &both[..1] } else { &both };
            if !self.reserve(Needs {
                groups,
                conditions: &[Key::ShardLeader(k)],
                ..Needs::default()
            }) {
                return false;
            }
            if !self.grow(at, size, SPARE_BYTES) {
                if exists {
                    continue;
                }
                return false;
            }
            if let Some(g) = self.groups.get_mut(&at) {
                g.record.machines.insert(m, record);
            }
            self.added.insert(m, at);
            self.expected.insert(at, before + expected);
            return true;
        }
        false
    }

    /// Sets a machine's fitness and the sessions that are over. `by`: the slice whose owner decides.
    pub fn set_health(&mut self, m: MachineId, set_health: HealthChange, by: ShardId) -> bool {
        let (Some(now), Some(at)) = (self.machine(m), self.home(m)) else {
            return true;
        };
        // A machine that may have been released is unusable for ever.
        let health = if now.health == MachineHealth::Decommissioning {
            MachineHealth::Decommissioning
        } else {
            set_health.health
        };
        let fenced_incarnation = now.fenced_incarnation.max(set_health.fenced_incarnation);
        if (now.health, now.fenced_incarnation) == (health, fenced_incarnation) {
            return true;
        }
        let more = usize::from(fenced_incarnation > now.fenced_incarnation) * 6;
        if !self.reserve(Needs {
            groups: &[at],
            conditions: &[Key::ShardLeader(by)],
            ..Needs::default()
        }) || !self.grow(at, more, 0)
        {
            return false;
        }
        if let Some(r) = self.machine_mut(m) {
            r.health = health;
            r.fenced_incarnation = fenced_incarnation;
        }
        true
    }

    /// Books a task.
    pub fn assign(&mut self, m: MachineId, a: Attempt) -> bool {
        let id = a.task.job;
        let cell = self.cell;
        let (Some(job), Some(at)) = (cell.jobs.get(&id), self.home(m)) else {
            return false;
        };
        let spec = job.spec();
        let k = cell.shard_of_job(id, spec);
        let conditions = &[Key::ShardLeader(k), Key::Job(id), Key::Meta];
        let size = GroupRecord::assignment_bytes(&a, &spec.image, spec.size);
        if !self.reserve(Needs {
            groups: &[at],
            usage: Some(k),
            conditions,
            ..Needs::default()
        }) || !self.grow(at, size, SPARE_BYTES)
        {
            return false;
        }
        let Some(r) = self.machine_mut(m) else {
            return false;
        };
        r.tasks.push(Assignment::of(a));
        let cache = cell.machine_type(&r.machine_type).map_or(0, |t| t.cache);
        r.use_image(&spec.image, spec.size, cache);
        if let Some(u) = self.usage.get_mut(&k).filter(|_| !self.fenced) {
            u.record
                .add(&spec.team, spec.need.cores, spec.need.accelerators);
        }
        let [more, _] = self.moved.entry(&spec.team).or_default();
        *more = (more.0 + spec.need.cores, more.1 + spec.need.accelerators);
        true
    }

    /// Books tasks on a machine in the room of others that are to be stopped there: all or nothing,
    /// since without the others' room the machine would be booked beyond what it has.
    pub fn assign_preempting(
        &mut self,
        m: MachineId,
        victims: &[Assignment],
        tasks: &[Attempt],
    ) -> bool {
        let mut trial = self.clone();
        let Some(at) = self.home(m) else { return false };
        let size = GroupRecord::PREEMPTED_BYTES * victims.len();
        if !tasks.iter().all(|a| trial.assign(m, *a)) || !trial.grow(at, size, SPARE_BYTES) {
            return false;
        }
        let Some(r) = trial.machine_mut(m) else {
            return false;
        };
        for v in victims {
            if !r.tasks.contains(v) || r.preempted.contains(v) {
                return false;
            }
            r.preempted.push(*v);
        }
        *self = trial;
        true
    }

    /// Books all of an indivisible set, or nothing.
    pub fn assign_all(&mut self, set: &[MachineAttempt]) -> bool {
        let mut trial = self.clone();
        let all = set
            .iter()
            .all(|assignment| trial.assign(assignment.machine, assignment.attempt));
        if all {
            *self = trial;
        }
        all
    }

    /// Removes a machine that is gone for ever; what was booked on it must have been cleared.
    pub fn remove(&mut self, m: MachineId) -> bool {
        match self.machine(m) {
            None => return true,
            Some(_) if self.cell.is_stale(m) => return false,
            Some(r) if !r.tasks.is_empty() => return false,
            Some(_) => {}
        }
        let Some(at) = self.home(m) else { return true };
        if !self.reserve(Needs {
            groups: &[at],
            conditions: &[Key::ShardLeader(0)],
            ..Needs::default()
        }) {
            return false;
        }
        if let Some(g) = self.groups.get_mut(&at) {
            g.record.machines.remove(&m);
        }
        true
    }
}
