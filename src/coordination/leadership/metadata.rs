//! The cell's metadata record: its creation, and the minimum interval between all writes of it.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{KeyChange, StateRequest, Transaction, encode};
use crate::storage::ids::ShardId;
use crate::storage::records::{INITIAL_FORMAT, Key, MetaRecord};
use crate::time::Micros;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Minimum interval between two writes.
const MIN_WRITE_INTERVAL: Micros = Micros::millis(500);

/// Maximum number of shards of a cell unless the operator sets another number. Each shard adds one more record to many
/// commit rounds, so there are only as many as are needed to spread the work.
const MAX_DEFAULT_SHARDS: usize = 64;

/// When the metadata record may be written again.
#[derive(Debug, Default)]
pub(super) struct MetadataWriter {
    next_write: Micros,
}

impl MetadataWriter {
    /// The time from which a write is allowed, if that is later than `now`.
    pub(super) fn not_before(&self, now: Micros) -> Option<Micros> {
        (now < self.next_write).then_some(self.next_write)
    }

    /// Records an attempt to write now.
    pub(super) fn on_attempt(&mut self, now: Micros) {
        self.next_write = now + MIN_WRITE_INTERVAL;
    }
}

impl Controller {
    /// Creates the metadata record of an empty state store.
    pub(super) fn drive_metadata(&mut self) {
        let now = self.now.monotonic;
        if let Some(due) = self.leadership.metadata.not_before(now) {
            self.wake_at(due);
            return;
        }
        self.leadership.metadata.on_attempt(now);
        let record = self.initial_metadata();
        self.write_metadata(vec![(Key::Meta, 0)], encode(&record));
    }

    fn initial_metadata(&self) -> MetaRecord {
        let teams: Vec<&str> = self
            .settings
            .teams
            .iter()
            .filter(|team| team.has_guarantee_or_limit())
            .map(|team| team.name.as_str())
            .collect();
        let default_shards = self.settings.controller_count().max(teams.len());
        let shards = self
            .operator_settings
            .shards
            .unwrap_or(default_shards.clamp(1, MAX_DEFAULT_SHARDS));
        let teams: BTreeMap<String, ShardId> = teams
            .into_iter()
            .enumerate()
            .map(|(index, team)| (team.to_owned(), index % shards))
            .collect();
        MetaRecord {
            record_format: INITIAL_FORMAT,
            shards,
            teams,
        }
    }

    /// Writes the metadata record if each key of `conditions` has the given revision.
    pub(super) fn write_metadata(
        &mut self,
        conditions: Vec<(Key, u64)>,
        value: Option<Box<RawValue>>,
    ) {
        let transaction = Transaction {
            conditions,
            changes: vec![KeyChange {
                key: Key::Meta,
                value,
                lease_id: None,
            }],
        };
        self.budget.charge(self.now.monotonic, 1);
        self.send_state_request(Purpose::Meta, StateRequest::Transaction(transaction));
    }
}
