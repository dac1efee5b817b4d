//! Machine groups: the records that hold machines and their assignments.
//!
//! Every change of a group is sent as a whole to every controller, and the store limits the size of a value. So the
//! stored form is as small as possible, see `encoding`, and the size of a group is estimated before anything is
//! added to it.

mod encoding;

use crate::storage::ids::{Attempt, JobId, MachineId, TaskId};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// An attempt at a task that is assigned to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// The job.
    pub job: JobId,
    /// Number of the task within the job.
    pub index: u32,
    /// Number of the attempt.
    pub number: u64,
}

impl Assignment {
    /// The assignment of an attempt.
    pub fn of(attempt: Attempt) -> Assignment {
        Assignment {
            job: attempt.task.job,
            index: attempt.task.index,
            number: attempt.number,
        }
    }

    /// The attempt that is assigned.
    pub fn attempt(&self) -> Attempt {
        Attempt {
            task: TaskId {
                job: self.job,
                index: self.index,
            },
            number: self.number,
        }
    }
}

/// What a machine may still be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineHealth {
    /// May be assigned tasks.
    #[default]
    Schedulable,
    /// Is assigned no further tasks: the cloud will reclaim it, or it is faulty.
    Cordoned,
    /// Its heartbeats are missing: it is assigned no tasks until the next one.
    Unreachable,
    /// Its release may have been requested: it is never used again.
    Decommissioning,
}

impl MachineHealth {
    /// All states, by the number that stands for them in the stored form.
    const ALL: [MachineHealth; 4] = [
        MachineHealth::Schedulable,
        MachineHealth::Cordoned,
        MachineHealth::Unreachable,
        MachineHealth::Decommissioning,
    ];
}

/// A machine and its assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// Machine type.
    pub machine_type: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The agent's address, if it is an IPv4 address with a port.
    pub endpoint: Option<SocketAddrV4>,
    /// What it may be used for.
    pub health: MachineHealth,
    /// Agent incarnations up to this one are fenced off for good, whatever the agent itself assumes.
    pub fenced_incarnation: u64,
    /// Images in its cache with their sizes in thousandths of a GB, the most recently used last.
    pub images: Vec<(Arc<str>, u64)>,
    /// Assignments.
    pub tasks: Vec<Assignment>,
    /// Those of them that are preempted: they are being stopped, and their resources are assigned to others already.
    pub preempted: Vec<Assignment>,
}

impl MachineRecord {
    /// Most images remembered for one machine.
    const IMAGES: usize = 8;

    /// Remembers that the machine has, or soon will have, an image. `size` and `cache`, the size of the machine's
    /// cache, are in thousandths of a GB.
    pub fn use_image(&mut self, name: &str, size: u64, cache: u64) {
        let is_latest = |(latest, _): &(Arc<str>, u64)| **latest == *name;
        if self.images.last().is_some_and(is_latest) {
            return;
        }
        self.images.retain(|(image, _)| **image != *name);
        self.images.push((name.into(), size));
        let mut total: u64 = self.images.iter().map(|(_, size)| size).sum();
        while self.images.len() > 1 && (self.images.len() > Self::IMAGES || total > cache) {
            total -= self.images.remove(0).1;
        }
    }

    /// Forgets all but the `kept` images that were used last.
    pub fn forget_images(&mut self, kept: usize) {
        self.images.drain(..self.images.len().saturating_sub(kept));
    }
}

/// Some of the machines of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Machines, by number.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Whether it is to be written in the compact form: only if every controller can read it.
    pub compact_encoding: bool,
}

/// Upper bounds and estimates of the size of the stored form, in either form.
impl GroupRecord {
    /// Most bytes that one more assignment can add.
    pub fn assignment_bytes(attempt: &Attempt, image: &str, size: u64) -> usize {
        const ATTEMPT_PUNCTUATION: usize = 4;
        const IMAGE_PUNCTUATION: usize = 6;
        const IMAGE_REFERENCE: usize = 4;
        const ATTEMPT_REFERENCE: usize = 5;
        const SEPARATOR: usize = 1;
        // Only the compact form has a mask: up to twenty digits beside the task's number, and a separator.
        const MASK: usize = 21;

        let attempt_entry =
            digits(attempt.task.job.0) + digits(attempt.number) + ATTEMPT_PUNCTUATION;
        let image_entry = image.len() + digits(size) + IMAGE_PUNCTUATION + IMAGE_REFERENCE;
        let task = digits(attempt.task.index.into()) + SEPARATOR + MASK;
        attempt_entry + image_entry + ATTEMPT_REFERENCE + task
    }

    /// Most bytes that marking one more assignment as preempted can add: the numbers of the machine, the attempt and
    /// the task, and punctuation.
    pub const PREEMPTED_BYTES: usize = 20 + 5 + 10 + 5;

    /// Most bytes that a machine without assignments can add.
    pub fn machine_bytes(id: MachineId, record: &MachineRecord) -> usize {
        const KIND_PUNCTUATION: usize = 10;
        const SPOT: usize = 2;
        const PORT: usize = 6;
        const ADDRESS_OFFSET: usize = 21;
        const KIND_REFERENCE: usize = 6;
        const HEALTH_AND_IMAGE_COUNT: usize = 8;

        let kind = record.machine_type.len()
            + record.zone.len()
            + KIND_PUNCTUATION
            + SPOT
            + PORT
            + ADDRESS_OFFSET;
        let machine = digits(id.0)
            + KIND_REFERENCE
            + digits(record.fenced_incarnation)
            + HEALTH_AND_IMAGE_COUNT;
        kind + machine
    }

    /// About as many bytes as a machine with this many assignments takes on average, since names are shared between
    /// machines. `compact_encoding`: in the compact form, in which tasks of one attempt share their entry.
    pub fn estimated_machine_bytes(assignments: u64, compact_encoding: bool) -> usize {
        const COMPACT_MACHINE: usize = 16;
        const COMPACT_ASSIGNMENT: usize = 4;
        const MACHINE: usize = 20;
        const IMAGE: usize = 4;
        const ASSIGNMENT: usize = 12;

        let assignments = assignments as usize;
        if compact_encoding {
            COMPACT_MACHINE + COMPACT_ASSIGNMENT * assignments
        } else {
            MACHINE + IMAGE * MachineRecord::IMAGES / 2 + ASSIGNMENT * assignments
        }
    }
}

/// Decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

#[cfg(test)]
mod tests;
