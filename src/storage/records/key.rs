//! Keys of the records in the state store.

use crate::storage::ids::{GroupIndex, JobId, ShardId};

/// Prefix of the keys that the watch follows.
pub const LIVE: &str = "c/";

/// Prefix of the keys of ended jobs, which the watch does not follow.
const FINAL: &str = "final/";

/// Digits of a digest of rules in its key.
const DIGEST_DIGITS: usize = 16;

/// A key of the state store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Number of shards and the teams' shards.
    Meta,
    /// Machine types.
    Types,
    /// Machines being provisioned and decommissioned.
    Fleet,
    /// A live controller, by name.
    Node(String),
    /// Leader of a shard.
    ShardLeader(ShardId),
    /// Some machines of a shard, and their assignments. A shard has as many of these records as its machines need; the
    /// first of them is written with every addition.
    Group(ShardId, GroupIndex),
    /// What the shard's teams have assigned. From [`RecordFormat::Fenced`](super::RecordFormat::Fenced) on only the
    /// shard's leader writes it.
    Usage(ShardId),
    /// A live job.
    Job(JobId),
    /// A further chunk of a job's completion bitmap.
    Chunk(JobId, u32),
    /// A set of the operators' rules, by its digest.
    Rules(u64),
    /// An ended job.
    Final(JobId),
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Meta => write!(f, "{LIVE}meta"),
            Key::Types => write!(f, "{LIVE}types"),
            Key::Fleet => write!(f, "{LIVE}fleet"),
            Key::Node(name) => write!(f, "{LIVE}node/{name}"),
            Key::ShardLeader(shard) => write!(f, "{LIVE}own/{shard}"),
            Key::Group(shard, group) => write!(f, "{LIVE}group/{shard}/{group}"),
            Key::Usage(shard) => write!(f, "{LIVE}usage/{shard}"),
            Key::Job(id) => write!(f, "{LIVE}job/{}", id.0),
            Key::Chunk(id, chunk) => write!(f, "{LIVE}job/{}/{chunk}", id.0),
            Key::Rules(digest) => write!(f, "{LIVE}rules/{digest:0DIGEST_DIGITS$x}"),
            Key::Final(id) => write!(f, "{FINAL}{}", id.0),
        }
    }
}

impl Key {
    /// Parses a key; `None` for keys that are not this project's.
    pub fn parse(text: &str) -> Option<Key> {
        if let Some(id) = text.strip_prefix(FINAL) {
            return parse_job(id).map(Key::Final);
        }
        let key = text.strip_prefix(LIVE)?;
        match key.split_once('/') {
            Some((kind, id)) => Key::parse_numbered(kind, id),
            None => Key::parse_single(key),
        }
    }

    /// Parses the key of a kind of record that there is one of.
    fn parse_single(kind: &str) -> Option<Key> {
        match kind {
            "meta" => Some(Key::Meta),
            "types" => Some(Key::Types),
            "fleet" => Some(Key::Fleet),
            _ => None,
        }
    }

    /// Parses the key of a kind of record that there are several of.
    fn parse_numbered(kind: &str, id: &str) -> Option<Key> {
        match kind {
            "node" => Some(Key::Node(id.to_owned())),
            "own" => id.parse().ok().map(Key::ShardLeader),
            "group" => {
                let (shard, group) = id.split_once('/')?;
                Some(Key::Group(shard.parse().ok()?, group.parse().ok()?))
            }
            "usage" => id.parse().ok().map(Key::Usage),
            "rules" if id.len() == DIGEST_DIGITS => {
                u64::from_str_radix(id, 16).ok().map(Key::Rules)
            }
            "job" => match id.split_once('/') {
                Some((job, chunk)) => Some(Key::Chunk(parse_job(job)?, chunk.parse().ok()?)),
                None => parse_job(id).map(Key::Job),
            },
            _ => None,
        }
    }
}

fn parse_job(number: &str) -> Option<JobId> {
    number.parse().ok().map(JobId)
}
