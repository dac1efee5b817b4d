//! Carries out the admission of connections: registers those that come and go, and ends those that are too slow.

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

/// How often connections are looked for that are too slow.
const SWEEP: Duration = Duration::from_millis(500);

struct Inner {
    connections: Connections,
    /// By the address of the other end, which names a connection as long as it is open.
    open: HashMap<SocketAddr, (ConnectionId, ConnCtrl)>,
    next: ConnectionId,
    told: ConnectionCounts,
}

/// The connections of the server.
pub struct Admission {
    inner: Mutex<Inner>,
    clock: Clock,
}

/// Lives as long as its connection.
struct Registered {
    admission: Arc<Admission>,
    id: ConnectionId,
    remote: SocketAddr,
}

impl ConnObserver for Registered {}

impl Drop for Registered {
    fn drop(&mut self) {
        let mut inner = self.admission.lock();
        inner.connections.closed(self.id);
        if inner
            .open
            .get(&self.remote)
            .is_some_and(|(id, _)| *id == self.id)
        {
            inner.open.remove(&self.remote);
        }
    }
}

/// Registers each connection that is accepted.
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
    /// Nothing is open yet; `served` connections may be.
    pub fn new(served: usize) -> Arc<Admission> {
        let connections = Connections::new(served);
        let inner = Inner {
            connections,
            open: HashMap::new(),
            next: 1,
            told: ConnectionCounts::default(),
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
        let id = inner.next;
        inner.next += 1;
        inner.connections.opened(self.now(), id);
        inner.open.insert(remote, (id, control));
        id
    }

    /// The head of a request came by the connection from `remote`.
    pub fn requested(&self, remote: SocketAddr, request: Request) -> Verdict {
        let mut inner = self.lock();
        let Some((id, _)) = inner.open.get(&remote) else {
            return Verdict::Serve;
        };
        let id = *id;
        inner.connections.requested(self.now(), id, request)
    }

    /// The answer is about to leave; whether the connection is to be closed with it.
    pub fn answered(&self, remote: SocketAddr) -> bool {
        let mut inner = self.lock();
        let Some((id, _)) = inner.open.get(&remote) else {
            return false;
        };
        let id = *id;
        inner.connections.answered(self.now(), id)
    }

    /// Ends connections that are too slow, for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            for control in self.too_slow() {
                control.abort();
            }
            self.tell();
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
            .filter(|(id, _)| slow.contains(id))
            .map(|(_, control)| control.clone())
            .collect()
    }

    /// Logs what was refused or given back since this was last logged.
    fn tell(&self) {
        let mut inner = self.lock();
        let counts = inner.connections.counts();
        let open = inner.connections.open();
        if counts == inner.told || !self.is_time_to_tell() {
            return;
        }
        inner.told = counts;
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
            "connections so far"
        );
    }

    /// Every half minute.
    fn is_time_to_tell(&self) -> bool {
        const INTERVAL: u64 = 30_000_000;
        self.now().0 % INTERVAL < SWEEP.as_micros() as u64
    }
}
