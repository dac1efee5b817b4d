//! A fake AMQP 0-9-1 server on loopback, framed by `amq-protocol`. It can drop connections at any frame, before or after
//! the frame is handled.

use super::broker::{ChannelId, ConnectionNumber, FakeBroker, Refusal};
use amq_protocol::frame::{AMQPContentHeader, AMQPFrame, WriteContext, gen_frame, parse_frame};
use amq_protocol::protocol::{AMQPClass, basic, channel, connection, queue, tx};
use amq_protocol::types::{FieldTable, LongString, ShortString};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;

pub use amq_protocol::protocol::basic::AMQPProperties;

/// A message in a queue.
#[derive(Clone, Debug)]
pub struct StoredMessage {
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
}

struct Inner {
    broker: FakeBroker<StoredMessage>,
    connections: BTreeMap<ConnectionNumber, mpsc::UnboundedSender<AMQPFrame>>,
    next: ConnectionNumber,
    rng: StdRng,
    /// A connection is dropped at one frame out of so many; 0 for never.
    drop_one_in: u32,
    /// Connections that get no response and no heartbeat.
    hanging: BTreeSet<ConnectionNumber>,
    /// Clients whose TLS handshake failed.
    failed_handshakes: usize,
    /// Connections whose handshake is complete. Clients take an earlier heartbeat for an error.
    open: BTreeSet<ConnectionNumber>,
}

#[derive(Clone)]
pub struct AmqpServer {
    inner: Arc<Mutex<Inner>>,
    pub at: SocketAddr,
}

/// A message that is being published on a channel.
#[derive(Default)]
struct Incoming {
    queue: String,
    left: u64,
    message: Option<StoredMessage>,
}

impl AmqpServer {
    pub async fn start(seed: u64, drop_one_in: u32, tls: Option<TlsAcceptor>) -> AmqpServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let rng = StdRng::seed_from_u64(seed);
        let (connections, hanging, open) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let inner = Inner {
            broker: FakeBroker::new(),
            connections,
            next: 0,
            rng,
            drop_one_in,
            hanging,
            failed_handshakes: 0,
            open,
        };
        let server = AmqpServer {
            inner: Arc::new(Mutex::new(inner)),
            at: listener.local_addr().expect("an address"),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (server, tls) = (accepting.clone(), tls.clone());
                tokio::spawn(async move {
                    let Some(tls) = tls else {
                        return server.serve(stream).await;
                    };
                    match tls.accept(stream).await {
                        Ok(stream) => server.serve(stream).await,
                        Err(_) => server.with(|i| i.failed_handshakes += 1),
                    }
                });
            }
        });
        server
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic while it was held"))
    }

    pub fn declare(&self, queue: &str) {
        self.with(|i| i.broker.declare(queue));
    }

    /// A client publishes.
    pub fn publish(&self, queue: &str, properties: AMQPProperties, body: &[u8]) {
        self.with(|i| {
            i.broker.enqueue(
                queue,
                StoredMessage {
                    properties,
                    body: body.to_vec(),
                },
            );
            i.flush();
        });
    }

    /// A client reads all that is there.
    pub fn read(&self, queue: &str) -> Vec<StoredMessage> {
        self.with(|i| i.broker.drain(queue))
    }

    pub fn ready(&self, queue: &str) -> usize {
        self.with(|i| i.broker.ready(queue))
    }

    pub fn held(&self, queue: &str) -> usize {
        self.with(|i| i.broker.held(queue))
    }

    pub fn queues(&self) -> Vec<String> {
        self.with(|i| i.broker.names())
    }

    pub fn drop_one_in(&self, n: u32) {
        self.with(|i| i.drop_one_in = n);
    }

    /// Restarts: all connections end, and messages in queues stay.
    pub fn restart(&self) {
        self.with(|i| {
            for c in i.connections.keys().copied().collect::<Vec<_>>() {
                i.end(c);
            }
        });
    }

    /// Hangs, as far as the present connections can tell.
    pub fn hang(&self) {
        self.with(|i| i.hanging = i.connections.keys().copied().collect());
    }

    pub fn failed_handshakes(&self) -> usize {
        self.with(|i| i.failed_handshakes)
    }

    pub fn connections(&self) -> usize {
        self.with(|i| i.connections.len())
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + 'static) {
        let (mut read, mut write) = tokio::io::split(stream);
        let (out, mut frames) = mpsc::unbounded_channel::<AMQPFrame>();
        let c = self.with(|i| {
            i.next += 1;
            i.connections.insert(i.next, out.clone());
            i.next
        });
        let writer = tokio::spawn(async move {
            while let Some(frame) = frames.recv().await {
                let bytes = gen_frame(&frame)(WriteContext::from(Vec::new()))
                    .expect("a frame")
                    .into_inner()
                    .0;
                if write.write_all(&bytes).await.is_err() || write.flush().await.is_err() {
                    return;
                }
            }
        });
        let mut heartbeat = tokio::time::interval(std::time::Duration::from_millis(500));
        let mut incoming: BTreeMap<u16, Incoming> = BTreeMap::new();
        let mut buffer = Vec::new();
        'read: loop {
            while let Ok((rest, frame)) = parse_frame(&buffer[..]) {
                let used = buffer.len() - rest.len();
                buffer.drain(..used);
                let continues = self.with(|i| {
                    if !i.connections.contains_key(&c) {
                        return false;
                    }
                    if i.hanging.contains(&c) {
                        return true;
                    }
                    let end = i.drop_one_in > 0 && i.rng.random_range(0..i.drop_one_in) == 0;
                    // Half of them end before the frame is taken, half after.
                    let before = end && i.rng.random::<bool>();
                    let continues = !before && i.take(c, frame, &out, &mut incoming) && !end;
                    i.flush();
                    continues
                });
                if !continues {
                    break 'read;
                }
            }
            tokio::select! {
                got = read.read_buf(&mut buffer) => if !matches!(got, Ok(1..)) { break },
                _ = heartbeat.tick() => {
                    let known = self.with(|i| {
                        let still = i.hanging.contains(&c) || !i.open.contains(&c);
                        i.connections.contains_key(&c) && (still || out.send(AMQPFrame::Heartbeat(0)).is_ok())
                    });
                    if !known { break }
                }
            }
        }
        self.with(|i| i.end(c));
        drop(out);
        let _ = writer.await;
    }
}

fn short(text: &str) -> ShortString {
    text.into()
}

impl Inner {
    fn end(&mut self, c: ConnectionNumber) {
        self.connections.remove(&c);
        self.hanging.remove(&c);
        self.open.remove(&c);
        self.broker.close_all(c, false);
        self.flush();
    }

    fn flush(&mut self) {
        for d in self.broker.deliver() {
            let (conn, id) = d.to;
            let Some(out) = self
                .connections
                .get(&conn)
                .filter(|_| !self.hanging.contains(&conn))
            else {
                continue;
            };
            let deliver = basic::Deliver {
                consumer_tag: short(&d.consumer),
                delivery_tag: d.tag,
                redelivered: d.redelivered,
                exchange: short(""),
                routing_key: short(&d.queue),
            };
            let header = AMQPContentHeader {
                class_id: 60,
                body_size: d.message.body.len() as u64,
                properties: d.message.properties,
            };
            let _ = out.send(AMQPFrame::Method(
                id,
                AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)),
            ));
            let _ = out.send(AMQPFrame::Header(id, 60, Box::new(header)));
            for part in d.message.body.chunks(100_000) {
                let _ = out.send(AMQPFrame::Body(id, part.to_vec()));
            }
        }
    }

    /// Takes a frame; whether the connection goes on.
    fn take(
        &mut self,
        c: ConnectionNumber,
        frame: AMQPFrame,
        out: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, Incoming>,
    ) -> bool {
        match frame {
            AMQPFrame::ProtocolHeader(_) => {
                let start = connection::Start {
                    version_major: 0,
                    version_minor: 9,
                    server_properties: FieldTable::default(),
                    mechanisms: LongString::from("PLAIN"),
                    locales: LongString::from("en_US"),
                };
                let start = AMQPClass::Connection(connection::AMQPMethod::Start(start));
                out.send(AMQPFrame::Method(0, start)).is_ok()
            }
            AMQPFrame::Method(id, method) => self.method((c, id), method, out, incoming),
            AMQPFrame::Header(id, _, header) => {
                let Some(of) = incoming.get_mut(&id) else {
                    return false;
                };
                of.left = header.body_size;
                of.message = Some(StoredMessage {
                    properties: header.properties,
                    body: Vec::new(),
                });
                self.arrived((c, id), of);
                true
            }
            AMQPFrame::Body(id, bytes) => {
                let Some(of) = incoming.get_mut(&id) else {
                    return false;
                };
                of.left = of.left.saturating_sub(bytes.len() as u64);
                if let Some(message) = &mut of.message {
                    message.body.extend(bytes);
                }
                self.arrived((c, id), of);
                true
            }
            AMQPFrame::Heartbeat(_) => true,
        }
    }

    fn arrived(&mut self, channel_id: ChannelId, of: &mut Incoming) {
        if of.left == 0
            && let Some(message) = of.message.take()
        {
            self.broker.publish(channel_id, &of.queue.clone(), message);
        }
    }

    fn method(
        &mut self,
        channel_id: ChannelId,
        method: AMQPClass,
        out: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, Incoming>,
    ) -> bool {
        let id = channel_id.1;
        let refused = |why: Refusal| {
            let (reply_code, text) = match why {
                Refusal::NoSuchQueue => (404, "NOT_FOUND"),
                Refusal::ExclusivelyConsumed => (403, "ACCESS_REFUSED"),
                Refusal::NoSuchDelivery => (406, "PRECONDITION_FAILED"),
            };
            let close = channel::Close {
                reply_code,
                reply_text: short(text),
                class_id: 0,
                method_id: 0,
            };
            AMQPClass::Channel(channel::AMQPMethod::Close(close))
        };
        let reply = match method {
            AMQPClass::Connection(connection::AMQPMethod::StartOk(_)) => {
                let tune = connection::Tune {
                    channel_max: 2_000,
                    frame_max: 131_072,
                    heartbeat: 1,
                };
                AMQPClass::Connection(connection::AMQPMethod::Tune(tune))
            }
            AMQPClass::Connection(connection::AMQPMethod::Open(_)) => {
                self.open.insert(channel_id.0);
                AMQPClass::Connection(connection::AMQPMethod::OpenOk(connection::OpenOk {}))
            }
            AMQPClass::Connection(connection::AMQPMethod::Close(_)) => {
                let ok =
                    AMQPClass::Connection(connection::AMQPMethod::CloseOk(connection::CloseOk {}));
                let _ = out.send(AMQPFrame::Method(0, ok));
                return false;
            }
            AMQPClass::Channel(channel::AMQPMethod::Open(_)) => {
                self.broker.open(channel_id);
                AMQPClass::Channel(channel::AMQPMethod::OpenOk(channel::OpenOk {}))
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => {
                self.broker.close(channel_id, false);
                AMQPClass::Channel(channel::AMQPMethod::CloseOk(channel::CloseOk {}))
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(d)) => {
                if !d.passive {
                    self.broker.declare(d.queue.as_str());
                }
                if self.broker.exists(d.queue.as_str()) {
                    let message_count = self.broker.ready(d.queue.as_str()) as u32;
                    let ok = queue::DeclareOk {
                        queue: d.queue,
                        message_count,
                        consumer_count: 0,
                    };
                    AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok))
                } else {
                    refused(Refusal::NoSuchQueue)
                }
            }
            AMQPClass::Queue(queue::AMQPMethod::Delete(d)) => {
                self.broker.delete(d.queue.as_str());
                AMQPClass::Queue(queue::AMQPMethod::DeleteOk(queue::DeleteOk {
                    message_count: 0,
                }))
            }
            AMQPClass::Basic(basic::AMQPMethod::Qos(q)) => {
                self.broker.qos(channel_id, q.prefetch_count.into());
                AMQPClass::Basic(basic::AMQPMethod::QosOk(basic::QosOk {}))
            }
            AMQPClass::Basic(basic::AMQPMethod::Consume(k)) => {
                match self.broker.consume_with_qos(
                    channel_id,
                    k.queue.as_str(),
                    k.consumer_tag.as_str(),
                    k.exclusive,
                ) {
                    Ok(()) => {
                        if k.no_ack {
                            self.broker.without_acks(k.queue.as_str());
                        }
                        let ok = basic::ConsumeOk {
                            consumer_tag: k.consumer_tag,
                        };
                        AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok))
                    }
                    Err(why) => refused(why),
                }
            }
            AMQPClass::Basic(basic::AMQPMethod::Publish(p)) => {
                let of = Incoming {
                    queue: p.routing_key.as_str().to_owned(),
                    ..Incoming::default()
                };
                incoming.insert(id, of);
                return true;
            }
            AMQPClass::Basic(basic::AMQPMethod::Ack(a)) => {
                match self.broker.ack(channel_id, a.delivery_tag) {
                    Ok(()) => return true,
                    Err(why) => refused(why),
                }
            }
            AMQPClass::Tx(tx::AMQPMethod::Select(_)) => {
                self.broker.select(channel_id);
                AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {}))
            }
            AMQPClass::Tx(tx::AMQPMethod::Commit(_)) => match self.broker.commit(channel_id) {
                Ok(()) => AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})),
                Err(why) => refused(why),
            },
            _ => return true,
        };
        if let AMQPClass::Channel(channel::AMQPMethod::Close(_)) = &reply {
            self.broker.close(channel_id, false);
        }
        out.send(AMQPFrame::Method(id, reply)).is_ok()
    }
}
