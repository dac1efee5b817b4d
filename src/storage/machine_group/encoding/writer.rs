//! Encodes machine groups.

use super::{
    AddressOffset, AttemptEntry, CompactFields, Image, Kind, PlainFields, PreemptedEntry, header,
};
use crate::storage::ids::MachineId;
use crate::storage::machine_group::{Assignment, GroupRecord, MachineRecord};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::ser::Error;
use serde::{Serialize, Serializer};
use std::collections::HashMap;
use std::hash::Hash;

impl Serialize for GroupRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut writer = GroupWriter::new(self.compact_encoding);
        if self.compact_encoding {
            writer.add_attempts_in_order(self);
        }
        for (id, record) in &self.machines {
            writer.add_machine(*id, record);
        }
        let fields = writer.finish();
        if self.compact_encoding {
            fields
                .into_compact_text()
                .map_err(S::Error::custom)?
                .serialize(serializer)
        } else {
            fields.serialize(serializer)
        }
    }
}

/// A table whose entries are numbered in the order in which they are added.
struct Table<K, V> {
    positions: HashMap<K, u64>,
    entries: Vec<V>,
}

impl<K: Hash + Eq, V> Table<K, V> {
    fn new() -> Table<K, V> {
        Table {
            positions: HashMap::new(),
            entries: Vec::new(),
        }
    }

    /// Position of the entry with this key; adds `entry` if there is none.
    fn position(&mut self, key: K, entry: impl FnOnce() -> V) -> u64 {
        let next = self.entries.len() as u64;
        let entries = &mut self.entries;
        *self.positions.entry(key).or_insert_with(|| {
            entries.push(entry());
            next
        })
    }
}

impl Table<AttemptEntry, AttemptEntry> {
    fn attempt(&mut self, assignment: &Assignment) -> u64 {
        let entry = attempt_entry(assignment);
        self.position(entry, || entry)
    }
}

fn attempt_entry(assignment: &Assignment) -> AttemptEntry {
    (assignment.job.0, assignment.attempt_number)
}

/// Machine type, zone, spot and address.
type KindKey<'a> = (&'a str, &'a str, bool, AddressOffset);

/// Collects the fields of a group to be encoded.
struct GroupWriter<'a> {
    compact: bool,
    kinds: Table<KindKey<'a>, Kind>,
    images: Table<(&'a str, u64), Image<'a>>,
    attempts: Table<AttemptEntry, AttemptEntry>,
    machines: Vec<Vec<u64>>,
    preempted: Vec<PreemptedEntry>,
    previous_machine: u64,
}

impl<'a> GroupWriter<'a> {
    fn new(compact: bool) -> GroupWriter<'a> {
        GroupWriter {
            compact,
            kinds: Table::new(),
            images: Table::new(),
            attempts: Table::new(),
            machines: Vec::new(),
            preempted: Vec::new(),
            previous_machine: 0,
        }
    }

    /// Adds the attempts of all machines in ascending order, so that each can be encoded as the difference from the
    /// previous one.
    fn add_attempts_in_order(&mut self, group: &GroupRecord) {
        let mut assignments: Vec<&Assignment> = group
            .machines
            .values()
            .flat_map(|record| record.tasks.iter().chain(&record.preempted))
            .collect();
        assignments.sort_unstable_by_key(|assignment| attempt_entry(assignment));
        for assignment in assignments {
            self.attempts.attempt(assignment);
        }
    }

    fn add_machine(&mut self, id: MachineId, record: &'a MachineRecord) {
        let kind = self.kind(id, record);
        let mut numbers = Vec::with_capacity(5 + record.images.len() + 2 * record.tasks.len());
        numbers.extend([id.0 - self.previous_machine, kind]);
        self.add_header(record, &mut numbers);
        for (name, size) in &record.images {
            let image = self
                .images
                .position((name, *size), || (name.as_ref().into(), *size));
            numbers.push(image);
        }
        self.add_tasks(record, &mut numbers);
        for assignment in &record.preempted {
            let attempt = self.attempts.attempt(assignment);
            self.preempted
                .push((id.0, attempt, assignment.index.into()));
        }
        self.previous_machine = id.0;
        self.machines.push(numbers);
    }

    fn kind(&mut self, id: MachineId, record: &'a MachineRecord) -> u64 {
        let address = address_offset(id, record);
        let key = (&*record.machine_type, &*record.zone, record.spot, address);
        self.kinds.position(key, || {
            (
                record.machine_type.to_string(),
                record.zone.to_string(),
                record.spot.into(),
                address,
            )
        })
    }

    /// Appends the health, the fenced incarnation and the number of images.
    fn add_header(&self, record: &MachineRecord, numbers: &mut Vec<u64>) {
        let health = record.health as u64;
        let fenced = record.fenced_incarnation;
        let image_count = record.images.len() as u64;
        if !self.compact {
            numbers.extend([health, fenced, image_count]);
            return;
        }
        let has_fenced_bit = u64::from(fenced > 0) << header::HAS_FENCED_INCARNATION_BIT;
        numbers.push(health | has_fenced_bit | image_count << header::IMAGE_COUNT_SHIFT);
        if fenced > 0 {
            numbers.push(fenced);
        }
    }

    fn add_tasks(&mut self, record: &MachineRecord, numbers: &mut Vec<u64>) {
        let attempts = &mut self.attempts;
        let tasks = record
            .tasks
            .iter()
            .map(|assignment| (attempts.attempt(assignment), u64::from(assignment.index)));
        if self.compact {
            let mut tasks: Vec<(u64, u64)> = tasks.collect();
            tasks.sort_unstable();
            numbers.extend(task_masks(&tasks));
        } else {
            numbers.extend(tasks.flat_map(|(attempt, index)| [attempt, index]));
        }
    }

    fn finish(self) -> PlainFields<'a> {
        PlainFields {
            kinds: self.kinds.entries,
            images: self.images.entries,
            attempts: self.attempts.entries,
            machines: self.machines,
            preempted: self.preempted,
        }
    }
}

impl PlainFields<'_> {
    /// Encodes the fields in the compact form. Machines must already be in that form, and attempts in ascending order.
    fn into_compact_text(self) -> Result<String, rmp_serde::encode::Error> {
        let fields: CompactFields<'_> = (
            self.kinds,
            self.images,
            attempt_differences(&self.attempts),
            self.machines,
            self.preempted,
        );
        Ok(URL_SAFE_NO_PAD.encode(rmp_serde::to_vec(&fields)?))
    }
}

fn address_offset(id: MachineId, record: &MachineRecord) -> AddressOffset {
    let endpoint = record.endpoint?;
    let number = i64::try_from(id.0).ok()?;
    let ip = i64::from(u32::from(*endpoint.ip()));
    Some((endpoint.port(), ip.checked_sub(number)?))
}

/// Encodes attempts, which must be in ascending order, in the compact form.
fn attempt_differences(attempts: &[AttemptEntry]) -> Vec<u64> {
    let largest = attempts
        .iter()
        .map(|(_, number)| *number)
        .max()
        .unwrap_or(0);
    let mut previous_job = 0;
    let differences = attempts.iter().flat_map(|(job, number)| {
        let job_difference = job - std::mem::replace(&mut previous_job, *job);
        [job_difference, largest - number]
    });
    [largest].into_iter().chain(differences).collect()
}

/// Encodes a machine's assignments, which are pairs of attempt and task number in ascending order, in the compact form.
fn task_masks(tasks: &[(u64, u64)]) -> Vec<u64> {
    let mut masks: Vec<u64> = Vec::new();
    for (attempt, index) in tasks {
        match &mut masks[..] {
            [.., mask_attempt, first, mask]
                if mask_attempt == attempt && *index - *first < u64::from(u64::BITS) =>
            {
                *mask |= 1 << (*index - *first);
            }
            _ => masks.extend([*attempt, *index, 1]),
        }
    }
    masks
}
