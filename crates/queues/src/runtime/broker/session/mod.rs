//! One connection to the broker while it lasts.

mod transactions;

use super::closure::ClosureWatch;
use super::connection_loss::connection_lost;
use super::{
    BrokerEvent, Commands, ConnectionError, Events, SessionCommand, orphan_receipts, with_timeout,
};
use crate::message::Message;
use crate::progress::ConsumerId;
use crate::runtime::own_receipts::OwnReceipts;
use crate::settings::QueueSettings;
use crate::state_machine::{BrokerCommand, DeliveryTag, Event};
use crate::wire::amqp::decode_message;
use crate::wire::receipts::{decode, queue_name};
use amqprs::channel::{
    BasicConsumeArguments, BasicQosArguments, Channel, ConsumerMessage, QueueDeclareArguments,
};
use amqprs::connection::Connection;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

type Deliveries = mpsc::UnboundedReceiver<ConsumerMessage>;

/// Who else may consume from a queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Shared,
    Exclusive,
}

/// In AMQP, a prefetch count of 0 means no limit.
const UNLIMITED_PREFETCH: u16 = 0;

pub(super) struct Session<'a> {
    settings: &'a QueueSettings,
    connection: Connection,
    /// The channel of all transactions.
    channel: Channel,
    /// Number of the connection.
    connection_number: u64,
    events: Events,
    tasks: &'a mut JoinSet<()>,
    /// Known once the receipt queue is opened.
    own_id: Option<ConsumerId>,
    own_receipts: Arc<Mutex<OwnReceipts>>,
    /// Channels that prevent other processes from reading the receipts of a consumer.
    receipt_channels: Arc<Mutex<BTreeMap<ConsumerId, Channel>>>,
}

impl<'a> Session<'a> {
    /// Serves a connection until it fails, or until the sender of commands is dropped.
    pub async fn run(
        settings: &'a QueueSettings,
        connection: Connection,
        connection_number: u64,
        tasks: &'a mut JoinSet<()>,
        commands: &mut Commands,
        events: &Events,
    ) -> Result<(), ConnectionError> {
        let watch = ClosureWatch::default();
        with_timeout(connection.register_callback(watch.clone())).await?;
        let channel = with_timeout(connection.open_channel(None)).await?;
        with_timeout(channel.register_callback(watch.clone())).await?;
        with_timeout(channel.tx_select()).await?;
        let session = Session {
            settings,
            connection,
            channel,
            connection_number,
            events: events.clone(),
            tasks,
            own_id: None,
            own_receipts: Arc::default(),
            receipt_channels: Arc::default(),
        };
        session.send(Event::Connected {
            connection: connection_number,
        });
        session.serve(&watch, commands).await
    }

    async fn serve(
        mut self,
        watch: &ClosureWatch,
        commands: &mut Commands,
    ) -> Result<(), ConnectionError> {
        while let Some(SessionCommand {
            connection,
            command,
        }) = self.next_command(watch, commands).await?
        {
            // Commands for earlier connections are ignored.
            if connection == self.connection_number {
                self.execute(command).await?;
            }
            // A lost connection closes its channels, too; the next wait detects it.
            if !self.channel.is_open() && self.connection.is_open() {
                return Err(watch.error());
            }
            self.reap_tasks();
        }
        Ok(())
    }

    /// Waits for the next command while the connection lasts. `None` if the sender of commands is dropped.
    async fn next_command(
        &self,
        watch: &ClosureWatch,
        commands: &mut Commands,
    ) -> Result<Option<SessionCommand>, ConnectionError> {
        // The broker's reason comes first: a connection that the broker closed is lost as well.
        tokio::select! {
            biased;
            () = watch.closed() => Err(watch.error()),
            () = connection_lost(&self.connection) => Err(ConnectionError::Lost),
            command = commands.recv() => Ok(command),
        }
    }

    fn send(&self, event: Event) {
        send(&self.events, self.connection_number, event);
    }

    fn reap_tasks(&mut self) {
        while let Some(result) = self.tasks.try_join_next() {
            if let Err(error) = result {
                tracing::error!(%error, "connection task failed");
            }
        }
    }

    async fn execute(&mut self, command: BrokerCommand) -> Result<(), ConnectionError> {
        match command {
            BrokerCommand::OpenReceiptQueue(consumer) => {
                self.open_receipt_queue(consumer).await?;
            }
            BrokerCommand::StartConsuming => self.start_consuming().await?,
            BrokerCommand::Reconnect => return Err(ConnectionError::ReconnectRequested),
            BrokerCommand::Commit(transaction) => {
                self.commit(transaction).await?;
                self.send(Event::Committed);
            }
            BrokerCommand::ReadReceipts(consumer) => self.read_receipts(consumer),
            BrokerCommand::ReleaseReceipts {
                consumer,
                delete_queue,
            } => self.release_receipts(consumer, delete_queue),
        }
        Ok(())
    }

    async fn consume(
        &self,
        queue: &str,
        prefetch: u16,
        access: Access,
    ) -> Result<Deliveries, ConnectionError> {
        let qos = BasicQosArguments::new(0, prefetch, false);
        with_timeout(self.channel.basic_qos(qos)).await?;
        let arguments = BasicConsumeArguments::new(queue, queue)
            .manual_ack(true)
            .exclusive(access == Access::Exclusive)
            .finish();
        let (_, deliveries) = with_timeout(self.channel.basic_consume_rx(arguments)).await?;
        Ok(deliveries)
    }

    async fn open_receipt_queue(&mut self, own_id: ConsumerId) -> Result<(), ConnectionError> {
        let queue = queue_name(own_id);
        let declared = QueueDeclareArguments::durable_client_named(&queue);
        with_timeout(self.channel.queue_declare(declared)).await?;
        let mut receipts = self
            .consume(&queue, UNLIMITED_PREFETCH, Access::Exclusive)
            .await?;
        self.own_id = Some(own_id);
        let own_receipts = Arc::clone(&self.own_receipts);
        self.tasks.spawn(async move {
            while let Some(delivery) = receipts.recv().await {
                if let (Some(deliver), Some(body)) = (&delivery.deliver, &delivery.content) {
                    let tag = deliver.delivery_tag();
                    own_receipts.lock().add(tag, decode(body));
                }
            }
        });
        self.send(Event::ReceiptQueueOpened { succeeded: true });
        Ok(())
    }

    async fn start_consuming(&mut self) -> Result<(), ConnectionError> {
        for queue in &self.settings.queues {
            let deliveries = self
                .consume(&queue.name, queue.prefetch, Access::Shared)
                .await?;
            let (events, connection_number, name) = (
                self.events.clone(),
                self.connection_number,
                queue.name.clone(),
            );
            self.tasks.spawn(forward_deliveries(
                name,
                deliveries,
                events,
                connection_number,
            ));
        }
        Ok(())
    }

    /// Reads another consumer's receipts in a concurrent task.
    fn read_receipts(&mut self, consumer: ConsumerId) {
        let channels = Arc::clone(&self.receipt_channels);
        let (connection, events, connection_number) = (
            self.connection.clone(),
            self.events.clone(),
            self.connection_number,
        );
        self.tasks.spawn(async move {
            let read = orphan_receipts::read(&connection, connection_number, consumer).await;
            if let Some(channel) = read.channel {
                channels.lock().insert(consumer, channel);
            }
            send(
                &events,
                connection_number,
                Event::ReceiptsRead(consumer, read.response),
            );
        });
    }

    /// Lets other processes read a consumer's receipts again, or deletes them, in a concurrent task.
    fn release_receipts(&mut self, consumer: ConsumerId, delete_queue: bool) {
        let channel = self.receipt_channels.lock().remove(&consumer);
        let (connection, events, connection_number) = (
            self.connection.clone(),
            self.events.clone(),
            self.connection_number,
        );
        self.tasks.spawn(async move {
            if orphan_receipts::release(&connection, channel, consumer, delete_queue).await {
                send(
                    &events,
                    connection_number,
                    Event::ReceiptQueueDeleted(consumer),
                );
            }
        });
    }
}

fn send(events: &Events, connection: u64, event: Event) {
    // Without a receiver the service has ended, and the event is not needed.
    let _ = events.send(BrokerEvent { connection, event });
}

async fn forward_deliveries(
    queue: String,
    mut deliveries: Deliveries,
    events: Events,
    connection: u64,
) {
    while let Some(delivery) = deliveries.recv().await {
        if let Some((tag, message)) = decode_delivery(&queue, delivery) {
            send(&events, connection, Event::Delivered(tag, message));
        }
    }
}

fn decode_delivery(queue: &str, delivery: ConsumerMessage) -> Option<(DeliveryTag, Message)> {
    let (deliver, properties, body) = (
        delivery.deliver?,
        delivery.basic_properties?,
        delivery.content?,
    );
    let message = decode_message(queue, &properties, body, deliver.redelivered());
    Some((deliver.delivery_tag(), message))
}
