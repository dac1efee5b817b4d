//! Machine groups whose records are full: no task can be assigned to their machines, even if these have room for it.

use super::transaction::GroupId;
use crate::storage::cell_state::CellState;
use crate::storage::records::Key;
use std::collections::BTreeMap;

/// Groups whose records had no room for an assignment that was tried, each with the revision of the record. Once the
/// record has changed, assignments are tried again.
#[derive(Debug, Default)]
pub(super) struct FullGroups(BTreeMap<GroupId, u64>);

fn revision(cell: &CellState, (shard, index): GroupId) -> u64 {
    cell.mod_revision(&Key::Group(shard, index))
}

impl FullGroups {
    /// Adds groups, and forgets those whose records have changed.
    pub fn add<'a>(&mut self, cell: &CellState, groups: impl IntoIterator<Item = &'a GroupId>) {
        self.0
            .retain(|group, full_at| revision(cell, *group) == *full_at);
        let added = groups
            .into_iter()
            .map(|group| (*group, revision(cell, *group)));
        self.0.extend(added);
    }

    /// Whether the record of a group is known to be full.
    pub fn contains(&self, cell: &CellState, group: GroupId) -> bool {
        let full_at = self.0.get(&group);
        full_at.is_some_and(|full_at| revision(cell, group) == *full_at)
    }
}
