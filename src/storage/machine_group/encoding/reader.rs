//! Decodes machine groups.

use super::{AddressOffset, AttemptEntry, CompactFields, Kind, PlainFields, header};
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

/// Why a stored group cannot be decoded.
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

/// Decodes either form: the compact form is a string, the plain form a map.
struct GroupVisitor;

impl<'de> Visitor<'de> for GroupVisitor {
    type Value = GroupRecord;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a machine group")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<GroupRecord, E> {
        decode_compact(text).map_err(E::custom)
    }

    fn visit_map<M: MapAccess<'de>>(self, map: M) -> Result<GroupRecord, M::Error> {
        let fields = PlainFields::deserialize(MapAccessDeserializer::new(map))?;
        decode_fields(fields, false)
            .ok_or(GroupError::Reference)
            .map_err(M::Error::custom)
    }
}

fn decode_compact(text: &str) -> Result<GroupRecord, GroupError> {
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
    decode_fields(fields, true).ok_or(GroupError::Reference)
}

/// Builds the group from its fields; `None` if a number is out of range or refers to no entry of its table.
fn decode_fields(fields: PlainFields<'_>, compact: bool) -> Option<GroupRecord> {
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

/// The numbers of one machine, split by meaning.
struct MachineNumbers<'a> {
    /// Difference of the machine's number from that of the previous machine.
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
            [bits, fenced_incarnation, rest @ ..] if compact && has_fenced(*bits) => (
                bits & header::HEALTH_MASK,
                *fenced_incarnation,
                bits >> header::IMAGE_COUNT_SHIFT,
                rest,
            ),
            [bits, rest @ ..] if compact => (
                bits & header::HEALTH_MASK,
                0,
                bits >> header::IMAGE_COUNT_SHIFT,
                rest,
            ),
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

/// Whether a fenced incarnation follows this header number of the compact form.
fn has_fenced(bits: u64) -> bool {
    bits >> header::HAS_FENCED_INCARNATION_BIT & 1 == 1
}

/// A kind of machine: what several machines have in common.
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

    /// Address of the machine with this number, `Some(None)` if it has none; `None` if the number is out of range.
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
                self.assignments_from_masks(numbers.tasks)?
            } else {
                self.assignments_from_pairs(numbers.tasks)?
            },
            preempted: Vec::new(),
        })
    }

    fn assignments_from_pairs(&self, numbers: &[u64]) -> Option<Vec<Assignment>> {
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

    fn assignments_from_masks(&self, numbers: &[u64]) -> Option<Vec<Assignment>> {
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
            attempt_number: *number,
        })
    }
}

fn entry<T>(table: &[T], position: u64) -> Option<&T> {
    table.get(usize::try_from(position).ok()?)
}

/// Decodes the attempts from their compact form; `None` if a number is missing or out of range.
fn sum_attempt_differences(numbers: &[u64]) -> Option<Vec<AttemptEntry>> {
    let (largest, differences) = numbers.split_first()?;
    let mut job: u64 = 0;
    differences
        .chunks(2)
        .map(|pair| {
            let [job_difference, attempt_difference] = pair else {
                return None;
            };
            job = job.checked_add(*job_difference)?;
            Some((job, largest.checked_sub(*attempt_difference)?))
        })
        .collect()
}
