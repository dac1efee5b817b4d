//! Failover: recovers what dead consumers have answered, and removes what they have left behind.

use super::{BrokerCommand, DeliveryStateMachine, MIN_RETRY_DELAY, ReceiptsResponse};
use crate::message::MessageKey;
use crate::orphans::SettledConsumer;
use crate::pending_message::Stage;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry};
use crate::time::{Micros, SECOND};
use rand::RngExt;

/// How often the log is searched for dead consumers.
const ORPHAN_CHECK_INTERVAL: Micros = 15 * SECOND;
/// Most consumers that are checked in one search.
const MAX_CONSUMERS_PER_CHECK: usize = 4;

impl DeliveryStateMachine {
    /// Retries claims that need not wait any more: the claimant is no longer running, or the entry is not its claim.
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

    pub(super) fn on_receipts_read(&mut self, consumer: ConsumerId, receipts: ReceiptsResponse) {
        // The replica of the log may be older than the claims that the receipts are about.
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

    /// Records in the log that a dead consumer has answered a message; repeated until the log says so.
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

    /// Handles the outcome of a change of another consumer's state: it was written, or the log has another state.
    pub(super) fn on_orphan_state_outcome(&mut self, consumer: ConsumerId, succeeded: bool) {
        if !self.orphans.is_tracked(consumer) {
            return;
        }
        let is_final = matches!(
            self.log.consumer_state(consumer),
            Some(ConsumerState::Settled | ConsumerState::ReceiptsLost)
        );
        self.command(BrokerCommand::ReleaseReceipts {
            consumer,
            delete_queue: succeeded && is_final,
        });
        let waiting = self.orphans.remove_consumer(consumer);
        self.retry_claims(waiting);
    }

    /// Deregisters a settled consumer whose receipt queue is deleted, since nothing of it is needed any more.
    pub(super) fn deregister_settled(&mut self, consumer: ConsumerId) {
        self.log
            .change_consumer(consumer, Some(ConsumerState::Settled), None);
    }

    pub(super) fn next_orphan_check(&self) -> Micros {
        self.last_orphan_check + ORPHAN_CHECK_INTERVAL
    }

    /// Advances the recovery of everything that dead consumers have left behind.
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
        for settled in self.orphans.take_settled() {
            self.write_final_state(settled);
        }
    }

    fn read_receipts(&mut self, consumer: ConsumerId) {
        if let Some(state) = self.log.consumer_state(consumer)
            && self.orphans.begin_read(consumer, state)
        {
            self.command(BrokerCommand::ReadReceipts(consumer));
        }
    }

    fn write_final_state(&mut self, settled: SettledConsumer) {
        let consumer = settled.consumer;
        let state = self.log.consumer_state(consumer);
        // Either another process has already written the final state, which stays, or the consumer has become active
        // since the read.
        if state != Some(settled.state_when_read) {
            self.on_orphan_state_outcome(consumer, false);
            return;
        }
        // A consumer that was never active has answered nothing, so no answers are lost.
        let has_lost_answers =
            settled.receipts_lost && settled.state_when_read == ConsumerState::Active;
        let final_state = if has_lost_answers {
            ConsumerState::ReceiptsLost
        } else {
            ConsumerState::Settled
        };
        tracing::info!(%consumer, ?final_state, "consumer declared dead");
        self.log.change_consumer(consumer, state, Some(final_state));
    }

    /// Checks a random selection of the other registered consumers.
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
            ConsumerState::Settled => self.command(BrokerCommand::ReleaseReceipts {
                consumer,
                delete_queue: true,
            }),
            // The consumer stays registered as long as there are claims that only its receipts could have settled.
            ConsumerState::ReceiptsLost if !self.log.has_claims_of(consumer) => {
                self.log
                    .change_consumer(consumer, Some(ConsumerState::ReceiptsLost), None);
            }
            ConsumerState::ReceiptsLost => {}
        }
    }
}
