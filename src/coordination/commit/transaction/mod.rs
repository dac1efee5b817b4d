//! The builder of a transaction: edited copies of records, and the conditions of the transaction.

mod assignments;
pub mod compaction;
mod edits;
mod job_ends;
mod job_records;
mod limits;
mod machines;
#[cfg(test)]
mod model;
mod output;
mod record_room;
mod releases;
mod required_records;
mod resulting_state;
#[cfg(test)]
mod tests;

pub use limits::TransactionLimits;
pub use record_room::RecordRoom;
pub use resulting_state::TeamUsage;

use crate::protocol::state::Transaction;
use crate::storage::cell_state::{CellState, Change};
use crate::storage::ids::{Attempt, GroupIndex, JobId, MachineId, ShardId};
use crate::storage::job::FinalRecord;
use crate::storage::records::{Key, ShardLeaderRecord};
use edits::{GroupEdit, JobEdit, UsageEdit};
use resulting_state::UsageChange;
use std::collections::{BTreeMap, BTreeSet};

/// A group of machines: its shard, and its index there.
pub type GroupId = (ShardId, GroupIndex);

/// An attempt of a task, and the machine that it is assigned to.
#[derive(Clone, Copy, Debug)]
pub struct MachineAttempt {
    /// The machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: Attempt,
}

/// A leader record that is written only to raise the shard's term.
#[derive(Clone, Debug)]
struct TermUpdate {
    shard: ShardId,
    record: ShardLeaderRecord,
}

/// Builds a transaction within its limits. Edits that return `bool` return false if they do not fit
/// into the transaction, and then change nothing.
#[derive(Clone, Debug)]
pub struct TransactionBuilder<'a> {
    cell: &'a CellState,
    limits: TransactionLimits,
    groups: BTreeMap<GroupId, GroupEdit>,
    /// Machines that the transaction adds, with their groups.
    added: BTreeMap<MachineId, GroupId>,
    /// Bytes that the machines of a group will take once they are full.
    full_bytes: BTreeMap<GroupId, usize>,
    usage: BTreeMap<ShardId, UsageEdit>,
    /// How the transaction changes the usage of teams.
    usage_changes: BTreeMap<&'a str, UsageChange>,
    jobs: BTreeMap<JobId, JobEdit>,
    removed_chunks: BTreeSet<(JobId, u32)>,
    conditions: BTreeSet<Key>,
    /// Groups whose records have no room for an assignment that was tried.
    groups_without_room: BTreeSet<GroupId>,
    /// Upper bound of the bytes of all values.
    bytes: usize,
    /// Whether every controller reads the compact encoding of records.
    compact_encoding: bool,
    /// Whether every controller reads a record of the first chunk of a completion bitmap.
    detached_chunk_allowed: bool,
    /// Whether the usage of teams follows from the machine groups alone, see [`CellState::is_fenced`].
    usage_from_groups: bool,
    term_update: Option<TermUpdate>,
}

/// A finished transaction, and its changes to the replica if it succeeds.
#[derive(Debug)]
pub struct PlannedTransaction {
    /// The transaction.
    pub txn: Transaction,
    /// Its changes. Their revisions are set once the transaction is applied.
    pub changes: Vec<Change>,
    /// Jobs that it ends.
    pub ended: Vec<(JobId, FinalRecord)>,
}

impl<'a> TransactionBuilder<'a> {
    /// An empty transaction on the replica.
    pub fn new(cell: &'a CellState, limits: TransactionLimits) -> TransactionBuilder<'a> {
        TransactionBuilder {
            cell,
            limits,
            groups: BTreeMap::new(),
            added: BTreeMap::new(),
            full_bytes: BTreeMap::new(),
            usage: BTreeMap::new(),
            usage_changes: BTreeMap::new(),
            jobs: BTreeMap::new(),
            removed_chunks: BTreeSet::new(),
            conditions: BTreeSet::new(),
            groups_without_room: BTreeSet::new(),
            bytes: 0,
            compact_encoding: cell.uses_compact_encoding(),
            detached_chunk_allowed: cell.allows_detached_chunk(),
            usage_from_groups: cell.is_fenced(),
            term_update: None,
        }
    }

    /// Whether the transaction changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes() == 0
    }

    /// Changes so far.
    fn changes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(JobEdit::changes).sum();
        let records = self.groups.len() + self.usage.len() + self.removed_chunks.len();
        records + jobs + usize::from(self.term_update.is_some())
    }

    /// Groups whose records have no room for an assignment that was tried, although the machines may have room for
    /// the task.
    pub fn groups_without_room(&self) -> &BTreeSet<GroupId> {
        &self.groups_without_room
    }

    /// Number of changes that may still be added.
    pub fn changes_left(&self) -> usize {
        self.limits.changes.saturating_sub(self.changes())
    }
}
