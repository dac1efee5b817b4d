//! Jobs: what their users request, and their records.

use crate::storage::catalog::MachineType;
use crate::storage::completion_bitmap::{CompletionBitmap, FIRST_CHUNK, TASKS_PER_CHUNK};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::records::stored_bytes;
use crate::storage::resources::{Amount, is_zero};
use crate::time::Micros;
use cometlead_constraints::Rule;
use serde::{Deserialize, Serialize};

/// Priority of a job, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Scheduled before everything else.
    #[serde(rename = "0")]
    Critical,
    /// Scheduled before standard jobs.
    #[serde(rename = "1")]
    High,
    /// The usual priority.
    #[serde(rename = "2")]
    Standard,
    /// Scheduled when nothing else needs the resources.
    #[serde(rename = "3")]
    Low,
}

impl Priority {
    /// Name of the priority in submissions and rules.
    pub fn name(self) -> &'static str {
        match self {
            Priority::Critical => "critical",
            Priority::High => "high",
            Priority::Standard => "standard",
            Priority::Low => "low",
        }
    }
}

/// What a user requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job class.
    #[serde(rename = "l")]
    pub job_class: String,
    /// Team.
    #[serde(rename = "w")]
    pub team: String,
    /// Whether the job is a service: its tasks are replicas that run until the job is cancelled.
    #[serde(rename = "v", default, skip_serializing_if = "is_false")]
    pub service: bool,
    /// Whether the job is a gang: its tasks wait for each other, so they are placed together or not at all.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Priority.
    #[serde(rename = "u")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Resources that each task needs.
    #[serde(rename = "r")]
    pub need: Amount,
    /// Allowed machine types; all if `None`.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; any if `None`.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub single_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub anti_affinity: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot_allowed: bool,
    /// Name of the image.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image, in thousandths of a GB.
    #[serde(rename = "z", default, skip_serializing_if = "is_zero")]
    pub image_size: u64,
    /// The user's estimate of the run time of a task.
    #[serde(rename = "g")]
    pub estimated_runtime: Micros,
    /// Interval between checkpoints; zero if the tasks take none.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero_time")]
    pub checkpoint_interval: Micros,
    /// Time that a task needs for a checkpoint when it is stopped.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero_time")]
    pub checkpoint_duration: Micros,
    /// Deadline, counted from the submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Jobs that must be done before any task of this job starts; sorted, without duplicates.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// The job's own placement rules. Only written if the record format has rules, see
    /// [`RecordFormat::has_rules`](crate::storage::records::RecordFormat::has_rules).
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Rule>,
}

/// Whether a field is omitted from the stored form, for `skip_serializing_if`.
pub(crate) fn is_false(flag: &bool) -> bool {
    !*flag
}

fn is_zero_time(time: &Micros) -> bool {
    *time == Micros::ZERO
}

fn is_zero_count(count: &u32) -> bool {
    *count == 0
}

impl JobSpec {
    /// Whether the job's tasks may run on spot or on-demand machines of this type and zone.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
    }

    /// Whether an on-demand machine of this type, in one of the type's zones, could run a task of the job.
    pub fn fits_type(&self, machine_type: &MachineType) -> bool {
        let is_allowed_in = |zone: &String| self.allows(&machine_type.name, zone, false);
        self.need.fits(&machine_type.capacity) && machine_type.zones.iter().any(is_allowed_in)
    }

    /// Whether all of the job's tasks must be able to run at the same time.
    pub fn runs_all_tasks_at_once(&self) -> bool {
        self.service || self.gang
    }

    /// Largest number of the job's tasks that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.anti_affinity {
            self.task_count.div_ceil(2)
        } else {
            self.task_count
        }
    }

    /// Number of chunks of the job's completion bitmap in addition to the one in the job's own record.
    pub fn extra_chunks(&self) -> u32 {
        self.task_count.saturating_sub(1) / TASKS_PER_CHUNK
    }

    /// Number of tasks in a chunk of the job's completion bitmap.
    pub fn tasks_in_chunk(&self, chunk: u32) -> u32 {
        let first_task = chunk * TASKS_PER_CHUNK;
        self.task_count
            .saturating_sub(first_task)
            .min(TASKS_PER_CHUNK)
    }

    /// Number of bytes by which the job's record may grow: the completion bitmap, counters and the machines to avoid.
    pub fn max_growth_bytes(&self) -> usize {
        const MAX_BITMAP_BYTES: usize = 1_600;
        const TASKS_PER_BYTE: usize = 4;
        const AVOIDED_MACHINES_BYTES: usize = 200;
        MAX_BITMAP_BYTES.min(self.task_count as usize / TASKS_PER_BYTE + AVOIDED_MACHINES_BYTES)
    }
}

/// The record of a live job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the user requested.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// When the job was submitted, by the time of day.
    #[serde(rename = "t")]
    pub submitted: Micros,
    /// Whether the user cancelled the job.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Completion bitmap of the first chunk of tasks.
    #[serde(
        rename = "f",
        default,
        skip_serializing_if = "CompletionBitmap::is_empty"
    )]
    pub finished: CompletionBitmap,
    /// Number of finished tasks in all further chunks together, and in the first one if it is detached.
    #[serde(rename = "m", default, skip_serializing_if = "is_zero_count")]
    pub finished_in_chunks: u32,
    /// Further chunks of which all tasks are finished, as a bitmap by chunk number; they no longer have records. The first
    /// chunk is among them only if it is detached.
    #[serde(rename = "c", default, skip_serializing_if = "is_zero_count")]
    pub complete_chunks: u32,
    /// Number of failures of its tasks.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero_count")]
    pub failures: u32,
    /// Machines on which a task failed, the latest last.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_machines: Vec<MachineId>,
}

impl JobRecord {
    /// Number of finished tasks.
    pub fn finished_count(&self) -> u32 {
        self.finished.count() + self.finished_in_chunks
    }

    /// The record of a job that was just submitted.
    pub fn new(spec: JobSpec, submitted: Micros) -> JobRecord {
        JobRecord {
            spec,
            submitted,
            cancelled: false,
            finished: CompletionBitmap::default(),
            finished_in_chunks: 0,
            complete_chunks: 0,
            failures: 0,
            failed_machines: Vec::new(),
        }
    }

    /// Whether a chunk that has no place in this record is complete.
    pub fn is_chunk_complete(&self, chunk: u32) -> bool {
        self.complete_chunks >> chunk & 1 == 1
    }

    /// Whether all chunks are complete, the first one too, without any other record.
    pub fn has_only_complete_chunks(&self) -> bool {
        (FIRST_CHUNK..=self.spec.extra_chunks()).all(|chunk| self.is_chunk_complete(chunk))
    }

    /// Marks a chunk that has no place in this record as complete.
    pub fn set_chunk_complete(&mut self, chunk: u32) {
        self.complete_chunks |= 1 << chunk;
    }

    /// Takes the completions of the first chunk out of the record; they are counted like those of further chunks.
    pub fn detach_first_chunk(&mut self) -> CompletionBitmap {
        let first_chunk = std::mem::take(&mut self.finished);
        self.finished_in_chunks += first_chunk.count();
        if first_chunk.count() == self.spec.tasks_in_chunk(FIRST_CHUNK) {
            self.set_chunk_complete(FIRST_CHUNK);
        }
        first_chunk
    }

    /// The same record; `compact_encoding`: whether its completion bitmap is to be written in the compact encoding.
    pub fn with_compact_encoding(mut self, compact_encoding: bool) -> JobRecord {
        self.finished.set_compact_encoding(compact_encoding);
        self
    }

    /// Drops the jobs that the job depends on, to make the record smaller. Only for a job that does not wait for them
    /// any more: they are known to be done, or the job itself is cancelled.
    pub fn drop_dependencies(&mut self) {
        self.spec.dependencies = Vec::new();
    }

    /// Marks the job as cancelled. A record that would have more than `max_bytes`, since it was written under larger limits,
    /// loses what a cancelled job needs no more, one part after the other until it fits: the names by which placement rules
    /// know its tasks that still run go last. `recorded_elsewhere`: the finished tasks that other records have.
    pub fn cancel_within(&mut self, max_bytes: usize, recorded_elsewhere: &CompletionBitmap) {
        self.cancelled = true;
        self.reduce_to(max_bytes, recorded_elsewhere);
    }

    /// Marks all tasks as finished in this record alone. One that would have more than `max_bytes` loses what a job
    /// without tasks to run needs no more.
    pub fn finish_within(&mut self, max_bytes: usize) {
        self.finished = CompletionBitmap::default();
        self.finished_in_chunks = self.spec.task_count;
        for chunk in FIRST_CHUNK..=self.spec.extra_chunks() {
            self.set_chunk_complete(chunk);
        }
        self.reduce_to(max_bytes, &CompletionBitmap::default());
    }

    /// Drops what a job of which no task starts any more does not need, until the record has at most `max_bytes`.
    fn reduce_to(&mut self, max_bytes: usize, recorded_elsewhere: &CompletionBitmap) {
        let reductions: [&dyn Fn(&mut JobRecord); 5] = [
            &JobRecord::drop_dependencies,
            &|record| record.count_finished_tasks(recorded_elsewhere),
            &JobRecord::drop_placement,
            &|record| record.spec.image.clear(),
            &|record| record.spec.job_class.clear(),
        ];
        for reduce in reductions {
            if stored_bytes(self) <= max_bytes {
                return;
            }
            reduce(self);
        }
    }

    /// Replaces the completion bitmap by the number of its tasks.
    fn count_finished_tasks(&mut self, recorded_elsewhere: &CompletionBitmap) {
        let finished = self.finished.union_count(recorded_elsewhere);
        self.finished_in_chunks += finished - recorded_elsewhere.count();
        self.finished = CompletionBitmap::default();
    }

    /// Drops what only matters for placing tasks of the job.
    fn drop_placement(&mut self) {
        self.spec.rules = Vec::new();
        self.spec.machine_types = None;
        self.spec.zone = None;
        self.failed_machines = Vec::new();
    }

    /// Largest number of machines that are recorded as having failed a task of the job.
    const MAX_FAILED_MACHINES: usize = 6;

    /// Records that a task failed on a machine.
    pub fn record_failure_on(&mut self, machine: MachineId) {
        self.failures = self.failures.saturating_add(1);
        self.failed_machines.retain(|other| *other != machine);
        self.failed_machines.push(machine);
        if self.failed_machines.len() > Self::MAX_FAILED_MACHINES {
            self.failed_machines.remove(0);
        }
    }
}

/// The record of an ended job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Whether the job was cancelled; otherwise it is done.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Number of finished tasks.
    #[serde(rename = "n")]
    pub done: u32,
    /// When the job ended, by the time of day; zero if that was not stored.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero_time")]
    pub ended_at: Micros,
}

#[cfg(test)]
mod tests;
