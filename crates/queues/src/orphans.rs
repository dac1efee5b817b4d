//! Deliveries of consumers that are or may be dead: the messages that they have claimed, and the receipts that show
//! which of them were answered.

use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The receipts that a dead consumer has left.
#[derive(Clone, Debug)]
struct OrphanedReceipts {
    /// Messages that it has answered but that are not recorded as answered in the log yet.
    unsettled: BTreeSet<MessageKey>,
    /// Its state before its receipts were read; a consumer that has advanced since may have left more receipts.
    state_when_read: ConsumerState,
    /// The read of the log that has to be completed before the entries are compared with the receipts.
    awaited_log_read: Option<u64>,
    /// The broker has lost the receipts.
    are_lost: bool,
    /// The consumer's final state is being written to the log.
    is_writing_final_state: bool,
}

/// Pending messages that a certain other consumer has claimed.
#[derive(Clone, Debug, Default)]
struct AwaitedClaims {
    /// Its receipts are not requested before this time.
    retry_at: Micros,
    messages: BTreeSet<MessageKey>,
}

/// A dead consumer whose receipts are all recorded in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SettledConsumer {
    pub consumer: ConsumerId,
    /// Its state before its receipts were read.
    pub state_when_read: ConsumerState,
    /// The broker has lost its receipts.
    pub receipts_lost: bool,
}

/// Tracks consumers that are or may be dead.
#[derive(Debug, Default)]
pub(crate) struct OrphanedDeliveries {
    /// Consumers whose receipts are being read, with their states at the beginning of the read.
    reading: BTreeMap<ConsumerId, ConsumerState>,
    receipts: BTreeMap<ConsumerId, OrphanedReceipts>,
    awaited: BTreeMap<ConsumerId, AwaitedClaims>,
}

impl OrphanedDeliveries {
    /// Begins a read of a consumer's receipts. Returns false if they are being read or were read already.
    pub fn begin_read(&mut self, consumer: ConsumerId, state: ConsumerState) -> bool {
        let is_new = !self.is_tracked(consumer);
        if is_new {
            self.reading.insert(consumer, state);
        }
        is_new
    }

    /// Whether a consumer's receipts are being read or were read.
    pub fn is_tracked(&self, consumer: ConsumerId) -> bool {
        self.receipts.contains_key(&consumer) || self.reading.contains_key(&consumer)
    }

    /// Makes a pending message wait until it is known whether this claimant has answered it.
    pub fn await_claimant(&mut self, claimant: ConsumerId, message: MessageKey) {
        let claims = self.awaited.entry(claimant).or_default();
        claims.messages.insert(message);
    }

    /// Removes and returns the messages that need not wait for their claimants any more.
    pub fn take_resolved(
        &mut self,
        is_unresolved: impl Fn(ConsumerId, MessageKey) -> bool,
    ) -> Vec<MessageKey> {
        let mut resolved = Vec::new();
        for (claimant, claims) in &mut self.awaited {
            let (waiting, done): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut claims.messages)
                .into_iter()
                .partition(|message| is_unresolved(*claimant, *message));
            claims.messages = waiting;
            resolved.extend(done);
        }
        self.awaited.retain(|_, claims| !claims.messages.is_empty());
        resolved
    }

    /// Consumers whose receipts are to be read now because messages wait for them.
    pub fn due_reads(&self, now: Micros) -> Vec<ConsumerId> {
        let due = self.untracked_claims().filter(|(_, c)| c.retry_at <= now);
        due.map(|(consumer, _)| consumer).collect()
    }

    /// Postpones a read until `retry_at`: the consumer may still commit, so its receipts cannot be read before.
    pub fn postpone_read(&mut self, consumer: ConsumerId, retry_at: Micros) {
        self.reading.remove(&consumer);
        if let Some(claims) = self.awaited.get_mut(&consumer) {
            claims.retry_at = retry_at;
        }
    }

    /// Adds the receipts that a consumer has left; `None` if the broker has lost them.
    ///
    /// They are compared with the log once the given read of the log is completed. Receipts that nobody requested
    /// are ignored, since the consumer's state before the read is unknown.
    pub fn add_receipts(
        &mut self,
        consumer: ConsumerId,
        answered: Option<BTreeSet<MessageKey>>,
        awaited_log_read: u64,
    ) {
        let Some(state_when_read) = self.reading.remove(&consumer) else {
            return;
        };
        let receipts = OrphanedReceipts {
            are_lost: answered.is_none(),
            unsettled: answered.unwrap_or_default(),
            state_when_read,
            awaited_log_read: Some(awaited_log_read),
            is_writing_final_state: false,
        };
        self.receipts.insert(consumer, receipts);
    }

    /// Returns each receipt once, when the read of the log that it waits for is completed.
    pub fn take_checkable(
        &mut self,
        is_completed: impl Fn(u64) -> bool,
    ) -> Vec<(ConsumerId, MessageKey)> {
        let mut checkable = Vec::new();
        for (consumer, receipts) in &mut self.receipts {
            if receipts.awaited_log_read.is_some_and(&is_completed) {
                receipts.awaited_log_read = None;
                checkable.extend(receipts.unsettled.iter().map(|key| (*consumer, *key)));
            }
        }
        checkable
    }

    /// Dead consumers whose unsettled receipts name this message.
    pub fn consumers_with_receipt(&self, message: MessageKey) -> Vec<ConsumerId> {
        let with_receipt = self
            .receipts
            .iter()
            .filter(|(_, receipts)| receipts.unsettled.contains(&message));
        with_receipt.map(|(consumer, _)| *consumer).collect()
    }

    /// Marks a receipt as settled, because the log agrees with it.
    pub fn settle_receipt(&mut self, consumer: ConsumerId, message: MessageKey) {
        if let Some(receipts) = self.receipts.get_mut(&consumer) {
            receipts.unsettled.remove(&message);
        }
    }

    /// Returns each consumer once, when all its receipts are settled.
    pub fn take_settled(&mut self) -> Vec<SettledConsumer> {
        let unreported = self.receipts.iter_mut().filter(|(_, receipts)| {
            receipts.unsettled.is_empty()
                && receipts.awaited_log_read.is_none()
                && !receipts.is_writing_final_state
        });
        let settled = unreported.map(|(consumer, receipts)| {
            receipts.is_writing_final_state = true;
            SettledConsumer {
                consumer: *consumer,
                state_when_read: receipts.state_when_read,
                receipts_lost: receipts.are_lost,
            }
        });
        settled.collect()
    }

    /// Removes a consumer whose final state is in the log. Returns the messages that have waited for it.
    pub fn remove_consumer(&mut self, consumer: ConsumerId) -> BTreeSet<MessageKey> {
        self.receipts.remove(&consumer);
        self.awaited.remove(&consumer).unwrap_or_default().messages
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = OrphanedDeliveries::default();
    }

    /// When a read may be due next; [`Micros::MAX`] if none is wanted.
    pub fn next_wake(&self) -> Micros {
        let times = self.untracked_claims().map(|(_, claims)| claims.retry_at);
        times.min().unwrap_or(Micros::MAX)
    }

    fn untracked_claims(&self) -> impl Iterator<Item = (ConsumerId, &AwaitedClaims)> {
        let claims = self.awaited.iter().map(|(c, claims)| (*c, claims));
        claims.filter(|(consumer, _)| !self.is_tracked(*consumer))
    }
}
