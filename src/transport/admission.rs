//! Applies the admission of connections to the server: registers connections, and closes those that are too slow.

use super::clock::Clock;
use crate::coordination::api::connections::{
    ConnectionCounts, ConnectionId, Connections, Request, Verdict,
};
use crate::time::Micros;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use salvo::prelude::async_trait;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often slow connections are closed.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the counts are logged, in microseconds.
const LOG_INTERVAL_MICROS: u64 = 30_000_000;

/// An open connection.
struct OpenConnection {
    id: ConnectionId,
    control: ConnCtrl,
}

struct Inner {
    connections: Connections,
    /// By the client's address, which identifies a connection while it is open.
    open: HashMap<SocketAddr, OpenConnection>,
    next_id: ConnectionId,
    /// The counts that were logged last.
    logged: ConnectionCounts,
}

impl Inner {
    fn id_of(&self, remote: SocketAddr) -> Option<ConnectionId> {
        self.open.get(&remote).map(|connection| connection.id)
    }

    fn close(&mut self, id: ConnectionId, remote: SocketAddr) {
        self.connections.closed(id);
        // A new connection of the same address may be registered before the old one is dropped.
        if self.id_of(remote) == Some(id) {
            self.open.remove(&remote);
        }
    }
}

/// The connections of the server.
pub struct Admission {
    inner: Mutex<Inner>,
    clock: Clock,
}

/// Reports the end of its connection when it is dropped.
struct Registered {
    admission: Arc<Admission>,
    id: ConnectionId,
    remote: SocketAddr,
}

impl ConnObserver for Registered {}

impl Drop for Registered {
    fn drop(&mut self) {
        self.admission.lock().close(self.id, self.remote);
    }
}

/// Registers each accepted connection.
pub struct Register(pub Arc<Admission>);

#[async_trait]
impl FusePolicy for Register {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        FuseAction::Accept(FuseConfig::default())
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let remote = info.remote_addr.clone().into_std()?;
        let id = self.0.opened(remote, control.clone());
        Some(Arc::new(Registered {
            admission: Arc::clone(&self.0),
            id,
            remote,
        }))
    }
}

impl Admission {
    /// A server without connections, of which at most `limit` may be open.
    pub fn new(limit: usize) -> Arc<Admission> {
        let inner = Inner {
            connections: Connections::new(limit),
            open: HashMap::new(),
            next_id: 1,
            logged: ConnectionCounts::default(),
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
        self.clock.now().steady
    }

    fn opened(&self, remote: SocketAddr, control: ConnCtrl) -> ConnectionId {
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.connections.opened(self.now(), id);
        inner.open.insert(remote, OpenConnection { id, control });
        id
    }

    /// The head of a request has arrived by the connection from `remote`.
    pub fn requested(&self, remote: SocketAddr, request: Request) -> Verdict {
        let mut inner = self.lock();
        match inner.id_of(remote) {
            Some(id) => inner.connections.requested(self.now(), id, request),
            None => Verdict::Serve,
        }
    }

    /// The response is about to be sent. Returns whether the connection is to be closed with it.
    pub fn answered(&self, remote: SocketAddr) -> bool {
        let mut inner = self.lock();
        match inner.id_of(remote) {
            Some(id) => inner.connections.answered(self.now(), id),
            None => false,
        }
    }

    /// Closes slow connections and logs the counts; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SLOW_CHECK_INTERVAL).await;
            for control in self.too_slow() {
                control.abort();
            }
            self.log_counts();
        }
    }

    fn too_slow(&self) -> Vec<ConnCtrl> {
        let mut inner = self.lock();
        let slow = inner.connections.too_slow(self.now());
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

    /// Logs the counts if they have changed and it is time.
    fn log_counts(&self) {
        let mut inner = self.lock();
        let counts = inner.connections.counts();
        if counts == inner.logged || !self.is_log_due() {
            return;
        }
        let open = inner.connections.open();
        inner.logged = counts;
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
