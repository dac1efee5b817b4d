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

/// Whether a connection is dropped at a frame, and when.
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
    /// Average number of frames until a connection is dropped; 0 for no drops.
    frames_per_drop: u32,
    /// Connections that the server does not respond on and sends no heartbeats to.
    hanging: BTreeSet<ConnectionNumber>,
    /// Connections whose handshake is complete. Clients treat an earlier heartbeat as an error.
    established: BTreeSet<ConnectionNumber>,
    failed_tls_handshakes: usize,
}

impl State {
    fn next_drop_point(&mut self) -> DropPoint {
        if self.frames_per_drop == 0 || self.rng.random_range(0..self.frames_per_drop) > 0 {
            DropPoint::Never
        } else if self.rng.random() {
            DropPoint::BeforeFrame
        } else {
            DropPoint::AfterFrame
        }
    }

    /// Ends a connection and requeues its unacknowledged messages.
    fn end_connection(&mut self, connection: ConnectionNumber) {
        self.connections.remove(&connection);
        self.hanging.remove(&connection);
        self.established.remove(&connection);
        self.broker.close_connection(connection, false);
        self.send_deliveries();
    }
}

#[derive(Clone)]
pub struct AmqpServer {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl AmqpServer {
    pub async fn start(seed: u64, frames_per_drop: u32, tls: Option<TlsAcceptor>) -> AmqpServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let state = State {
            broker: FakeBroker::new(),
            connections: BTreeMap::new(),
            last_connection: 0,
            rng: StdRng::seed_from_u64(seed),
            frames_per_drop,
            hanging: BTreeSet::new(),
            established: BTreeSet::new(),
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
        // This fails only if the client has disconnected already, which the handshake detects.
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
        f(&mut self
            .state
            .lock()
            .expect("no panic while the state was locked"))
    }

    pub fn declare_queue(&self, queue: &str) {
        self.with_state(|state| state.broker.declare_queue(queue));
    }

    /// Publishes a message as a client would.
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
    pub fn take_ready_messages(&self, queue: &str) -> Vec<StoredMessage> {
        self.with_state(|state| state.broker.take_ready_messages(queue))
    }

    /// Number of ready messages in a queue.
    pub fn ready_count(&self, queue: &str) -> usize {
        self.with_state(|state| state.broker.ready_count(queue))
    }

    /// Number of messages in a queue, unacknowledged ones included.
    pub fn message_count(&self, queue: &str) -> usize {
        self.with_state(|state| state.broker.message_count(queue))
    }

    pub fn queue_names(&self) -> Vec<String> {
        self.with_state(|state| state.broker.queue_names())
    }

    /// Sets the average number of frames until a connection is dropped; 0 for no drops.
    pub fn set_frames_per_drop(&self, frames_per_drop: u32) {
        self.with_state(|state| state.frames_per_drop = frames_per_drop);
    }

    /// Restarts the server: all connections end, and messages in queues are kept.
    pub fn restart(&self) {
        self.with_state(|state| {
            let connections: Vec<ConnectionNumber> = state.connections.keys().copied().collect();
            for connection in connections {
                state.end_connection(connection);
            }
        });
    }

    /// Hangs on all current connections; new connections are served.
    pub fn hang_connections(&self) {
        self.with_state(|state| state.hanging = state.connections.keys().copied().collect());
    }

    pub fn failed_tls_handshakes(&self) -> usize {
        self.with_state(|state| state.failed_tls_handshakes)
    }

    /// Number of connections that were ever accepted, including those that failed.
    pub fn accepted_connection_count(&self) -> u64 {
        self.with_state(|state| state.last_connection)
    }

    pub fn connection_count(&self) -> usize {
        self.with_state(|state| state.connections.len())
    }
}
