//! Admission of connections: which are kept, which are given back, who is turned away.
//!
//! A worker that reports every few seconds needs no connection between two reports, and there may be more workers than
//! sockets. So connections have classes, known by the first request. Each class keeps its connections as long as there is room for
//! them; beyond that a connection is closed with its next answer, and its client connects anew with its next request. A part of
//! the sockets is reserved for connections whose class is not known yet: these turn over within a request, so health checks and users
//! get in whatever the workers hold.
//!
//! Pure: events and the time go in, decisions come out. Nothing here is a matter of the rules, only of who is served.

use crate::time::Micros;
use std::collections::BTreeMap;

/// Names a connection within its process.
pub type ConnectionId = u64;

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// The load balancer's health checks.
    Health,
    /// Users.
    User,
    /// Workers.
    Worker,
}

/// What is asked, as far as it matters who goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// A health check.
    Health,
    /// A cancellation.
    Abort,
    /// A worker's report.
    Heartbeat,
    /// A submission.
    Submit,
    /// A poll.
    Query,
}

impl Request {
    /// Who asks this.
    pub fn class(self) -> Class {
        match self {
            Request::Health => Class::Health,
            Request::Heartbeat => Class::Worker,
            Request::Abort | Request::Submit | Request::Query => Class::User,
        }
    }
}

/// Whether a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Serve,
    /// It is turned away at once; its sender should come back after this many seconds.
    TurnAway(u32),
}

/// How many sockets there are for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketPlan {
    /// Calls to the outside that may be under way at once.
    pub calls: usize,
    /// Connections to workers that may be kept for further commands.
    pub kept_calls: usize,
    /// Connections that are served.
    pub served: usize,
}

impl SocketPlan {
    /// Listeners, and room for what the system itself opens.
    const OWN: usize = 4;
    /// Connections with each peer: one out, and old ones that linger beside the new one in.
    const EACH_PEER: usize = 5;

    /// Divides the sockets that a controller may have.
    pub fn new(sockets: usize, peers: usize) -> SocketPlan {
        let calls = sockets / 4;
        let kept_calls = sockets / 8;
        let others = calls + kept_calls + Self::OWN + peers * Self::EACH_PEER;
        SocketPlan {
            calls,
            kept_calls,
            served: sockets.saturating_sub(others).max(sockets / 2),
        }
    }
}

/// Counts for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections of workers that were given back with an answer.
    pub workers_closed: u64,
    /// The same of users.
    pub users_closed: u64,
    /// Connections without a whole first request in time.
    pub slow_closed: u64,
    /// Cancellations turned away.
    pub aborts_refused: u64,
    /// Submissions turned away.
    pub submits_refused: u64,
    /// Polls turned away.
    pub queries_refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Unknown before the first request.
    class: Option<Class>,
    opened: Micros,
    /// When the last answer was given.
    answered: Option<Micros>,
    /// How long it was idle before the request under way.
    idle: Micros,
    /// A request is under way.
    busy: bool,
}

/// The connections of a controller's server.
#[derive(Debug)]
pub struct Connections {
    served: usize,
    open: BTreeMap<ConnectionId, Connection>,
    workers: usize,
    users: usize,
    /// Requests of users under way.
    asking: usize,
    /// Connections of the class are given back.
    short: Short,
    counts: ConnectionCounts,
    refused: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Short {
    workers: bool,
    users: bool,
}

impl Connections {
    /// Longest time until the first request must be there; users and workers wait for an answer hardly longer.
    const FIRST_REQUEST: Micros = Micros::secs(3);
    /// The same while sockets for new connections are short.
    const FIRST_REQUEST_IF_SHORT: Micros = Micros::millis(500);
    /// Connections that were idle for less than this before a request are kept longest.
    const BRISK: Micros = Micros::millis(1_500);
    /// Those who are turned away come back after 1 s to this many.
    const RETRY_SPREAD: u64 = 3;

    /// Nothing is open yet; `served` connections may be.
    pub fn new(served: usize) -> Connections {
        Connections {
            served,
            open: BTreeMap::new(),
            workers: 0,
            users: 0,
            asking: 0,
            short: Short::default(),
            counts: ConnectionCounts::default(),
            refused: 0,
        }
    }

    /// Sockets for connections whose class is not known, and for requests of those that are not kept.
    fn reserve(&self) -> usize {
        (self.served / 8).max(4)
    }

    /// What each of workers and users has to itself.
    fn floor(&self) -> usize {
        self.served / 4
    }

    /// The most connections that a class may keep.
    fn ceiling(&self) -> usize {
        self.served
            .saturating_sub(self.floor() + self.reserve())
            .max(1)
    }

    /// Connections given back are so many that it need not be begun again at once.
    fn enough(&self) -> usize {
        self.ceiling() * 3 / 4
    }

    /// Requests of users that may be under way.
    fn most_asking(&self) -> usize {
        (self.served / 2).max(1)
    }

    fn is_full(&self) -> bool {
        self.open.len() + self.reserve() > self.served
    }

    /// Begins and ends giving back connections, with hysteresis.
    fn update_shortage(&mut self) {
        let (ceiling, enough, full, floor) =
            (self.ceiling(), self.enough(), self.is_full(), self.floor());
        let is_short = |was: bool, kept: usize| {
            let limit = if was { enough } else { ceiling };
            kept > limit || full && kept > floor
        };
        self.short.workers = is_short(self.short.workers, self.workers);
        self.short.users = is_short(self.short.users, self.users);
    }

    /// A connection was accepted.
    pub fn opened(&mut self, now: Micros, id: ConnectionId) {
        let connection = Connection {
            class: None,
            opened: now,
            answered: None,
            idle: Micros::ZERO,
            busy: false,
        };
        self.open.insert(id, connection);
        self.update_shortage();
    }

    /// A connection is gone.
    pub fn closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.open.remove(&id) else {
            return;
        };
        *self.kept_of(connection.class) -= usize::from(connection.class.is_some());
        if connection.busy && connection.class == Some(Class::User) {
            self.asking -= 1;
        }
        self.update_shortage();
    }

    /// The counter of a class's connections. Health checks are few, and not counted apart.
    fn kept_of(&mut self, class: Option<Class>) -> &mut usize {
        match class {
            Some(Class::Worker) => &mut self.workers,
            _ => &mut self.users,
        }
    }

    /// The head of a request is there.
    pub fn requested(&mut self, now: Micros, id: ConnectionId, request: Request) -> Verdict {
        let class = request.class();
        let Some(connection) = self.open.get_mut(&id) else {
            return Verdict::Serve;
        };
        let before = connection.class.replace(class);
        // Of a new connection it is not known yet; its client had none until now.
        connection.idle = connection
            .answered
            .map_or(Micros::FOREVER, |answered| now.since(answered));
        connection.busy = true;
        if before != Some(class) {
            if before.is_some() {
                *self.kept_of(before) -= 1;
            }
            *self.kept_of(Some(class)) += 1;
            self.update_shortage();
        }
        if class == Class::User {
            self.asking += 1;
        }
        self.verdict(request)
    }

    /// Reports and health checks are answered at once, so none is turned away. Of users' requests, which may have to wait for
    /// the state service, those that protect most have most room.
    fn verdict(&mut self, request: Request) -> Verdict {
        let most = self.most_asking();
        let (limit, refused) = match request {
            Request::Health | Request::Heartbeat => return Verdict::Serve,
            Request::Abort => (most, &mut self.counts.aborts_refused),
            Request::Submit => (most * 7 / 8, &mut self.counts.submits_refused),
            Request::Query => (most / 2, &mut self.counts.queries_refused),
        };
        if self.asking <= limit.max(1) {
            return Verdict::Serve;
        }
        *refused += 1;
        self.refused += 1;
        Verdict::TurnAway(1 + (self.refused % Self::RETRY_SPREAD) as u32)
    }

    /// A request's answer is about to leave; whether the connection is to be closed with it.
    pub fn answered(&mut self, now: Micros, id: ConnectionId) -> bool {
        let full = self.is_full();
        let Some(connection) = self.open.get_mut(&id) else {
            return false;
        };
        connection.answered = Some(now);
        connection.busy = false;
        let brisk = connection.idle < Self::BRISK;
        match connection.class {
            Some(Class::Worker) => {
                // The longest idle first; where even new connections find no room, any.
                let close = self.short.workers && (full || !brisk);
                self.counts.workers_closed += u64::from(close);
                close
            }
            Some(Class::User) => {
                self.asking = self.asking.saturating_sub(1);
                let close = self.short.users && (full || !brisk);
                self.counts.users_closed += u64::from(close);
                close
            }
            Some(Class::Health) => full,
            None => false,
        }
    }

    /// Connections that are to be ended since no whole request came in time.
    pub fn too_slow(&mut self, now: Micros) -> Vec<ConnectionId> {
        let limit = if self.is_full() {
            Self::FIRST_REQUEST_IF_SHORT
        } else {
            Self::FIRST_REQUEST
        };
        let slow = |c: &Connection| c.class.is_none() && now.since(c.opened) > limit;
        let ended: Vec<ConnectionId> = self
            .open
            .iter()
            .filter(|(_, c)| slow(c))
            .map(|(id, _)| *id)
            .collect();
        self.counts.slow_closed += ended.len() as u64;
        ended
    }

    /// What was counted so far.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts
    }

    /// Open connections: all, of workers, of users.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.open.len(), self.workers, self.users)
    }
}
