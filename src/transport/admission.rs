//! Connection admission of the HTTP server: registers connections, decides on requests and closes slow connections.

use super::clock::Clock;
use crate::coordination::api::connections::{
    ConnectionCounts, ConnectionId, Connections, Request, RequestDecision,
};
use crate::time::Micros;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::prelude::async_trait;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which slow connections are closed.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the connection counts are logged, in microseconds.
const LOG_INTERVAL_MICROS: u64 = 30_000_000;

/// An open connection.
struct OpenConnection {
    id: ConnectionId,
    control: ConnCtrl,
}

struct Inner {
    connections: Connections,
    /// Open connections by the client's address, which identifies a connection while it is open.
    open: HashMap<SocketAddr, OpenConnection>,
    next_id: ConnectionId,
    /// The counts that were logged last.
    last_logged: ConnectionCounts,
}

impl Inner {
    fn id_of(&self, remote: SocketAddr) -> Option<ConnectionId> {
        self.open.get(&remote).map(|connection| connection.id)
    }

    fn close(&mut self, id: ConnectionId, remote: SocketAddr) {
        self.connections.on_closed(id);
        // A new connection of the same address may be registered before the old one is dropped.
        if self.id_of(remote) == Some(id) {
            self.open.remove(&remote);
        }
    }
}

/// The connections of the server, and which of them are admitted.
pub struct Admission {
    inner: Mutex<Inner>,
    clock: Clock,
}

/// Removes its connection from the admission when it is dropped, which the server does when the connection ends.
struct ConnectionGuard {
    admission: Arc<Admission>,
    id: ConnectionId,
    remote: SocketAddr,
}

impl ConnObserver for ConnectionGuard {}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.admission.lock().close(self.id, self.remote);
    }
}

/// Accepts all connections and registers each with the admission.
pub struct RegisterConnections(pub Arc<Admission>);

#[async_trait]
impl FusePolicy for RegisterConnections {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        FuseAction::Accept(FuseConfig::default())
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let remote = info.remote_addr.clone().into_std()?;
        let id = self.0.on_open(remote, control.clone());
        Some(Arc::new(ConnectionGuard {
            admission: Arc::clone(&self.0),
            id,
            remote,
        }))
    }
}

impl Admission {
    /// An admission without connections, which allows at most `limit` open ones.
    pub fn new(limit: usize) -> Arc<Admission> {
        let inner = Inner {
            connections: Connections::new(limit),
            open: HashMap::new(),
            next_id: 1,
            last_logged: ConnectionCounts::default(),
        };
        Arc::new(Admission {
            inner: Mutex::new(inner),
            clock: Clock::start(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Micros {
        self.clock.now().monotonic
    }

    fn on_open(&self, remote: SocketAddr, control: ConnCtrl) -> ConnectionId {
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.connections.on_opened(self.now(), id);
        inner.open.insert(remote, OpenConnection { id, control });
        id
    }

    /// Decides on a request whose head has arrived on the connection from `remote`.
    pub fn on_request(&self, remote: SocketAddr, request: Request) -> RequestDecision {
        let mut inner = self.lock();
        match inner.id_of(remote) {
            Some(id) => inner.connections.on_request(self.now(), id, request),
            None => RequestDecision::Serve,
        }
    }

    /// Records that a response is about to be sent. Returns whether the connection must be closed after it.
    pub fn on_response(&self, remote: SocketAddr) -> bool {
        let mut inner = self.lock();
        match inner.id_of(remote) {
            Some(id) => inner.connections.on_response(self.now(), id),
            None => false,
        }
    }

    /// Closes slow connections and logs the counts; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SLOW_CHECK_INTERVAL).await;
            for control in self.slow_connections() {
                control.abort();
            }
            self.log_counts();
        }
    }

    /// The controls of connections that are too slow.
    fn slow_connections(&self) -> Vec<ConnCtrl> {
        let mut inner = self.lock();
        let slow = inner.connections.select_slow_connections(self.now());
        if slow.is_empty() {
            return Vec::new();
        }
        inner
            .open
            .values()
            .filter(|connection| slow.contains(&connection.id))
            .map(|connection| connection.control.clone())
            .collect()
    }

    /// Logs the counts if they have changed and a log interval has passed.
    fn log_counts(&self) {
        let mut inner = self.lock();
        let counts = inner.connections.counts();
        if counts == inner.last_logged || !self.is_log_due() {
            return;
        }
        let open = inner.connections.open();
        inner.last_logged = counts;
        drop(inner);
        tracing::info!(
            open = open.total,
            agents = open.agents,
            users = open.users,
            agents_closed = counts.agents_closed,
            users_closed = counts.users_closed,
            slow_closed = counts.slow_closed,
            aborts_refused = counts.aborts_refused,
            submits_refused = counts.submits_refused,
            queries_refused = counts.queries_refused,
            "connection counts"
        );
    }

    /// Whether a log interval began since the last check.
    fn is_log_due(&self) -> bool {
        self.now().0 % LOG_INTERVAL_MICROS < SLOW_CHECK_INTERVAL.as_micros() as u64
    }
}
