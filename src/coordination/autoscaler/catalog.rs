//! The catalog of machine types and prices, read from the cloud and kept in the state store.

use crate::coordination::{Controller, Purpose};
use crate::protocol::cloud::CloudReply;
use crate::protocol::state::{CallError, StateResponse, encode};
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::records::Key;
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
        let is_known = recorded.is_some_and(|old| is_equivalent(old, &catalog));
        let value = encode(&catalog);
        let bytes = value.as_ref().map_or(0, |v| v.get().len());
        if is_known || bytes > self.limits.value_bytes() {
            return;
        }
        let mod_revision = self.cell.types.mod_revision;
        self.write_as_fleet_leader(Key::Types, mod_revision, value, Purpose::Catalog(catalog));
    }

    /// Handles the result of writing the catalog to the state store.
    pub(in crate::coordination) fn on_types_written(
        &mut self,
        types: Catalog,
        result: Result<StateResponse, CallError>,
    ) {
        match result {
            Ok(StateResponse::Applied(mod_revision)) => {
                let change = Change {
                    key: Key::Types,
                    content: Some(Content::Types(types)),
                    mod_revision,
                };
                let mut changes = CellChanges::default();
                self.cell.apply([change], &mut changes);
                self.on_cell_changed(&changes);
            }
            _ => {
                self.autoscaler.catalog.next = self.now.monotonic + RETRY_INTERVAL;
                self.replica.request_barrier();
            }
        }
    }
}
