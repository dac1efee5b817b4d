//! The records in the state store, and their keys.

mod format;
mod key;

use crate::storage::catalog::Catalog;
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::job::is_false;
pub use crate::storage::machine_group::{Assignment, GroupRecord, MachineHealth, MachineRecord};
use crate::storage::restart_history::RestartHistory;
use crate::time::Micros;
pub use format::{
    COMPACT_FORMAT, DEPENDENCIES_FORMAT, FENCED_FORMAT, INITIAL_FORMAT, LATEST_FORMAT,
    LATEST_FORMAT_WITHOUT_RULES, RecordFormat, format_has_rules,
};
pub use key::{Key, LIVE_PREFIX};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a record's stored form.
pub fn stored_bytes<T: Serialize>(record: &T) -> usize {
    serde_json::to_string(record).map_or(0, |text| text.len())
}

/// What all controllers of a deployment agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaRecord {
    /// Number of the format of the live records; see [`RecordFormat`]. The first format of all did not store it.
    #[serde(rename = "layout", default)]
    pub record_format: u32,
    /// Number of shards; never changed.
    #[serde(rename = "slices")]
    pub shards: usize,
    /// Shards of the teams that have a guarantee or a quota.
    #[serde(rename = "teams")]
    pub teams: BTreeMap<String, ShardId>,
}

/// Identifies one run of a controller process; drawn at random when the process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A live controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The controller's current incarnation.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// Number of the newest record format that the controller can read. Versions of the software before
    /// [`RecordFormat::Compact`] did not store it.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub record_format: Option<u32>,
    /// Digest of the rules that the controller was started with; `None` if it has no rules.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<u64>,
    /// The controller's recent starts, including that of this incarnation. Earlier versions of the software did not
    /// store them.
    #[serde(
        rename = "s",
        default,
        skip_serializing_if = "RestartHistory::is_empty"
    )]
    pub restart_history: RestartHistory,
}

/// The leader of a shard. The revision of the record is the leader term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLeaderRecord {
    /// The controller's name.
    #[serde(rename = "node")]
    pub node: String,
    /// The controller's incarnation. After a restart the controller does not lead the shard until it has acquired it
    /// again.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
}

/// Resources assigned to a shard's teams, and recently finished tasks. Every commit that assigns a shard's tasks writes
/// this record, so that a commit whose outcome is unknown cannot succeed after a later one.
///
/// The finished tasks of many jobs are written with it at once, instead of one write for each job. Before
/// [`RecordFormat::Fenced`] they are tasks of the shard's jobs, and every release of such a task writes the record.
/// From that format on they are the tasks that ended on the shard's machines, and `teams` is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Cores and accelerators assigned, in thousandths, by team.
    #[serde(rename = "t", default)]
    pub teams: BTreeMap<String, (u64, u64)>,
    /// Finished tasks that the jobs' own records do not have yet.
    #[serde(rename = "f", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub finished_tasks: BTreeMap<JobId, CompletionBitmap>,
}

impl UsageRecord {
    /// Cores and accelerators assigned to a team, in thousandths.
    pub fn assigned_to(&self, team: &str) -> (u64, u64) {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds to the resources assigned to a team; amounts in thousandths.
    pub fn add(&mut self, team: &str, cores: u64, accelerators: u64) {
        let (used_cores, used_accelerators) = self.assigned_to(team);
        let sum = (used_cores + cores, used_accelerators + accelerators);
        self.teams.insert(team.to_owned(), sum);
    }

    /// Subtracts from the resources assigned to a team, down to zero; amounts in thousandths.
    pub fn subtract(&mut self, team: &str, cores: u64, accelerators: u64) {
        let (used_cores, used_accelerators) = self.assigned_to(team);
        let remaining = (
            used_cores.saturating_sub(cores),
            used_accelerators.saturating_sub(accelerators),
        );
        if remaining == (0, 0) {
            self.teams.remove(team);
        } else {
            self.teams.insert(team.to_owned(), remaining);
        }
    }
}

/// A request to the cloud for machines that it may not list yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProvisionRecord {
    /// Identifier that makes the request idempotent; never reused for another request.
    #[serde(rename = "n")]
    pub name: String,
    /// Machine type.
    #[serde(rename = "b")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "y")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// Number of machines requested.
    #[serde(rename = "c")]
    pub count: u32,
    /// When the request was made, by the time of day.
    #[serde(rename = "t")]
    pub requested_at: Micros,
}

/// Machines being provisioned and decommissioned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Provision requests for which the cloud does not list all machines yet.
    #[serde(rename = "h", default)]
    pub provision_requests: Vec<ProvisionRecord>,
    /// Machines in no machine group that the cloud may have been asked to release.
    #[serde(rename = "r", default)]
    pub releasing: Vec<MachineId>,
}

/// The machine types, stored so that a controller can start while the cloud's API is unavailable.
pub type TypesRecord = Catalog;
