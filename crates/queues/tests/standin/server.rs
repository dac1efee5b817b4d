//! The stand-in broker on loopback: AMQP 0-9-1, framed by `amq-protocol`. It can end connections at any frame, before
//! or after it was taken.

use super::broker::{Broker, ChanId, Conn, Refused};
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

/// A message as it lies in a queue.
#[derive(Clone, Debug)]
pub struct Letter {
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
}

struct Inner {
    broker: Broker<Letter>,
    conns: BTreeMap<Conn, mpsc::UnboundedSender<AMQPFrame>>,
    next: Conn,
    rng: StdRng,
    /// A connection ends at one frame out of so many; 0 for never.
    drop_one_in: u32,
    /// Connections whose broker keeps still, as one that hangs.
    mute: BTreeSet<Conn>,
    /// Clients that did not want to speak to it.
    strangers: usize,
    /// Connections that are open: before that a heartbeat may not be sent, and a client takes it for an error.
    open: BTreeSet<Conn>,
}

#[derive(Clone)]
pub struct Server {
    inner: Arc<Mutex<Inner>>,
    pub at: SocketAddr,
}

/// What is being published on a channel.
#[derive(Default)]
struct Incoming {
    queue: String,
    left: u64,
    letter: Option<Letter>,
}

impl Server {
    pub async fn start(seed: u64, drop_one_in: u32, tls: Option<TlsAcceptor>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let rng = StdRng::seed_from_u64(seed);
        let (conns, mute, open) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let inner = Inner {
            broker: Broker::new(),
            conns,
            next: 0,
            rng,
            drop_one_in,
            mute,
            strangers: 0,
            open,
        };
        let server = Server {
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
                        Err(_) => server.with(|i| i.strangers += 1),
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
                Letter {
                    properties,
                    body: body.to_vec(),
                },
            );
            i.pump();
        });
    }

    /// A client reads all that is there.
    pub fn read(&self, queue: &str) -> Vec<Letter> {
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

    /// It restarts: all connections end; what is in the queues is durable.
    pub fn restart(&self) {
        self.with(|i| {
            for c in i.conns.keys().copied().collect::<Vec<_>>() {
                i.end(c);
            }
        });
    }

    /// It hangs, as far as the present connections can tell.
    pub fn hang(&self) {
        self.with(|i| i.mute = i.conns.keys().copied().collect());
    }

    pub fn strangers(&self) -> usize {
        self.with(|i| i.strangers)
    }

    pub fn connections(&self) -> usize {
        self.with(|i| i.conns.len())
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + 'static) {
        let (mut read, mut write) = tokio::io::split(stream);
        let (out, mut frames) = mpsc::unbounded_channel::<AMQPFrame>();
        let c = self.with(|i| {
            i.next += 1;
            i.conns.insert(i.next, out.clone());
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
                let goes_on = self.with(|i| {
                    if !i.conns.contains_key(&c) {
                        return false;
                    }
                    if i.mute.contains(&c) {
                        return true;
                    }
                    let end = i.drop_one_in > 0 && i.rng.random_range(0..i.drop_one_in) == 0;
                    // Half of them end before the frame is taken, half after.
                    let before = end && i.rng.random::<bool>();
                    let goes_on = !before && i.take(c, frame, &out, &mut incoming) && !end;
                    i.pump();
                    goes_on
                });
                if !goes_on {
                    break 'read;
                }
            }
            tokio::select! {
                got = read.read_buf(&mut buffer) => if !matches!(got, Ok(1..)) { break },
                _ = heartbeat.tick() => {
                    let known = self.with(|i| {
                        let still = i.mute.contains(&c) || !i.open.contains(&c);
                        i.conns.contains_key(&c) && (still || out.send(AMQPFrame::Heartbeat(0)).is_ok())
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
    fn end(&mut self, c: Conn) {
        self.conns.remove(&c);
        self.mute.remove(&c);
        self.open.remove(&c);
        self.broker.close_all(c, false);
        self.pump();
    }

    fn pump(&mut self) {
        for d in self.broker.deliver() {
            let (conn, id) = d.to;
            let Some(out) = self.conns.get(&conn).filter(|_| !self.mute.contains(&conn)) else {
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
        c: Conn,
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
                of.letter = Some(Letter {
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
                if let Some(letter) = &mut of.letter {
                    letter.body.extend(bytes);
                }
                self.arrived((c, id), of);
                true
            }
            AMQPFrame::Heartbeat(_) => true,
        }
    }

    fn arrived(&mut self, chan: ChanId, of: &mut Incoming) {
        if of.left == 0
            && let Some(letter) = of.letter.take()
        {
            self.broker.publish(chan, &of.queue.clone(), letter);
        }
    }

    fn method(
        &mut self,
        chan: ChanId,
        method: AMQPClass,
        out: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, Incoming>,
    ) -> bool {
        let id = chan.1;
        let refused = |why: Refused| {
            let (reply_code, text) = match why {
                Refused::NoSuchQueue => (404, "NOT_FOUND"),
                Refused::ReadByAnother => (403, "ACCESS_REFUSED"),
                Refused::NoSuchDelivery => (406, "PRECONDITION_FAILED"),
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
                self.open.insert(chan.0);
                AMQPClass::Connection(connection::AMQPMethod::OpenOk(connection::OpenOk {}))
            }
            AMQPClass::Connection(connection::AMQPMethod::Close(_)) => {
                let ok =
                    AMQPClass::Connection(connection::AMQPMethod::CloseOk(connection::CloseOk {}));
                let _ = out.send(AMQPFrame::Method(0, ok));
                return false;
            }
            AMQPClass::Channel(channel::AMQPMethod::Open(_)) => {
                self.broker.open(chan);
                AMQPClass::Channel(channel::AMQPMethod::OpenOk(channel::OpenOk {}))
            }
            AMQPClass::Channel(channel::AMQPMethod::Close(_)) => {
                self.broker.close(chan, false);
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
                    refused(Refused::NoSuchQueue)
                }
            }
            AMQPClass::Queue(queue::AMQPMethod::Delete(d)) => {
                self.broker.delete(d.queue.as_str());
                AMQPClass::Queue(queue::AMQPMethod::DeleteOk(queue::DeleteOk {
                    message_count: 0,
                }))
            }
            AMQPClass::Basic(basic::AMQPMethod::Qos(q)) => {
                self.broker.qos(chan, q.prefetch_count.into());
                AMQPClass::Basic(basic::AMQPMethod::QosOk(basic::QosOk {}))
            }
            AMQPClass::Basic(basic::AMQPMethod::Consume(k)) => {
                match self.broker.consume_as_set(
                    chan,
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
                match self.broker.ack(chan, a.delivery_tag) {
                    Ok(()) => return true,
                    Err(why) => refused(why),
                }
            }
            AMQPClass::Tx(tx::AMQPMethod::Select(_)) => {
                self.broker.select(chan);
                AMQPClass::Tx(tx::AMQPMethod::SelectOk(tx::SelectOk {}))
            }
            AMQPClass::Tx(tx::AMQPMethod::Commit(_)) => match self.broker.commit(chan) {
                Ok(()) => AMQPClass::Tx(tx::AMQPMethod::CommitOk(tx::CommitOk {})),
                Err(why) => refused(why),
            },
            _ => return true,
        };
        if let AMQPClass::Channel(channel::AMQPMethod::Close(_)) = &reply {
            self.broker.close(chan, false);
        }
        out.send(AMQPFrame::Method(id, reply)).is_ok()
    }
}
