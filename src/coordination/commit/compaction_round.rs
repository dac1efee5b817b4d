//! Rounds that compact records which are larger than the next limits of the state store allow.

use super::PlannedRound;
use crate::coordination::Controller;
use crate::coordination::commit::transaction::compaction::is_record_larger_than;
use crate::coordination::commit::transaction::{TransactionBuilder, TransactionLimits};
use crate::storage::records::Key;

impl Controller {
    /// Finds own records that are larger than the next limits allow. Once all controllers run this
    /// version no such record is written any more, so this runs at that time, and after takeovers.
    pub(in crate::coordination) fn find_oversized_records(&mut self) {
        if !self.cell.uses_compact_encoding() {
            return;
        }
        let value_bytes = self.limits.value_bytes();
        for shard in 0..self.cell.leaders.len() {
            if !self.leads(shard) {
                continue;
            }
            let groups = self.cell.groups[shard].keys();
            let oversized = groups
                .map(|group| Key::Group(shard, *group))
                .chain([Key::Usage(shard)])
                .filter(|key| is_record_larger_than(&self.cell, key, value_bytes));
            self.rounds.add_oversized(oversized);
        }
        if !self.rounds.oversized().is_empty() {
            tracing::info!(
                records = ?self.rounds.oversized(),
                limit = value_bytes,
                "oversized records found"
            );
            self.rounds.request();
        }
    }

    /// Plans a step that compacts an oversized record, machine groups first.
    pub(super) fn plan_compaction_round(
        &mut self,
        limits: TransactionLimits,
    ) -> Option<PlannedRound> {
        let leads = |key: &Key| match key {
            Key::Group(shard, _) | Key::Usage(shard) => {
                self.leadership.leader_term(*shard).is_some()
            }
            _ => false,
        };
        self.rounds.retain_oversized(|key| {
            leads(key) && is_record_larger_than(&self.cell, key, limits.value_bytes)
        });
        if self.rounds.oversized().is_empty() {
            return None;
        }
        let bytes_by_type = self.full_record_bytes_by_type();
        let full_record_bytes =
            |machine_type: &str| bytes_by_type.get(machine_type).copied().unwrap_or(0);
        let leader_record = self.leader_record();
        for key in self.rounds.oversized() {
            let mut transaction = TransactionBuilder::new(&self.cell, limits);
            if transaction.compact(key, &leader_record, &full_record_bytes) {
                tracing::info!(record = %key, "record compaction planned");
                return Some(PlannedRound {
                    transaction: transaction.build(),
                    assigned: Vec::new(),
                    released: 0,
                });
            }
        }
        None
    }
}
