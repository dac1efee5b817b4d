//! Transactions with the broker: answers together with acknowledgements and a receipt.

use super::{BrokerCommand, BrokerTransaction, DeliveryStateMachine, DeliveryTag};
use crate::message::MessageKey;
use crate::pending_message::{PendingMessage, Stage};

/// Most answers in one transaction.
const MAX_PUBLICATIONS_PER_TRANSACTION: usize = 64;

/// A message in the transaction in flight.
#[derive(Clone, Debug)]
pub(super) struct CommittingMessage {
    key: MessageKey,
    /// The deliveries that the transaction acknowledges.
    acked_tags: Vec<DeliveryTag>,
}

impl CommittingMessage {
    fn new(key: MessageKey, pending: &PendingMessage) -> CommittingMessage {
        CommittingMessage {
            key,
            acked_tags: pending.unacked.clone(),
        }
    }
}

impl DeliveryStateMachine {
    /// Begins a transaction with everything that waits for one, unless one is in flight.
    pub(super) fn commit_transaction(&mut self) {
        if self.transaction.is_some() {
            return;
        }
        let mut transaction = BrokerTransaction::default();
        let mut messages = Vec::new();
        self.add_answers(&mut transaction, &mut messages);
        self.add_acknowledgements(&mut transaction, &mut messages);
        transaction.status_updates = std::mem::take(&mut self.status_updates);
        transaction.obsolete_receipts = std::mem::take(&mut self.obsolete_receipts);
        if transaction != BrokerTransaction::default() {
            self.counters.commits += 1;
            self.transaction = Some(messages);
            self.command(BrokerCommand::Commit(transaction));
        }
    }

    fn add_answers(
        &mut self,
        transaction: &mut BrokerTransaction,
        messages: &mut Vec<CommittingMessage>,
    ) {
        while transaction.publications.len() < MAX_PUBLICATIONS_PER_TRANSACTION {
            let Some(key) = self.claimed_messages.pop_front() else {
                return;
            };
            let pending = self.messages.get_mut(&key);
            let Some(pending) = pending.filter(|p| p.stage == Stage::Claimed) else {
                continue;
            };
            pending.stage = Stage::Committing;
            transaction.publications.extend(pending.publication(key));
            transaction.acks.extend(&pending.unacked);
            messages.push(CommittingMessage::new(key, pending));
        }
    }

    fn add_acknowledgements(
        &mut self,
        transaction: &mut BrokerTransaction,
        messages: &mut Vec<CommittingMessage>,
    ) {
        let needs_acknowledgement = |pending: &&PendingMessage| {
            !pending.unacked.is_empty() && matches!(pending.stage, Stage::Settled | Stage::Answered)
        };
        for key in std::mem::take(&mut self.to_acknowledge) {
            if let Some(pending) = self.messages.get(&key).filter(needs_acknowledgement) {
                transaction.acks.extend(&pending.unacked);
                messages.push(CommittingMessage::new(key, pending));
            }
        }
    }

    pub(super) fn on_committed(&mut self) {
        for CommittingMessage { key, acked_tags } in self.transaction.take().unwrap_or_default() {
            let Some(pending) = self.messages.get_mut(&key) else {
                continue;
            };
            pending.unacked.retain(|tag| !acked_tags.contains(tag));
            match pending.stage {
                Stage::Committing => self.on_answered(key),
                Stage::Settled => self.settle(key),
                _ => {}
            }
        }
    }

    fn on_answered(&mut self, key: MessageKey) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        self.counters.answered += 1;
        self.counters.possible_duplicates += u64::from(pending.maybe_duplicate);
        let took_ms = self.now.saturating_sub(pending.received_at) / 1_000;
        tracing::info!(job = pending.job(), message = %key, outcome = ?pending.outcome, took_ms, "answered");
        pending.stage = Stage::Answered;
        if !pending.unacked.is_empty() {
            self.to_acknowledge.insert(key);
        }
        self.record_answered(key);
    }
}
