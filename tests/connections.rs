//! Admission of connections: many simulated clients against the connection table, in simulated time.

use cometlead::coordination::api::connections::{
    Connections, OpenConnections, Request, RequestDecision, SocketPlan,
};
use cometlead::time::Micros;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Connections that a controller serves at once.
const SERVED_CONNECTIONS: usize = 1_600;
/// Connections reserved for clients whose class is not known yet, and for each of users and workers.
const RESERVED_CONNECTIONS: usize = SERVED_CONNECTIONS / 8;

/// Workers that send heartbeats to one controller in turn, each on the connection that it has kept.
struct Workers {
    connections: Connections,
    now: Micros,
    next: u64,
    kept: BTreeMap<usize, u64>,
    opened: u64,
    refused: u64,
    most_open: usize,
    /// Fewest connections kept since the controller first closed one.
    fewest_kept: usize,
}

impl Workers {
    fn new(served: usize) -> Workers {
        Workers {
            connections: Connections::new(served),
            now: Micros::ZERO,
            next: 1,
            kept: BTreeMap::new(),
            opened: 0,
            refused: 0,
            most_open: 0,
            fewest_kept: usize::MAX,
        }
    }

    fn open(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        self.connections.on_opened(self.now, id);
        self.most_open = self.most_open.max(self.connections.open().total);
        id
    }

    /// Sends one heartbeat, which is answered at once.
    fn send_heartbeat(&mut self, worker: usize) {
        let id = match self.kept.get(&worker) {
            Some(id) => *id,
            None if self.connections.open().total >= SERVED_CONNECTIONS => {
                self.refused += 1;
                return;
            }
            None => {
                self.opened += 1;
                self.open()
            }
        };
        self.kept.insert(worker, id);
        assert_eq!(
            self.connections
                .on_request(self.now, id, Request::Heartbeat),
            RequestDecision::Serve
        );
        if self.connections.on_response(self.now, id) {
            self.connections.on_closed(id);
            self.kept.remove(&worker);
            self.fewest_kept = self.fewest_kept.min(self.kept.len());
        }
    }

    /// Each of `count` workers sends one heartbeat, evenly spread over `span`.
    fn send_heartbeats(&mut self, count: usize, span: Micros) {
        for worker in 0..count {
            self.now += Micros(span.0 / count as u64);
            self.send_heartbeat(worker);
        }
    }
}

#[test]
fn every_worker_keeps_its_connection_below_the_limit() {
    let mut workers = Workers::new(SERVED_CONNECTIONS);
    for _ in 0..10 {
        workers.send_heartbeats(900, Micros::secs(8));
    }
    assert_eq!((workers.opened, workers.kept.len()), (900, 900));
    assert_eq!(workers.connections.counts().agents_closed, 0);
}

/// The workers of three controllers connect to the only one that is left: far more of them than it has sockets.
#[test]
fn more_workers_than_sockets_are_all_served() {
    let mut workers = Workers::new(SERVED_CONNECTIONS);
    workers.send_heartbeats(1_000, Micros::secs(8));
    for _ in 0..10 {
        workers.send_heartbeats(5_216, Micros::secs(8));
        let open = workers.connections.open();
        assert!(
            open.total + RESERVED_CONNECTIONS <= SERVED_CONNECTIONS
                && open.agents < SERVED_CONNECTIONS * 3 / 4,
            "{open:?}"
        );
    }
    assert_eq!(workers.refused, 0);
    assert!(
        workers.most_open <= SERVED_CONNECTIONS - RESERVED_CONNECTIONS + 1,
        "{}",
        workers.most_open
    );
}

/// All workers connect within the same second, as after a restart.
#[test]
fn simultaneous_workers_leave_connections_for_health_checks_and_users() {
    let mut workers = Workers::new(SERVED_CONNECTIONS);
    for _ in 0..3 {
        workers.send_heartbeats(5_216, Micros::secs(1));
        let id = workers.open();
        assert_eq!(
            workers
                .connections
                .on_request(workers.now, id, Request::Health),
            RequestDecision::Serve
        );
        workers.connections.on_response(workers.now, id);
        workers.connections.on_closed(id);
    }
    assert_eq!(workers.refused, 0);
}

#[test]
fn worker_connections_are_closed_with_hysteresis() {
    let mut workers = Workers::new(SERVED_CONNECTIONS);
    for _ in 0..20 {
        workers.send_heartbeats(1_300, Micros::secs(8));
    }
    // Connections are kept between two shortages: fewer than half of the heartbeats open one.
    assert!(workers.opened < 20 * 1_300 / 2, "{}", workers.opened);
    assert!(workers.connections.counts().agents_closed > 0);
    // Once the controller has begun to close connections, it continues until it has free ones for a while.
    let ceiling = SERVED_CONNECTIONS - SERVED_CONNECTIONS / 4 - RESERVED_CONNECTIONS;
    assert!(
        workers.fewest_kept <= ceiling * 3 / 4,
        "{} of {ceiling}",
        workers.fewest_kept
    );
}

/// Neither users nor workers exceed their own limit, but together they leave less than the reserve.
#[test]
fn connections_of_both_classes_are_closed_before_the_reserve_is_used_up() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    for id in 0..1_450 {
        connections.on_opened(Micros::ZERO, id);
        let request = if id % 2 == 0 {
            Request::Heartbeat
        } else {
            Request::Query
        };
        connections.on_request(Micros::ZERO, id, request);
        connections.on_response(Micros::ZERO, id);
    }
    let counts = connections.counts();
    assert!(
        counts.agents_closed > 0 && counts.users_closed > 0,
        "{counts:?}"
    );
}

#[test]
fn worker_with_short_heartbeat_interval_keeps_its_connection_longest() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    let mut now = Micros::ZERO;
    for id in 0..1_100 {
        connections.on_opened(now, id);
        connections.on_request(now, id, Request::Heartbeat);
        connections.on_response(now, id);
    }
    now = Micros::millis(500);
    connections.on_request(now, 1, Request::Heartbeat);
    assert!(
        !connections.on_response(now, 1),
        "it was idle for half a second"
    );
    now = Micros::secs(9);
    connections.on_request(now, 2, Request::Heartbeat);
    assert!(
        connections.on_response(now, 2),
        "it was idle for nine seconds"
    );
}

/// While a flood of status queries waits for the state service, submissions and cancellations are still served, and rejected
/// clients get different retry delays so that they do not come back together.
#[test]
fn flood_of_status_queries_leaves_room_for_submissions_and_cancellations() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    let mut retry_delays = BTreeMap::new();
    for id in 0..SERVED_CONNECTIONS as u64 {
        connections.on_opened(Micros::ZERO, id);
        if let RequestDecision::Reject(seconds) =
            connections.on_request(Micros::ZERO, id, Request::Query)
        {
            *retry_delays.entry(seconds).or_insert(0) += 1;
            connections.on_response(Micros::ZERO, id);
            connections.on_closed(id);
        }
    }
    assert!(
        retry_delays.len() >= 3 && retry_delays.values().all(|n| *n > 100),
        "{retry_delays:?}"
    );
    let refused = connections.counts().queries_refused;
    assert_eq!(refused, retry_delays.values().sum::<u64>());
    for (id, request) in [(10_001, Request::Submit), (10_002, Request::Cancel)] {
        connections.on_opened(Micros::ZERO, id);
        assert_eq!(
            connections.on_request(Micros::ZERO, id, request),
            RequestDecision::Serve,
            "{request:?}"
        );
    }
}

/// A cancellation is served even while submissions are rejected.
#[test]
fn cancellations_have_precedence_over_submissions() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    let mut rejected = 0;
    for id in 0..SERVED_CONNECTIONS as u64 {
        connections.on_opened(Micros::ZERO, id);
        let verdict = connections.on_request(Micros::ZERO, id, Request::Submit);
        if verdict != RequestDecision::Serve {
            rejected += 1;
            connections.on_response(Micros::ZERO, id);
            connections.on_closed(id);
        }
    }
    assert!(rejected > 0);
    connections.on_opened(Micros::ZERO, 10_000);
    assert_eq!(
        connections.on_request(Micros::ZERO, 10_000, Request::Cancel),
        RequestDecision::Serve
    );
}

#[test]
fn connection_without_a_request_is_closed_after_a_timeout() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    connections.on_opened(Micros::ZERO, 1);
    connections.on_opened(Micros::ZERO, 2);
    connections.on_request(Micros::ZERO, 2, Request::Query);
    assert!(
        connections
            .select_slow_connections(Micros::secs(2))
            .is_empty()
    );
    assert_eq!(
        connections.select_slow_connections(Micros::millis(3_001)),
        [1]
    );
    // The timeout is shorter while such connections take up places that other clients need.
    for id in 10..SERVED_CONNECTIONS as u64 {
        connections.on_opened(Micros::secs(4), id);
    }
    assert!(
        connections
            .select_slow_connections(Micros::millis(4_501))
            .len()
            > SERVED_CONNECTIONS / 2
    );
}

#[test]
fn connections_of_idle_users_are_closed() {
    let mut connections = Connections::new(SERVED_CONNECTIONS);
    for id in 0..1_100 {
        connections.on_opened(Micros::ZERO, id);
        connections.on_request(Micros::ZERO, id, Request::Query);
        connections.on_response(Micros::ZERO, id);
    }
    connections.on_request(Micros::secs(5), 7, Request::Query);
    assert!(connections.on_response(Micros::secs(5), 7));
}

#[test]
fn socket_plan_stays_within_the_available_sockets() {
    for sockets in [32, 64, 600, 2_222, 2_887, 8_000] {
        for peers in [0, 2, 4] {
            let plan = SocketPlan::new(sockets, peers);
            assert!(plan.server_connections >= sockets / 2, "{plan:?}");
            assert!(plan.server_connections + plan.calls <= sockets, "{plan:?}");
        }
    }
    let plan = SocketPlan::new(2_887, 2);
    assert!(
        plan.server_connections + plan.calls + plan.idle_agent_connections + 2 * 5 < 2_887,
        "{plan:?}"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Request(usize, Request),
    Answer(usize),
    Close(usize),
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let request = prop_oneof![
        Just(Request::Health),
        Just(Request::Cancel),
        Just(Request::Heartbeat),
        Just(Request::Submit),
        Just(Request::Query),
    ];
    prop_oneof![
        3 => Just(Step::Open),
        4 => (any::<usize>(), request).prop_map(|(i, r)| Step::Request(i, r)),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Close),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    /// Whatever the order of events, the counters stay correct, and they are zero once all connections are closed.
    #[test]
    fn counters_match_open_connections_for_any_order_of_events(steps in prop::collection::vec(step(), 1..400)) {
        let mut connections = Connections::new(16);
        let mut open: Vec<u64> = Vec::new();
        let mut busy: Vec<u64> = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = Micros::millis(at as u64 * 200);
            match step {
                Step::Open => {
                    connections.on_opened(now, at as u64);
                    open.push(at as u64);
                }
                Step::Request(i, request) if !open.is_empty() => {
                    let id = open[i % open.len()];
                    if !busy.contains(&id) {
                        busy.push(id);
                        connections.on_request(now, id, request);
                    }
                }
                Step::Answer(i) if !busy.is_empty() => {
                    connections.on_response(now, busy.swap_remove(i % busy.len()));
                }
                Step::Close(i) if !open.is_empty() => {
                    let id = open.swap_remove(i % open.len());
                    busy.retain(|b| *b != id);
                    connections.on_closed(id);
                }
                Step::Sweep => {
                    for id in connections.select_slow_connections(now) {
                        open.retain(|o| *o != id);
                        connections.on_closed(id);
                    }
                }
                _ => {}
            }
            let counted = connections.open();
            prop_assert_eq!(counted.total, open.len());
            prop_assert!(counted.agents + counted.users <= counted.total);
        }
        for id in open {
            connections.on_closed(id);
        }
        prop_assert_eq!(connections.open(), OpenConnections::default());
        // No request counts as in progress any more, so a status query is served again.
        connections.on_opened(Micros::secs(100), u64::MAX);
        prop_assert_eq!(connections.on_request(Micros::secs(100), u64::MAX, Request::Query), RequestDecision::Serve);
    }
}
