//! Jobs as the scheduler sees them.

use crate::storage::catalog::MachineType;
use crate::storage::completion_bitmap::{CHUNK, CompletionBitmap};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::resources::{Amount, is_zero};
use crate::time::Micros;
use cometlead_constraints::Rule;
use serde::{Deserialize, Serialize};

/// How urgent a job is, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Before everything else.
    #[serde(rename = "0")]
    Critical,
    /// Before ordinary work.
    #[serde(rename = "1")]
    High,
    /// Ordinary work.
    #[serde(rename = "2")]
    Standard,
    /// When there is room.
    #[serde(rename = "3")]
    Low,
}

impl Priority {
    /// How it is written in submissions and rules.
    pub fn name(self) -> &'static str {
        match self {
            Priority::Critical => "critical",
            Priority::High => "high",
            Priority::Standard => "standard",
            Priority::Low => "low",
        }
    }
}

/// What a user asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs.
    #[serde(rename = "l")]
    pub job_class: String,
    /// Team.
    #[serde(rename = "w")]
    pub team: String,
    /// True for replicas that run until cancelled.
    #[serde(rename = "v", default, skip_serializing_if = "is_false")]
    pub service: bool,
    /// True for a gang: its tasks wait for each other, so they are placed together or not at all.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Urgency.
    #[serde(rename = "u")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// What each task takes.
    #[serde(rename = "r")]
    pub need: Amount,
    /// Allowed machine types.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub single_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub anti_affinity: bool,
    /// May run on spot machines.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot_allowed: bool,
    /// Image.
    #[serde(rename = "i")]
    pub image: String,
    /// Image size, in thousandths of a GB.
    #[serde(rename = "z", default, skip_serializing_if = "is_zero")]
    pub size: u64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "g")]
    pub estimated_runtime: Micros,
    /// Checkpoint interval, zero for none.
    #[serde(rename = "k", default, skip_serializing_if = "is_no_time")]
    pub checkpoint_interval: Micros,
    /// Time to save when stopped.
    #[serde(rename = "h", default, skip_serializing_if = "is_no_time")]
    pub checkpoint_duration: Micros,
    /// Deadline from submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Jobs that must be done before any of its tasks starts, in order and each once.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
    /// Rules of its own for where it runs. Only written once every controller understands
    /// [`crate::storage::records::RULED`].
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<Rule>,
}

pub(crate) fn is_false(b: &bool) -> bool {
    !*b
}

fn is_no_time(t: &Micros) -> bool {
    *t == Micros::ZERO
}

impl JobSpec {
    /// Whether machines of this type, zone and kind may run its tasks.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_deref().is_none_or(|y| y == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|b| b.iter().any(|n| n == machine_type))
    }

    /// Whether some machine of this type could run one of its tasks.
    pub fn fits_type(&self, t: &MachineType) -> bool {
        self.need.fits(&t.room) && t.zones.iter().any(|z| self.allows(&t.name, z, false))
    }

    /// Whether all of its tasks must have room at once.
    pub fn together(&self) -> bool {
        self.service || self.gang
    }

    /// Most tasks that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.anti_affinity {
            self.task_count.div_ceil(2)
        } else {
            self.task_count
        }
    }

    /// How many chunks its finished set takes beyond the one in the job's own record.
    pub fn extra_chunks(&self) -> u32 {
        self.task_count.saturating_sub(1) / CHUNK
    }
}

/// A live job's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was asked for.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// Submission, by the time of day.
    #[serde(rename = "t")]
    pub submitted: Micros,
    /// Its user cancelled it.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Finished tasks of the first chunk.
    #[serde(
        rename = "f",
        default,
        skip_serializing_if = "CompletionBitmap::is_empty"
    )]
    pub finished: CompletionBitmap,
    /// Finished tasks of all further chunks together.
    #[serde(rename = "m", default, skip_serializing_if = "is_none")]
    pub more: u32,
    /// Further chunks that are complete, as a bitmap; they have no record any more.
    #[serde(rename = "c", default, skip_serializing_if = "is_none")]
    pub full: u32,
    /// How often one of its tasks failed.
    #[serde(rename = "e", default, skip_serializing_if = "is_none")]
    pub errors: u32,
    /// Machines on which one failed, the latest last.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<MachineId>,
}

fn is_none(n: &u32) -> bool {
    *n == 0
}

impl JobRecord {
    /// Number of finished tasks.
    pub fn done(&self) -> u32 {
        self.finished.count() + self.more
    }

    /// The same, to be written in the terser form or not.
    pub fn terse(mut self, terse: bool) -> JobRecord {
        self.finished.terse(terse);
        self
    }

    /// Remembers that a task failed on a machine.
    pub fn failed_on(&mut self, machine: MachineId) {
        const REMEMBERED: usize = 6;
        self.errors = self.errors.saturating_add(1);
        self.avoid.retain(|m| *m != machine);
        self.avoid.push(machine);
        if self.avoid.len() > REMEMBERED {
            self.avoid.remove(0);
        }
    }
}

/// How an ended job is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Cancelled rather than done.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Finished tasks.
    #[serde(rename = "n")]
    pub done: u32,
    /// When it ended, by the time of day; zero if that was not kept.
    #[serde(rename = "t", default, skip_serializing_if = "is_no_time")]
    pub at: Micros,
}
