//! The records kept in the state service, and their keys.

use super::catalog::Catalog;
use super::ids::{Attempt, JobId, MachineId, Slice, TaskId};
use super::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of everything that the watch follows.
pub const LIVE: &str = "c/";

/// A key of the state service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Number of slices and the teams' slices.
    Meta,
    /// Machine types.
    Types,
    /// The fleet's plan.
    Fleet,
    /// A controller's liveness.
    Node(String),
    /// Owner of a slice.
    Own(Slice),
    /// Machines of a slice and their bookings.
    Group(Slice),
    /// What the slice's teams have booked.
    Usage(Slice),
    /// A live job.
    Job(JobId),
    /// A further chunk of a job's finished set.
    Chunk(JobId, u32),
    /// An ended job.
    Final(JobId),
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Meta => f.write_str("c/meta"),
            Key::Types => f.write_str("c/types"),
            Key::Fleet => f.write_str("c/fleet"),
            Key::Node(n) => write!(f, "c/node/{n}"),
            Key::Own(k) => write!(f, "c/own/{k}"),
            Key::Group(k) => write!(f, "c/group/{k}"),
            Key::Usage(k) => write!(f, "c/usage/{k}"),
            Key::Job(j) => write!(f, "c/job/{}", j.0),
            Key::Chunk(j, n) => write!(f, "c/job/{}/{n}", j.0),
            Key::Final(j) => write!(f, "final/{}", j.0),
        }
    }
}

impl Key {
    /// Reads a key; `None` for keys that are not this project's.
    pub fn parse(text: &str) -> Option<Key> {
        if let Some(id) = text.strip_prefix("final/") {
            return id.parse().ok().map(|n| Key::Final(JobId(n)));
        }
        let rest = text.strip_prefix(LIVE)?;
        let Some((kind, id)) = rest.split_once('/') else {
            return match rest {
                "meta" => Some(Key::Meta),
                "types" => Some(Key::Types),
                "fleet" => Some(Key::Fleet),
                _ => None,
            };
        };
        match kind {
            "node" => Some(Key::Node(id.to_owned())),
            "own" => id.parse().ok().map(Key::Own),
            "group" => id.parse().ok().map(Key::Group),
            "usage" => id.parse().ok().map(Key::Usage),
            "job" => match id.split_once('/') {
                Some((job, n)) => Some(Key::Chunk(JobId(job.parse().ok()?), n.parse().ok()?)),
                None => id.parse().ok().map(|n| Key::Job(JobId(n))),
            },
            _ => None,
        }
    }
}

/// What all controllers agree on once and for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaRecord {
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

/// A task's place: job number, task number, attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fitness {
    /// Takes bookings.
    #[default]
    #[serde(rename = "u")]
    Up,
    /// Takes no further bookings: the cloud will take it, or it is faulty.
    #[serde(rename = "d")]
    Draining,
    /// Silent: takes no bookings until it is heard again.
    #[serde(rename = "l")]
    Lost,
    /// A release may have been sent: unusable for ever.
    #[serde(rename = "r")]
    Releasing,
}

/// A machine and its bookings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Type.
    #[serde(rename = "b")]
    pub build: String,
    /// Zone.
    #[serde(rename = "y")]
    pub yard: String,
    /// Spot.
    #[serde(rename = "s", default, skip_serializing_if = "super::job::is_false")]
    pub spot: bool,
    /// The worker's address.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// What it may be used for.
    #[serde(rename = "f", default, skip_serializing_if = "is_up")]
    pub fitness: Fitness,
    /// Sessions up to this one are over for ever, whatever their worker believes.
    #[serde(rename = "x", default, skip_serializing_if = "super::amount::is_zero")]
    pub dead: u64,
    /// Images that it fetched, the most recently used last, with their sizes.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, u64)>,
    /// Bookings.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<Booking>,
    /// Those of them that are to be stopped for others, which have their room already.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub preempted: Vec<Booking>,
}

fn is_up(f: &Fitness) -> bool {
    *f == Fitness::Up
}

impl MachineRecord {
    /// Most images remembered for one machine.
    const IMAGES: usize = 6;

    /// Remembers that the machine has, or soon will have, an image.
    pub fn use_image(&mut self, name: &str, size: u64, cache: u64) {
        if self.images.last().is_some_and(|(n, _)| n == name) {
            return;
        }
        self.images.retain(|(n, _)| n != name);
        self.images.push((name.to_owned(), size));
        let mut total: u64 = self.images.iter().map(|(_, s)| s).sum();
        while self.images.len() > 1 && (self.images.len() > Self::IMAGES || total > cache) {
            total -= self.images.remove(0).1;
        }
    }

    /// Whether it has the image.
    pub fn has_image(&self, name: &str) -> bool {
        self.images.iter().any(|(n, _)| n == name)
    }
}

/// The machines of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// By number.
    #[serde(rename = "m", default)]
    pub machines: BTreeMap<MachineId, MachineRecord>,
}

/// Cores and accelerators that a slice's teams have booked, in thousandths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// By team.
    #[serde(rename = "t", default)]
    pub teams: BTreeMap<String, (u64, u64)>,
}

impl UsageRecord {
    /// What a team has booked.
    pub fn of(&self, team: &str) -> (u64, u64) {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds to what a team has booked.
    pub fn add(&mut self, team: &str, cores: u64, accelerators: u64) {
        let mut u = self.of(team);
        u.0 += cores;
        u.1 += accelerators;
        self.teams.insert(team.to_owned(), u);
    }

    /// Takes from what a team has booked.
    pub fn take(&mut self, team: &str, cores: u64, accelerators: u64) {
        let mut u = self.of(team);
        u.0 = u.0.saturating_sub(cores);
        u.1 = u.1.saturating_sub(accelerators);
        if u == (0, 0) {
            self.teams.remove(team);
        } else {
            self.teams.insert(team.to_owned(), u);
        }
    }
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
    #[serde(rename = "s", default, skip_serializing_if = "super::job::is_false")]
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

/// The machine types, kept so that a start needs no cloud.
pub type TypesRecord = Catalog;
