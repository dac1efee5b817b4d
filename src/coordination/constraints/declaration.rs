//! Declaration and withdrawal of rule sets in the state store.

use super::Rules;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{KeyChange, StateRequest, Transaction, encode};
use crate::storage::records::Key;
use crate::time::Micros;
use cometlead_constraints::RuleSet;
use std::collections::BTreeMap;

/// Minimum time between two writes of rule sets.
const WRITE_INTERVAL: Micros = Micros::millis(500);

/// Which controllers use which rule set, and the state of writes of rule sets.
#[derive(Debug, Default)]
pub(super) struct Declaration {
    /// Digest of the rule set that each controller was last seen with, whether the controller is alive or not.
    by_controller: BTreeMap<String, Option<u64>>,
    write_in_flight: bool,
    next_write: Micros,
}

impl Declaration {
    fn may_write(&self, now: Micros) -> bool {
        !self.write_in_flight && now >= self.next_write
    }

    fn begin_write(&mut self, now: Micros) {
        self.write_in_flight = true;
        self.next_write = now + WRITE_INTERVAL;
    }

    /// Whether a controller has been seen, and did not use this rule set when it was last seen.
    fn last_seen_without(&self, controller: &str, digest: u64) -> bool {
        self.by_controller
            .get(controller)
            .is_some_and(|used| *used != Some(digest))
    }
}

impl Rules {
    /// The rule set that this controller was started with, if it is not declared.
    fn undeclared(&self, declared: impl Fn(u64) -> bool) -> Option<&RuleSet> {
        self.own.as_deref().filter(|own| !declared(own.digest))
    }
}

impl Controller {
    /// Records which rule sets the live controllers were started with.
    pub(in crate::coordination) fn record_declared_rules(&mut self) {
        for (name, node) in &self.cell.nodes {
            self.rules
                .declaration
                .by_controller
                .insert(name.clone(), node.value.rules);
        }
    }

    /// Declares this controller's rule set if it is missing; otherwise withdraws one that no controller uses.
    pub(in crate::coordination) fn drive_rules(&mut self) {
        let now = self.now.monotonic;
        if !self.replica.is_ready()
            || !self.enforces_rules()
            || !self.rules.declaration.may_write(now)
        {
            return;
        }
        let Some(txn) = self.declaration().or_else(|| self.withdrawal()) else {
            return;
        };
        self.rules.declaration.begin_write(now);
        self.budget.charge(now, 1);
        self.send_state_request(Purpose::Rules, StateRequest::Transaction(txn));
    }

    /// A write of rule sets was answered, whatever its outcome.
    pub(in crate::coordination) fn on_rules_written(&mut self) {
        self.rules.declaration.write_in_flight = false;
        self.replica.request_barrier();
    }

    /// The transaction that declares this controller's rule set, if it is missing.
    fn declaration(&self) -> Option<Transaction> {
        let own = self
            .rules
            .undeclared(|digest| self.cell.rules.contains_key(&digest))?;
        tracing::info!(rules = format!("{:016x}", own.digest), "rule set declared");
        let key = Key::Rules(own.digest);
        Some(Transaction {
            conditions: vec![(key.clone(), 0)],
            changes: vec![KeyChange {
                key,
                value: encode(own),
                lease_id: None,
            }],
        })
    }

    /// The transaction that withdraws a rule set that none of the configured controllers used when it was last seen.
    fn withdrawal(&self) -> Option<Transaction> {
        if !self.leads(0) {
            return None;
        }
        let (digest, set) = self
            .cell
            .rules
            .iter()
            .find(|(digest, _)| self.is_unused(**digest))?;
        tracing::info!(rules = format!("{digest:016x}"), "rule set withdrawn");
        let key = Key::Rules(*digest);
        // The transaction fails if a controller returns with the rule set at this moment.
        let nodes = self
            .cell
            .nodes
            .iter()
            .map(|(name, node)| (Key::Node(name.clone()), node.mod_revision));
        let conditions = [(key.clone(), set.mod_revision)]
            .into_iter()
            .chain(nodes)
            .take(self.limits.max_conditions())
            .collect();
        Some(Transaction {
            conditions,
            changes: vec![KeyChange {
                key,
                value: None,
                lease_id: None,
            }],
        })
    }

    fn is_unused(&self, digest: u64) -> bool {
        let others = self.settings.peers.iter().map(|other| &other.node);
        others
            .chain([&self.settings.node])
            .all(|controller| self.rules.declaration.last_seen_without(controller, digest))
    }
}
