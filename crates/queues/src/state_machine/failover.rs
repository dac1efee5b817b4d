//! Failover: recovers what gone consumers have answered, and removes what they have left behind.

use super::{BrokerCommand, DeliveryStateMachine, MIN_RETRY_DELAY, ReceiptsResponse};
use crate::message::MessageKey;
use crate::orphans::DrainedConsumer;
use crate::pending_message::Stage;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry};
use crate::time::{Micros, SECOND};
use rand::RngExt;

/// How often the log is searched for gone consumers.
const ORPHAN_CHECK_INTERVAL: Micros = 15 * SECOND;
/// Most consumers that are examined in one search.
const MAX_CONSUMERS_PER_CHECK: usize = 4;

impl DeliveryStateMachine {
    /// Retries claims of messages whose claimants are settled, by state or by entry.
    pub(super) fn retry_resolved_claims(&mut self) {
        let log = &self.log;
        let is_unresolved = |claimant, key| {
            let state = log.consumer_state(claimant);
            let entry = log.entry(key);
            state.is_some_and(ConsumerState::may_be_running)
                && entry.is_some_and(|current| current.entry.claimant() == Some(claimant))
        };
        let resolved = self.orphans.take_resolved(is_unresolved);
        self.retry_claims(resolved);
    }

    fn retry_claims(&mut self, keys: impl IntoIterator<Item = MessageKey>) {
        for key in keys {
            let stage = self.messages.get(&key).map(|pending| pending.stage);
            if stage == Some(Stage::AwaitingClaimant) {
                self.claim(key);
            }
        }
    }

    pub(super) fn on_receipts(&mut self, consumer: ConsumerId, receipts: ReceiptsResponse) {
        // The copy of the log may be older than the claims that the receipts are about.
        let log_read = self.log.refresh();
        match receipts {
            ReceiptsResponse::Busy => {
                let retry_at = self.now + self.with_jitter(MIN_RETRY_DELAY);
                self.orphans.postpone_read(consumer, retry_at);
            }
            ReceiptsResponse::Complete(keys) => {
                self.orphans.add_receipts(consumer, Some(keys), log_read);
            }
            ReceiptsResponse::Lost => self.orphans.add_receipts(consumer, None, log_read),
        }
    }

    /// Writes that a gone consumer has answered a message, until the log says so.
    pub(super) fn settle_receipt(&mut self, consumer: ConsumerId, key: MessageKey) {
        match self.log.entry(key) {
            Some(current) if current.entry.claimant() == Some(consumer) => {
                let at_s = self.now_s();
                self.log
                    .write_entry(key, current.version, ProgressEntry::Answered { at_s });
            }
            _ => self.orphans.settle_receipt(consumer, key),
        }
    }

    /// A change of another consumer's state was written, or the log has another state.
    pub(super) fn on_orphan_state(&mut self, consumer: ConsumerId, succeeded: bool) {
        if !self.orphans.is_tracked(consumer) {
            return;
        }
        let is_final = matches!(
            self.log.consumer_state(consumer),
            Some(ConsumerState::Drained | ConsumerState::ReceiptsLost)
        );
        self.command(BrokerCommand::ReleaseReceipts {
            consumer,
            delete_queue: succeeded && is_final,
        });
        let waiting = self.orphans.finish(consumer);
        self.retry_claims(waiting);
    }

    /// A drained consumer's receipt queue is gone, so nothing of it is needed any more.
    pub(super) fn deregister_drained(&mut self, consumer: ConsumerId) {
        self.log
            .change_consumer(consumer, Some(ConsumerState::Drained), None);
    }

    pub(super) fn next_orphan_check(&self) -> Micros {
        self.last_orphan_check + ORPHAN_CHECK_INTERVAL
    }

    /// Advances the recovery of everything that gone consumers have left.
    pub(super) fn recover_orphans(&mut self) {
        if self.is_stopping {
            return;
        }
        for consumer in self.orphans.due_reads(self.now) {
            self.read_receipts(consumer);
        }
        if self.now >= self.next_orphan_check() {
            self.last_orphan_check = self.now;
            self.check_other_consumers();
        }
        let log = &self.log;
        let checkable = self
            .orphans
            .take_checkable(|log_read| log.has_completed_read(log_read));
        for (consumer, key) in checkable {
            self.settle_receipt(consumer, key);
        }
        for drained in self.orphans.take_drained() {
            self.write_final_state(drained);
        }
    }

    fn read_receipts(&mut self, consumer: ConsumerId) {
        if let Some(state) = self.log.consumer_state(consumer)
            && self.orphans.begin_read(consumer, state)
        {
            self.command(BrokerCommand::ReadReceipts(consumer));
        }
    }

    fn write_final_state(&mut self, drained: DrainedConsumer) {
        let consumer = drained.consumer;
        let state = self.log.consumer_state(consumer);
        // Another process was first and its finding stands; or the consumer has become active since.
        if state != Some(drained.state_when_read) {
            self.on_orphan_state(consumer, false);
            return;
        }
        // A consumer that was never active has answered nothing, so it has lost nothing.
        let has_lost_answers =
            drained.receipts_lost && drained.state_when_read == ConsumerState::Active;
        let final_state = if has_lost_answers {
            ConsumerState::ReceiptsLost
        } else {
            ConsumerState::Drained
        };
        tracing::info!(%consumer, ?final_state, "consumer is gone");
        self.log.change_consumer(consumer, state, Some(final_state));
    }

    /// Examines a random few of the other registered consumers.
    fn check_other_consumers(&mut self) {
        let others = self.log.consumers().iter().map(|(c, state)| (*c, *state));
        let mut others: Vec<(ConsumerId, ConsumerState)> = others
            .filter(|(c, _)| *c != self.own_id && !self.orphans.is_tracked(*c))
            .collect();
        while others.len() > MAX_CONSUMERS_PER_CHECK {
            let skipped = self.rng.random_range(0..others.len());
            others.swap_remove(skipped);
        }
        for (consumer, state) in others {
            self.check_consumer(consumer, state);
        }
    }

    fn check_consumer(&mut self, consumer: ConsumerId, state: ConsumerState) {
        match state {
            ConsumerState::Registered | ConsumerState::Active => self.read_receipts(consumer),
            ConsumerState::Drained => self.command(BrokerCommand::ReleaseReceipts {
                consumer,
                delete_queue: true,
            }),
            // It stays registered for as long as there are claims that only its receipts could have settled.
            ConsumerState::ReceiptsLost if !self.log.has_claims_of(consumer) => {
                self.log
                    .change_consumer(consumer, Some(ConsumerState::ReceiptsLost), None);
            }
            ConsumerState::ReceiptsLost => {}
        }
    }
}
