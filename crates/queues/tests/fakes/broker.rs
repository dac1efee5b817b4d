//! A fake broker: queues, prefetch, acknowledgements, redelivery, exclusive consumers, transactions.
//!
//! It uses neither clock nor network; the simulation and the fake AMQP server are both built on it.

use std::collections::BTreeMap;

pub type ConnectionNumber = u64;

/// A connection and the number of a channel on it.
pub type ChannelId = (ConnectionNumber, u16);

pub type DeliveryTag = u64;

/// Why the broker refuses an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchQueue,
    ExclusivelyConsumed,
    NoSuchDelivery,
}

/// A message on its way to a consumer.
pub struct Delivery<M> {
    pub channel: ChannelId,
    pub consumer: String,
    pub queue: String,
    pub tag: DeliveryTag,
    pub redelivered: bool,
    pub message: M,
}

#[derive(Clone)]
struct Consumer {
    channel: ChannelId,
    tag: String,
    /// Maximum number of unacknowledged messages; 0 for no limit.
    prefetch: usize,
    is_exclusive: bool,
    /// Whether deliveries count as acknowledged at once.
    no_ack: bool,
}

struct ReadyMessage<M> {
    message: M,
    redelivered: bool,
}

struct Queue<M> {
    /// Ready messages by position. Requeued messages return to their former position.
    ready: BTreeMap<u64, ReadyMessage<M>>,
    consumers: Vec<Consumer>,
    /// Index of the consumer that was served last.
    last_served: usize,
}

impl<M> Default for Queue<M> {
    fn default() -> Self {
        Queue {
            ready: BTreeMap::new(),
            consumers: Vec::new(),
            last_served: 0,
        }
    }
}

impl<M> Queue<M> {
    /// The next consumer, in round-robin order, whose prefetch permits another message.
    fn next_consumer(&mut self, channels: &BTreeMap<ChannelId, Channel<M>>) -> Option<Consumer> {
        let count = self.consumers.len();
        let mut indices = (1..=count).map(|n| (self.last_served + n) % count);
        let next = indices.find(|index| {
            let consumer = &self.consumers[*index];
            let channel = channels.get(&consumer.channel);
            channel.is_some_and(|channel| channel.has_room_for(consumer))
        })?;
        self.last_served = next;
        Some(self.consumers[next].clone())
    }
}

struct Unacknowledged<M> {
    queue: String,
    position: u64,
    consumer: String,
    message: M,
}

struct Transaction<M> {
    publications: Vec<(String, M)>,
    acks: Vec<DeliveryTag>,
}

impl<M> Transaction<M> {
    fn new() -> Transaction<M> {
        Transaction {
            publications: Vec::new(),
            acks: Vec::new(),
        }
    }
}

struct Channel<M> {
    next_tag: DeliveryTag,
    /// Prefetch of consumers that are started from now on.
    prefetch: usize,
    unacknowledged: BTreeMap<DeliveryTag, Unacknowledged<M>>,
    /// Present once the channel is transactional.
    transaction: Option<Transaction<M>>,
}

impl<M> Channel<M> {
    fn has_room_for(&self, consumer: &Consumer) -> bool {
        let unacknowledged = self.unacknowledged.values();
        let held = unacknowledged.filter(|u| u.consumer == consumer.tag);
        consumer.prefetch == 0 || held.count() < consumer.prefetch
    }
}

pub struct FakeBroker<M> {
    queues: BTreeMap<String, Queue<M>>,
    channels: BTreeMap<ChannelId, Channel<M>>,
    last_position: u64,
}

impl<M: Clone> FakeBroker<M> {
    pub fn new() -> FakeBroker<M> {
        FakeBroker {
            queues: BTreeMap::new(),
            channels: BTreeMap::new(),
            last_position: 0,
        }
    }

    /// Opens a channel.
    pub fn open_channel(&mut self, channel: ChannelId) {
        let opened = Channel {
            next_tag: 1,
            prefetch: 0,
            unacknowledged: BTreeMap::new(),
            transaction: None,
        };
        self.channels.insert(channel, opened);
    }

    pub fn declare_queue(&mut self, queue: &str) {
        self.queues.entry(queue.to_owned()).or_default();
    }

    pub fn queue_exists(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
    }

    pub fn delete_queue(&mut self, queue: &str) {
        self.queues.remove(queue);
    }

    pub fn queue_names(&self) -> Vec<String> {
        self.queues.keys().cloned().collect()
    }

    /// Number of ready messages in a queue.
    pub fn ready_count(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |q| q.ready.len())
    }

    /// Number of messages in a queue, unacknowledged ones included.
    pub fn message_count(&self, queue: &str) -> usize {
        let channels = self.channels.values();
        let unacknowledged = channels.flat_map(|channel| channel.unacknowledged.values());
        self.ready_count(queue) + unacknowledged.filter(|u| u.queue == queue).count()
    }

    /// Removes and returns all ready messages.
    pub fn take_ready_messages(&mut self, queue: &str) -> Vec<M> {
        let Some(queue) = self.queues.get_mut(queue) else {
            return Vec::new();
        };
        let ready = std::mem::take(&mut queue.ready).into_values();
        ready.map(|ready| ready.message).collect()
    }

    /// Starts a consumer.
    pub fn consume(
        &mut self,
        channel: ChannelId,
        queue: &str,
        tag: &str,
        is_exclusive: bool,
        prefetch: usize,
    ) -> Result<(), Refusal> {
        let queue = self.queues.get_mut(queue).ok_or(Refusal::NoSuchQueue)?;
        let is_exclusively_consumed = queue.consumers.iter().any(|c| c.is_exclusive);
        if is_exclusively_consumed || is_exclusive && !queue.consumers.is_empty() {
            return Err(Refusal::ExclusivelyConsumed);
        }
        queue.consumers.push(Consumer {
            channel,
            tag: tag.to_owned(),
            prefetch,
            is_exclusive,
            no_ack: false,
        });
        Ok(())
    }

    /// Sets the prefetch of consumers that the channel starts from now on.
    pub fn set_prefetch(&mut self, channel: ChannelId, prefetch: usize) {
        if let Some(channel) = self.channels.get_mut(&channel) {
            channel.prefetch = prefetch;
        }
    }

    /// Starts a consumer with the prefetch that was last set for the channel.
    pub fn consume_with_channel_prefetch(
        &mut self,
        channel: ChannelId,
        queue: &str,
        tag: &str,
        is_exclusive: bool,
    ) -> Result<(), Refusal> {
        let prefetch = self.channels.get(&channel).map_or(0, |c| c.prefetch);
        self.consume(channel, queue, tag, is_exclusive, prefetch)
    }

    /// Makes deliveries to the newest consumer of the queue count as acknowledged.
    pub fn set_no_ack_for_newest_consumer(&mut self, queue: &str) {
        let queue = self.queues.get_mut(queue);
        if let Some(newest) = queue.and_then(|queue| queue.consumers.last_mut()) {
            newest.no_ack = true;
        }
    }

    /// Publishes through the default exchange: into the queue of that name. The message is dropped if there is none.
    pub fn publish(&mut self, channel: ChannelId, queue: &str, message: M) {
        let channel = self.channels.get_mut(&channel);
        match channel.and_then(|channel| channel.transaction.as_mut()) {
            Some(transaction) => transaction.publications.push((queue.to_owned(), message)),
            None => self.enqueue(queue, message),
        }
    }

    pub fn enqueue(&mut self, queue: &str, message: M) {
        self.last_position += 1;
        if let Some(queue) = self.queues.get_mut(queue) {
            let ready = ReadyMessage {
                message,
                redelivered: false,
            };
            queue.ready.insert(self.last_position, ready);
        }
    }

    pub fn ack(&mut self, channel: ChannelId, tag: DeliveryTag) -> Result<(), Refusal> {
        let channel = self.channels.get_mut(&channel);
        let channel = channel.ok_or(Refusal::NoSuchDelivery)?;
        if let Some(transaction) = &mut channel.transaction {
            transaction.acks.push(tag);
            return Ok(());
        }
        let removed = channel.unacknowledged.remove(&tag);
        removed.map(|_| ()).ok_or(Refusal::NoSuchDelivery)
    }

    /// Makes a channel transactional.
    pub fn select_transactions(&mut self, channel: ChannelId) {
        if let Some(channel) = self.channels.get_mut(&channel) {
            channel.transaction = Some(Transaction::new());
        }
    }

    /// Applies the whole transaction, or nothing if it acknowledges an unknown delivery.
    pub fn commit(&mut self, channel: ChannelId) -> Result<(), Refusal> {
        let channel = self.channels.get_mut(&channel);
        let channel = channel.ok_or(Refusal::NoSuchDelivery)?;
        let committed = channel.transaction.replace(Transaction::new());
        let Transaction { publications, acks } = committed.unwrap_or_else(Transaction::new);
        let is_known = |tag: &DeliveryTag| channel.unacknowledged.contains_key(tag);
        if !acks.iter().all(is_known) {
            return Err(Refusal::NoSuchDelivery);
        }
        for tag in acks {
            channel.unacknowledged.remove(&tag);
        }
        for (queue, message) in publications {
            self.enqueue(&queue, message);
        }
        Ok(())
    }

    /// Closes a channel and ends its consumers. Unacknowledged messages are requeued, or lost and returned.
    pub fn close_channel(&mut self, id: ChannelId, lose_unacknowledged: bool) -> Vec<M> {
        let Some(channel) = self.channels.remove(&id) else {
            return Vec::new();
        };
        for queue in self.queues.values_mut() {
            queue.consumers.retain(|consumer| consumer.channel != id);
        }
        let unacknowledged = channel.unacknowledged.into_values();
        if lose_unacknowledged {
            return unacknowledged.map(|u| u.message).collect();
        }
        for Unacknowledged {
            queue,
            position,
            message,
            ..
        } in unacknowledged
        {
            if let Some(queue) = self.queues.get_mut(&queue) {
                let ready = ReadyMessage {
                    message,
                    redelivered: true,
                };
                queue.ready.insert(position, ready);
            }
        }
        Vec::new()
    }

    /// Closes all channels of a connection.
    pub fn close_connection(
        &mut self,
        connection: ConnectionNumber,
        lose_unacknowledged: bool,
    ) -> Vec<M> {
        let open = self.channels.keys().copied();
        let channels: Vec<ChannelId> = open.filter(|(c, _)| *c == connection).collect();
        let lost = channels
            .into_iter()
            .map(|channel| self.close_channel(channel, lose_unacknowledged));
        lost.flatten().collect()
    }

    /// Delivers the ready messages of each queue to its consumers in round-robin order.
    pub fn deliver(&mut self) -> Vec<Delivery<M>> {
        let mut deliveries = Vec::new();
        for (name, queue) in &mut self.queues {
            while !queue.ready.is_empty()
                && let Some(consumer) = queue.next_consumer(&self.channels)
                && let Some(channel) = self.channels.get_mut(&consumer.channel)
                && let Some((position, ready)) = queue.ready.pop_first()
            {
                deliveries.push(channel.deliver(name, position, ready, consumer));
            }
        }
        deliveries
    }
}

impl<M: Clone> Channel<M> {
    fn deliver(
        &mut self,
        queue: &str,
        position: u64,
        ready: ReadyMessage<M>,
        consumer: Consumer,
    ) -> Delivery<M> {
        let tag = self.next_tag;
        self.next_tag += 1;
        if !consumer.no_ack {
            let unacknowledged = Unacknowledged {
                queue: queue.to_owned(),
                position,
                consumer: consumer.tag.clone(),
                message: ready.message.clone(),
            };
            self.unacknowledged.insert(tag, unacknowledged);
        }
        Delivery {
            channel: consumer.channel,
            consumer: consumer.tag,
            queue: queue.to_owned(),
            tag,
            redelivered: ready.redelivered,
            message: ready.message,
        }
    }
}
