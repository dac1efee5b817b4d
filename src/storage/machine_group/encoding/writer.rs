//! Writes machine groups.

use super::{
    AddressOffset, AttemptEntry, CompactFields, Image, Kind, PlainFields, PreemptedEntry, head,
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

    /// The position of the entry with this key, which is added if there is none.
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
    (assignment.job.0, assignment.number)
}

/// Machine type, zone, spot and address.
type KindKey<'a> = (&'a str, &'a str, bool, AddressOffset);

/// Collects the fields of a group.
struct GroupWriter<'a> {
    compact: bool,
    kinds: Table<KindKey<'a>, Kind>,
    images: Table<(&'a str, u64), Image<'a>>,
    attempts: Table<AttemptEntry, AttemptEntry>,
    machines: Vec<Vec<u64>>,
    preempted: Vec<PreemptedEntry>,
    last_machine: u64,
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
            last_machine: 0,
        }
    }

    /// Adds the attempts of all machines in order, so that each can be written as the difference from the one before.
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
        numbers.extend([id.0 - self.last_machine, kind]);
        self.add_head(record, &mut numbers);
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
        self.last_machine = id.0;
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

    /// Adds health, fenced incarnation and number of images.
    fn add_head(&self, record: &MachineRecord, numbers: &mut Vec<u64>) {
        let health = record.health as u64;
        let fenced = record.fenced_incarnation;
        let image_count = record.images.len() as u64;
        if !self.compact {
            numbers.extend([health, fenced, image_count]);
            return;
        }
        let has_fenced = u64::from(fenced > 0) << head::HAS_FENCED;
        numbers.push(health | has_fenced | image_count << head::IMAGE_COUNT);
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
    /// The text of the compact form. Machines must be in that form, and attempts in order.
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

/// The compact form of the attempts, which are in order.
fn attempt_differences(attempts: &[AttemptEntry]) -> Vec<u64> {
    let newest = attempts
        .iter()
        .map(|(_, number)| *number)
        .max()
        .unwrap_or(0);
    let mut last_job = 0;
    let differences = attempts.iter().flat_map(|(job, number)| {
        let beyond_last = job - std::mem::replace(&mut last_job, *job);
        [beyond_last, newest - number]
    });
    [newest].into_iter().chain(differences).collect()
}

/// The compact form of a machine's assignments, which are attempts and task numbers in order.
fn task_masks(tasks: &[(u64, u64)]) -> Vec<u64> {
    let mut masks: Vec<u64> = Vec::new();
    for (attempt, index) in tasks {
        match &mut masks[..] {
            [.., last_attempt, first, mask]
                if last_attempt == attempt && *index - *first < u64::from(u64::BITS) =>
            {
                *mask |= 1 << (*index - *first);
            }
            _ => masks.extend([*attempt, *index, 1]),
        }
    }
    masks
}
