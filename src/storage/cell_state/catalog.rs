//! The machine types. A catalog that is too large for one value is recorded in several parts.

use super::{CellChanges, CellState, Versioned};
use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::records::Key;

/// Number of the first part. Without it no machine types are known.
pub(super) const FIRST_CATALOG_PART: u32 = 0;

/// The key of a part of the machine types.
pub fn catalog_key(part: u32) -> Key {
    if part == FIRST_CATALOG_PART {
        Key::Types
    } else {
        Key::TypesPart(part)
    }
}

impl CellState {
    /// All machine types that are known.
    pub fn machine_types(&self) -> impl Iterator<Item = &MachineType> {
        self.types.value.iter().flat_map(|catalog| &catalog.types)
    }

    /// The machine type of this name.
    pub fn machine_type(&self, name: &str) -> Option<&MachineType> {
        self.types.value.as_ref()?.get(name)
    }

    /// Number of parts that contain the recorded machine types.
    pub fn catalog_parts(&self) -> u32 {
        let last = self.type_parts.keys().next_back();
        last.map_or(0, |part| part + 1)
    }

    /// The revision of a part of the machine types; `None` if it does not exist.
    pub(super) fn catalog_part_revision(&self, part: u32) -> Option<u64> {
        self.type_parts.get(&part).map(|part| part.mod_revision)
    }

    /// Stores the first machine types.
    pub(super) fn put_catalog(
        &mut self,
        catalog: Catalog,
        mod_revision: u64,
        changes_seen: &mut CellChanges,
    ) {
        self.put_catalog_part(FIRST_CATALOG_PART, catalog, mod_revision, changes_seen);
    }

    /// Stores a part of the machine types.
    pub(super) fn put_catalog_part(
        &mut self,
        part: u32,
        catalog: Catalog,
        mod_revision: u64,
        changes_seen: &mut CellChanges,
    ) {
        self.type_parts
            .insert(part, Versioned::new(catalog, mod_revision));
        self.join_catalog_parts(changes_seen);
    }

    /// Removes a part of the machine types.
    pub(super) fn remove_catalog_part(&mut self, part: u32, changes_seen: &mut CellChanges) {
        self.type_parts.remove(&part);
        self.join_catalog_parts(changes_seen);
    }

    fn join_catalog_parts(&mut self, changes_seen: &mut CellChanges) {
        if !self.type_parts.contains_key(&FIRST_CATALOG_PART) {
            return;
        }
        let parts = self.type_parts.values();
        let catalog = Catalog {
            types: parts
                .clone()
                .flat_map(|part| part.value.types.iter().cloned())
                .collect(),
        };
        let mod_revision = parts.map(|part| part.mod_revision).max().unwrap_or(0);
        self.classes.set_catalog(&catalog);
        self.types = Versioned::new(Some(catalog), mod_revision);
        changes_seen.usage = true;
        changes_seen.rules = true;
    }
}
