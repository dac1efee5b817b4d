//! Detects when the broker closes a connection or a channel.

use super::ConnectionError;
use amqprs::callbacks::{ChannelCallback, ConnectionCallback};
use amqprs::channel::Channel;
use amqprs::connection::Connection;
use amqprs::error::Error;
use amqprs::{Ack, BasicProperties, Cancel, Close, CloseChannel, Nack, Return};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::sync::Notify;

/// AMQP reply code for a queue that does not exist.
pub(super) const NOT_FOUND: u16 = 404;

/// Why the broker closed a connection or channel.
#[derive(Clone, Debug)]
struct CloseReason {
    code: u16,
    text: String,
}

/// Remembers the last reason that the broker gave for closing a connection or channel.
#[derive(Clone, Debug, Default)]
pub(super) struct ClosureWatch {
    reason: Arc<Mutex<Option<CloseReason>>>,
    closed: Arc<Notify>,
}

impl ClosureWatch {
    /// Waits until the broker closes the connection or channel.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Whether the connection or channel was closed because a queue does not exist.
    pub fn is_not_found(&self) -> bool {
        let reason = self.reason.lock();
        reason
            .as_ref()
            .is_some_and(|reason| reason.code == NOT_FOUND)
    }

    /// The reason as an error.
    pub fn error(&self) -> ConnectionError {
        match self.reason.lock().clone() {
            Some(CloseReason { code, text }) => {
                ConnectionError::ClosedByBroker { code, reason: text }
            }
            None => ConnectionError::ClosedWithoutReason,
        }
    }

    fn record(&self, code: u16, text: &str) {
        *self.reason.lock() = Some(CloseReason {
            code,
            text: text.to_owned(),
        });
        self.closed.notify_one();
    }
}

#[async_trait]
impl ConnectionCallback for ClosureWatch {
    async fn close(&mut self, _: &Connection, close: Close) -> Result<(), Error> {
        self.record(close.reply_code(), close.reply_text());
        Ok(())
    }

    async fn blocked(&mut self, _: &Connection, reason: String) {
        tracing::error!(reason, "broker blocked publishing: memory or disk is low");
    }

    async fn unblocked(&mut self, _: &Connection) {
        tracing::info!("broker unblocked publishing");
    }

    async fn secret_updated(&mut self, _: &Connection) {}
}

#[async_trait]
impl ChannelCallback for ClosureWatch {
    async fn close(&mut self, _: &Channel, close: CloseChannel) -> Result<(), Error> {
        self.record(close.reply_code(), close.reply_text());
        Ok(())
    }

    /// A consumer is cancelled when its queue is deleted. That ends the connection; the next one finds out which
    /// queues exist.
    async fn cancel(&mut self, _: &Channel, _: Cancel) -> Result<(), Error> {
        self.record(NOT_FOUND, "a consumer was cancelled by the broker");
        Ok(())
    }

    async fn flow(&mut self, _: &Channel, active: bool) -> Result<bool, Error> {
        Ok(active)
    }

    async fn publish_ack(&mut self, _: &Channel, _: Ack) {}

    async fn publish_nack(&mut self, _: &Channel, _: Nack) {}

    async fn publish_return(&mut self, _: &Channel, _: Return, _: BasicProperties, _: Vec<u8>) {}
}
