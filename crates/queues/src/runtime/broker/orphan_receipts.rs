//! Reads and deletes the receipt queues of other consumers.

use super::closure::ClosureWatch;
use super::{ConnectionError, OPERATION_TIMEOUT, with_timeout};
use crate::message::MessageKey;
use crate::progress::ConsumerId;
use crate::state_machine::ReceiptsResponse;
use crate::wire::receipts::{decode, queue_name};
use amqprs::BasicProperties;
use amqprs::channel::{
    BasicConsumeArguments, BasicPublishArguments, Channel, ConsumerMessage, QueueDeleteArguments,
};
use amqprs::connection::Connection;
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// Receipts that were read, and the channel that prevents other processes from reading them while it is open.
pub(super) struct ReceiptsRead {
    pub response: ReceiptsResponse,
    /// Present if the receipts were read completely.
    pub channel: Option<Channel>,
}

impl ReceiptsRead {
    fn without_channel(response: ReceiptsResponse) -> ReceiptsRead {
        ReceiptsRead {
            response,
            channel: None,
        }
    }
}

/// Reads all receipts of another consumer as the exclusive consumer of its receipt queue.
///
/// The broker refuses a second exclusive consumer. A refusal shows that the other consumer may still commit.
pub(super) async fn read(
    connection: &Connection,
    connection_number: u64,
    consumer: ConsumerId,
) -> ReceiptsRead {
    try_read(connection, connection_number, consumer)
        .await
        .unwrap_or_else(|error| {
            tracing::debug!(%consumer, %error, "cannot read the receipts of a consumer");
            ReceiptsRead::without_channel(ReceiptsResponse::Busy)
        })
}

async fn try_read(
    connection: &Connection,
    connection_number: u64,
    consumer: ConsumerId,
) -> Result<ReceiptsRead, ConnectionError> {
    let queue = queue_name(consumer);
    let watch = ClosureWatch::default();
    let channel = with_timeout(connection.open_channel(None)).await?;
    with_timeout(channel.register_callback(watch.clone())).await?;
    let arguments = BasicConsumeArguments::new(&queue, &queue)
        .manual_ack(true)
        .exclusive(true)
        .finish();
    let consumer = with_timeout(channel.basic_consume_rx(arguments)).await;
    let Ok((_, mut receipts)) = consumer else {
        let is_missing = watch.is_not_found() && connection.is_open();
        return Ok(ReceiptsRead::without_channel(if is_missing {
            ReceiptsResponse::Lost
        } else {
            ReceiptsResponse::Busy
        }));
    };
    let sentinel = publish_sentinel(&channel, &queue, connection_number).await?;
    let Some(keys) = read_until_sentinel(&mut receipts, &sentinel).await else {
        // The result is the same whether or not the channel closes.
        let _ = with_timeout(channel.close()).await;
        return Ok(ReceiptsRead::without_channel(ReceiptsResponse::Busy));
    };
    Ok(ReceiptsRead {
        response: ReceiptsResponse::Complete(keys),
        channel: Some(channel),
    })
}

/// Publishes a message behind all receipts in the queue, and returns its body.
async fn publish_sentinel(
    channel: &Channel,
    queue: &str,
    connection_number: u64,
) -> Result<Vec<u8>, ConnectionError> {
    let sentinel = format!("end {connection_number} {}", std::process::id()).into_bytes();
    let published = channel.basic_publish(
        BasicProperties::default(),
        sentinel.clone(),
        BasicPublishArguments::new("", queue),
    );
    with_timeout(published).await?;
    Ok(sentinel)
}

/// Collects the messages of all receipts before the sentinel. `None` if the sentinel does not arrive in time.
async fn read_until_sentinel(
    receipts: &mut mpsc::UnboundedReceiver<ConsumerMessage>,
    sentinel: &[u8],
) -> Option<BTreeSet<MessageKey>> {
    let mut keys = BTreeSet::new();
    loop {
        let received = tokio::time::timeout(OPERATION_TIMEOUT, receipts.recv()).await;
        let body = received.ok()??.content.unwrap_or_default();
        if body == sentinel {
            return Some(keys);
        }
        keys.extend(decode(&body));
    }
}

/// Closes the channel that read a consumer's receipts, if there is one, and deletes their queue on request. Returns
/// whether the queue is known to be deleted.
pub(super) async fn release(
    connection: &Connection,
    channel: Option<Channel>,
    consumer: ConsumerId,
    delete_queue: bool,
) -> bool {
    let channel = match channel {
        Some(channel) => channel,
        None if delete_queue => match with_timeout(connection.open_channel(None)).await {
            Ok(channel) => channel,
            // The queue is found again in the next search for dead consumers.
            Err(_) => return false,
        },
        None => return false,
    };
    let is_deleted = delete_queue && delete_receipt_queue(&channel, consumer).await;
    // If closing fails, the channel ends with its connection.
    let _ = with_timeout(channel.close()).await;
    is_deleted
}

async fn delete_receipt_queue(channel: &Channel, consumer: ConsumerId) -> bool {
    let watch = ClosureWatch::default();
    // Without the callback, a queue that was already deleted is found again in the next search.
    let _ = with_timeout(channel.register_callback(watch.clone())).await;
    let queue = queue_name(consumer);
    let deleted = with_timeout(channel.queue_delete(QueueDeleteArguments::new(&queue))).await;
    deleted.is_ok() || watch.is_not_found()
}
