//! Machine groups: the records that hold machines and their assignments.
//!
//! With every change of a group, its whole record is sent to every controller, and the store limits the size of a
//! value. So the stored form is as small as possible, see `encoding`, and the size of a group is estimated before
//! anything is added to it.

mod encoding;

use crate::storage::ids::{Attempt, JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
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
    pub attempt_number: u64,
}

impl Assignment {
    /// The assignment of this attempt.
    pub fn of(attempt: Attempt) -> Assignment {
        Assignment {
            job: attempt.task.job,
            index: attempt.task.index,
            attempt_number: attempt.number,
        }
    }

    /// The attempt that is assigned.
    pub fn attempt(&self) -> Attempt {
        Attempt {
            task: TaskId {
                job: self.job,
                index: self.index,
            },
            number: self.attempt_number,
        }
    }
}

/// Whether a machine may be assigned tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineHealth {
    /// May be assigned tasks.
    #[default]
    Schedulable,
    /// Is assigned no further tasks: the cloud will reclaim it, or it is quarantined.
    Cordoned,
    /// Its heartbeats are missing: it is assigned no tasks until the next heartbeat.
    Unreachable,
    /// Its release may have been requested: it is never used again.
    Decommissioning,
}

impl MachineHealth {
    /// All states, in the order of the numbers that stand for them in the stored form.
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
    /// Whether it may be assigned tasks.
    pub health: MachineHealth,
    /// Agent incarnations up to this one are fenced off permanently, even if the agent considers itself valid.
    pub fenced_incarnation: u64,
    /// Images in the machine's cache with their sizes in thousandths of a GB, the most recently used last.
    pub images: Vec<(Arc<str>, u64)>,
    /// Assignments.
    pub tasks: Vec<Assignment>,
    /// Assignments that are preempted: their tasks are being stopped, and their resources are already assigned to other
    /// tasks.
    pub preempted: Vec<Assignment>,
}

impl MachineRecord {
    /// Largest number of images recorded for one machine.
    const MAX_IMAGES: usize = 8;

    /// Records that the machine has, or soon will have, an image. `size` and `cache`, the sizes of the image and of the
    /// machine's cache, are in thousandths of a GB.
    pub fn record_image_use(&mut self, name: &str, size: u64, cache: u64) {
        let is_latest = |(latest, _): &(Arc<str>, u64)| **latest == *name;
        if self.images.last().is_some_and(is_latest) {
            return;
        }
        self.images.retain(|(image, _)| **image != *name);
        self.images.push((name.into(), size));
        let mut total: u64 = self.images.iter().map(|(_, size)| size).sum();
        while self.images.len() > 1 && (self.images.len() > Self::MAX_IMAGES || total > cache) {
            total -= self.images.remove(0).1;
        }
    }

    /// Removes all but the `kept` most recently used images from the record.
    pub fn truncate_images(&mut self, kept: usize) {
        self.images.drain(..self.images.len().saturating_sub(kept));
    }
}

/// Some of the machines of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Machines, by number.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Whether the group is written in the compact form, which every controller must be able to read then.
    pub compact_encoding: bool,
}

/// Upper bounds and estimates of the size of the stored form, plain or compact.
impl GroupRecord {
    /// Upper bound of the bytes by which the attempts in the record grow when one with this number is added. The compact
    /// form has the difference of each from the largest number.
    pub fn max_renumbering_bytes(&self, number: u64) -> usize {
        if !self.compact_encoding {
            return 0;
        }
        let attempts = || {
            let assignments = self
                .machines
                .values()
                .flat_map(|record| record.tasks.iter().chain(&record.preempted));
            assignments.map(|assignment| (assignment.job, assignment.attempt_number))
        };
        let largest = attempts().map(|(_, number)| number).max();
        let Some(largest) = largest.filter(|largest| *largest < number) else {
            return 0;
        };
        let distinct: BTreeSet<(JobId, u64)> = attempts().collect();
        let growth: usize = distinct
            .iter()
            .map(|(_, attempt)| packed_bytes(number - attempt) - packed_bytes(largest - attempt))
            .sum();
        // Three bytes are written as four characters.
        (growth * 4).div_ceil(3)
    }

    /// Upper bound of the bytes that one more assignment adds.
    pub fn max_assignment_bytes(attempt: &Attempt, image: &str, size: u64) -> usize {
        const ATTEMPT_PUNCTUATION_BYTES: usize = 4;
        const IMAGE_PUNCTUATION_BYTES: usize = 6;
        const IMAGE_REFERENCE_BYTES: usize = 4;
        const ATTEMPT_REFERENCE_BYTES: usize = 5;
        const SEPARATOR_BYTES: usize = 1;
        // Only the compact form has a mask: up to twenty digits in addition to the task's number, and a separator.
        const MASK_BYTES: usize = 21;

        let attempt_entry_bytes = digit_count(attempt.task.job.0)
            + digit_count(attempt.number)
            + ATTEMPT_PUNCTUATION_BYTES;
        let image_entry_bytes =
            image.len() + digit_count(size) + IMAGE_PUNCTUATION_BYTES + IMAGE_REFERENCE_BYTES;
        let task = digit_count(attempt.task.index.into()) + SEPARATOR_BYTES + MASK_BYTES;
        attempt_entry_bytes + image_entry_bytes + ATTEMPT_REFERENCE_BYTES + task
    }

    /// Upper bound of the bytes that marking one more assignment as preempted adds: the numbers of the machine, the
    /// attempt and the task, and punctuation.
    pub const MAX_PREEMPTED_ENTRY_BYTES: usize = 20 + 5 + 10 + 5;

    /// Upper bound of the bytes that a machine without assignments adds.
    pub fn max_machine_bytes(id: MachineId, record: &MachineRecord) -> usize {
        const KIND_PUNCTUATION_BYTES: usize = 10;
        const SPOT_BYTES: usize = 2;
        const PORT_BYTES: usize = 6;
        const ADDRESS_OFFSET_BYTES: usize = 21;
        const KIND_REFERENCE_BYTES: usize = 6;
        const HEALTH_AND_IMAGE_COUNT_BYTES: usize = 8;

        let kind = record.machine_type.len()
            + record.zone.len()
            + KIND_PUNCTUATION_BYTES
            + SPOT_BYTES
            + PORT_BYTES
            + ADDRESS_OFFSET_BYTES;
        let machine = digit_count(id.0)
            + KIND_REFERENCE_BYTES
            + digit_count(record.fenced_incarnation)
            + HEALTH_AND_IMAGE_COUNT_BYTES;
        kind + machine
    }

    /// Estimated average number of bytes of a machine with this many assignments. It is less than the upper bounds
    /// since machines share the entries of names. `compact_encoding`: in the compact form, in which tasks of one job
    /// with the same attempt number share an entry.
    pub fn estimated_machine_bytes(assignments: u64, compact_encoding: bool) -> usize {
        const COMPACT_MACHINE_BYTES: usize = 16;
        const COMPACT_ASSIGNMENT_BYTES: usize = 4;
        const MACHINE_BYTES: usize = 20;
        const IMAGE_BYTES: usize = 4;
        const ASSIGNMENT_BYTES: usize = 12;

        let assignments = assignments as usize;
        if compact_encoding {
            COMPACT_MACHINE_BYTES + COMPACT_ASSIGNMENT_BYTES * assignments
        } else {
            MACHINE_BYTES
                + IMAGE_BYTES * MachineRecord::MAX_IMAGES / 2
                + ASSIGNMENT_BYTES * assignments
        }
    }
}

/// Bytes of a number in the compact form, before they are written as text.
fn packed_bytes(number: u64) -> usize {
    match number {
        0..0x80 => 1,
        0x80..0x100 => 2,
        0x100..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    }
}

/// Number of decimal digits of a number.
fn digit_count(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

#[cfg(test)]
mod tests;
