//! Values that were written under larger limits than the state service will have, or has by now: they
//! are brought down in steps that are each complete.

use super::{Draft, GroupEdit, Needs, size_of};
use crate::bookkeeping::finished::Finished;
use crate::bookkeeping::ids::{JobId, MachineId, Part, Slice};
use crate::bookkeeping::records::{GroupRecord, Key, OwnRecord};
use crate::bookkeeping::view::View;

/// Whether the view has this record larger than `most` bytes.
pub fn too_large(view: &View, key: &Key, most: usize) -> bool {
    match key {
        Key::Group(k, n) => view.groups[*k]
            .get(n)
            .is_some_and(|g| size_of(&g.value) > most),
        Key::Usage(k) => size_of(&view.usage[*k].value) > most,
        _ => false,
    }
}

impl Draft<'_> {
    /// A step that makes a value smaller; false if none is possible. The draft must be empty.
    pub fn shrink(&mut self, key: &Key, me: &OwnRecord, full: &dyn Fn(&str) -> usize) -> bool {
        match key {
            Key::Group(k, n) => self.shrink_group(*k, *n, me, full),
            Key::Usage(k) => self.shrink_usage(*k),
            _ => false,
        }
    }

    /// Moves machines of a group to new ones. If it is too large to be written at all they are copied,
    /// and the copies count, until what is left can be written: see [`View::is_stale`]. Every step of
    /// that raises the slice's term, on which whoever writes to its groups relies: so nothing that was
    /// planned on the group itself can still be applied, nor the same step twice.
    fn shrink_group(
        &mut self,
        k: Slice,
        n: Part,
        me: &OwnRecord,
        full: &dyn Fn(&str) -> usize,
    ) -> bool {
        let Some(group) = self.view.groups[k].get(&n) else {
            return false;
        };
        let mut rest = GroupRecord {
            terse: self.terse,
            ..group.value.clone()
        };
        let size = size_of(&rest);
        let writable = size <= self.limits.taken_bytes;
        // The group itself, or the term, takes one change.
        let parts = self.limits.ops - 1;
        let mut new: Vec<GroupRecord> = Vec::new();
        let mut bytes = size;
        let mut left = 0;
        let machines: Vec<MachineId> = group.value.machines.keys().rev().copied().collect();
        for m in machines {
            if size_of(&rest) <= self.limits.value_bytes.min(self.limits.part_bytes) {
                break;
            }
            let Some(record) = rest.machines.get(&m).cloned() else {
                continue;
            };
            let mut alone = GroupRecord {
                terse: self.terse,
                ..GroupRecord::default()
            };
            alone.machines.insert(m, record);
            let takes = size_of(&alone);
            // Once full it may take more than now. One that has no room alone stays.
            let expected = alone
                .machines
                .values()
                .map(|r| full(&r.machine_type))
                .sum::<usize>()
                .max(takes);
            if takes + super::SPARE_BYTES / 2 > self.limits.value_bytes {
                continue;
            }
            if new.is_empty() || expected > left || bytes + takes > super::TXN_BYTES {
                if new.len() >= parts || bytes + takes > super::TXN_BYTES {
                    break;
                }
                new.push(GroupRecord {
                    terse: self.terse,
                    ..GroupRecord::default()
                });
                left = self.limits.part_bytes;
            }
            left = left.saturating_sub(expected);
            bytes += takes;
            rest.machines.remove(&m);
            if let Some(g) = new.last_mut() {
                g.machines.append(&mut alone.machines);
            }
        }
        let fits = size_of(&rest) <= self.limits.value_bytes;
        if new.is_empty() && !fits {
            return false;
        }
        let writes = writable || fits;
        let next = self.view.groups[k]
            .keys()
            .next_back()
            .map_or(0, |last| last + 1);
        let most = self.limits.value_bytes;
        for (n, record) in (next..).zip(new) {
            let edit = GroupEdit {
                bytes: size_of(&record),
                record,
                most,
                pruned: false,
            };
            self.groups.insert((k, n), edit);
        }
        self.conditions.extend([Key::Own(k), Key::Group(k, n)]);
        if writes {
            self.groups.insert(
                (k, n),
                GroupEdit {
                    bytes: size_of(&rest),
                    record: rest,
                    most: size,
                    pruned: false,
                },
            );
        } else {
            self.raise = Some((k, me.clone()));
        }
        true
    }

    /// Moves ends of tasks from a usage record to the records of their jobs, the largest sets first. If
    /// it is too large to be written they are copied: a job's ends are those of both, and what its own
    /// record has is left out as soon as the rest can be written.
    fn shrink_usage(&mut self, k: Slice) -> bool {
        let usage = &self.view.usage[k];
        let conditions = &[Key::Own(k)];
        let opened = self.reserve(Needs {
            usage: Some(k),
            conditions,
            ..Needs::default()
        });
        if opened
            && self
                .usage
                .get(&k)
                .is_some_and(|u| size_of(&u.record) <= self.limits.value_bytes)
        {
            return true;
        }
        let copied = |id: &JobId, ends: &Finished| {
            self.view
                .jobs
                .get(id)
                .is_none_or(|j| j.record.finished.covers(ends))
        };
        let mut sets: Vec<(usize, JobId)> = usage
            .value
            .ends
            .iter()
            .filter(|(id, ends)| !copied(id, ends))
            .map(|(id, ends)| (ends.bytes(), *id))
            .collect();
        sets.sort_unstable_by(|a, b| b.cmp(a));
        let mut moved = false;
        for (_, id) in sets {
            let conditions = &[Key::Own(k), Key::Usage(k)];
            if !self.reserve(Needs {
                usage: opened.then_some(k),
                job: Some((id, 0)),
                conditions,
                ..Needs::default()
            }) {
                break;
            }
            if let (Some(j), Some(ends)) = (self.jobs.get_mut(&id), usage.value.ends.get(&id)) {
                j.record.finished.merge(ends);
            }
            moved = true;
        }
        moved
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{apply, holds, machine, view_of};
    use super::super::{Commit, Limits};
    use super::*;
    use crate::bookkeeping::finished::Finished;
    use crate::bookkeeping::ids::{Attempt, TaskId};
    use crate::bookkeeping::job::{JobRecord, JobSpec, Priority};
    use crate::bookkeeping::records::{Booking, Incarnation, LAYOUT, UsageRecord};
    use crate::bookkeeping::view::{Change, Content, Touched};
    use crate::coordination::sessions::Outcome;
    use crate::protocol::state::encode;
    use std::collections::{BTreeMap, BTreeSet};

    const MOST: usize = 2_048;

    fn limits(taken_bytes: usize) -> Limits {
        let (ops, part_bytes) = (4, MOST - 128);
        Limits {
            ops,
            conditions: 4 * ops,
            value_bytes: MOST,
            taken_bytes,
            large_grow: false,
            part_bytes,
        }
    }

    fn me() -> OwnRecord {
        OwnRecord {
            node: "n0".to_owned(),
            run: Incarnation(1),
        }
    }

    fn job(task_count: u32) -> JobRecord {
        let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":1,"r":[1000,0,1000],"i":"img","g":9000000},"t":1}"#;
        let record: JobRecord = serde_json::from_str(text).unwrap();
        JobRecord {
            spec: JobSpec {
                task_count,
                priority: Priority::Low,
                ..record.spec
            },
            ..record
        }
    }

    /// Many machines in one part, each with a task of a job of its own.
    fn large_group(machines: u64) -> View {
        let mut view = view_of(LAYOUT);
        let mut g = GroupRecord::default();
        let mut changes = Vec::new();
        for m in 1..=machines {
            let id = JobId(300_000 + m * 7_919);
            let mut r = machine();
            r.tasks.push(Booking::of(Attempt {
                task: TaskId { job: id, index: 0 },
                number: m * 70_000,
            }));
            g.machines.insert(MachineId(m), r);
            changes.push(Change {
                key: Key::Job(id),
                content: Some(Content::Job(Box::new(job(1)))),
                mod_revision: 2,
            });
        }
        changes.push(Change {
            key: Key::Group(0, 0),
            content: Some(Content::Group(g)),
            mod_revision: 2,
        });
        view.apply(changes, &mut Touched::default());
        view.advance(2);
        view
    }

    fn step(view: &View, key: &Key, taken: usize) -> Option<Commit> {
        let mut draft = Draft::new(view, limits(taken));
        draft.shrink(key, &me(), &|_| 16).then(|| draft.commit())
    }

    /// What the store holds, as every write left it.
    type Store = BTreeMap<String, (Content, u64)>;

    fn store(view: &View, key: &Key, store: &mut Store, commit: &Commit, mod_revision: u64) {
        assert!(holds(view, commit));
        assert!(
            commit.txn.then.len() <= 4 && commit.txn.when.len() <= 16,
            "{key}"
        );
        assert!(
            commit.txn.largest() <= MOST,
            "{key}: {} bytes",
            commit.txn.largest()
        );
        for c in &commit.changes {
            match &c.content {
                Some(content) => store.insert(c.key.to_string(), (content.clone(), mod_revision)),
                None => store.remove(&c.key.to_string()),
            };
        }
    }

    fn machines(view: &View) -> BTreeSet<(MachineId, Vec<Booking>)> {
        view.machines()
            .map(|(_, m, r)| (m, r.tasks.clone()))
            .collect()
    }

    /// A group that is too large for the limits in force is copied in steps of which each is complete:
    /// at any time every reader sees every machine once, nothing planned before a step is applied after
    /// it, and no machine goes while it would come up again.
    #[test]
    fn a_group_that_cannot_be_written_is_copied() {
        let mut view = large_group(700);
        let all = machines(&view);
        let before = view.groups[0][&0].clone();
        let mut kept = Store::new();
        kept.insert(
            "c/group/0/0".to_owned(),
            (Content::Group(before.value), before.mod_revision),
        );
        let key = Key::Group(0, 0);
        let mut mod_revision = 2;
        let mut copied = 0;
        while too_large(&view, &key, MOST) {
            // Whoever planned on the copy of before, on the word of another slice's owner: a task of a
            // machine that is copied now is cleared.
            let (m, record) = view.groups[0][&0].value.machines.last_key_value().unwrap();
            let mut late = Draft::new(&view, limits(16 * 1_024));
            assert!(late.clear(*m, record.tasks[0].attempt(), Outcome::Again, 7));
            let late = late.commit();
            let commit = step(&view, &key, MOST).expect("a step");
            let again = step(&view, &key, MOST).expect("a step");
            mod_revision += 1;
            store(&view, &key, &mut kept, &commit, mod_revision);
            apply(&mut view, commit, mod_revision);
            assert!(!holds(&view, &late), "what was planned before is applied");
            assert!(!holds(&view, &again), "the step is applied twice");
            assert_eq!(machines(&view), all, "after step {mod_revision}");
            // A controller that starts now reads the keys in their order.
            let mut fresh = view_of(LAYOUT);
            let listed = kept.iter().map(|(k, (content, mod_revision))| Change {
                key: Key::parse(k).unwrap(),
                content: Some(content.clone()),
                mod_revision: *mod_revision,
            });
            fresh.apply(listed, &mut Touched::default());
            assert_eq!(
                machines(&fresh),
                all,
                "a fresh copy after step {mod_revision}"
            );
            if let Some(stale) = view
                .machines()
                .map(|(_, m, _)| m)
                .find(|m| view.is_stale(*m))
            {
                copied += 1;
                let mut draft = Draft::new(&view, limits(MOST));
                let booking = view.machine(stale).unwrap().tasks[0].attempt();
                assert!(draft.clear(stale, booking, Outcome::Again, 0));
                assert!(!draft.remove(stale), "it would come up again");
            }
        }
        assert!(copied > 1, "nothing was copied");
        assert!(view.machines().all(|(_, m, _)| !view.is_stale(m)));
        assert!(view.groups[0].values().all(|g| size_of(&g.value) <= MOST));
    }

    /// While it can still be written, its machines are moved.
    #[test]
    fn a_group_that_can_be_written_is_split() {
        let mut view = large_group(300);
        let all = machines(&view);
        let key = Key::Group(0, 0);
        let mut mod_revision = 2;
        while too_large(&view, &key, MOST) {
            let commit = step(&view, &key, 16 * 1_024).expect("a step");
            assert!(
                commit.txn.when.iter().any(|(k, _)| *k == Key::Own(0)),
                "not on the term"
            );
            mod_revision += 1;
            apply(&mut view, commit, mod_revision);
            assert_eq!(machines(&view), all, "after step {mod_revision}");
            assert!(view.machines().all(|(_, m, _)| !view.is_stale(m)));
        }
    }

    /// Ends are never lost on their way from a usage record to those of the jobs.
    #[test]
    fn ends_of_a_usage_record_that_cannot_be_written_are_copied() {
        for taken in [16 * 1_024, MOST] {
            let mut view = view_of(LAYOUT);
            let mut usage = UsageRecord::default();
            let mut changes = Vec::new();
            for j in 1..=90 {
                let mut ends = Finished::default();
                ends.insert(j);
                ends.insert(100);
                usage.ends.insert(JobId(j.into()), ends);
                let content = Some(Content::Job(Box::new(job(120))));
                changes.push(Change {
                    key: Key::Job(JobId(j.into())),
                    content,
                    mod_revision: 2,
                });
            }
            changes.push(Change {
                key: Key::Usage(0),
                content: Some(Content::Usage(usage)),
                mod_revision: 2,
            });
            view.apply(changes, &mut Touched::default());
            view.advance(2);
            assert!(encode(&view.usage[0].value).unwrap().get().len() > MOST);
            let mut mod_revision = 2;
            while too_large(&view, &Key::Usage(0), MOST) {
                let commit = step(&view, &Key::Usage(0), taken).expect("a step");
                assert!(commit.txn.then.len() <= 4);
                assert!(taken > MOST || commit.txn.largest() <= MOST);
                mod_revision += 1;
                apply(&mut view, commit, mod_revision);
                for j in 1..=90 {
                    let job = &view.jobs[&JobId(j.into())];
                    assert!(
                        job.done() == 2 && job.finished(j) && job.finished(100),
                        "job {j} after step {mod_revision}"
                    );
                }
            }
        }
    }
}
