//! Reads machine groups.

use super::{AddressOffset, AttemptEntry, CompactFields, Kind, PlainFields, head};
use crate::storage::ids::{JobId, MachineId};
use crate::storage::machine_group::{Assignment, GroupRecord, MachineHealth, MachineRecord};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Why a stored group cannot be read.
#[derive(Debug, thiserror::Error)]
enum GroupError {
    #[error("compact machine group is not base64 text")]
    Base64(#[from] base64::DecodeError),
    #[error("compact machine group is not MessagePack of its fields: {0}")]
    MessagePack(#[from] rmp_serde::decode::Error),
    #[error("list of attempts of a compact machine group is incomplete or out of range")]
    Attempts,
    #[error("a number in the machine group is out of range or refers to no entry")]
    Reference,
}

impl<'de> Deserialize<'de> for GroupRecord {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(GroupVisitor)
    }
}

/// Reads either form: the compact one is a string, the plain one a map.
struct GroupVisitor;

impl<'de> Visitor<'de> for GroupVisitor {
    type Value = GroupRecord;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a machine group")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<GroupRecord, E> {
        read_compact(text).map_err(E::custom)
    }

    fn visit_map<M: MapAccess<'de>>(self, map: M) -> Result<GroupRecord, M::Error> {
        let fields = PlainFields::deserialize(MapAccessDeserializer::new(map))?;
        read_fields(fields, false)
            .ok_or(GroupError::Reference)
            .map_err(M::Error::custom)
    }
}

fn read_compact(text: &str) -> Result<GroupRecord, GroupError> {
    let bytes = URL_SAFE_NO_PAD.decode(text)?;
    let (kinds, images, attempts, machines, preempted): CompactFields<'_> =
        rmp_serde::from_slice(&bytes)?;
    let fields = PlainFields {
        kinds,
        images,
        attempts: sum_attempt_differences(&attempts).ok_or(GroupError::Attempts)?,
        machines,
        preempted,
    };
    read_fields(fields, true).ok_or(GroupError::Reference)
}

/// The group of these fields; `None` if a number is out of range or refers to no entry of its table.
fn read_fields(fields: PlainFields<'_>, compact: bool) -> Option<GroupRecord> {
    let tables = Tables::new(&fields);
    let mut machines = BTreeMap::new();
    let mut number: u64 = 0;
    for numbers in &fields.machines {
        let numbers = MachineNumbers::split(numbers, compact)?;
        number = number.checked_add(numbers.difference)?;
        machines.insert(
            MachineId(number),
            tables.machine(number, &numbers, compact)?,
        );
    }
    for (machine, attempt, index) in &fields.preempted {
        machines
            .get_mut(&MachineId(*machine))?
            .preempted
            .push(tables.assignment(*attempt, *index)?);
    }
    Some(GroupRecord {
        machines,
        compact_encoding: compact,
    })
}

/// The numbers of one machine.
struct MachineNumbers<'a> {
    /// The machine's number less the one before.
    difference: u64,
    kind: u64,
    health: u64,
    fenced_incarnation: u64,
    images: &'a [u64],
    tasks: &'a [u64],
}

impl MachineNumbers<'_> {
    fn split(numbers: &[u64], compact: bool) -> Option<MachineNumbers<'_>> {
        let [difference, kind, rest @ ..] = numbers else {
            return None;
        };
        let (health, fenced_incarnation, image_count, rest) = match rest {
            [head, fenced_incarnation, rest @ ..] if compact && has_fenced(*head) => (
                head & head::HEALTH,
                *fenced_incarnation,
                head >> head::IMAGE_COUNT,
                rest,
            ),
            [head, rest @ ..] if compact => {
                (head & head::HEALTH, 0, head >> head::IMAGE_COUNT, rest)
            }
            [health, fenced_incarnation, image_count, rest @ ..] if !compact => {
                (*health, *fenced_incarnation, *image_count, rest)
            }
            _ => return None,
        };
        let (images, tasks) = rest.split_at_checked(usize::try_from(image_count).ok()?)?;
        Some(MachineNumbers {
            difference: *difference,
            kind: *kind,
            health,
            fenced_incarnation,
            images,
            tasks,
        })
    }
}

/// Whether a fenced incarnation follows this number of the compact form.
fn has_fenced(head: u64) -> bool {
    head >> head::HAS_FENCED & 1 == 1
}

/// What several machines have in common.
struct SharedKind {
    machine_type: Arc<str>,
    zone: Arc<str>,
    spot: bool,
    address: AddressOffset,
}

impl SharedKind {
    fn new((machine_type, zone, spot, address): &Kind) -> SharedKind {
        SharedKind {
            machine_type: machine_type.as_str().into(),
            zone: zone.as_str().into(),
            spot: *spot == 1,
            address: *address,
        }
    }

    /// The address of the machine with this number.
    fn endpoint(&self, machine: u64) -> Option<Option<SocketAddrV4>> {
        let Some((port, offset)) = self.address else {
            return Some(None);
        };
        let ip = offset.checked_add(i64::try_from(machine).ok()?)?;
        let ip = u32::try_from(ip).ok()?;
        Some(Some(SocketAddrV4::new(ip.into(), port)))
    }
}

/// The tables that machines refer to.
struct Tables<'a> {
    kinds: Vec<SharedKind>,
    images: Vec<(Arc<str>, u64)>,
    attempts: &'a [AttemptEntry],
}

impl<'a> Tables<'a> {
    fn new(fields: &'a PlainFields<'_>) -> Tables<'a> {
        let images = fields.images.iter();
        Tables {
            kinds: fields.kinds.iter().map(SharedKind::new).collect(),
            images: images
                .map(|(name, size)| (Arc::from(&**name), *size))
                .collect(),
            attempts: &fields.attempts,
        }
    }

    fn machine(
        &self,
        number: u64,
        numbers: &MachineNumbers<'_>,
        compact: bool,
    ) -> Option<MachineRecord> {
        let kind = entry(&self.kinds, numbers.kind)?;
        let images = numbers
            .images
            .iter()
            .map(|image| entry(&self.images, *image).cloned());
        Some(MachineRecord {
            machine_type: Arc::clone(&kind.machine_type),
            zone: Arc::clone(&kind.zone),
            spot: kind.spot,
            endpoint: kind.endpoint(number)?,
            health: *entry(&MachineHealth::ALL, numbers.health)?,
            fenced_incarnation: numbers.fenced_incarnation,
            images: images.collect::<Option<_>>()?,
            tasks: if compact {
                self.tasks_of_masks(numbers.tasks)?
            } else {
                self.tasks_of_pairs(numbers.tasks)?
            },
            preempted: Vec::new(),
        })
    }

    fn tasks_of_pairs(&self, numbers: &[u64]) -> Option<Vec<Assignment>> {
        numbers
            .chunks(2)
            .map(|pair| {
                let [attempt, index] = pair else {
                    return None;
                };
                self.assignment(*attempt, *index)
            })
            .collect()
    }

    fn tasks_of_masks(&self, numbers: &[u64]) -> Option<Vec<Assignment>> {
        let mut tasks = Vec::new();
        for triple in numbers.chunks(3) {
            let [attempt, first, mask] = triple else {
                return None;
            };
            for bit in (0..u64::from(u64::BITS)).filter(|bit| mask >> bit & 1 == 1) {
                tasks.push(self.assignment(*attempt, first.checked_add(bit)?)?);
            }
        }
        Some(tasks)
    }

    fn assignment(&self, attempt: u64, index: u64) -> Option<Assignment> {
        let (job, number) = entry(self.attempts, attempt)?;
        Some(Assignment {
            job: JobId(*job),
            index: u32::try_from(index).ok()?,
            number: *number,
        })
    }
}

fn entry<T>(table: &[T], position: u64) -> Option<&T> {
    table.get(usize::try_from(position).ok()?)
}

/// The attempts of their compact form; `None` if a number is missing or out of range.
fn sum_attempt_differences(numbers: &[u64]) -> Option<Vec<AttemptEntry>> {
    let (newest, differences) = numbers.split_first()?;
    let mut job: u64 = 0;
    differences
        .chunks(2)
        .map(|pair| {
            let [beyond_last, before_newest] = pair else {
                return None;
            };
            job = job.checked_add(*beyond_last)?;
            Some((job, newest.checked_sub(*before_newest)?))
        })
        .collect()
}
