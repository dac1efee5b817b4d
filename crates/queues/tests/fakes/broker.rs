//! A fake broker: queues, prefetch, acknowledgements, redelivery, exclusive consumers, transactions.
//!
//! It knows neither time nor network; simulations and the AMQP server both use it.

use std::collections::BTreeMap;

pub type ConnectionNumber = u64;
pub type ChannelId = (ConnectionNumber, u16);

/// Why the broker refuses an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchQueue,
    ExclusivelyConsumed,
    NoSuchDelivery,
}

pub struct Delivery<M> {
    pub to: ChannelId,
    pub consumer: String,
    pub queue: String,
    pub tag: u64,
    pub redelivered: bool,
    pub message: M,
}

struct Consumer {
    channel_id: ChannelId,
    name: String,
    prefetch: usize,
    exclusive: bool,
    /// Deliveries count as acknowledged.
    no_ack: bool,
}

struct Queue<M> {
    ready: BTreeMap<u64, (M, bool)>,
    consumers: Vec<Consumer>,
    next: usize,
}

impl<M> Default for Queue<M> {
    fn default() -> Self {
        Queue {
            ready: BTreeMap::new(),
            consumers: Vec::new(),
            next: 0,
        }
    }
}

struct Unacked<M> {
    queue: String,
    position: u64,
    consumer: String,
    message: M,
}

/// Publications with their queues, and acknowledgements.
type Transaction<M> = (Vec<(String, M)>, Vec<u64>);

struct Channel<M> {
    next: u64,
    /// For consumers that start from now on.
    prefetch: usize,
    unacked: BTreeMap<u64, Unacked<M>>,
    /// Present once the channel is transactional.
    transaction: Option<Transaction<M>>,
}

pub struct FakeBroker<M> {
    queues: BTreeMap<String, Queue<M>>,
    channels: BTreeMap<ChannelId, Channel<M>>,
    position: u64,
}

impl<M: Clone> FakeBroker<M> {
    pub fn new() -> FakeBroker<M> {
        FakeBroker {
            queues: BTreeMap::new(),
            channels: BTreeMap::new(),
            position: 0,
        }
    }

    pub fn open(&mut self, channel_id: ChannelId) {
        self.channels.insert(
            channel_id,
            Channel {
                next: 1,
                prefetch: 0,
                unacked: BTreeMap::new(),
                transaction: None,
            },
        );
    }

    pub fn declare(&mut self, queue: &str) {
        self.queues.entry(queue.to_owned()).or_default();
    }

    pub fn exists(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
    }

    pub fn delete(&mut self, queue: &str) {
        self.queues.remove(queue);
    }

    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |q| q.ready.len())
    }

    /// Number of messages in a queue, delivered and unacknowledged ones included.
    pub fn held(&self, queue: &str) -> usize {
        let unacked = self
            .channels
            .values()
            .flat_map(|c| c.unacked.values())
            .filter(|u| u.queue == queue);
        self.ready(queue) + unacked.count()
    }

    /// Removes and returns all ready messages.
    pub fn drain(&mut self, queue: &str) -> Vec<M> {
        let Some(q) = self.queues.get_mut(queue) else {
            return Vec::new();
        };
        std::mem::take(&mut q.ready)
            .into_values()
            .map(|(m, _)| m)
            .collect()
    }

    pub fn consume(
        &mut self,
        channel_id: ChannelId,
        queue: &str,
        name: &str,
        exclusive: bool,
        prefetch: usize,
    ) -> Result<(), Refusal> {
        let q = self.queues.get_mut(queue).ok_or(Refusal::NoSuchQueue)?;
        if q.consumers.iter().any(|c| c.exclusive) || exclusive && !q.consumers.is_empty() {
            return Err(Refusal::ExclusivelyConsumed);
        }
        q.consumers.push(Consumer {
            channel_id,
            name: name.to_owned(),
            prefetch,
            exclusive,
            no_ack: false,
        });
        Ok(())
    }

    pub fn qos(&mut self, channel_id: ChannelId, prefetch: usize) {
        if let Some(c) = self.channels.get_mut(&channel_id) {
            c.prefetch = prefetch;
        }
    }

    /// Starts a consumer with the prefetch that the channel was given last.
    pub fn consume_with_qos(
        &mut self,
        channel_id: ChannelId,
        queue: &str,
        name: &str,
        exclusive: bool,
    ) -> Result<(), Refusal> {
        let prefetch = self.channels.get(&channel_id).map_or(0, |c| c.prefetch);
        self.consume(channel_id, queue, name, exclusive, prefetch)
    }

    /// The newest consumer of the queue acknowledges nothing.
    pub fn without_acks(&mut self, queue: &str) {
        if let Some(c) = self
            .queues
            .get_mut(queue)
            .and_then(|q| q.consumers.last_mut())
        {
            c.no_ack = true;
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.queues.keys().cloned().collect()
    }

    /// Publishes through the default exchange: into the queue of that name, or nowhere.
    pub fn publish(&mut self, channel_id: ChannelId, queue: &str, message: M) {
        match self
            .channels
            .get_mut(&channel_id)
            .and_then(|c| c.transaction.as_mut())
        {
            Some((publications, _)) => publications.push((queue.to_owned(), message)),
            None => self.enqueue(queue, message),
        }
    }

    pub fn enqueue(&mut self, queue: &str, message: M) {
        self.position += 1;
        if let Some(q) = self.queues.get_mut(queue) {
            q.ready.insert(self.position, (message, false));
        }
    }

    pub fn ack(&mut self, channel_id: ChannelId, tag: u64) -> Result<(), Refusal> {
        let channel = self
            .channels
            .get_mut(&channel_id)
            .ok_or(Refusal::NoSuchDelivery)?;
        match &mut channel.transaction {
            Some((_, acks)) => acks.push(tag),
            None => {
                channel
                    .unacked
                    .remove(&tag)
                    .ok_or(Refusal::NoSuchDelivery)?;
            }
        }
        Ok(())
    }

    pub fn select(&mut self, channel_id: ChannelId) {
        if let Some(c) = self.channels.get_mut(&channel_id) {
            c.transaction = Some(Default::default());
        }
    }

    /// Carries out the whole transaction, or nothing if it acknowledges an unknown delivery.
    pub fn commit(&mut self, channel_id: ChannelId) -> Result<(), Refusal> {
        let channel = self
            .channels
            .get_mut(&channel_id)
            .ok_or(Refusal::NoSuchDelivery)?;
        let (publications, acks) = channel
            .transaction
            .replace(Default::default())
            .unwrap_or_default();
        if acks.iter().any(|t| !channel.unacked.contains_key(t)) {
            return Err(Refusal::NoSuchDelivery);
        }
        for tag in acks {
            channel.unacked.remove(&tag);
        }
        for (queue, message) in publications {
            self.enqueue(&queue, message);
        }
        Ok(())
    }

    /// Closes a channel: its consumers end, and unacknowledged messages are requeued, or lost and returned.
    pub fn close(&mut self, channel_id: ChannelId, lose_unacked: bool) -> Vec<M> {
        let Some(channel) = self.channels.remove(&channel_id) else {
            return Vec::new();
        };
        self.queues
            .values_mut()
            .for_each(|q| q.consumers.retain(|c| c.channel_id != channel_id));
        let mut lost = Vec::new();
        for u in channel.unacked.into_values() {
            if lose_unacked {
                lost.push(u.message);
            } else if let Some(q) = self.queues.get_mut(&u.queue) {
                q.ready.insert(u.position, (u.message, true));
            }
        }
        lost
    }

    pub fn close_all(&mut self, conn: ConnectionNumber, lose_unacked: bool) -> Vec<M> {
        let of: Vec<ChannelId> = self
            .channels
            .keys()
            .copied()
            .filter(|(c, _)| *c == conn)
            .collect();
        of.into_iter()
            .flat_map(|c| self.close(c, lose_unacked))
            .collect()
    }

    /// Delivers what is ready, to the consumers of each queue in turn.
    pub fn deliver(&mut self) -> Vec<Delivery<M>> {
        let mut out = Vec::new();
        for (name, q) in &mut self.queues {
            let mut skipped = 0;
            while !q.ready.is_empty() && skipped < q.consumers.len() {
                q.next = (q.next + 1) % q.consumers.len();
                let c = &q.consumers[q.next];
                let Some(channel) = self.channels.get_mut(&c.channel_id) else {
                    skipped += 1;
                    continue;
                };
                let held = channel
                    .unacked
                    .values()
                    .filter(|u| u.consumer == c.name)
                    .count();
                if c.prefetch > 0 && held >= c.prefetch {
                    skipped += 1;
                    continue;
                }
                skipped = 0;
                let Some((position, (message, redelivered))) = q.ready.pop_first() else {
                    break;
                };
                let tag = channel.next;
                channel.next += 1;
                let (queue, consumer) = (name.clone(), c.name.clone());
                let unacked = Unacked {
                    queue: queue.clone(),
                    position,
                    consumer: consumer.clone(),
                    message,
                };
                out.push(Delivery {
                    to: c.channel_id,
                    consumer,
                    queue,
                    tag,
                    redelivered,
                    message: unacked.message.clone(),
                });
                if !c.no_ack {
                    channel.unacked.insert(tag, unacked);
                }
            }
        }
        out
    }
}
