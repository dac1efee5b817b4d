//! A stand-in of a broker: queues, prefetch, acknowledgements, redelivery, exclusive readers, transactions. It
//! knows neither time nor wire; the simulated days and the loopback server both play it, each a part of it.

#![allow(dead_code, reason = "each test program plays a part of it")]

use std::collections::BTreeMap;

pub type Conn = u64;
pub type ChanId = (Conn, u16);

/// Why something is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    NoSuchQueue,
    ReadByAnother,
    NoSuchDelivery,
}

pub struct Delivery<M> {
    pub to: ChanId,
    pub consumer: String,
    pub queue: String,
    pub tag: u64,
    pub redelivered: bool,
    pub message: M,
}

struct Consumer {
    chan: ChanId,
    name: String,
    prefetch: usize,
    exclusive: bool,
    /// What it is sent counts as acknowledged.
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
    place: u64,
    consumer: String,
    message: M,
}

/// Publications with their queues, and acknowledgements.
type Transaction<M> = (Vec<(String, M)>, Vec<u64>);

struct Channel<M> {
    next: u64,
    /// For the consumers that begin next.
    prefetch: usize,
    unacked: BTreeMap<u64, Unacked<M>>,
    /// What waits for the commit: publications and acknowledgements.
    tx: Option<Transaction<M>>,
}

pub struct Broker<M> {
    queues: BTreeMap<String, Queue<M>>,
    channels: BTreeMap<ChanId, Channel<M>>,
    place: u64,
}

impl<M: Clone> Broker<M> {
    pub fn new() -> Broker<M> {
        Broker {
            queues: BTreeMap::new(),
            channels: BTreeMap::new(),
            place: 0,
        }
    }

    pub fn open(&mut self, chan: ChanId) {
        self.channels.insert(
            chan,
            Channel {
                next: 1,
                prefetch: 0,
                unacked: BTreeMap::new(),
                tx: None,
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

    /// What is in a queue, or delivered from it and not acknowledged.
    pub fn held(&self, queue: &str) -> usize {
        let unacked = self
            .channels
            .values()
            .flat_map(|c| c.unacked.values())
            .filter(|u| u.queue == queue);
        self.ready(queue) + unacked.count()
    }

    /// Takes all that is ready.
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
        chan: ChanId,
        queue: &str,
        name: &str,
        exclusive: bool,
        prefetch: usize,
    ) -> Result<(), Refused> {
        let q = self.queues.get_mut(queue).ok_or(Refused::NoSuchQueue)?;
        if q.consumers.iter().any(|c| c.exclusive) || exclusive && !q.consumers.is_empty() {
            return Err(Refused::ReadByAnother);
        }
        q.consumers.push(Consumer {
            chan,
            name: name.to_owned(),
            prefetch,
            exclusive,
            no_ack: false,
        });
        Ok(())
    }

    pub fn qos(&mut self, chan: ChanId, prefetch: usize) {
        if let Some(c) = self.channels.get_mut(&chan) {
            c.prefetch = prefetch;
        }
    }

    /// With the prefetch that the channel was given last.
    pub fn consume_as_set(
        &mut self,
        chan: ChanId,
        queue: &str,
        name: &str,
        exclusive: bool,
    ) -> Result<(), Refused> {
        let prefetch = self.channels.get(&chan).map_or(0, |c| c.prefetch);
        self.consume(chan, queue, name, exclusive, prefetch)
    }

    /// The reader that came last acknowledges nothing.
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

    /// Without an exchange: into the queue of that name, or nowhere.
    pub fn publish(&mut self, chan: ChanId, queue: &str, message: M) {
        match self.channels.get_mut(&chan).and_then(|c| c.tx.as_mut()) {
            Some((posts, _)) => posts.push((queue.to_owned(), message)),
            None => self.enqueue(queue, message),
        }
    }

    pub fn enqueue(&mut self, queue: &str, message: M) {
        self.place += 1;
        if let Some(q) = self.queues.get_mut(queue) {
            q.ready.insert(self.place, (message, false));
        }
    }

    pub fn ack(&mut self, chan: ChanId, tag: u64) -> Result<(), Refused> {
        let channel = self
            .channels
            .get_mut(&chan)
            .ok_or(Refused::NoSuchDelivery)?;
        match &mut channel.tx {
            Some((_, acks)) => acks.push(tag),
            None => {
                channel
                    .unacked
                    .remove(&tag)
                    .ok_or(Refused::NoSuchDelivery)?;
            }
        }
        Ok(())
    }

    pub fn select(&mut self, chan: ChanId) {
        if let Some(c) = self.channels.get_mut(&chan) {
            c.tx = Some(Default::default());
        }
    }

    /// All of the transaction or, where it acknowledges what is not there, nothing.
    pub fn commit(&mut self, chan: ChanId) -> Result<(), Refused> {
        let channel = self
            .channels
            .get_mut(&chan)
            .ok_or(Refused::NoSuchDelivery)?;
        let (posts, acks) = channel.tx.replace(Default::default()).unwrap_or_default();
        if acks.iter().any(|t| !channel.unacked.contains_key(t)) {
            return Err(Refused::NoSuchDelivery);
        }
        for tag in acks {
            channel.unacked.remove(&tag);
        }
        for (queue, message) in posts {
            self.enqueue(&queue, message);
        }
        Ok(())
    }

    /// Its consumers go, and what it had comes back, in one step.
    pub fn close(&mut self, chan: ChanId, lose: bool) -> Vec<M> {
        let Some(channel) = self.channels.remove(&chan) else {
            return Vec::new();
        };
        self.queues
            .values_mut()
            .for_each(|q| q.consumers.retain(|c| c.chan != chan));
        let mut lost = Vec::new();
        for u in channel.unacked.into_values() {
            if lose {
                lost.push(u.message);
            } else if let Some(q) = self.queues.get_mut(&u.queue) {
                q.ready.insert(u.place, (u.message, true));
            }
        }
        lost
    }

    pub fn close_all(&mut self, conn: Conn, lose: bool) -> Vec<M> {
        let of: Vec<ChanId> = self
            .channels
            .keys()
            .copied()
            .filter(|(c, _)| *c == conn)
            .collect();
        of.into_iter().flat_map(|c| self.close(c, lose)).collect()
    }

    /// What goes out now, to each reader in turn.
    pub fn deliver(&mut self) -> Vec<Delivery<M>> {
        let mut out = Vec::new();
        for (name, q) in &mut self.queues {
            let mut passed = 0;
            while !q.ready.is_empty() && passed < q.consumers.len() {
                q.next = (q.next + 1) % q.consumers.len();
                let c = &q.consumers[q.next];
                let Some(channel) = self.channels.get_mut(&c.chan) else {
                    passed += 1;
                    continue;
                };
                let held = channel
                    .unacked
                    .values()
                    .filter(|u| u.consumer == c.name)
                    .count();
                if c.prefetch > 0 && held >= c.prefetch {
                    passed += 1;
                    continue;
                }
                passed = 0;
                let Some((place, (message, redelivered))) = q.ready.pop_first() else {
                    break;
                };
                let tag = channel.next;
                channel.next += 1;
                let (queue, consumer) = (name.clone(), c.name.clone());
                let unacked = Unacked {
                    queue: queue.clone(),
                    place,
                    consumer: consumer.clone(),
                    message,
                };
                out.push(Delivery {
                    to: c.chan,
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
