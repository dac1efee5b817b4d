//! The readers and writers of the version in production before pipelines, as they were: do not change.

#![allow(missing_docs, dead_code)]

use cometlead::storage::resources::Amount;
use cometlead::storage::ids::{Attempt, JobId, MachineId, ShardId as Slice, TaskId};
use cometlead::time::Micros;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A task's place: job number, task number, attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Booking(pub u64, pub u32, pub u64);

impl Booking {
    /// The booking of an attempt.
    pub fn of(a: Attempt) -> Booking {
        Booking(a.task.job.0, a.task.index, a.number)
    }

    /// The attempt that it books.
    pub fn attempt(&self) -> Attempt {
        Attempt { task: TaskId { job: JobId(self.0), index: self.1 }, number: self.2 }
    }
}

/// What a machine may still be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fitness {
    /// Takes bookings.
    #[default]
    Up,
    /// Takes no further bookings: the cloud will take it, or it is faulty.
    Draining,
    /// Silent: takes no bookings until it is heard again.
    Lost,
    /// A release may have been sent: unusable for ever.
    Releasing,
}

impl Fitness {
    const ALL: [Fitness; 4] = [Fitness::Up, Fitness::Draining, Fitness::Lost, Fitness::Releasing];
}

/// A machine and its bookings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRecord {
    /// Type.
    pub build: Arc<str>,
    /// Zone.
    pub yard: Arc<str>,
    /// Spot.
    pub spot: bool,
    /// The worker's address, if it is a plain one.
    pub endpoint: Option<SocketAddrV4>,
    /// What it may be used for.
    pub fitness: Fitness,
    /// Sessions up to this one are over for ever, whatever their worker believes.
    pub dead: u64,
    /// Images that it fetched, the most recently used last, with their sizes.
    pub images: Vec<(Arc<str>, u64)>,
    /// Bookings.
    pub tasks: Vec<Booking>,
    /// Those of them that are to be stopped for others, which have their room already.
    pub preempted: Vec<Booking>,
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
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

impl GroupRecord {
    /// Most bytes that one more booking can add.
    pub fn booking_bytes(a: &Attempt, image: &str, size: u64) -> usize {
        // The attempt's entry, the image's, and the machine's references to both.
        let attempt = digits(a.task.job.0) + digits(a.number) + 4;
        let image = image.len() + digits(size) + 6 + 4;
        attempt + image + 5 + digits(a.task.index.into()) + 1
    }

    /// Most bytes that marking one more booking as preempted can add.
    pub const PREEMPTED_BYTES: usize = 20 + 5 + 10 + 5;

    /// Most bytes that an empty machine can add.
    pub fn machine_bytes(id: MachineId, r: &MachineRecord) -> usize {
        let kind = r.build.len() + r.yard.len() + 10 + 2 + 6 + 21;
        kind + digits(id.0) + 6 + digits(r.dead) + 8
    }

    /// About as many bytes as a machine takes with this many bookings, once names are shared.
    pub fn usual_bytes(bookings: u64) -> usize {
        20 + 4 * MachineRecord::IMAGES / 2 + 12 * bookings as usize
    }
}

/// Type, zone, spot (0 or 1), and port and offset of the address.
type Kind = (String, String, u8, Address);
type Address = Option<(u16, i64)>;

#[derive(Serialize, Deserialize)]
struct Wire<'a> {
    /// Kinds of machines.
    k: Vec<Kind>,
    /// Images with their sizes.
    #[serde(borrow)]
    i: Vec<(std::borrow::Cow<'a, str>, u64)>,
    /// Attempts: job and number.
    a: Vec<(u64, u64)>,
    /// Machines: number (less the one before), kind, fitness, sessions that are over, how many
    /// images, the images, then attempt and task number of each booking.
    m: Vec<Vec<u64>>,
    /// Preempted bookings: machine, attempt, task number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    p: Vec<(u64, u64, u64)>,
}

/// Numbers things in the order in which they come.
struct Numbered<K, V> {
    of: HashMap<K, u64>,
    all: Vec<V>,
}

impl<K: std::hash::Hash + Eq, V> Numbered<K, V> {
    fn new() -> Numbered<K, V> {
        Numbered { of: HashMap::new(), all: Vec::new() }
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
        let mut machines = Vec::with_capacity(self.machines.len());
        let mut preempted = Vec::new();
        let mut last = 0;
        for (id, r) in &self.machines {
            let address = r.address(*id);
            let kind = kinds.number((&*r.build, &*r.yard, r.spot, address), || {
                (r.build.to_string(), r.yard.to_string(), r.spot.into(), address)
            });
            let mut m = Vec::with_capacity(5 + r.images.len() + 2 * r.tasks.len());
            m.extend([id.0 - last, kind, r.fitness as u64, r.dead, r.images.len() as u64]);
            for (name, size) in &r.images {
                m.push(images.number((&**name, *size), || ((&**name).into(), *size)));
            }
            for b in &r.tasks {
                m.extend([attempts.number((b.0, b.2), || (b.0, b.2)), b.1.into()]);
            }
            for b in &r.preempted {
                preempted.push((id.0, attempts.number((b.0, b.2), || (b.0, b.2)), b.1.into()));
            }
            last = id.0;
            machines.push(m);
        }
        Wire { k: kinds.all, i: images.all, a: attempts.all, m: machines, p: preempted }.serialize(s)
    }
}

impl Wire<'_> {
    /// `None` if a number refers to nothing.
    fn record(self) -> Option<GroupRecord> {
        let images: Vec<(Arc<str>, u64)> = self.i.iter().map(|(n, s)| (Arc::from(&**n), *s)).collect();
        let shared = |(b, y, s, e): Kind| -> (Arc<str>, Arc<str>, bool, Address) { (b.into(), y.into(), s == 1, e) };
        let kinds: Vec<_> = self.k.into_iter().map(shared).collect();
        let attempts = self.a;
        let booking = |attempt: u64, index: u64| {
            let (job, number) = attempts.get(usize::try_from(attempt).ok()?)?;
            Some(Booking(*job, u32::try_from(index).ok()?, *number))
        };
        let mut machines = BTreeMap::new();
        let mut last: u64 = 0;
        for m in self.m {
            let [id, kind, fitness, dead, images_here, rest @ ..] = &*m else { return None };
            last = last.checked_add(*id)?;
            let (build, yard, spot, address) = kinds.get(usize::try_from(*kind).ok()?)?;
            let endpoint = match address {
                Some((port, offset)) => {
                    let ip = offset.checked_add(i64::try_from(last).ok()?)?;
                    Some(SocketAddrV4::new(u32::try_from(ip).ok()?.into(), *port))
                }
                None => None,
            };
            let (has, tasks) = rest.split_at_checked(usize::try_from(*images_here).ok()?)?;
            let has = has.iter().map(|i| images.get(usize::try_from(*i).ok()?).cloned());
            let record = MachineRecord {
                build: Arc::clone(build),
                yard: Arc::clone(yard),
                spot: *spot,
                endpoint,
                fitness: *Fitness::ALL.get(usize::try_from(*fitness).ok()?)?,
                dead: *dead,
                images: has.collect::<Option<_>>()?,
                tasks: tasks.chunks(2).map(|t| booking(t[0], *t.get(1)?)).collect::<Option<_>>()?,
                preempted: Vec::new(),
            };
            machines.insert(MachineId(last), record);
        }
        for (id, attempt, index) in &self.p {
            machines.get_mut(&MachineId(*id))?.preempted.push(booking(*attempt, *index)?);
        }
        Some(GroupRecord { machines })
    }
}

impl<'de> Deserialize<'de> for GroupRecord {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let wire = Wire::deserialize(d)?;
        wire.record().ok_or_else(|| serde::de::Error::custom("a number in the group refers to nothing"))
    }
}

/// Tasks covered by one chunk: 8,192 bits are 2 KiB in hexadecimal.
pub const CHUNK: u32 = 8_192;

/// A bitmap over the tasks of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    words: Vec<u64>,
    count: u32,
}

impl Finished {
    /// Whether no task is in it.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// How many tasks are in it.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// How many bytes it takes as written.
    pub fn bytes(&self) -> usize {
        self.words.len() * 16
    }

    /// Whether the task with this number within the chunk is in it.
    pub fn has(&self, bit: u32) -> bool {
        let word = self.words.get(bit as usize / 64).copied().unwrap_or(0);
        word >> (bit % 64) & 1 == 1
    }

    /// How many tasks are in either.
    pub fn count_with(&self, other: &Finished) -> u32 {
        let longest = self.words.len().max(other.words.len());
        let word = |set: &Finished, i: usize| set.words.get(i).copied().unwrap_or(0);
        (0..longest).map(|i| (word(self, i) | word(other, i)).count_ones()).sum()
    }

    /// Adds all tasks of the other.
    pub fn merge(&mut self, other: &Finished) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine |= theirs;
        }
        self.count = self.words.iter().map(|w| w.count_ones()).sum();
    }

    /// Adds a task; false if it was in already.
    pub fn insert(&mut self, bit: u32) -> bool {
        if self.has(bit) {
            return false;
        }
        let at = bit as usize / 64;
        if self.words.len() <= at {
            self.words.resize(at + 1, 0);
        }
        self.words[at] |= 1 << (bit % 64);
        self.count += 1;
        true
    }
}

impl Serialize for Finished {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let text: Vec<String> = self.words.iter().map(|w| format!("{w:016x}")).collect();
        s.serialize_str(&text.concat())
    }
}

impl<'de> Deserialize<'de> for Finished {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let bad = || serde::de::Error::custom("not a bitmap");
        if !text.is_ascii() || text.len() % 16 != 0 {
            return Err(bad());
        }
        let words = (0..text.len() / 16)
            .map(|i| u64::from_str_radix(&text[i * 16..i * 16 + 16], 16))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| bad())?;
        let count = words.iter().map(|w| w.count_ones()).sum();
        Ok(Finished { words, count })
    }
}

/// How urgent a job is, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Urgency {
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

/// What a user asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs.
    #[serde(rename = "l")]
    pub lane: String,
    /// Team.
    #[serde(rename = "w")]
    pub crew: String,
    /// True for replicas that run until cancelled.
    #[serde(rename = "v", default, skip_serializing_if = "is_false")]
    pub standing: bool,
    /// True for a gang: its tasks wait for each other, so they are placed together or not at all.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Urgency.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub pieces: u32,
    /// What each task takes.
    #[serde(rename = "r")]
    pub need: Amount,
    /// Allowed machine types.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub builds: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub yard: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "o", default, skip_serializing_if = "is_false")]
    pub one_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub apart: bool,
    /// May run on spot machines.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub loaners: bool,
    /// Image.
    #[serde(rename = "i")]
    pub bundle: String,
    /// Image size, in thousandths of a GB.
    #[serde(rename = "z", default, skip_serializing_if = "is_zero")]
    pub size: u64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "g")]
    pub guess: Micros,
    /// Checkpoint interval, zero for none.
    #[serde(rename = "k", default, skip_serializing_if = "is_no_time")]
    pub bookmark: Micros,
    /// Time to save when stopped.
    #[serde(rename = "h", default, skip_serializing_if = "is_no_time")]
    pub stash: Micros,
    /// Deadline from submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub due: Option<Micros>,
}

pub(crate) fn is_false(b: &bool) -> bool {
    !*b
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

fn is_no_time(t: &Micros) -> bool {
    *t == Micros::ZERO
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
    #[serde(rename = "f", default, skip_serializing_if = "Finished::is_empty")]
    pub finished: Finished,
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

/// How an ended job is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// Cancelled rather than done.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Finished tasks.
    #[serde(rename = "n")]
    pub done: u32,
}
/// What all controllers agree on once and for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaRecord {
    /// Layout of the live records, [`LAYOUT`] for this version. The first one had no number.
    #[serde(default)]
    pub layout: u32,
    /// Number of slices.
    pub slices: usize,
    /// Slices of the teams with a guarantee or a limit.
    pub teams: BTreeMap<String, Slice>,
}

/// One run of a controller process; drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A live controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The process that lives.
    pub run: Incarnation,
}

/// The owner of a slice. The record's stamp is the owner's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnRecord {
    /// The controller.
    pub node: String,
    /// Its process: a restarted one owns nothing before it claims anew.
    pub run: Incarnation,
}

/// What a slice's teams have booked, and which of its jobs' tasks ended lately. Every booking and
/// every clearing of a slice's tasks writes this record, so the ends of many jobs go out with it
/// and cost no write of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Cores and accelerators booked, in thousandths, by team.
    #[serde(rename = "t", default)]
    pub teams: BTreeMap<String, (u64, u64)>,
    /// Finished tasks that the jobs' own records do not have yet.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ends: BTreeMap<JobId, Finished>,
}

/// A rental that was asked for and may not be listed yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HireRecord {
    /// The request's name, never used again.
    #[serde(rename = "n")]
    pub name: String,
    /// Type.
    #[serde(rename = "b")]
    pub build: String,
    /// Zone.
    #[serde(rename = "y")]
    pub yard: String,
    /// Spot.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// How many were asked for.
    #[serde(rename = "c")]
    pub count: u32,
    /// When, by the time of day.
    #[serde(rename = "t")]
    pub at: Micros,
}

/// Rentals and releases in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Rentals whose machines have not all been heard of.
    #[serde(rename = "h", default)]
    pub hires: Vec<HireRecord>,
    /// Machines outside any group for which a release may have been sent.
    #[serde(rename = "r", default)]
    pub releasing: Vec<MachineId>,
}

/// A controller's view of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHint {
    /// Its name.
    pub node: String,
    /// Its process.
    pub run: Incarnation,
    /// Milliseconds since it last had contact with the state service; none yet if absent.
    pub contact_ms: Option<u64>,
    /// Revision of its copy.
    pub epoch: u64,
    /// Terms of all slices as its copy has them, by slice, and whether it owns them.
    pub terms: Vec<(u64, bool)>,
    /// Changes a second that it spends at the state service, in thousandths.
    #[serde(default)]
    pub spends: u64,
    /// Milliseconds since it last heard any worker; never if absent.
    #[serde(default)]
    pub heard_ms: Option<u64>,
    /// Its rounds are full, and more waits for the rate of changes.
    #[serde(default)]
    pub pressed: bool,
}
