//! Admission of connections: many clients against the pure core, in simulated time.

use cometlead::coordination::api::connections::{
    Connections, OpenConnections, Request, SocketPlan, Verdict,
};
use cometlead::time::Micros;
use proptest::prelude::*;
use std::collections::BTreeMap;

const SERVED: usize = 1_600;
/// What is reserved for connections whose class is not known, and for each of users and workers.
const RESERVE: usize = SERVED / 8;

/// Workers that report in turn to one controller, each by the connection that it was left with.
struct Workers {
    connections: Connections,
    now: Micros,
    next: u64,
    held: BTreeMap<usize, u64>,
    opened: u64,
    refused: u64,
    most_open: usize,
    /// Fewest connections held since the first one was given back.
    least_held: usize,
}

impl Workers {
    fn new(served: usize) -> Workers {
        Workers {
            connections: Connections::new(served),
            now: Micros::ZERO,
            next: 1,
            held: BTreeMap::new(),
            opened: 0,
            refused: 0,
            most_open: 0,
            least_held: usize::MAX,
        }
    }

    fn open(&mut self) -> u64 {
        let id = self.next;
        self.next += 1;
        self.connections.opened(self.now, id);
        self.most_open = self.most_open.max(self.connections.open().total);
        id
    }

    /// One report; the answer comes at once.
    fn report(&mut self, worker: usize) {
        let id = match self.held.get(&worker) {
            Some(id) => *id,
            None if self.connections.open().total >= SERVED => {
                self.refused += 1;
                return;
            }
            None => {
                self.opened += 1;
                self.open()
            }
        };
        self.held.insert(worker, id);
        assert_eq!(
            self.connections.requested(self.now, id, Request::Heartbeat),
            Verdict::Serve
        );
        if self.connections.answered(self.now, id) {
            self.connections.closed(id);
            self.held.remove(&worker);
            self.least_held = self.least_held.min(self.held.len());
        }
    }

    /// All report once within a time, one after the other.
    fn round(&mut self, count: usize, span: Micros) {
        for worker in 0..count {
            self.now += Micros(span.0 / count as u64);
            self.report(worker);
        }
    }
}

#[test]
fn at_ordinary_size_every_worker_keeps_its_connection() {
    let mut workers = Workers::new(SERVED);
    for _ in 0..10 {
        workers.round(900, Micros::secs(8));
    }
    assert_eq!((workers.opened, workers.held.len()), (900, 900));
    assert_eq!(workers.connections.counts().agents_closed, 0);
}

/// Three controllers' workers at one that is left: far more than all of its sockets.
#[test]
fn workers_beyond_all_sockets_are_served_by_turns() {
    let mut workers = Workers::new(SERVED);
    workers.round(1_000, Micros::secs(8));
    for _ in 0..10 {
        workers.round(5_216, Micros::secs(8));
        let open = workers.connections.open();
        assert!(
            open.total + RESERVE <= SERVED && open.agents < SERVED * 3 / 4,
            "{open:?}"
        );
    }
    assert_eq!(workers.refused, 0);
    assert!(
        workers.most_open <= SERVED - RESERVE + 1,
        "{}",
        workers.most_open
    );
}

/// All come within the same second, as after a restart.
#[test]
fn all_workers_at_once_leave_room_for_health_checks_and_users() {
    let mut workers = Workers::new(SERVED);
    for _ in 0..3 {
        workers.round(5_216, Micros::secs(1));
        let id = workers.open();
        assert_eq!(
            workers
                .connections
                .requested(workers.now, id, Request::Health),
            Verdict::Serve
        );
        workers.connections.answered(workers.now, id);
        workers.connections.closed(id);
    }
    assert_eq!(workers.refused, 0);
}

#[test]
fn connections_are_given_back_with_hysteresis() {
    let mut workers = Workers::new(SERVED);
    for _ in 0..20 {
        workers.round(1_300, Micros::secs(8));
    }
    // Between two times of shortage connections are kept: fewer than one in two reports opens one.
    assert!(workers.opened < 20 * 1_300 / 2, "{}", workers.opened);
    assert!(workers.connections.counts().agents_closed > 0);
    // Once begun it goes on until there is room for a while.
    let ceiling = SERVED - SERVED / 4 - RESERVE;
    assert!(
        workers.least_held <= ceiling * 3 / 4,
        "{} of {ceiling}",
        workers.least_held
    );
}

/// Neither class is above its own bound, but together they leave less than the reserve.
#[test]
fn both_classes_give_back_before_the_reserve_is_gone() {
    let mut connections = Connections::new(SERVED);
    for id in 0..1_450 {
        connections.opened(Micros::ZERO, id);
        let request = if id % 2 == 0 {
            Request::Heartbeat
        } else {
            Request::Query
        };
        connections.requested(Micros::ZERO, id, request);
        connections.answered(Micros::ZERO, id);
    }
    let counts = connections.counts();
    assert!(
        counts.agents_closed > 0 && counts.users_closed > 0,
        "{counts:?}"
    );
}

#[test]
fn who_reports_briskly_keeps_its_connection_longest() {
    let mut connections = Connections::new(SERVED);
    let mut now = Micros::ZERO;
    for id in 0..1_100 {
        connections.opened(now, id);
        connections.requested(now, id, Request::Heartbeat);
        connections.answered(now, id);
    }
    now = Micros::millis(500);
    connections.requested(now, 1, Request::Heartbeat);
    assert!(
        !connections.answered(now, 1),
        "it was idle for half a second"
    );
    now = Micros::secs(9);
    connections.requested(now, 2, Request::Heartbeat);
    assert!(connections.answered(now, 2), "it was idle for nine seconds");
}

/// A flood of polls that wait for the state service: submissions and cancellations still come through, and those turned away
/// do not come back together.
#[test]
fn a_flood_of_polls_leaves_room_for_submissions_and_cancellations() {
    let mut connections = Connections::new(SERVED);
    let mut pauses = BTreeMap::new();
    for id in 0..SERVED as u64 {
        connections.opened(Micros::ZERO, id);
        if let Verdict::Reject(seconds) = connections.requested(Micros::ZERO, id, Request::Query) {
            *pauses.entry(seconds).or_insert(0) += 1;
            connections.answered(Micros::ZERO, id);
            connections.closed(id);
        }
    }
    assert!(
        pauses.len() >= 3 && pauses.values().all(|n| *n > 100),
        "{pauses:?}"
    );
    let refused = connections.counts().queries_refused;
    assert_eq!(refused, pauses.values().sum::<u64>());
    for (id, request) in [(10_001, Request::Submit), (10_002, Request::Abort)] {
        connections.opened(Micros::ZERO, id);
        assert_eq!(
            connections.requested(Micros::ZERO, id, request),
            Verdict::Serve,
            "{request:?}"
        );
    }
}

/// Where even submissions find no room a cancellation does.
#[test]
fn cancellations_go_before_submissions() {
    let mut connections = Connections::new(SERVED);
    let mut turned_away = 0;
    for id in 0..SERVED as u64 {
        connections.opened(Micros::ZERO, id);
        let verdict = connections.requested(Micros::ZERO, id, Request::Submit);
        if verdict != Verdict::Serve {
            turned_away += 1;
            connections.answered(Micros::ZERO, id);
            connections.closed(id);
        }
    }
    assert!(turned_away > 0);
    connections.opened(Micros::ZERO, 10_000);
    assert_eq!(
        connections.requested(Micros::ZERO, 10_000, Request::Abort),
        Verdict::Serve
    );
}

#[test]
fn a_connection_without_a_request_holds_its_place_for_a_bounded_time() {
    let mut connections = Connections::new(SERVED);
    connections.opened(Micros::ZERO, 1);
    connections.opened(Micros::ZERO, 2);
    connections.requested(Micros::ZERO, 2, Request::Query);
    assert!(connections.too_slow(Micros::secs(2)).is_empty());
    assert_eq!(connections.too_slow(Micros::millis(3_001)), [1]);
    // Sooner where they take the places of others.
    for id in 10..SERVED as u64 {
        connections.opened(Micros::secs(4), id);
    }
    assert!(connections.too_slow(Micros::millis(4_501)).len() > SERVED / 2);
}

#[test]
fn idle_users_give_connections_back_too() {
    let mut connections = Connections::new(SERVED);
    for id in 0..1_100 {
        connections.opened(Micros::ZERO, id);
        connections.requested(Micros::ZERO, id, Request::Query);
        connections.answered(Micros::ZERO, id);
    }
    connections.requested(Micros::secs(5), 7, Request::Query);
    assert!(connections.answered(Micros::secs(5), 7));
}

#[test]
fn sockets_are_divided_within_what_there_is() {
    for sockets in [32, 64, 600, 2_222, 2_887, 8_000] {
        for peers in [0, 2, 4] {
            let plan = SocketPlan::new(sockets, peers);
            assert!(plan.served >= sockets / 2, "{plan:?}");
            assert!(plan.served + plan.calls <= sockets, "{plan:?}");
        }
    }
    let plan = SocketPlan::new(2_887, 2);
    assert!(
        plan.served + plan.calls + plan.kept_calls + 2 * 5 < 2_887,
        "{plan:?}"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Ask(usize, Request),
    Answer(usize),
    Close(usize),
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let request = prop_oneof![
        Just(Request::Health),
        Just(Request::Abort),
        Just(Request::Heartbeat),
        Just(Request::Submit),
        Just(Request::Query),
    ];
    prop_oneof![
        3 => Just(Step::Open),
        4 => (any::<usize>(), request).prop_map(|(i, r)| Step::Ask(i, r)),
        3 => any::<usize>().prop_map(Step::Answer),
        2 => any::<usize>().prop_map(Step::Close),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    /// Whatever happens in whatever order: counters stay right, and nothing is left when all are gone.
    #[test]
    fn counters_survive_any_order(steps in prop::collection::vec(step(), 1..400)) {
        let mut connections = Connections::new(16);
        let mut open: Vec<u64> = Vec::new();
        let mut busy: Vec<u64> = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = Micros::millis(at as u64 * 200);
            match step {
                Step::Open => {
                    connections.opened(now, at as u64);
                    open.push(at as u64);
                }
                Step::Ask(i, request) if !open.is_empty() => {
                    let id = open[i % open.len()];
                    if !busy.contains(&id) {
                        busy.push(id);
                        connections.requested(now, id, request);
                    }
                }
                Step::Answer(i) if !busy.is_empty() => {
                    connections.answered(now, busy.swap_remove(i % busy.len()));
                }
                Step::Close(i) if !open.is_empty() => {
                    let id = open.swap_remove(i % open.len());
                    busy.retain(|b| *b != id);
                    connections.closed(id);
                }
                Step::Sweep => {
                    for id in connections.too_slow(now) {
                        open.retain(|o| *o != id);
                        connections.closed(id);
                    }
                }
                _ => {}
            }
            let counted = connections.open();
            prop_assert_eq!(counted.total, open.len());
            prop_assert!(counted.agents + counted.users <= counted.total);
        }
        for id in open {
            connections.closed(id);
        }
        prop_assert_eq!(connections.open(), OpenConnections::default());
        // Requests under way were all taken off: a poll is served again.
        connections.opened(Micros::secs(100), u64::MAX);
        prop_assert_eq!(connections.requested(Micros::secs(100), u64::MAX, Request::Query), Verdict::Serve);
    }
}
