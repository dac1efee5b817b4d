//! Ends in a draft: of tasks, and of jobs.

use super::{ENTRY_BYTES, Needs, SMALL_JOB, SPARE_BYTES, TransactionBuilder, size_of};
use crate::coordination::agents::Outcome;
use crate::storage::cell_state::Job;
use crate::storage::completion_bitmap::{CHUNK, CompletionBitmap};
use crate::storage::ids::{Attempt, JobId, MachineId, ShardId};
use crate::storage::job::{FinalRecord, JobSpec};
use crate::storage::records::{Assignment, Key};

impl<'a> TransactionBuilder<'a> {
    /// Clears a booking: its outcome, its room and its team's usage in one.
    pub fn release(&mut self, m: MachineId, a: Attempt, outcome: Outcome, by: ShardId) -> bool {
        let assignment = Assignment::of(a);
        let Some(at) = self.home(m) else {
            return true;
        };
        if !self
            .machine(m)
            .is_some_and(|r| r.tasks.contains(&assignment))
        {
            return true;
        }
        let id = a.task.job;
        let cell = self.cell;
        let Some(job) = cell.jobs.get(&id) else {
            return true;
        };
        let spec = job.spec();
        let k = cell.shard_of_job(id, spec);
        let counts = outcome != Outcome::Again && !job.cancelled();
        // The slice whose usage record keeps the end until the job's own is written.
        let keeper = if self.fenced { by } else { k };
        let kept = outcome == Outcome::Done && counts && self.is_kept(job, a, keeper);
        let own = counts && !kept;
        let more = if outcome == Outcome::Done {
            self.more_changes(job, a)
        } else {
            0
        };
        let (groups, conditions) = (&[at], &[Key::ShardLeader(by)]);
        let usage = (kept || !self.fenced).then_some(keeper);
        let needs = |more| Needs {
            groups,
            usage,
            job: own.then_some((id, more)),
            conditions,
        };
        // Where the end of the job has no room in the same transaction, it goes out later: see `end_done`.
        let whole = self.reserve(needs(more));
        if !whole && (more < 2 || !self.terse || !self.reserve(needs(more - 1))) {
            return false;
        }
        self.take(k, spec);
        if let Some(r) = self.machine_mut(m) {
            r.tasks.retain(|b| *b != assignment);
            r.preempted.retain(|b| *b != assignment);
        }
        if !counts {
            return true;
        }
        match (outcome, kept) {
            (Outcome::Done, true) => {
                if let Some(u) = self.usage.get_mut(&keeper) {
                    let before = u.record.ends.get(&id).map_or(0, CompletionBitmap::bytes);
                    let set = u.record.ends.entry(id).or_default();
                    set.insert(a.task.index);
                    let more = set.bytes() - before + if before == 0 { ENTRY_BYTES } else { 0 };
                    u.bytes += more;
                    self.bytes += more;
                }
            }
            (Outcome::Done, false) => self.finish(id, a.task.index, whole),
            _ => {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.record.failed_on(m);
                }
            }
        }
        true
    }

    /// A team has less booked.
    fn take(&mut self, k: ShardId, spec: &'a JobSpec) {
        if let Some(u) = self.usage.get_mut(&k).filter(|_| !self.fenced) {
            u.record
                .take(&spec.team, spec.need.cores, spec.need.accelerators);
        }
        let [_, less] = self.moved.entry(&spec.team).or_default();
        *less = (less.0 + spec.need.cores, less.1 + spec.need.accelerators);
    }

    /// Whether a task's end is kept in this slice's usage record: its job is small, goes on after it, is not
    /// written for another reason, and there is room.
    fn is_kept(&self, job: &Job, a: Attempt, keeper: ShardId) -> bool {
        let id = a.task.job;
        if job.spec().task_count > SMALL_JOB || self.jobs.contains_key(&id) {
            return false;
        }
        let ends = self.ends_of(id, job);
        let known = ends.has(a.task.index) || job.record.finished.has(a.task.index);
        let done = job.record.finished.count_with(&ends) + u32::from(!known);
        let edit = self.usage.get(&keeper);
        let bytes = edit.map_or_else(
            || size_of(&self.cell.usage[keeper].value) + SPARE_BYTES,
            |u| u.bytes,
        );
        let most = self.limits.part_bytes.min(self.limits.value_bytes);
        done < job.spec().task_count
            && bytes + ENTRY_BYTES + (SMALL_JOB / 4) as usize + SPARE_BYTES <= most
    }

    /// What usage records would keep of a job's ends.
    fn ends_of(&self, id: JobId, job: &Job) -> CompletionBitmap {
        let mut ends = job.ends.clone();
        self.usage
            .values()
            .filter_map(|u| u.record.ends.get(&id))
            .for_each(|more| ends.merge(more));
        ends
    }

    /// Changes that the completion of a task takes beyond those of its group, its team's usage and its
    /// job's record: a further chunk, and the end of the job.
    fn more_changes(&self, job: &Job, a: Attempt) -> usize {
        let edit = self.jobs.get(&a.task.job);
        let n = a.task.index / CHUNK;
        let chunk = n > 0 && edit.is_none_or(|e| !e.chunks.contains_key(&n));
        let done = edit.map_or_else(
            || {
                job.record
                    .finished
                    .count_with(&self.ends_of(a.task.job, job))
                    + job.record.more
            },
            |e| e.record.done(),
        );
        usize::from(chunk) + usize::from(done + 1 >= job.spec().task_count)
    }

    /// Notes that a task is completed. `ends`: there is room for the end of the job as well.
    fn finish(&mut self, id: JobId, index: u32, ends: bool) {
        let Some(job) = self.cell.jobs.get(&id) else {
            return;
        };
        let Some(edit) = self.jobs.get_mut(&id) else {
            return;
        };
        let n = index / CHUNK;
        if n == 0 {
            edit.record.finished.insert(index);
        } else if edit.record.full >> n & 1 == 0 {
            let chunk = edit.chunks.entry(n).or_insert_with(|| {
                job.chunks
                    .get(&n)
                    .map(|c| c.value.clone())
                    .unwrap_or_default()
            });
            if chunk.insert(index % CHUNK) {
                edit.record.more += 1;
                let size = CHUNK.min(edit.record.spec.task_count - n * CHUNK);
                if chunk.count() == size {
                    // A complete chunk needs no record, so the end of a large job is a small change.
                    edit.record.full |= 1 << n;
                }
            }
        }
        if ends && edit.record.done() >= edit.record.spec.task_count {
            edit.ended = Some(FinalRecord {
                cancelled: false,
                done: edit.record.done(),
                at: self.cell.today,
            });
        }
    }

    /// Ends a job whose tasks are all done.
    pub fn end_done(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        self.end(
            id,
            job,
            FinalRecord {
                cancelled: false,
                done: job.spec().task_count,
                at: self.cell.today,
            },
        )
    }

    fn end(&mut self, id: JobId, job: &Job, end: FinalRecord) -> bool {
        let k = self.cell.shard_of_job(id, job.spec());
        // What the usage record keeps of it goes along, if that can be written.
        let kept = (!self.fenced && self.cell.usage[k].value.ends.contains_key(&id)).then_some(k);
        let conditions = &[Key::ShardLeader(k)];
        let needs = |usage| Needs {
            usage,
            job: Some((id, 1)),
            conditions,
            ..Needs::default()
        };
        if !self.reserve(needs(kept)) && !self.reserve(needs(None)) {
            return false;
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.ended = Some(end);
        }
        true
    }

    /// Ends a cancelled job of which nothing is booked. Large ones shed their chunks first.
    pub fn end_cancelled(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        if let Some(n) = job.chunks.keys().next() {
            if self.ops() + 1 > self.limits.ops {
                return false;
            }
            self.removed_chunks.insert((id, *n));
            return true;
        }
        self.end(
            id,
            job,
            FinalRecord {
                cancelled: true,
                done: job.done(),
                at: self.cell.today,
            },
        )
    }

    /// Moves what the usage record keeps of a job's ends into the job's own record.
    pub fn settle(&mut self, id: JobId) -> bool {
        let Some(job) = self.cell.jobs.get(&id) else {
            return true;
        };
        let k = self.cell.shard_of_job(id, job.spec());
        let usage = (!self.fenced).then_some(k);
        self.reserve(Needs {
            usage,
            job: Some((id, 0)),
            conditions: &[Key::ShardLeader(k)],
            ..Needs::default()
        })
    }
}
