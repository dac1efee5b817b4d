//! The node's own record, by which all controllers know that this process is alive.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{
    CallError, KeyChange, StateRequest, StateResponse, Transaction, encode,
};
use crate::storage::records::{INITIAL_FORMAT, Key, NodeRecord};
use crate::storage::restart_history::RestartHistory;
use crate::time::Micros;

/// Minimum time between the response to a write and the next write.
const MIN_WRITE_INTERVAL: Micros = Micros::millis(400);

/// When and with what restart history the node record is written.
#[derive(Debug, Default)]
pub(super) struct NodeRecordWriter {
    write_in_flight: bool,
    next_write: Micros,
    /// Recent starts of this controller, including this one; set once the record of an earlier run has been read.
    restart_history: Option<RestartHistory>,
}

impl NodeRecordWriter {
    /// Makes the next write due at this time.
    pub(super) fn schedule(&mut self, at: Micros) {
        self.next_write = at;
    }
}

impl Controller {
    pub(super) fn node_key(&self) -> Key {
        Key::Node(self.settings.node.clone())
    }

    /// Whether the node's record is the one of this process.
    pub(super) fn is_registered(&self) -> bool {
        let own = self.cell.nodes.get(&self.settings.node);
        own.is_some_and(|node| node.value.incarnation == self.incarnation)
    }

    /// Writes the node's record if it is missing or belongs to an earlier run, and removes it while the node is withdrawn.
    pub(super) fn drive_node_record(&mut self) {
        let now = self.now.monotonic;
        let Some(lease) = self.leadership.lease.id() else {
            return;
        };
        let withdrawn = self.connectivity.is_withdrawn();
        let key = self.node_key();
        let mod_revision = self.cell.mod_revision(&key);
        let up_to_date = if withdrawn {
            mod_revision == 0
        } else {
            self.is_registered()
        };
        if self.leadership.node_record.write_in_flight || up_to_date {
            return;
        }
        if now < self.leadership.node_record.next_write {
            self.wake_at(self.leadership.node_record.next_write);
            return;
        }
        let change = self.node_record_change(withdrawn, lease);
        let transaction = Transaction {
            conditions: vec![(key, mod_revision)],
            changes: vec![change],
        };
        self.leadership.node_record.write_in_flight = true;
        self.budget.charge(now, 1);
        self.send_state_request(Purpose::Node, StateRequest::Transaction(transaction));
    }

    /// The change that removes the record of a withdrawn node, or writes the record of this process under the lease.
    fn node_record_change(&mut self, withdrawn: bool, lease: u64) -> KeyChange {
        let value = if withdrawn {
            None
        } else {
            encode(&self.new_node_record())
        };
        KeyChange {
            key: self.node_key(),
            value,
            lease_id: (!withdrawn).then_some(lease),
        }
    }

    fn new_node_record(&mut self) -> NodeRecord {
        let record_format = self.target_format();
        NodeRecord {
            incarnation: self.incarnation,
            record_format: (record_format > INITIAL_FORMAT).then_some(record_format),
            rules: self.rules.digest(),
            restart_history: self.restart_history(),
        }
    }

    /// The restart history from the earlier run's record, with this start added. It is built only once, because later the
    /// record in the replica is that of this process.
    fn restart_history(&mut self) -> RestartHistory {
        let earlier = self
            .cell
            .nodes
            .get(&self.settings.node)
            .map(|node| node.value.restart_history.clone())
            .unwrap_or_default();
        let day = self.now.time_of_day;
        self.leadership
            .node_record
            .restart_history
            .get_or_insert_with(|| earlier.with_start(day))
            .clone()
    }

    pub(in crate::coordination) fn on_node_record_written(
        &mut self,
        result: Result<StateResponse, CallError>,
    ) {
        let now = self.now.monotonic;
        let writer = &mut self.leadership.node_record;
        writer.write_in_flight = false;
        writer.next_write = now + MIN_WRITE_INTERVAL;
        self.replica.request_barrier();
        if matches!(result, Ok(StateResponse::LeaseExpired)) {
            self.leadership.lease.on_expired(now);
        }
    }
}
