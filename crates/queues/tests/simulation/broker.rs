//! The broker of a simulation: its handling of commands, connections and queued messages.

use super::event::{ConnectionNumber, ProcessEvent, QueuedMessage, SimulationEvent};
use super::{Simulation, WORK_QUEUE};
use crate::fakes::broker::{ChannelId, Refusal};
use cometlead_queues::reply::Publication;
use cometlead_queues::state_machine::{BrokerCommand, BrokerTransaction, ReceiptsResponse};
use cometlead_queues::{ConsumerId, Event, Message, MessageKey};

/// Maximum number of unacknowledged messages of the work queue per process.
const WORK_QUEUE_PREFETCH: usize = 6;
/// Upper limit of the random delay from the broker to a process.
const MAX_DELIVERY_DELAY_MICROS: u64 = 5_000;

fn receipt_queue(consumer: ConsumerId) -> String {
    format!("receipts.{consumer}")
}

/// The channel on which a connection reads another consumer's receipts.
fn receipts_channel(connection: ConnectionNumber, consumer: ConsumerId) -> ChannelId {
    let id = (consumer.process ^ consumer.connection << 3) as u16;
    (connection, 2 + id % 60_000)
}

impl Simulation {
    pub(super) fn restart_broker(&mut self) {
        let connections: Vec<ConnectionNumber> = self.connections.keys().copied().collect();
        for connection in connections {
            for message in self.close_connection(connection, self.config.restarts_lose_unacked) {
                if let QueuedMessage::Work(message) = message {
                    self.lost_keys.insert(message.key());
                }
            }
        }
    }

    /// Deletes a random receipt queue with its messages, and closes the connection that consumes it.
    pub(super) fn lose_receipt_queue(&mut self) {
        let open = self.connections.iter();
        let consumers: Vec<(ConnectionNumber, ConsumerId)> = open
            .filter_map(|(number, connection)| Some((*number, connection.consumer?)))
            .collect();
        if !consumers.is_empty() {
            let n = self.random_below(consumers.len() as u64) as usize;
            let (connection, consumer) = consumers[n];
            self.close_connection(connection, false);
            self.broker.delete_queue(&receipt_queue(consumer));
        }
    }

    /// Closes a connection. Unacknowledged messages are lost and returned, or they are requeued.
    pub(super) fn close_connection(
        &mut self,
        number: ConnectionNumber,
        lose_unacked: bool,
    ) -> Vec<QueuedMessage> {
        let Some(connection) = self.connections.remove(&number) else {
            return Vec::new();
        };
        let lost = self.broker.close_connection(number, lose_unacked);
        // Receipts are durable: only messages of the work queue are lost.
        if let Some(consumer) = connection.consumer.filter(|_| lose_unacked) {
            for (_, keys) in connection.receipts {
                let receipt = QueuedMessage::Receipt(keys);
                self.broker.enqueue(&receipt_queue(consumer), receipt);
            }
        }
        self.report_disconnected(connection.slot, number);
        lost
    }

    /// Sends queued messages to their consumers.
    pub(super) fn deliver_queued(&mut self) {
        for delivery in self.broker.deliver() {
            let (number, _) = delivery.channel;
            let Some(connection) = self.connections.get_mut(&number) else {
                continue;
            };
            match delivery.message {
                QueuedMessage::Work(message) => {
                    let message = Message {
                        redelivered: delivery.redelivered,
                        ..message
                    };
                    self.deliver_work(number, delivery.tag, message);
                }
                QueuedMessage::Receipt(keys)
                    if connection
                        .consumer
                        .is_some_and(|c| receipt_queue(c) == delivery.queue) =>
                {
                    connection.receipts.push((delivery.tag, keys));
                }
                QueuedMessage::Receipt(_) | QueuedMessage::Answer(_) => {}
            }
        }
        for message in self.broker.take_ready_messages(super::ANSWER_QUEUE) {
            if let QueuedMessage::Answer(answer) = message {
                self.answers.push(answer);
            }
        }
    }

    fn deliver_work(&mut self, number: ConnectionNumber, tag: u64, message: Message) {
        let slot = self.connections[&number].slot;
        let process = self.processes[slot].as_ref();
        let Some((incarnation, connected_at)) = process.map(|p| (p.incarnation, p.last_command_at))
        else {
            return;
        };
        // A delivery must not arrive before the process is notified of its connection.
        let at = self
            .random_time_within(MAX_DELIVERY_DELAY_MICROS)
            .max(connected_at + 1);
        let event = ProcessEvent {
            slot,
            incarnation,
            connection: Some(number),
            event: Event::Delivered(tag, message),
        };
        self.schedule(at, SimulationEvent::Deliver(event));
    }

    fn send_broker_reply(&mut self, number: ConnectionNumber, event: Event) {
        let Some(slot) = self.connections.get(&number).map(|c| c.slot) else {
            return;
        };
        if let Some(incarnation) = self.processes[slot].as_ref().map(|p| p.incarnation) {
            let at = self.random_time_within(MAX_DELIVERY_DELAY_MICROS);
            let event = ProcessEvent {
                slot,
                incarnation,
                connection: Some(number),
                event,
            };
            self.schedule(at, SimulationEvent::Deliver(event));
        }
    }

    /// Executes a command if its connection still exists.
    pub(super) fn execute_command(&mut self, number: ConnectionNumber, command: BrokerCommand) {
        if !self.connections.contains_key(&number) {
            return;
        }
        match command {
            BrokerCommand::OpenReceiptQueue(consumer) => self.open_receipt_queue(number, consumer),
            BrokerCommand::StartConsuming => self
                .broker
                .consume((number, 1), WORK_QUEUE, "work", false, WORK_QUEUE_PREFETCH)
                .expect("the work queue exists"),
            BrokerCommand::Commit(transaction) => self.commit(number, transaction),
            // A process that reconnects drops its connection instead of sending a command.
            BrokerCommand::Reconnect => {}
            BrokerCommand::ReadReceipts(consumer) => self.read_receipts(number, consumer),
            BrokerCommand::ReleaseReceipts {
                consumer,
                delete_queue,
            } => self.release_receipts(number, consumer, delete_queue),
        }
    }

    fn open_receipt_queue(&mut self, number: ConnectionNumber, consumer: ConsumerId) {
        let queue = receipt_queue(consumer);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.consumer = Some(consumer);
        }
        self.broker.declare_queue(&queue);
        let consumed = self
            .broker
            .consume((number, 1), &queue, "receipts", true, 0);
        let succeeded = consumed.is_ok();
        self.send_broker_reply(number, Event::ReceiptQueueOpened { succeeded });
    }

    fn commit(&mut self, number: ConnectionNumber, transaction: BrokerTransaction) {
        let channel = (number, 1);
        let publications = transaction.publications.iter();
        let receipt_keys: Vec<MessageKey> = publications.map(Publication::message).collect();
        let connection = self.connections.get(&number);
        let consumer = connection
            .and_then(|c| c.consumer)
            .expect("the connection has a consumer");
        let obsolete = self.remove_obsolete_receipts(number, transaction.obsolete_receipts);
        for tag in transaction.acks.into_iter().chain(obsolete) {
            self.broker.ack(channel, tag).expect("an open channel");
        }
        for publication in transaction.publications {
            if let Publication::Answer(answer) = publication {
                let queue = answer.reply_to.clone();
                self.broker
                    .publish(channel, &queue, QueuedMessage::Answer(answer));
            }
        }
        if !receipt_keys.is_empty() {
            let receipt = QueuedMessage::Receipt(receipt_keys);
            self.broker
                .publish(channel, &receipt_queue(consumer), receipt);
        }
        self.broker
            .commit(channel)
            .expect("unacknowledged deliveries");
        self.send_broker_reply(number, Event::Committed);
    }

    /// Removes receipts that are no longer needed for any message, and returns their delivery tags.
    fn remove_obsolete_receipts(
        &mut self,
        number: ConnectionNumber,
        keys: Vec<MessageKey>,
    ) -> Vec<u64> {
        let Some(connection) = self.connections.get_mut(&number) else {
            return Vec::new();
        };
        connection.obsolete_keys.extend(keys);
        let obsolete = &connection.obsolete_keys;
        for (_, keys) in &mut connection.receipts {
            keys.retain(|key| !obsolete.contains(key));
        }
        let removed = connection
            .receipts
            .extract_if(.., |(_, keys)| keys.is_empty());
        removed.map(|(tag, _)| tag).collect()
    }

    fn read_receipts(&mut self, number: ConnectionNumber, consumer: ConsumerId) {
        let channel = receipts_channel(number, consumer);
        self.broker.open_channel(channel);
        let queue = receipt_queue(consumer);
        let consumed = self.broker.consume(channel, &queue, "inquiry", true, 0);
        let response = match consumed {
            Err(Refusal::ExclusivelyConsumed) => ReceiptsResponse::Busy,
            Err(_) => ReceiptsResponse::Lost,
            Ok(()) => {
                let delivered = self.broker.deliver().into_iter();
                let receipts = delivered.filter(|d| d.channel == channel);
                let keys = receipts.filter_map(|d| match d.message {
                    QueuedMessage::Receipt(keys) => Some(keys),
                    _ => None,
                });
                ReceiptsResponse::Complete(keys.flatten().collect())
            }
        };
        if !matches!(response, ReceiptsResponse::Complete(_)) {
            self.broker.close_channel(channel, false);
        }
        self.send_broker_reply(number, Event::ReceiptsRead(consumer, response));
    }

    fn release_receipts(
        &mut self,
        number: ConnectionNumber,
        consumer: ConsumerId,
        delete_queue: bool,
    ) {
        if delete_queue {
            self.broker.delete_queue(&receipt_queue(consumer));
        }
        self.broker
            .close_channel(receipts_channel(number, consumer), false);
        if delete_queue {
            self.send_broker_reply(number, Event::ReceiptQueueDeleted(consumer));
        }
    }
}
