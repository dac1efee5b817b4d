//! Groups: the records that hold machines and their bookings, and how they are written.
//!
//! Every change of a group is sent whole to every controller, and the store bounds a value's size,
//! so the written form is terse: types, images and attempts are named once for the whole record,
//! and machines refer to them by number.

use crate::storage::ids::{Attempt, JobId, MachineId, TaskId};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A task's place: job number, task number, attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment(pub u64, pub u32, pub u64);

impl Assignment {
    /// The booking of an attempt.
    pub fn of(a: Attempt) -> Assignment {
        Assignment(a.task.job.0, a.task.index, a.number)
    }

    /// The attempt that it books.
    pub fn attempt(&self) -> Attempt {
        Attempt {
            task: TaskId {
                job: JobId(self.0),
                index: self.1,
            },
            number: self.2,
        }
    }
}

/// What a machine may still be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineHealth {
    /// Takes bookings.
    #[default]
    Schedulable,
    /// Takes no further bookings: the cloud will take it, or it is faulty.
    Cordoned,
    /// Silent: takes no bookings until it is heard again.
    Unreachable,
    /// A release may have been sent: unusable for ever.
    Decommissioning,
}

impl MachineHealth {
    const ALL: [MachineHealth; 4] = [
        MachineHealth::Schedulable,
        MachineHealth::Cordoned,
        MachineHealth::Unreachable,
        MachineHealth::Decommissioning,
    ];
}

/// A machine and its bookings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// Type.
    pub machine_type: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Spot.
    pub spot: bool,
    /// The worker's address, if it is a plain one.
    pub endpoint: Option<SocketAddrV4>,
    /// What it may be used for.
    pub health: MachineHealth,
    /// Sessions up to this one are over for ever, whatever their worker believes.
    pub fenced_incarnation: u64,
    /// Images that it fetched, the most recently used last, with their sizes.
    pub images: Vec<(Arc<str>, u64)>,
    /// Bookings.
    pub tasks: Vec<Assignment>,
    /// Those of them that are to be stopped for others, which have their room already.
    pub preempted: Vec<Assignment>,
}

impl MachineRecord {
    /// Most images remembered for one machine.
    const IMAGES: usize = 8;

    /// Remembers that the machine has, or soon will have, an image.
    pub fn use_image(&mut self, name: &str, size: u64, cache: u64) {
        if self.images.last().is_some_and(|(n, _)| **n == *name) {
            return;
        }
        self.images.retain(|(n, _)| **n != *name);
        self.images.push((name.into(), size));
        let mut total: u64 = self.images.iter().map(|(_, s)| s).sum();
        while self.images.len() > 1 && (self.images.len() > Self::IMAGES || total > cache) {
            total -= self.images.remove(0).1;
        }
    }

    /// Forgets all but the images that it used last.
    pub fn forget_images(&mut self, but: usize) {
        self.images.drain(..self.images.len().saturating_sub(but));
    }

    /// What the address adds to the machine's number; the same for most machines of a cloud.
    fn address(&self, id: MachineId) -> Address {
        let at = self.endpoint?;
        let id = i64::try_from(id.0).ok()?;
        Some((at.port(), i64::from(u32::from(*at.ip())).checked_sub(id)?))
    }
}

/// Some of the machines of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// By number.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// It is to be written in the terser form: only where every reader understands it.
    pub terse: bool,
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

impl GroupRecord {
    /// Most bytes that one more booking can add.
    pub fn assignment_bytes(a: &Attempt, image: &str, size: u64) -> usize {
        // The attempt's entry, the image's, and the machine's references to both.
        let attempt = digits(a.task.job.0) + digits(a.number) + 4;
        let image = image.len() + digits(size) + 6 + 4;
        // In the terser form a mask of up to twenty digits stands beside the task's number.
        attempt + image + 5 + digits(a.task.index.into()) + 1 + 21
    }

    /// Most bytes that marking one more booking as preempted can add.
    pub const PREEMPTED_BYTES: usize = 20 + 5 + 10 + 5;

    /// Most bytes that an empty machine can add.
    pub fn machine_bytes(id: MachineId, r: &MachineRecord) -> usize {
        let kind = r.machine_type.len() + r.zone.len() + 10 + 2 + 6 + 21;
        kind + digits(id.0) + 6 + digits(r.fenced_incarnation) + 8
    }

    /// About as many bytes as a machine takes with this many bookings, once names are shared. In the
    /// terser form tasks of one attempt share their entry.
    pub fn usual_bytes(assignments: u64, terse: bool) -> usize {
        let assignments = assignments as usize;
        if terse {
            16 + 4 * assignments
        } else {
            20 + 4 * MachineRecord::IMAGES / 2 + 12 * assignments
        }
    }
}

/// Type, zone, spot (0 or 1), and port and offset of the address.
type Kind = (String, String, u8, Address);
type Address = Option<(u16, i64)>;

#[derive(Serialize, Deserialize)]
struct Wire<'a> {
    /// Kinds of machines.
    #[serde(rename = "k")]
    k: Vec<Kind>,
    /// Images with their sizes.
    #[serde(rename = "i", borrow)]
    i: Vec<(std::borrow::Cow<'a, str>, u64)>,
    /// Attempts: job and number.
    #[serde(rename = "a")]
    a: Vec<(u64, u64)>,
    /// Machines: number (less the one before), kind, fitness, sessions that are over, how many
    /// images, the images, then attempt and task number of each booking.
    #[serde(rename = "m")]
    m: Vec<Vec<u64>>,
    /// Preempted bookings: machine, attempt, task number.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    p: Vec<(u64, u64, u64)>,
}

/// Numbers things in the order in which they come.
struct Numbered<K, V> {
    of: HashMap<K, u64>,
    all: Vec<V>,
}

impl<K: std::hash::Hash + Eq, V> Numbered<K, V> {
    fn new() -> Numbered<K, V> {
        Numbered {
            of: HashMap::new(),
            all: Vec::new(),
        }
    }

    fn number(&mut self, key: K, value: impl FnOnce() -> V) -> u64 {
        let next = self.all.len() as u64;
        let all = &mut self.all;
        *self.of.entry(key).or_insert_with(|| {
            all.push(value());
            next
        })
    }
}

impl Serialize for GroupRecord {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut kinds = Numbered::new();
        let mut images = Numbered::new();
        let mut attempts = Numbered::new();
        if self.terse {
            // In order, so that each can be written as what it is beyond the one before.
            let assignments = self
                .machines
                .values()
                .flat_map(|r| r.tasks.iter().chain(&r.preempted));
            let mut all: Vec<(u64, u64)> = assignments.map(|b| (b.0, b.2)).collect();
            all.sort_unstable();
            all.into_iter().for_each(|a| {
                attempts.number(a, || a);
            });
        }
        let mut machines = Vec::with_capacity(self.machines.len());
        let mut preempted = Vec::new();
        let mut last = 0;
        for (id, r) in &self.machines {
            let address = r.address(*id);
            let kind = kinds.number((&*r.machine_type, &*r.zone, r.spot, address), || {
                (
                    r.machine_type.to_string(),
                    r.zone.to_string(),
                    r.spot.into(),
                    address,
                )
            });
            let mut m = Vec::with_capacity(5 + r.images.len() + 2 * r.tasks.len());
            m.extend([id.0 - last, kind]);
            let images_here = r.images.len() as u64;
            if self.terse {
                m.push(
                    r.health as u64 | u64::from(r.fenced_incarnation > 0) << 2 | images_here << 3,
                );
                m.extend((r.fenced_incarnation > 0).then_some(r.fenced_incarnation));
            } else {
                m.extend([r.health as u64, r.fenced_incarnation, images_here]);
            }
            for (name, size) in &r.images {
                m.push(images.number((&**name, *size), || ((&**name).into(), *size)));
            }
            let numbered = r
                .tasks
                .iter()
                .map(|b| (attempts.number((b.0, b.2), || (b.0, b.2)), b.1));
            if self.terse {
                let mut tasks: Vec<(u64, u32)> = numbered.collect();
                tasks.sort_unstable();
                m.extend(masks(&tasks));
            } else {
                m.extend(numbered.flat_map(|(a, index)| [a, index.into()]));
            }
            for b in &r.preempted {
                preempted.push((id.0, attempts.number((b.0, b.2), || (b.0, b.2)), b.1.into()));
            }
            last = id.0;
            machines.push(m);
        }
        let wire = Wire {
            k: kinds.all,
            i: images.all,
            a: attempts.all,
            m: machines,
            p: preempted,
        };
        if self.terse {
            wire.terse()
                .map_err(serde::ser::Error::custom)?
                .serialize(s)
        } else {
            wire.serialize(s)
        }
    }
}

/// The fields of a [`Wire`] in order, as the terser form has them.
type TerseWire<'a> = (
    Vec<Kind>,
    Vec<(std::borrow::Cow<'a, str>, u64)>,
    Vec<u64>,
    Vec<Vec<u64>>,
    Vec<(u64, u64, u64)>,
);

/// Attempts, in order, as jobs and numbers: jobs less the one before, numbers less the largest, which
/// stands first.
fn less_before(attempts: &[(u64, u64)]) -> Vec<u64> {
    let newest = attempts
        .iter()
        .map(|(_, number)| *number)
        .max()
        .unwrap_or(0);
    let mut last = 0;
    let each = attempts.iter().flat_map(|(job, number)| {
        let beyond = job - std::mem::replace(&mut last, *job);
        [beyond, newest - number]
    });
    [newest].into_iter().chain(each).collect()
}

/// What [`less_before`] was made from.
fn summed_up(numbers: &[u64]) -> Option<Vec<(u64, u64)>> {
    let (newest, each) = numbers.split_first()?;
    let mut last: u64 = 0;
    each.chunks(2)
        .map(|c| {
            last = last.checked_add(c[0])?;
            Some((last, newest.checked_sub(*c.get(1)?)?))
        })
        .collect()
}

/// Tasks, in order, by attempt, first task number and mask.
fn masks(tasks: &[(u64, u32)]) -> Vec<u64> {
    let mut all = Vec::new();
    for (attempt, index) in tasks {
        match &mut all[..] {
            [.., a, first, mask] if a == attempt && u64::from(*index) - *first < 64 => {
                *mask |= 1u64 << (u64::from(*index) - *first);
            }
            _ => all.extend([*attempt, u64::from(*index), 1]),
        }
    }
    all
}

impl Wire<'_> {
    /// The terser form: MessagePack as text. Of a machine fitness, whether sessions are over (the latest
    /// then follows) and how many images are one number; of bookings it has the attempt, the first task
    /// number, and the tasks from there on as the bits of a mask.
    fn terse(self) -> Result<String, rmp_serde::encode::Error> {
        let fields: TerseWire<'_> = (self.k, self.i, less_before(&self.a), self.m, self.p);
        Ok(URL_SAFE_NO_PAD.encode(rmp_serde::to_vec(&fields)?))
    }

    /// `None` if a number refers to nothing.
    fn record(self, terse: bool) -> Option<GroupRecord> {
        let images: Vec<(Arc<str>, u64)> =
            self.i.iter().map(|(n, s)| (Arc::from(&**n), *s)).collect();
        let shared = |(b, y, s, e): Kind| -> (Arc<str>, Arc<str>, bool, Address) {
            (b.into(), y.into(), s == 1, e)
        };
        let kinds: Vec<_> = self.k.into_iter().map(shared).collect();
        let attempts = self.a;
        let assignment = |attempt: u64, index: u64| {
            let (job, number) = attempts.get(usize::try_from(attempt).ok()?)?;
            Some(Assignment(*job, u32::try_from(index).ok()?, *number))
        };
        let mut machines = BTreeMap::new();
        let mut last: u64 = 0;
        for m in self.m {
            let (id, kind, health, fenced_incarnation, images_here, rest) = match &*m {
                [id, kind, head, fenced_incarnation, rest @ ..] if terse && head >> 2 & 1 == 1 => {
                    (id, kind, head & 3, *fenced_incarnation, head >> 3, rest)
                }
                [id, kind, head, rest @ ..] if terse => (id, kind, head & 3, 0, head >> 3, rest),
                [id, kind, health, fenced_incarnation, images_here, rest @ ..] if !terse => {
                    (id, kind, *health, *fenced_incarnation, *images_here, rest)
                }
                _ => return None,
            };
            last = last.checked_add(*id)?;
            let (machine_type, zone, spot, address) = kinds.get(usize::try_from(*kind).ok()?)?;
            let endpoint = match address {
                Some((port, offset)) => {
                    let ip = offset.checked_add(i64::try_from(last).ok()?)?;
                    Some(SocketAddrV4::new(u32::try_from(ip).ok()?.into(), *port))
                }
                None => None,
            };
            let (has, tasks) = rest.split_at_checked(usize::try_from(images_here).ok()?)?;
            let has = has
                .iter()
                .map(|i| images.get(usize::try_from(*i).ok()?).cloned());
            let record = MachineRecord {
                machine_type: Arc::clone(machine_type),
                zone: Arc::clone(zone),
                spot: *spot,
                endpoint,
                health: *MachineHealth::ALL.get(usize::try_from(health).ok()?)?,
                fenced_incarnation,
                images: has.collect::<Option<_>>()?,
                tasks: if terse {
                    let masks = tasks
                        .chunks(3)
                        .map(|t| Some((t[0], *t.get(1)?, *t.get(2)?)));
                    let masks = masks.collect::<Option<Vec<_>>>()?;
                    let bits = |mask: u64| (0..64).filter(move |b| mask >> b & 1 == 1);
                    let each = masks
                        .into_iter()
                        .flat_map(|(a, first, mask)| bits(mask).map(move |b| (a, first, b)));
                    each.map(|(a, first, b)| assignment(a, first.checked_add(b)?))
                        .collect::<Option<_>>()?
                } else {
                    tasks
                        .chunks(2)
                        .map(|t| assignment(t[0], *t.get(1)?))
                        .collect::<Option<_>>()?
                },
                preempted: Vec::new(),
            };
            machines.insert(MachineId(last), record);
        }
        for (id, attempt, index) in &self.p {
            machines
                .get_mut(&MachineId(*id))?
                .preempted
                .push(assignment(*attempt, *index)?);
        }
        Some(GroupRecord { machines, terse })
    }
}

struct Reading;

impl<'de> Visitor<'de> for Reading {
    type Value = GroupRecord;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a group")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<GroupRecord, E> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(E::custom)?;
        let (k, i, a, m, p): TerseWire<'_> = rmp_serde::from_slice(&bytes).map_err(E::custom)?;
        let a = summed_up(&a).ok_or_else(|| E::custom("attempts that are none"))?;
        Wire { k, i, a, m, p }
            .record(true)
            .ok_or_else(|| E::custom(REFERS_TO_NOTHING))
    }

    fn visit_map<M: MapAccess<'de>>(self, map: M) -> Result<GroupRecord, M::Error> {
        let wire = Wire::deserialize(MapAccessDeserializer::new(map))?;
        wire.record(false)
            .ok_or_else(|| serde::de::Error::custom(REFERS_TO_NOTHING))
    }
}

const REFERS_TO_NOTHING: &str = "a number in the group refers to nothing";

impl<'de> Deserialize<'de> for GroupRecord {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(Reading)
    }
}

#[cfg(test)]
mod tests;
