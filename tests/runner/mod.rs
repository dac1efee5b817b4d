//! Runs several controllers in simulated time against fakes of the state service, the cloud, the workers and the users.
//!
//! The seed determines the whole run. Messages can be held, dropped, duplicated and delayed; controllers, machines and
//! services can hang, crash and be cut off. The invariant checker checks what the fake workers do and what users are told.

mod adversarial;
mod calls;
mod delivery;
mod deploy_file;
/// Only `tests/decisions.rs` reads the digest.
#[allow(dead_code)]
pub mod effects;
mod expectations;
pub mod invariants;
mod late_copies;
mod machines;
mod messages;
pub mod placement_rules;
pub mod script;
mod starvation;
mod steps;
mod users;

use cometlead::coordination::{CallId, Controller, Counters, Event, Now};
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::protocol::state::StateRequest;
use cometlead::storage::records::{INITIAL_FORMAT, LATEST_FORMAT, format_has_rules};
use cometlead::time::Micros;
use cometlead_constraints::RuleSet;
pub use cometlead_emulator::fakes::{cloud, state, worker};
use deploy_file::settings;
use invariants::{InvariantChecker, MachineInfo};
use late_copies::LateCopies;
use messages::{Message, Outbound};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use script::{Mode, Party, Script};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use worker::{JobInfo, Worker};

/// Wall-clock time at the start of a run, in microseconds since the Unix epoch.
const WALL_CLOCK_START_US: u64 = 1_700_000_000_000_000;

#[derive(Debug)]
enum SimEvent {
    Deliver(Box<Message>),
    Wake(usize),
    WorkerDeadline(u64),
    WorkerTimeout(u64, u64),
    UserTimeout(usize, u32),
    UserRetry(usize),
    Poll {
        job: u64,
        count: u64,
        every: u64,
        until: u64,
    },
    MachineBoot(u64),
    MachineTerminated(u64),
    Restart(usize),
    Step(usize),
    StateTick,
    CheckDeadlines,
    /// A transaction whose caller gets no response is carried out late.
    DelayedTransaction(Box<StateRequest>),
    /// A request that was carried out before arrives once more; nobody waits for the response.
    LateCopy(Box<Message>),
    /// A user sends an additional query, submission or cancellation.
    ExtraRequest {
        job: u64,
        kind: &'static str,
        node: Option<usize>,
    },
    /// One of a series of unusual requests, which lasts until this time.
    UnusualRequest(u64),
}

struct Fault {
    a: Party,
    b: Party,
    mode: Mode,
    from: u64,
    until: u64,
}

/// A user with one request, which is repeated until it is answered if `retries` is set.
struct User {
    job: u64,
    kind: &'static str,
    body: Vec<u8>,
    node: Option<usize>,
    attempt: u32,
    sent_at: u64,
    awaiting_response: bool,
    retries: bool,
    first_sent_at: u64,
    /// When a response came that does not ask for a retry.
    answered_at: Option<u64>,
}

struct Node {
    controller: Controller,
    incarnation: u64,
    open_user_calls: BTreeMap<CallId, (usize, u32)>,
    stalled_until: u64,
    deferred_messages: Vec<Message>,
    next_user_call: u64,
    wake_at: u64,
}

thread_local! {
    static NOW: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Writes the simulated time into log lines.
struct SimulatedTime;

impl tracing_subscriber::fmt::time::FormatTime for SimulatedTime {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        write!(w, "{:9.3}", now() as f64 / 1e6)
    }
}

/// Writes the controllers' log of a run to standard error; only useful with a single scenario or seed.
pub fn show_log() {
    if std::env::var("LOG_LEVEL").is_ok() {
        let log = tracing_subscriber::fmt()
            .with_max_level(tracing::Level::DEBUG)
            .with_writer(std::io::stderr);
        let _ = log
            .with_timer(SimulatedTime)
            .with_target(false)
            .with_ansi(false)
            .try_init();
    }
}

/// The simulated time in this thread's run, for its log.
pub fn now() -> u64 {
    NOW.get()
}

pub struct World {
    script: Script,
    settings: Vec<Arc<Settings>>,
    now: u64,
    last_id: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled_events: BTreeMap<u64, SimEvent>,
    rng: StdRng,
    nodes: Vec<Option<Node>>,
    last_incarnation: u64,
    pub state: state::State,
    cloud: cloud::Cloud,
    workers: BTreeMap<u64, Worker>,
    machine_infos: BTreeMap<u64, MachineInfo>,
    jobs: BTreeMap<u64, JobInfo>,
    users: Vec<User>,
    faults: Vec<Fault>,
    refused_nodes: Vec<(usize, u64)>,
    throttled_nodes: Vec<(usize, u64)>,
    /// Fractions of transactions that are carried out late, with the end of the fault.
    late_writes: Vec<(f64, u64)>,
    /// Fractions of heartbeats that arrive a second time, with the end of the fault.
    late_reports: Vec<(f64, u64)>,
    /// Late copies of requests that were carried out, with the end of the fault.
    late_copies: Vec<(LateCopies, u64)>,
    /// Fractions of transactions whose responses are lost, with the end of the fault and the kind of transaction.
    lost_responses: Vec<(f64, u64, Option<String>)>,
    /// Copies of heartbeats that are delivered after a failover, and whether they go to all controllers then.
    kept_heartbeats: Vec<(bool, Message)>,
    /// Fractions of heartbeats that are copied, with the end of the fault and whether the copies go to all controllers.
    heartbeat_copy_windows: Vec<(f64, u64, bool)>,
    /// One-way partitions: machines that receive nothing, and those whose heartbeats are lost, with the end of the fault.
    inbound_dropped_until: BTreeMap<u64, u64>,
    heartbeats_dropped_until: BTreeMap<u64, u64>,
    /// Bursts of queries after each change of a job's state: the fraction that also cancels, with the end of the fault.
    query_bursts: Vec<(f64, u64)>,
    /// Fractions of jobs that are cancelled when their last task ends, with the end of the fault.
    cancel_at_end: Vec<(f64, u64)>,
    /// The reported state that last led to a burst of queries, by job.
    last_burst_state: BTreeMap<u64, &'static str>,
    /// Bodies of submissions as first sent, by job.
    submission_bodies: BTreeMap<u64, Vec<u8>>,
    next_invalid_job: u64,
    /// How often each kind of fault was injected.
    fault_counts: BTreeMap<&'static str, u64>,
    /// Machines that had a record at the last check.
    recorded_machines: BTreeSet<u64>,
    /// Number of machines that got a record after they were terminated.
    late_machine_records: u64,
    pub checker: InvariantChecker,
    /// Digest of all effects of the controllers.
    pub decisions: effects::Decisions,
    counters: Counters,
    failovers: u64,
    lost_leases: u64,
    max_groups_of_shard: u64,
    throttled_requests: u64,
    /// Size of the largest heartbeat, in bytes.
    max_heartbeat_bytes: usize,
    /// Controllers that have not read the newest deploy file yet.
    nodes_with_old_settings: BTreeSet<usize>,
    /// Controllers that start with the previous version.
    nodes_on_previous_version: BTreeSet<usize>,
    /// The name of the rules file that each controller has, or had before it stopped.
    node_rules: Vec<Option<String>>,
}

impl World {
    pub fn new(script: Script) -> World {
        let mut checker = InvariantChecker::new((script.cancel_s * 1e6) as u64);
        for (name, _, limit) in &script.teams {
            checker.team_limits.insert(name.clone(), *limit);
        }
        let mut w = World {
            settings: (0..script.nodes).map(|n| settings(&script, n)).collect(),
            now: 0,
            last_id: 0,
            queue: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            rng: StdRng::seed_from_u64(script.seed),
            nodes: (0..script.nodes).map(|_| None).collect(),
            last_incarnation: 0,
            state: state::State::new(state::StateConfig {
                txn_ops: 12,
                value_bytes: (script.value_kb * 1024.0) as usize,
                rps: script.state_rates.0,
                write_rps: script.state_rates.1,
                // Pages are small so that ordinary scenarios have several of them.
                page_size: 40,
            }),
            cloud: cloud::Cloud::new(script.types.clone(), (script.list_lag_s * 1e6) as u64),
            workers: BTreeMap::new(),
            machine_infos: BTreeMap::new(),
            jobs: BTreeMap::new(),
            users: Vec::new(),
            faults: Vec::new(),
            refused_nodes: Vec::new(),
            throttled_nodes: Vec::new(),
            late_writes: Vec::new(),
            late_reports: Vec::new(),
            late_copies: Vec::new(),
            lost_responses: Vec::new(),
            kept_heartbeats: Vec::new(),
            heartbeat_copy_windows: Vec::new(),
            inbound_dropped_until: BTreeMap::new(),
            heartbeats_dropped_until: BTreeMap::new(),
            query_bursts: Vec::new(),
            cancel_at_end: Vec::new(),
            last_burst_state: BTreeMap::new(),
            submission_bodies: BTreeMap::new(),
            next_invalid_job: 900_001,
            fault_counts: BTreeMap::new(),
            recorded_machines: BTreeSet::new(),
            late_machine_records: 0,
            checker,
            decisions: effects::Decisions::default(),
            counters: Counters::default(),
            failovers: 0,
            lost_leases: 0,
            max_groups_of_shard: 0,
            throttled_requests: 0,
            max_heartbeat_bytes: 0,
            nodes_with_old_settings: BTreeSet::new(),
            nodes_on_previous_version: (0..script.nodes)
                .filter(|_| script.starts_on_previous_version)
                .collect(),
            node_rules: vec![script.initial_rules.clone(); script.nodes],
            script,
        };
        w.checker.last_fault_end = w.script.last_fault_end();
        w.checker.rule_checker = placement_rules::PlacementRuleChecker::new(&w.script);
        if let Some(file) = &w.script.records_file {
            let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("tests/production")
                .join(file);
            let records: BTreeMap<String, Value> =
                serde_json::from_slice(&std::fs::read(path).expect("records")).expect("records");
            records
                .into_iter()
                .for_each(|(key, value)| w.state.insert_record(&key, value));
        }
        for n in 0..w.script.nodes {
            w.start(n);
        }
        for i in 0..w.script.steps.len() {
            let at = w.script.steps[i].0;
            w.schedule(at, SimEvent::Step(i));
        }
        w.schedule(0, SimEvent::StateTick);
        w.schedule(1_000_000, SimEvent::CheckDeadlines);
        w
    }

    /// Controllers that start from now on get settings after the script as it stands now.
    fn renew_settings(&mut self) {
        self.settings = (0..self.script.nodes)
            .map(|n| settings(&self.script, n))
            .collect();
    }

    fn schedule(&mut self, at: u64, event: SimEvent) {
        self.last_id += 1;
        self.queue.push(Reverse((at.max(self.now), self.last_id)));
        self.scheduled_events.insert(self.last_id, event);
    }

    fn random_fraction(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    fn start(&mut self, n: usize) {
        if self.nodes_with_old_settings.remove(&n) && self.nodes_with_old_settings.is_empty() {
            // From now on every controller has the new limits.
            let limits = self
                .script
                .teams
                .iter()
                .map(|(name, _, limit)| (name.clone(), *limit));
            self.checker.next_team_limits = limits.collect();
        }
        self.last_incarnation += 1;
        let seed = self.rng.random();
        let operator = OperatorSettings {
            shards: self.script.shards,
            ..OperatorSettings::default()
        };
        let record_format = if self.nodes_on_previous_version.contains(&n) {
            INITIAL_FORMAT
        } else {
            LATEST_FORMAT
        };
        let rules = self.node_rules[n]
            .as_ref()
            .filter(|_| record_format == LATEST_FORMAT)
            .map(|name| {
                let file = serde_json::from_value(self.script.rules[name].clone()).expect("rules");
                Arc::new(RuleSet::of(file).expect("rules"))
            });
        let controller = Controller::new(Arc::clone(&self.settings[n]), operator, seed);
        let controller = controller
            .with_max_record_format(record_format)
            .with_rules(rules);
        self.nodes[n] = Some(Node {
            controller,
            incarnation: self.last_incarnation,
            open_user_calls: BTreeMap::new(),
            stalled_until: 0,
            deferred_messages: Vec::new(),
            next_user_call: 1,
            wake_at: u64::MAX,
        });
        self.handle_event(n, Event::Tick);
    }

    fn time(&self, n: usize) -> Now {
        // The monotonic clocks of the controllers drift apart, and their wall clocks differ.
        let drift = self.now + self.now / 2_000 * (n as u64 % 2);
        Now {
            monotonic: Micros(drift),
            time_of_day: Micros(WALL_CLOCK_START_US + self.now + n as u64 * 50_000),
        }
    }

    /// Whether a fault in the list affects a controller now.
    fn is_affected(&self, list: &[(usize, u64)], node: usize) -> bool {
        list.iter()
            .any(|(n, until)| *n == node && self.now < *until)
    }

    /// Draws whether a fault that affects a fraction of messages or jobs affects this one.
    fn draws_fault(&mut self, of: impl Fn(&World) -> &[(f64, u64)]) -> bool {
        let share = self.active_share(of(self)).unwrap_or(0.0);
        share > 0.0 && self.random_fraction() < share
    }

    fn state_tick(&mut self) {
        assert!(
            self.state.violations.is_empty(),
            "refused by the state service: {:?}",
            self.state.violations
        );
        for (id, status, body) in self.state.tick(self.now) {
            // The waiting call is kept by its id in `scheduled_events`, but is not in the queue.
            if let Some(SimEvent::Deliver(m)) = self.scheduled_events.remove(&id)
                && let Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    ..
                } = *m
            {
                // Open watches of a refused controller get no response, as in an outage, so they run into its timeout.
                if self.is_affected(&self.refused_nodes, node) {
                    continue;
                }
                let response = Some((status, body.to_string().into_bytes()));
                let m = Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    response,
                };
                self.send(Party::State, Party::Node(node), true, m);
            }
        }
    }

    fn crash(&mut self, n: usize, down: u64) {
        // A controller that is already down restarts when it was scheduled to.
        let Some(node) = self.nodes[n].take() else {
            return;
        };
        self.add_counters(node.controller.counters());
        self.schedule(self.now + down, SimEvent::Restart(n));
    }

    fn add_counters(&mut self, x: Counters) {
        self.counters.conflicts += x.conflicts;
        self.counters.commits += x.commits;
        self.failovers += x.failovers;
        self.counters.stalls += x.stalls;
        self.counters.expired_agents += x.expired_agents;
        self.counters.idle_machines_scaled_in += x.idle_machines_scaled_in;
        self.counters.unreachable_with_zones += x.unreachable_with_zones;
    }

    fn wake(&mut self, n: usize) {
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        if self.now < node.stalled_until {
            return;
        }
        let deferred_messages = std::mem::take(&mut node.deferred_messages);
        for m in deferred_messages {
            self.deliver(m);
        }
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        if node.wake_at <= self.now || node.stalled_until > 0 {
            node.wake_at = u64::MAX;
            node.stalled_until = 0;
            self.handle_event(n, Event::Tick);
        }
    }

    /// Runs the scenario.
    pub fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.script.end {
                break;
            }
            self.now = at;
            NOW.set(at);
            match self
                .scheduled_events
                .remove(&id)
                .expect("a scheduled event")
            {
                SimEvent::Deliver(m) => match *m {
                    // A command that a hanging machine carries out late: no controller waits for its response any more.
                    Message::Request {
                        node: usize::MAX,
                        outbound: Outbound::PushCommand(machine, body),
                        ..
                    } => {
                        let mut task_events = Vec::new();
                        self.deliver_command(machine, &body, &mut task_events);
                        self.record_task_events(machine, task_events);
                    }
                    m => self.deliver(m),
                },
                SimEvent::Wake(n) => self.wake(n),
                SimEvent::WorkerDeadline(m) => self.run_worker(m),
                SimEvent::WorkerTimeout(m, sent) => {
                    let timed_out = self
                        .workers
                        .get(&m)
                        .is_some_and(|w| w.pending_report.is_some_and(|(_, s, _)| s == sent));
                    if timed_out {
                        self.switch_node(m, 1_000_000);
                    }
                }
                SimEvent::UserTimeout(u, attempt) => self.handle_user_timeout(u, attempt),
                SimEvent::Poll {
                    job,
                    count,
                    every,
                    until,
                } => {
                    let which = job + (self.random_fraction() * count as f64) as u64;
                    self.poll(which);
                    if self.now + every < until {
                        self.schedule(
                            self.now + every,
                            SimEvent::Poll {
                                job,
                                count,
                                every,
                                until,
                            },
                        );
                    }
                }
                SimEvent::ExtraRequest { job, kind, node } => {
                    self.send_extra_request(job, kind, node);
                }
                SimEvent::UnusualRequest(until) => self.send_unusual_request(until),
                SimEvent::UserRetry(u) => {
                    if !self.users[u].awaiting_response {
                        self.send_user_request(u);
                    }
                }
                SimEvent::MachineBoot(i) => self.boot_machine(i),
                SimEvent::MachineTerminated(i) => {
                    if let Some(h) = self.cloud.hosts.get_mut(&i) {
                        h.released_at.get_or_insert(self.now);
                    }
                    self.terminate_machine(i);
                }
                SimEvent::Restart(n) => self.start(n),
                SimEvent::Step(i) => self.step(i),
                SimEvent::StateTick => {
                    self.state_tick();
                    let next = self
                        .state
                        .next_deadline()
                        .unwrap_or(u64::MAX)
                        .max(self.now + 20_000);
                    self.schedule(next.min(self.now + 100_000), SimEvent::StateTick);
                }
                SimEvent::DelayedTransaction(request) => self.carry_out_state_request(&request),
                SimEvent::LateCopy(message) => self.deliver_late_copy(*message),
                SimEvent::CheckDeadlines => {
                    self.checker.check_deadlines(self.now);
                    self.check_starvation();
                    let rules_enabled = self.state.values("c/meta").any(|(_, v)| {
                        v["layout"]
                            .as_u64()
                            .is_some_and(|l| format_has_rules(l as u32))
                    });
                    self.checker.rule_checker.observe_rules(
                        self.now,
                        rules_enabled,
                        &self.node_rules,
                    );
                    self.machines_with_records();
                    self.schedule(self.now + 1_000_000, SimEvent::CheckDeadlines);
                }
            }
        }
        for n in 0..self.script.nodes {
            if let Some(node) = self.nodes[n].as_ref() {
                let counters = node.controller.counters();
                self.add_counters(counters);
            }
        }
        self.lost_leases += self.workers.values().map(|w| w.lost_leases).sum::<u64>();
    }
}
