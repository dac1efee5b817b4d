//! Leadership of shards: the node's lease and record, the cell's metadata, claims, and leader terms.
//!
//! A controller is alive while its node record exists, which is attached to a lease in the state store. Shards whose
//! leader is not alive are claimed by compare-and-swap transactions; the revision of a shard's leader record is the
//! fencing token of its leader.

mod format_upgrade;
mod metadata;
mod node_lease;
mod node_record;
mod shard_claims;
mod shard_distribution;
mod team_shards;
mod terms;
mod unstable_controllers;

use crate::coordination::Controller;
use crate::storage::ids::ShardId;
use crate::storage::records::ShardLeaderRecord;
use crate::time::Micros;
use format_upgrade::FormatUpgrade;
use metadata::MetadataWriter;
use node_lease::NodeLease;
use node_record::NodeRecordWriter;
use shard_claims::ShardClaimSchedule;
use std::collections::BTreeSet;
pub use terms::LeaderTerm;
use terms::LeaderTerms;

/// The leadership state of this process.
#[derive(Debug, Default)]
pub struct Leadership {
    terms: LeaderTerms,
    lease: NodeLease,
    node_record: NodeRecordWriter,
    metadata: MetadataWriter,
    format_upgrade: FormatUpgrade,
    claims: ShardClaimSchedule,
    /// Live controllers that restart too often to claim shards, as last logged.
    unstable_controllers: BTreeSet<String>,
}

impl Leadership {
    /// The current leader term of a shard, if this process leads it.
    pub fn leader_term(&self, shard: ShardId) -> Option<LeaderTerm> {
        self.terms.current(shard)
    }

    /// Makes the check for shards to claim due at once, after a change that may require a claim.
    pub fn schedule_check(&mut self) {
        self.claims.schedule(Micros::ZERO);
    }

    /// Requests a new term of a shard that this process leads if an assignment has been unsettled for a while. Before
    /// that, the agent's response may still arrive, or the agent's next incarnation may report.
    pub fn request_new_term(&mut self, shard: ShardId, unsettled_since: Micros, now: Micros) {
        self.claims.request_new_term(shard, unsettled_since, now);
    }
}

impl Controller {
    pub(super) fn leader_record(&self) -> ShardLeaderRecord {
        ShardLeaderRecord {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
        }
    }

    pub(super) fn drive_leadership(&mut self) {
        self.drive_node_lease();
        if !self.replica.is_ready() {
            return;
        }
        self.leadership.claims.on_replica_ready(self.now.monotonic);
        if self.cell.meta.value.is_none() {
            self.drive_metadata();
            return;
        }
        self.drive_format_upgrade();
        self.drive_team_shards();
        self.drive_node_record();
        self.drive_shard_claims();
    }
}
