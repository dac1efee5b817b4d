//! The catalog of machine types and prices, read from the cloud and kept in the state store.

use crate::coordination::{Controller, Purpose};
use crate::protocol::cloud::CloudReply;
use crate::protocol::state::{CallError, StateResponse, encode};
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::{CellChanges, Change, Content, catalog_key};
use crate::storage::records::stored_bytes;
use crate::time::Micros;

/// How often the catalog is read.
const READ_INTERVAL: Micros = Micros::secs(30);
/// How long after a failed read or write the catalog is read again.
const RETRY_INTERVAL: Micros = Micros::secs(1);
/// A change of a spot price is not recorded if it is at most the new price divided by this.
const PRICE_TOLERANCE_DIVISOR: u64 = 20;

fn has_price_moved(old: u64, new: u64) -> bool {
    old.abs_diff(new) * PRICE_TOLERANCE_DIVISOR > new.max(1)
}

/// Whether two catalogs differ by nothing but small changes of spot prices.
fn is_equivalent(old: &Catalog, new: &Catalog) -> bool {
    old.types.len() == new.types.len()
        && old.types.iter().zip(&new.types).all(|(old, new)| {
            let mut repriced = new.clone();
            repriced.spot_price = old.spot_price;
            !has_price_moved(old.spot_price, new.spot_price) && *old == repriced
        })
}

/// Splits a catalog into parts, in its order, none of which takes more than `max_bytes`; at least one part. `None` if a
/// single machine type takes more.
fn split(catalog: Catalog, max_bytes: usize) -> Option<Vec<Catalog>> {
    if stored_bytes(&catalog) <= max_bytes {
        return Some(vec![catalog]);
    }
    let mut parts = vec![Catalog::default()];
    for machine_type in catalog.types {
        let part = parts.last_mut()?;
        part.types.push(machine_type);
        if stored_bytes(part) > max_bytes {
            let types = part.types.pop().into_iter().collect();
            parts.push(Catalog { types });
        }
    }
    let fits = parts
        .iter()
        .all(|part| !part.types.is_empty() && stored_bytes(part) <= max_bytes);
    fits.then_some(parts)
}

impl Controller {
    /// Handles the result of reading the catalog.
    pub(super) fn on_catalog_read(&mut self, result: Result<CloudReply, CallError>) {
        let now = self.now.monotonic;
        match result {
            Ok(CloudReply::Catalog(catalog)) => {
                self.autoscaler.catalog.end(now + READ_INTERVAL);
                self.record_catalog(catalog);
            }
            _ => self.autoscaler.catalog.end(now + RETRY_INTERVAL),
        }
    }

    fn record_catalog(&mut self, catalog: Catalog) {
        let recorded = self.cell.types.value.as_ref();
        if recorded.is_some_and(|old| is_equivalent(old, &catalog)) {
            return;
        }
        let types = catalog.types.len();
        let Some(parts) = split(catalog, self.limits.value_bytes()) else {
            tracing::error!(types, "machine type too large for the state store");
            return;
        };
        let surplus = parts.len() as u32..self.cell.catalog_parts();
        let changes = parts.len() + surplus.len();
        if changes > self.limits.max_changes() {
            tracing::error!(types, changes, "catalog too large for the state store");
            return;
        }
        let written = (0..).zip(&parts);
        let writes = written
            .map(|(part, types)| (catalog_key(part), encode(types)))
            .chain(surplus.map(|part| (catalog_key(part), None)))
            .collect();
        self.write_as_fleet_leader(writes, Purpose::Catalog(parts));
    }

    /// Handles the result of writing the catalog to the state store.
    pub(in crate::coordination) fn on_types_written(
        &mut self,
        parts: Vec<Catalog>,
        result: Result<StateResponse, CallError>,
    ) {
        match result {
            Ok(StateResponse::Applied(mod_revision)) => {
                let surplus = parts.len() as u32..self.cell.catalog_parts();
                let written = (0..).zip(parts.into_iter().map(Some));
                let changes: Vec<Change> = written
                    .chain(surplus.map(|part| (part, None)))
                    .map(|(part, types)| Change {
                        key: catalog_key(part),
                        content: types.map(Content::Types),
                        mod_revision,
                    })
                    .collect();
                let mut changes_seen = CellChanges::default();
                self.cell.apply(changes, &mut changes_seen);
                self.on_cell_changed(&changes_seen);
            }
            _ => {
                self.autoscaler.catalog.next = self.now.monotonic + RETRY_INTERVAL;
                self.replica.request_barrier();
            }
        }
    }
}
