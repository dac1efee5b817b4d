//! Keys of the records in the state store.

use crate::storage::ids::{GroupIndex, JobId, ShardId};

/// Prefix of the keys that are watched: those of all records but the ended jobs'.
pub const LIVE_PREFIX: &str = "c/";

/// Prefix of the keys of ended jobs, which are not watched.
const FINAL_PREFIX: &str = "final/";

/// Number of hexadecimal digits of a rule set's digest in its key.
const RULES_DIGEST_HEX_DIGITS: usize = 16;

/// A key of the state store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Key {
    /// Number of shards, and the shards of the teams that have one of their own.
    Meta,
    /// Machine types; the first of them if they do not fit into one value.
    Types,
    /// Further machine types, by the number of the part; the first of these has number 1. Earlier versions of the software
    /// ignore it.
    TypesPart(u32),
    /// Machines being provisioned and decommissioned.
    Fleet,
    /// A live controller, by name.
    Node(String),
    /// Leader of a shard.
    ShardLeader(ShardId),
    /// A machine group: some of a shard's machines, and their assignments. A shard has as many groups as its machines
    /// need; the first group is written whenever a machine is added to the shard.
    Group(ShardId, GroupIndex),
    /// Resources assigned to the shard's teams. From [`RecordFormat::Fenced`](super::RecordFormat::Fenced) on, only the
    /// shard's leader writes this record.
    Usage(ShardId),
    /// A live job.
    Job(JobId),
    /// A further chunk of a job's completion bitmap.
    Chunk(JobId, u32),
    /// A rule set of the operators, by its digest.
    Rules(u64),
    /// An ended job.
    Final(JobId),
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Meta => write!(f, "{LIVE_PREFIX}meta"),
            Key::Types => write!(f, "{LIVE_PREFIX}types"),
            Key::TypesPart(part) => write!(f, "{LIVE_PREFIX}types/{part}"),
            Key::Fleet => write!(f, "{LIVE_PREFIX}fleet"),
            Key::Node(name) => write!(f, "{LIVE_PREFIX}node/{name}"),
            Key::ShardLeader(shard) => write!(f, "{LIVE_PREFIX}own/{shard}"),
            Key::Group(shard, group) => write!(f, "{LIVE_PREFIX}group/{shard}/{group}"),
            Key::Usage(shard) => write!(f, "{LIVE_PREFIX}usage/{shard}"),
            Key::Job(id) => write!(f, "{LIVE_PREFIX}job/{}", id.0),
            Key::Chunk(id, chunk) => write!(f, "{LIVE_PREFIX}job/{}/{chunk}", id.0),
            Key::Rules(digest) => {
                write!(f, "{LIVE_PREFIX}rules/{digest:0RULES_DIGEST_HEX_DIGITS$x}")
            }
            Key::Final(id) => write!(f, "{FINAL_PREFIX}{}", id.0),
        }
    }
}

impl Key {
    /// Parses a key; `None` for keys that cometlead does not use.
    pub fn parse(text: &str) -> Option<Key> {
        if let Some(id) = text.strip_prefix(FINAL_PREFIX) {
            return parse_job_id(id).map(Key::Final);
        }
        let key = text.strip_prefix(LIVE_PREFIX)?;
        match key.split_once('/') {
            Some((kind, id)) => Key::parse_with_id(kind, id),
            None => Key::parse_singleton(key),
        }
    }

    /// Parses the key of a kind of which there is only one record.
    fn parse_singleton(kind: &str) -> Option<Key> {
        match kind {
            "meta" => Some(Key::Meta),
            "types" => Some(Key::Types),
            "fleet" => Some(Key::Fleet),
            _ => None,
        }
    }

    /// Parses the key of a kind of which there are several records; `id` identifies the record.
    fn parse_with_id(kind: &str, id: &str) -> Option<Key> {
        match kind {
            "node" => Some(Key::Node(id.to_owned())),
            "own" => id.parse().ok().map(Key::ShardLeader),
            "group" => {
                let (shard, group) = id.split_once('/')?;
                Some(Key::Group(shard.parse().ok()?, group.parse().ok()?))
            }
            "types" => id.parse().ok().filter(|part| *part > 0).map(Key::TypesPart),
            "usage" => id.parse().ok().map(Key::Usage),
            "rules" if id.len() == RULES_DIGEST_HEX_DIGITS => {
                u64::from_str_radix(id, 16).ok().map(Key::Rules)
            }
            "job" => match id.split_once('/') {
                Some((job, chunk)) => Some(Key::Chunk(parse_job_id(job)?, chunk.parse().ok()?)),
                None => parse_job_id(id).map(Key::Job),
            },
            _ => None,
        }
    }
}

fn parse_job_id(number: &str) -> Option<JobId> {
    number.parse().ok().map(JobId)
}
