//! The records kept in the state service, and their keys.

use crate::storage::catalog::Catalog;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId};
pub use crate::storage::machine_group::{Assignment, GroupRecord, MachineHealth, MachineRecord};
use crate::storage::restart_history::RestartHistory;
use crate::time::Micros;
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
    ShardLeader(ShardId),
    /// Some machines of a slice, and their bookings. A slice has as many of these records as its
    /// machines need; the first of them is written with every addition.
    Group(ShardId, GroupIndex),
    /// What the slice's teams have booked; in layouts from [`FENCED`] on only its owner writes it.
    Usage(ShardId),
    /// A live job.
    Job(JobId),
    /// A further chunk of a job's finished set.
    Chunk(JobId, u32),
    /// A set of the operators' rules, by its digest.
    Rules(u64),
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
            Key::ShardLeader(k) => write!(f, "c/own/{k}"),
            Key::Group(k, n) => write!(f, "c/group/{k}/{n}"),
            Key::Usage(k) => write!(f, "c/usage/{k}"),
            Key::Job(j) => write!(f, "c/job/{}", j.0),
            Key::Chunk(j, n) => write!(f, "c/job/{}/{n}", j.0),
            Key::Rules(digest) => write!(f, "c/rules/{digest:016x}"),
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
            "own" => id.parse().ok().map(Key::ShardLeader),
            "group" => {
                let (k, n) = id.split_once('/')?;
                Some(Key::Group(k.parse().ok()?, n.parse().ok()?))
            }
            "usage" => id.parse().ok().map(Key::Usage),
            "rules" if id.len() == 16 => u64::from_str_radix(id, 16).ok().map(Key::Rules),
            "job" => match id.split_once('/') {
                Some((job, n)) => Some(Key::Chunk(JobId(job.parse().ok()?), n.parse().ok()?)),
                None => id.parse().ok().map(|n| Key::Job(JobId(n))),
            },
            _ => None,
        }
    }
}

/// How the live records are laid out at most, as this version understands it. It is raised whenever
/// they change in a way that an earlier version would misread; see [`MetaRecord::layout`].
pub const LAYOUT: u32 = 6;

/// The first layout with jobs that await others.
pub const PIPED: u32 = 3;

/// The first layout with rules: sets of them have records, and jobs bring their own. Raised only where
/// operators turned rules on at every controller.
pub const RULED: u32 = 4;

/// The first layout in which a slice's usage record is written by the slice's owner alone: what is booked is told by
/// the groups, and ends of tasks are kept by the slice of their machines. This one is without rules, see [`RULED`].
pub const FENCED: u32 = 5;

/// The same with rules.
pub const FENCED_RULED: u32 = 6;

/// Whether records of this layout have rules.
pub fn is_ruled(layout: u32) -> bool {
    matches!(layout, RULED | FENCED_RULED)
}

/// The first layout whose groups and finished sets have the terser written forms.
pub const TERSE: u32 = 3;

/// The layout that a deployment starts with, and keeps until all of its controllers understand more.
pub const FIRST_LAYOUT: u32 = 2;

/// What all controllers agree on once and for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaRecord {
    /// Layout of the live records, [`FIRST_LAYOUT`] to [`LAYOUT`]. The very first one had no number.
    #[serde(rename = "layout", default)]
    pub layout: u32,
    /// Number of slices.
    #[serde(rename = "slices")]
    pub shards: usize,
    /// Slices of the teams with a guarantee or a limit.
    #[serde(rename = "teams")]
    pub teams: BTreeMap<String, ShardId>,
}

/// One run of a controller process; drawn at random when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A live controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The process that lives.
    #[serde(rename = "run")]
    pub run: Incarnation,
    /// The latest layout that it understands. Versions before the third did not say.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub layout: Option<u32>,
    /// The digest of the rules that it was started with. None without any.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<u64>,
    /// When it started lately, this run included. Earlier versions did not say.
    #[serde(
        rename = "s",
        default,
        skip_serializing_if = "RestartHistory::is_empty"
    )]
    pub restart_history: RestartHistory,
}

/// The owner of a slice. The record's stamp is the owner's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaderRecord {
    /// The controller.
    #[serde(rename = "node")]
    pub node: String,
    /// Its process: a restarted one owns nothing before it claims anew.
    #[serde(rename = "run")]
    pub run: Incarnation,
}

/// What a slice's teams have booked, and which of its jobs' tasks ended lately. Every booking of a
/// slice's tasks writes this record, so that one of unknown outcome cannot succeed beside a later one.
///
/// The ends of many jobs go out with it and cost no write of their own. Before [`FENCED`] these are the slice's jobs,
/// and every clearing of their tasks writes it. From then on they are those that ended on the slice's machines,
/// and what the teams have booked is not in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Cores and accelerators booked, in thousandths, by team.
    #[serde(rename = "t", default)]
    pub teams: BTreeMap<String, (u64, u64)>,
    /// Finished tasks that the jobs' own records do not have yet.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub ends: BTreeMap<JobId, CompletionBitmap>,
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
pub struct ProvisionRecord {
    /// The request's name, never used again.
    #[serde(rename = "n")]
    pub name: String,
    /// Type.
    #[serde(rename = "b")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "y")]
    pub zone: String,
    /// Spot.
    #[serde(
        rename = "s",
        default,
        skip_serializing_if = "crate::storage::job::is_false"
    )]
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
    pub provision_requests: Vec<ProvisionRecord>,
    /// Machines outside any group for which a release may have been sent.
    #[serde(rename = "r", default)]
    pub releasing: Vec<MachineId>,
}

/// The machine types, kept so that a start needs no cloud.
pub type TypesRecord = Catalog;
