//! Admission of connections and requests: which connections are kept or closed, and which requests are rejected.
//!
//! There may be more agents than sockets, and an agent needs no connection between two heartbeats. Connections have
//! classes, known from their first request. Each class keeps its connections while there is room for them; beyond that,
//! a connection is closed with its next response, and its client reconnects for its next request. A part of the sockets
//! is reserved for connections whose class is not known yet. A connection uses such a socket only until its first
//! request, so health checks and users can connect however many agents there are.
//!
//! No input or output happens here: events and the time go in, decisions come out. No safety property relies on them.

mod sockets;
mod usage;

pub use sockets::SocketPlan;

use crate::time::Micros;
use std::collections::BTreeMap;
use usage::ClassUsage;

/// Identifies a connection within its process.
pub type ConnectionId = u64;

/// The kind of client of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// The load balancer's health checks.
    Health,
    /// Users.
    User,
    /// Agents.
    Agent,
}

/// The kind of a request, which decides its precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// A health check.
    Health,
    /// A cancellation of a job.
    Cancel,
    /// An agent's heartbeat.
    Heartbeat,
    /// A submission of a job.
    Submit,
    /// A query for a job's status.
    Query,
}

impl Request {
    /// The class of clients that send such requests.
    pub fn class(self) -> Class {
        match self {
            Request::Health => Class::Health,
            Request::Heartbeat => Class::Agent,
            Request::Cancel | Request::Submit | Request::Query => Class::User,
        }
    }
}

/// Whether a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestDecision {
    /// The request is served.
    Serve,
    /// The request is rejected at once; its client retries after this many seconds.
    Reject(u32),
}

/// Numbers of closed connections and rejected requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Agents' connections closed with a response.
    pub agents_closed: u64,
    /// Users' connections closed with a response.
    pub users_closed: u64,
    /// Connections closed because their first request was not complete in time.
    pub slow_closed: u64,
    /// Cancellations rejected.
    pub aborts_refused: u64,
    /// Submissions rejected.
    pub submits_refused: u64,
    /// Queries rejected.
    pub queries_refused: u64,
}

/// Numbers of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenConnections {
    /// All connections, including those of unknown class.
    pub total: usize,
    /// Connections of agents.
    pub agents: usize,
    /// Connections of users and health checks.
    pub users: usize,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Unknown before the first request.
    class: Option<Class>,
    opened: Micros,
    /// When the last response was sent.
    last_response: Option<Micros>,
    /// How long the connection was idle before its latest request.
    idle: Micros,
    /// A request is being served.
    busy: bool,
}

impl Connection {
    fn new(opened: Micros) -> Connection {
        Connection {
            class: None,
            opened,
            last_response: None,
            idle: Micros::ZERO,
            busy: false,
        }
    }

    /// A request of this class has arrived. Returns the connection's class before it.
    fn on_request(&mut self, now: Micros, class: Class) -> Option<Class> {
        // A new connection has sent no response yet: it counts as having been idle forever.
        self.idle = self
            .last_response
            .map_or(Micros::FOREVER, |answered| now.since(answered));
        self.busy = true;
        self.class.replace(class)
    }

    fn on_response(&mut self, now: Micros) {
        self.last_response = Some(now);
        self.busy = false;
    }
}

/// The connections of a controller's server.
#[derive(Debug)]
pub struct Connections {
    /// Maximum number of open connections.
    limit: usize,
    open: BTreeMap<ConnectionId, Connection>,
    agents: ClassUsage,
    users: ClassUsage,
    /// Users' requests that are being served.
    user_requests: usize,
    slow_closed: u64,
    rejected: RejectedRequests,
}

#[derive(Debug, Default)]
struct RejectedRequests {
    aborts: u64,
    submits: u64,
    queries: u64,
}

impl RejectedRequests {
    fn total(&self) -> u64 {
        self.aborts + self.submits + self.queries
    }
}

impl Connections {
    /// Time within which the first request must be complete; users and agents hardly wait longer for a response.
    const FIRST_REQUEST_TIMEOUT: Micros = Micros::secs(3);
    /// The same timeout while few sockets are left for new connections.
    const FIRST_REQUEST_TIMEOUT_IF_FULL: Micros = Micros::millis(500);
    /// Connections that were idle for less than this before a request are active: they are closed last.
    const MAX_ACTIVE_IDLE: Micros = Micros::millis(1_500);
    /// Rejected clients retry after 1 s to this many seconds, so that they do not all return at once.
    const MAX_RETRY_AFTER_S: u64 = 3;

    /// A server that has no connections yet; at most `limit` may be open.
    pub fn new(limit: usize) -> Connections {
        Connections {
            limit,
            open: BTreeMap::new(),
            agents: ClassUsage::default(),
            users: ClassUsage::default(),
            user_requests: 0,
            slow_closed: 0,
            rejected: RejectedRequests::default(),
        }
    }

    /// Sockets for connections whose class is not known yet.
    fn reserved_sockets(&self) -> usize {
        (self.limit / 8).max(4)
    }

    /// Connections that each of agents and users may keep in any case.
    fn guaranteed_per_class(&self) -> usize {
        self.limit / 4
    }

    /// Maximum number of connections that a class may keep.
    fn class_limit(&self) -> usize {
        self.limit
            .saturating_sub(self.guaranteed_per_class() + self.reserved_sockets())
            .max(1)
    }

    /// Maximum number of users' requests that are served at a time.
    fn user_request_limit(&self) -> usize {
        (self.limit / 2).max(1)
    }

    fn is_full(&self) -> bool {
        self.open.len() + self.reserved_sockets() > self.limit
    }

    /// Updates for each class whether its connections are being closed.
    fn update_shedding(&mut self) {
        let class_limit = self.class_limit();
        let guaranteed = self.guaranteed_per_class();
        let full = self.is_full();
        for usage in [&mut self.agents, &mut self.users] {
            usage.update_shedding(class_limit, guaranteed, full);
        }
    }

    /// The usage of a class. Health checks are few, and count as users.
    fn usage_of(&mut self, class: Class) -> &mut ClassUsage {
        match class {
            Class::Agent => &mut self.agents,
            Class::User | Class::Health => &mut self.users,
        }
    }

    /// A connection was accepted.
    pub fn on_opened(&mut self, now: Micros, id: ConnectionId) {
        self.open.insert(id, Connection::new(now));
        self.update_shedding();
    }

    /// A connection is closed.
    pub fn on_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        if let Some(class) = connection.class {
            self.usage_of(class).remove();
        }
        if connection.busy && connection.class == Some(Class::User) {
            self.user_requests -= 1;
        }
        self.update_shedding();
    }

    /// The head of a request has arrived.
    pub fn on_request(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: Request,
    ) -> RequestDecision {
        let class = request.class();
        let Some(connection) = self.open.get_mut(&id) else {
            return RequestDecision::Serve;
        };
        let previous_class = connection.on_request(now, class);
        if previous_class != Some(class) {
            if let Some(previous_class) = previous_class {
                self.usage_of(previous_class).remove();
            }
            self.usage_of(class).add();
            self.update_shedding();
        }
        if class == Class::User {
            self.user_requests += 1;
        }
        self.decide(request)
    }

    /// Decides whether a request is served. Heartbeats and health checks are answered at once, so none is rejected.
    /// Users' requests may have to wait for the state store, so their number is limited. The limit is higher for requests
    /// that protect more: it is highest for cancellations and lowest for queries.
    fn decide(&mut self, request: Request) -> RequestDecision {
        let max_requests = self.user_request_limit();
        let (limit, rejected) = match request {
            Request::Health | Request::Heartbeat => return RequestDecision::Serve,
            Request::Cancel => (max_requests, &mut self.rejected.aborts),
            Request::Submit => (max_requests * 7 / 8, &mut self.rejected.submits),
            Request::Query => (max_requests / 2, &mut self.rejected.queries),
        };
        if self.user_requests <= limit.max(1) {
            return RequestDecision::Serve;
        }
        *rejected += 1;
        RequestDecision::Reject(1 + (self.rejected.total() % Self::MAX_RETRY_AFTER_S) as u32)
    }

    /// The response to a request is about to be sent. Returns whether the connection is to be closed with it.
    pub fn on_response(&mut self, now: Micros, id: ConnectionId) -> bool {
        let full = self.is_full();
        let Some(connection) = self.open.get_mut(&id) else {
            return false;
        };
        connection.on_response(now);
        let active = connection.idle < Self::MAX_ACTIVE_IDLE;
        match connection.class {
            None => false,
            Some(Class::Health) => full,
            Some(Class::Agent) => self.agents.close_with_response(active, full),
            Some(Class::User) => {
                self.user_requests = self.user_requests.saturating_sub(1);
                self.users.close_with_response(active, full)
            }
        }
    }

    /// Connections that are to be closed since no complete request arrived in time.
    pub fn select_slow_connections(&mut self, now: Micros) -> Vec<ConnectionId> {
        let timeout = if self.is_full() {
            Self::FIRST_REQUEST_TIMEOUT_IF_FULL
        } else {
            Self::FIRST_REQUEST_TIMEOUT
        };
        let slow: Vec<ConnectionId> = self
            .open
            .iter()
            .filter(|(_, connection)| connection.class.is_none())
            .filter(|(_, connection)| now.since(connection.opened) > timeout)
            .map(|(id, _)| *id)
            .collect();
        self.slow_closed += slow.len() as u64;
        slow
    }

    /// Numbers of closed connections and rejected requests so far.
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            agents_closed: self.agents.closed(),
            users_closed: self.users.closed(),
            slow_closed: self.slow_closed,
            aborts_refused: self.rejected.aborts,
            submits_refused: self.rejected.submits,
            queries_refused: self.rejected.queries,
        }
    }

    /// Numbers of open connections.
    pub fn open(&self) -> OpenConnections {
        OpenConnections {
            total: self.open.len(),
            agents: self.agents.open(),
            users: self.users.open(),
        }
    }
}
