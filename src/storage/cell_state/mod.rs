//! The controller's replica of the state of the whole cell.
//!
//! The watch advances the replica by one consistent revision at a time. The controller's own commits are applied to it
//! too, and may be ahead of the watch: every commit that assigns a shard's jobs writes that shard's usage record
//! conditionally, and every record is written on the condition that its revision is the one in the replica. So a commit
//! that succeeded proves that the replica had missed no assignment of that shard, and no change of the records that the
//! commit wrote.
//!
//! - [`changes`]: changes of records, and how they are applied to the replica.
//! - `assignments`, `groups`, `jobs`, `usage`: the indexes derived from the records, kept up to date by the changes.
//! - `queries`: queries of the replica.

mod assignments;
mod catalog;
pub mod changes;
mod groups;
mod jobs;
mod queries;
mod usage;

use crate::storage::catalog::Catalog;
use crate::storage::dependency_graph::DependencyGraph;
use crate::storage::ids::{GroupIndex, JobId, ShardId};
pub use crate::storage::live_job::{Job, Versioned};
use crate::storage::machine_classes::Classes;
use crate::storage::records::{
    FleetRecord, GroupRecord, Key, MetaRecord, NodeRecord, ShardLeaderRecord, UsageRecord,
};
use crate::time::Micros;
use assignments::AssignmentIndex;
pub use assignments::Place;
pub use catalog::catalog_key;
pub use changes::{CellChanges, Change, Content, EndedJob};
use cometlead_constraints::RuleSet;
use groups::MachineLocations;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use usage::AssignedByTeam;

/// The replica of the cell's state.
#[derive(Debug, Default)]
pub struct CellState {
    /// The time of day, as last set by the controller.
    pub time_of_day: Micros,
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// The latest revision from which any change is applied; at least `revision`.
    pub latest: u64,
    /// Number of shards, and the teams' shards.
    pub meta: Versioned<Option<MetaRecord>>,
    /// Machine types of all parts. The revision is the latest of any part.
    pub types: Versioned<Option<Catalog>>,
    /// The parts in which the machine types are recorded, by number.
    type_parts: BTreeMap<u32, Versioned<Catalog>>,
    /// Machines being provisioned and decommissioned.
    pub fleet: Versioned<FleetRecord>,
    /// Live controllers, by name.
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// Leaders, by shard.
    pub leaders: Vec<Versioned<Option<ShardLeaderRecord>>>,
    /// Machine groups, by shard and group.
    pub groups: Vec<BTreeMap<GroupIndex, Versioned<GroupRecord>>>,
    /// Usage, by shard.
    pub usage: Vec<Versioned<UsageRecord>>,
    /// Live jobs.
    pub jobs: HashMap<JobId, Job>,
    /// Dependencies between the live jobs.
    pub dependencies: DependencyGraph,
    /// Rule sets, by digest; `None` if this version of the software cannot read the rule set.
    pub rules: BTreeMap<u64, Versioned<Option<Arc<RuleSet>>>>,
    /// Classes of equal machines.
    pub classes: Classes,
    locations: MachineLocations,
    assignments: AssignmentIndex,
    assigned_by_team: AssignedByTeam,
    /// Keys removed at revisions after `revision`, with the revision of the removal: an older change must not
    /// restore their records.
    removed_keys: HashMap<Key, u64>,
}

impl CellState {
    /// Extends the lists of records by shard to include this shard. Records may arrive before the number of shards is
    /// known.
    fn ensure_shard(&mut self, shard: ShardId) {
        let count = (shard + 1).max(self.shards());
        if self.leaders.len() < count {
            self.leaders.resize_with(count, Default::default);
            self.groups.resize_with(count, Default::default);
            self.usage.resize_with(count, Default::default);
        }
    }

    /// Discards everything but the time of day, before the replica is read again in full, since the revisions start
    /// anew.
    pub fn clear(&mut self) {
        *self = CellState {
            time_of_day: self.time_of_day,
            ..CellState::default()
        };
    }
}
