//! Claims: only one of the consumers that have copies of a message may answer it.

use super::DeliveryStateMachine;
use crate::message::MessageKey;
use crate::pending_message::Stage;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry};
use crate::replicated_log::{ChangeOutcome, StateResponse};
use crate::reply::Outcome;

impl DeliveryStateMachine {
    /// Handles the outcome of a message's job: claims the message if something has to be published for it, otherwise
    /// settles it.
    pub(super) fn on_outcome(&mut self, key: MessageKey, outcome: Outcome) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        if let Outcome::Refused(reason) = &outcome {
            self.counters.refused += 1;
            tracing::info!(job = pending.job(), message = %key, reason, "refused");
        }
        pending.outcome = Some(outcome);
        if pending.needs_publication() {
            self.claim(key);
            return;
        }
        if pending.is_refused() {
            let queue = &pending.message.queue;
            tracing::error!(job = pending.job(), message = %key, queue, "dropped: no reply address and no dead-letter queue");
        }
        self.settle(key);
    }

    /// Claims the right to answer a message, as far as its entry in the log permits.
    pub(super) fn claim(&mut self, key: MessageKey) {
        if !self.messages.contains_key(&key) {
            return;
        }
        let Some(current) = self.log.entry(key) else {
            self.write_claim(key, 0);
            return;
        };
        match current.entry {
            ProgressEntry::Answered { .. } => self.on_already_answered(key),
            // The claim was not used yet: a message that this consumer has answered stays pending until the log records
            // the answer.
            ProgressEntry::Claimed { by, .. } if by == self.own_id => {
                self.set_stage(key, Stage::Claimed);
                self.claimed_messages.push_back(key);
            }
            ProgressEntry::Claimed { by, .. } => self.take_over_claim(key, by, current.version),
        }
    }

    /// Handles a claim of another consumer: waits until it is known whether that consumer has answered, or replaces
    /// the claim if the consumer is dead.
    fn take_over_claim(&mut self, key: MessageKey, claimant: ConsumerId, version: u16) {
        let state = self.log.consumer_state(claimant);
        if state.is_some_and(ConsumerState::may_be_running) {
            self.set_stage(key, Stage::AwaitingClaimant);
            self.orphans.await_claimant(claimant, key);
            return;
        }
        // The log contains all receipts of a dead consumer, so it has not answered this message unless they were lost.
        self.counters.claims_taken_over += 1;
        if let Some(pending) = self.messages.get_mut(&key) {
            tracing::info!(job = pending.job(), message = %key, %claimant, "taking over the claim of a dead consumer");
            if state == Some(ConsumerState::ReceiptsLost) {
                tracing::error!(job = pending.job(), message = %key, "receipts were lost: the message may be answered twice");
                pending.maybe_duplicate = true;
            }
        }
        self.write_claim(key, version);
    }

    fn write_claim(&mut self, key: MessageKey, expected_version: u16) {
        self.set_stage(key, Stage::Claiming);
        let claim = ProgressEntry::Claimed {
            by: self.own_id,
            at_s: self.now_s(),
        };
        self.log.write_entry(key, expected_version, claim);
    }

    fn set_stage(&mut self, key: MessageKey, stage: Stage) {
        if let Some(pending) = self.messages.get_mut(&key) {
            pending.stage = stage;
        }
    }

    pub(super) fn is_answered(&self, key: MessageKey) -> bool {
        let current = self.log.entry(key);
        current.is_some_and(|c| matches!(c.entry, ProgressEntry::Answered { .. }))
    }

    pub(super) fn on_already_answered(&mut self, key: MessageKey) {
        self.counters.duplicate_deliveries += 1;
        tracing::info!(message = %key, "already answered");
        self.settle(key);
    }

    /// Marks a message as settled: only its deliveries remain to be acknowledged.
    pub(super) fn settle(&mut self, key: MessageKey) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        pending.stage = Stage::Settled;
        if pending.unacked.is_empty() {
            self.messages.remove(&key);
        } else {
            self.to_acknowledge.insert(key);
        }
    }

    pub(super) fn on_state_response(&mut self, response: StateResponse) {
        self.log.handle_response(self.now, response);
        self.handle_log_outcomes();
        self.check_own_state();
        self.retry_resolved_claims();
    }

    /// Handles the outcomes of changes of the log. Returns whether there were any.
    pub(super) fn handle_log_outcomes(&mut self) -> bool {
        let outcomes = self.log.take_outcomes();
        let any = !outcomes.is_empty();
        for outcome in outcomes {
            match outcome {
                ChangeOutcome::Entry { key, .. } => self.on_entry_outcome(key),
                ChangeOutcome::Consumer {
                    consumer,
                    succeeded,
                } if consumer == self.own_id => self.on_own_state_outcome(succeeded),
                ChangeOutcome::Consumer {
                    consumer,
                    succeeded,
                } => self.on_orphan_state_outcome(consumer, succeeded),
            }
        }
        any
    }

    /// Handles the outcome of a change of an entry: it was written, or the log has another entry.
    fn on_entry_outcome(&mut self, key: MessageKey) {
        for consumer in self.orphans.consumers_with_receipt(key) {
            self.settle_receipt(consumer, key);
        }
        match self.messages.get(&key).map(|pending| pending.stage) {
            Some(Stage::Claiming) => self.claim(key),
            Some(Stage::Answered) => self.record_answered(key),
            _ => {}
        }
    }

    /// Records in the log that this consumer has answered a message; repeated until the log says so.
    pub(super) fn record_answered(&mut self, key: MessageKey) {
        match self.log.entry(key) {
            Some(current) if current.entry.claimant().is_some() => {
                let at_s = self.now_s();
                self.log
                    .write_entry(key, current.version, ProgressEntry::Answered { at_s });
            }
            _ => {
                self.obsolete_receipts.push(key);
                self.settle(key);
            }
        }
    }
}
