//! A fake AMQP 0-9-1 server on loopback, framed by `amq-protocol`. It can drop connections at any frame, before or after
//! the frame is handled.

mod connection;
mod frames;
mod methods;

pub use amq_protocol::protocol::basic::AMQPProperties;

use super::broker::{ConnectionNumber, FakeBroker};
use amq_protocol::frame::AMQPFrame;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;

/// A message in a queue.
#[derive(Clone, Debug)]
pub struct StoredMessage {
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
}

/// What becomes of a connection at a frame.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DropPoint {
    Never,
    BeforeFrame,
    AfterFrame,
}

struct State {
    broker: FakeBroker<StoredMessage>,
    connections: BTreeMap<ConnectionNumber, mpsc::UnboundedSender<AMQPFrame>>,
    last_connection: ConnectionNumber,
    rng: StdRng,
    /// A connection is dropped at one frame out of so many; 0 for never.
    drop_one_in: u32,
    /// Connections that get no response and no heartbeat.
    hanging: BTreeSet<ConnectionNumber>,
    /// Connections whose handshake is complete. Clients take an earlier heartbeat for an error.
    open: BTreeSet<ConnectionNumber>,
    failed_tls_handshakes: usize,
}

impl State {
    fn next_drop_point(&mut self) -> DropPoint {
        if self.drop_one_in == 0 || self.rng.random_range(0..self.drop_one_in) > 0 {
            DropPoint::Never
        } else if self.rng.random() {
            DropPoint::BeforeFrame
        } else {
            DropPoint::AfterFrame
        }
    }

    /// Ends a connection and requeues its unacknowledged messages.
    fn end(&mut self, connection: ConnectionNumber) {
        self.connections.remove(&connection);
        self.hanging.remove(&connection);
        self.open.remove(&connection);
        self.broker.close_all(connection, false);
        self.send_deliveries();
    }
}

#[derive(Clone)]
pub struct AmqpServer {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl AmqpServer {
    pub async fn start(seed: u64, drop_one_in: u32, tls: Option<TlsAcceptor>) -> AmqpServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let state = State {
            broker: FakeBroker::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            rng: StdRng::seed_from_u64(seed),
            drop_one_in,
            hanging: BTreeSet::new(),
            open: BTreeSet::new(),
            failed_tls_handshakes: 0,
        };
        let server = AmqpServer {
            state: Arc::new(Mutex::new(state)),
            address: listener.local_addr().expect("an address"),
        };
        tokio::spawn(server.clone().accept(listener, tls));
        server
    }

    async fn accept(self, listener: TcpListener, tls: Option<TlsAcceptor>) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().handshake(stream, tls.clone()));
        }
    }

    async fn handshake(self, stream: TcpStream, tls: Option<TlsAcceptor>) {
        // Fails only for a client that is gone already, which the handshake notices.
        let _ = stream.set_nodelay(true);
        let Some(tls) = tls else {
            return self.serve(stream).await;
        };
        match tls.accept(stream).await {
            Ok(stream) => self.serve(stream).await,
            Err(_) => self.with_state(|state| state.failed_tls_handshakes += 1),
        }
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no panic while it was held"))
    }

    pub fn declare(&self, queue: &str) {
        self.with_state(|state| state.broker.declare(queue));
    }

    /// Publishes like a client.
    pub fn publish(&self, queue: &str, properties: AMQPProperties, body: &[u8]) {
        let message = StoredMessage {
            properties,
            body: body.to_vec(),
        };
        self.with_state(|state| {
            state.broker.enqueue(queue, message);
            state.send_deliveries();
        });
    }

    /// Removes and returns all ready messages of a queue.
    pub fn drain(&self, queue: &str) -> Vec<StoredMessage> {
        self.with_state(|state| state.broker.drain(queue))
    }

    /// Number of ready messages in a queue.
    pub fn ready(&self, queue: &str) -> usize {
        self.with_state(|state| state.broker.ready(queue))
    }

    /// Number of messages in a queue, unacknowledged ones included.
    pub fn held(&self, queue: &str) -> usize {
        self.with_state(|state| state.broker.held(queue))
    }

    pub fn queues(&self) -> Vec<String> {
        self.with_state(|state| state.broker.names())
    }

    pub fn drop_one_in(&self, frames: u32) {
        self.with_state(|state| state.drop_one_in = frames);
    }

    /// Restarts: all connections end, and messages in queues stay.
    pub fn restart(&self) {
        self.with_state(|state| {
            let connections: Vec<ConnectionNumber> = state.connections.keys().copied().collect();
            for connection in connections {
                state.end(connection);
            }
        });
    }

    /// Hangs, as far as the present connections can tell.
    pub fn hang(&self) {
        self.with_state(|state| state.hanging = state.connections.keys().copied().collect());
    }

    pub fn failed_tls_handshakes(&self) -> usize {
        self.with_state(|state| state.failed_tls_handshakes)
    }

    pub fn connections(&self) -> usize {
        self.with_state(|state| state.connections.len())
    }
}
