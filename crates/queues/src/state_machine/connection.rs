//! Lifecycle of the connection: registration in the log, and orderly shutdown.

use super::{BrokerCommand, DeliveryStateMachine, Effect};
use crate::pending_message::Stage;
use crate::progress::ConsumerState;

/// Phase of the present connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// There is no connection.
    Disconnected,
    /// The registration of the connection is being written to the log.
    Registering,
    /// Its receipt queue is being opened.
    OpeningReceiptQueue,
    /// Its activation is being written to the log.
    Activating,
    /// It consumes messages.
    Active,
    /// Everything is answered: the log is told, the receipt queue is deleted, and the consumer is deregistered.
    Settling,
}

impl DeliveryStateMachine {
    pub(super) fn on_connected(&mut self, connection: u64) {
        self.own_id.connection = connection;
        self.connection = ConnectionPhase::Registering;
        let registered = Some(ConsumerState::Registered);
        self.log.change_consumer(self.own_id, None, registered);
    }

    pub(super) fn on_receipt_queue_opened(&mut self, succeeded: bool) {
        if !succeeded {
            self.command(BrokerCommand::Reconnect);
        } else if self.connection == ConnectionPhase::OpeningReceiptQueue {
            self.connection = ConnectionPhase::Activating;
            self.log.change_consumer(
                self.own_id,
                Some(ConsumerState::Registered),
                Some(ConsumerState::Active),
            );
        }
    }

    /// Discards all pending messages: the broker redelivers what is not acknowledged, and receipts show whether the
    /// transaction in flight was committed.
    pub(super) fn on_disconnected(&mut self) {
        self.messages.clear();
        self.schedule.clear();
        self.messages_by_request.clear();
        self.claimed_messages.clear();
        self.to_acknowledge.clear();
        self.status_updates.clear();
        self.transaction = None;
        self.obsolete_receipts.clear();
        self.orphans.clear();
        self.log.abandon_changes();
        self.connection = ConnectionPhase::Disconnected;
    }

    /// Handles the outcome of a change of this consumer's state: it was written, or the log has another state.
    pub(super) fn on_own_state_outcome(&mut self, succeeded: bool) {
        match self.connection {
            ConnectionPhase::Registering if succeeded => {
                self.connection = ConnectionPhase::OpeningReceiptQueue;
                self.command(BrokerCommand::OpenReceiptQueue(self.own_id));
            }
            ConnectionPhase::Activating if succeeded => {
                self.connection = ConnectionPhase::Active;
                tracing::info!(consumer = %self.own_id, "consuming messages");
                self.command(BrokerCommand::StartConsuming);
            }
            ConnectionPhase::Registering | ConnectionPhase::Activating => {
                self.command(BrokerCommand::Reconnect);
            }
            ConnectionPhase::Settling => self.finish_settling(),
            ConnectionPhase::Disconnected
            | ConnectionPhase::OpeningReceiptQueue
            | ConnectionPhase::Active => {}
        }
    }

    fn finish_settling(&mut self) {
        if self.log.consumer_state(self.own_id) == Some(ConsumerState::Settled) {
            self.command(BrokerCommand::ReleaseReceipts {
                consumer: self.own_id,
                delete_queue: true,
            });
        } else {
            self.finish();
        }
    }

    /// Reconnects if another process has declared this consumer dead: whatever the reason, this consumer must not
    /// answer any more.
    pub(super) fn check_own_state(&mut self) {
        let is_active = self.log.consumer_state(self.own_id) == Some(ConsumerState::Active);
        if self.connection == ConnectionPhase::Active && !is_active {
            tracing::error!(consumer = %self.own_id, "another process has declared this consumer dead");
            self.command(BrokerCommand::Reconnect);
        }
    }

    pub(super) fn begin_shutdown(&mut self) {
        self.is_stopping = true;
        self.schedule.clear();
    }

    /// Once all work in progress is answered, deregisters the consumer and deletes its receipt queue.
    pub(super) fn advance_shutdown(&mut self) {
        match self.connection {
            ConnectionPhase::Active if self.has_work_in_progress() => {}
            ConnectionPhase::Active => {
                self.connection = ConnectionPhase::Settling;
                self.log.change_consumer(
                    self.own_id,
                    Some(ConsumerState::Active),
                    Some(ConsumerState::Settled),
                );
            }
            ConnectionPhase::Settling => {}
            _ => self.finish(),
        }
    }

    fn has_work_in_progress(&self) -> bool {
        let is_in_progress = |stage: Stage| {
            matches!(
                stage,
                Stage::RequestInFlight(_)
                    | Stage::Claiming
                    | Stage::Claimed
                    | Stage::Committing
                    | Stage::Answered
            )
        };
        self.transaction.is_some()
            || !self.obsolete_receipts.is_empty()
            || !self.status_updates.is_empty()
            || !self.to_acknowledge.is_empty()
            || self.messages.values().any(|m| is_in_progress(m.stage))
    }

    fn finish(&mut self) {
        if !std::mem::replace(&mut self.is_finished, true) {
            self.effects.push(Effect::Finished);
        }
    }
}
