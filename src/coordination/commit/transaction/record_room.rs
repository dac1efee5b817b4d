//! Room for assignments in the records of machine groups.

use super::edits::GroupEdit;
use super::limits::SPARE_BYTES;
use super::{GroupId, TransactionLimits};
use crate::storage::cell_state::CellState;
use crate::storage::records::{GroupRecord, Key, stored_bytes};
use std::collections::BTreeMap;

/// Bytes that an assignment usually takes at most.
const USUAL_ASSIGNMENT_BYTES: usize = 96;

/// Which groups have room for an assignment in their records, as of the revisions of these.
#[derive(Debug, Default)]
pub struct RecordRoom(BTreeMap<GroupId, RoomAtRevision>);

#[derive(Clone, Copy, Debug)]
struct RoomAtRevision {
    mod_revision: u64,
    has_room: bool,
}

impl RecordRoom {
    /// Looks at the records that have changed since the last call.
    pub fn update(&mut self, cell: &CellState, limits: TransactionLimits) {
        let mut current = BTreeMap::new();
        for (shard, groups) in cell.groups.iter().enumerate() {
            for (index, group) in groups {
                let known = self.0.get(&(shard, *index)).copied();
                let room = known
                    .filter(|room| room.mod_revision == group.mod_revision)
                    .unwrap_or_else(|| RoomAtRevision {
                        mod_revision: group.mod_revision,
                        has_room: has_room(&group.value, cell, limits),
                    });
                current.insert((shard, *index), room);
            }
        }
        self.0 = current;
    }

    /// Whether the record of a group had room for an assignment; true for a group that is not known.
    pub fn has_room(&self, cell: &CellState, (shard, index): GroupId) -> bool {
        let mod_revision = cell.mod_revision(&Key::Group(shard, index));
        self.0
            .get(&(shard, index))
            .is_none_or(|room| room.has_room || room.mod_revision != mod_revision)
    }
}

fn has_room(record: &GroupRecord, cell: &CellState, limits: TransactionLimits) -> bool {
    let compact_encoding = cell.uses_compact_encoding();
    let bytes = stored_bytes(record);
    let max_bytes = limits.max_bytes(bytes);
    // The number of an attempt is the latest revision when it is planned.
    let growth = USUAL_ASSIGNMENT_BYTES + record.max_renumbering_bytes(cell.latest);
    if bytes + growth + SPARE_BYTES <= max_bytes {
        return true;
    }
    let record = GroupRecord {
        compact_encoding,
        ..record.clone()
    };
    GroupEdit::new(record, bytes, max_bytes).ensure_capacity(growth, SPARE_BYTES, compact_encoding)
}
