//! Runs several controllers in simulated time against fakes of the state service, the cloud, the workers and the users.
//!
//! The seed determines the whole run. Messages can be held, dropped, duplicated and delayed; controllers, machines and
//! services can hang, crash and be cut off. The invariant checker checks what the fake workers do and what users are told.

mod adversarial;
/// Only `tests/decisions.rs` reads the digest.
#[allow(dead_code)]
pub mod effects;
mod expectations;
pub mod invariants;
mod late_copies;
mod machines;
pub mod placement_rules;
pub mod script;
mod starvation;
mod users;

use cometlead::coordination::{CallId, Controller, Counters, Effect, Event, Now};
use cometlead::protocol::cloud as cloud_wire;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::protocol::state as state_wire;
use cometlead::protocol::state::{CallError, StateRequest};
use cometlead::protocol::user::{JobStatusResponse, UserRequest, UserResponse, parse_submission};
use cometlead::protocol::worker::{
    Heartbeat, HeartbeatResponse, heartbeat_response_body, not_leader_body,
};
use cometlead::storage::records::{INITIAL_FORMAT, LATEST_FORMAT, format_has_rules};
use cometlead::time::Micros;
use cometlead_constraints::RuleSet;
pub use cometlead_emulator::fakes::{cloud, state, worker};
use invariants::{InvariantChecker, MachineInfo};
use late_copies::LateCopies;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use script::{CopiesTo, Mode, Party, Script, Step};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use worker::{JobInfo, Worker};

/// Wall-clock time at the start of a run, in microseconds since the Unix epoch.
const WALL_CLOCK_START_US: u64 = 1_700_000_000_000_000;

/// A controller's call to the state service, the cloud or a worker.
#[derive(Clone, Debug)]
enum Outbound {
    State(StateRequest),
    Cloud(cloud_wire::CloudRequest),
    PushCommand(u64, Vec<u8>),
}

#[derive(Clone, Debug)]
enum Message {
    /// A controller's request arrives at its callee.
    Request {
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
    },
    /// The response arrives at the controller; `None` is a timeout or a reset connection.
    Response {
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
        response: Option<(u16, Vec<u8>)>,
    },
    /// A worker's heartbeat arrives at a controller.
    Heartbeat {
        machine: u64,
        node: usize,
        sent: u64,
        body: Vec<u8>,
    },
    /// The response to a heartbeat arrives at the worker.
    HeartbeatReply {
        machine: u64,
        sent: u64,
        incarnation: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A user's request arrives at a controller.
    UserRequest { node: usize, user: usize },
    /// The response arrives at the user.
    UserReply {
        user: usize,
        attempt: u32,
        status: u16,
        state: Option<String>,
    },
    Hint {
        node: usize,
        hint: cometlead::protocol::peer::PeerHint,
    },
}

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

fn zone_of(s: &Script, n: usize) -> &str {
    &s.zones[n % s.zones.len()]
}

fn settings(s: &Script, n: usize) -> Arc<Settings> {
    let others: Vec<Value> = (0..s.nodes)
        .filter(|o| *o != n)
        .map(|o| json!({"node": format!("n{o}"), "zone": zone_of(s, o), "peer_addr": format!("10.0.0.{}:81", o + 1)}))
        .collect();
    let teams: Vec<Value> = s
        .teams
        .iter()
        .map(|(name, g, m)| json!({"name": name, "cpus": g, "cpus_max": m, "gpus": 0, "gpus_max": 0}))
        .chain(s.teams.iter().all(|t| t.0 != "free").then(|| json!({"name": "free"})))
        .collect();
    let mut file = json!({
        "node": format!("n{n}"), "zone": zone_of(s, n), "bind": format!("10.0.0.{}:80", n + 1),
        "back": format!("10.0.0.{}:81", n + 1), "others": others,
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {"teams": teams, "objectives": [{"kind": "wait", "class": "urgent", "within_s": 2, "share": 0.9}],
            "workers": {"report_s": s.report_interval_s, "lease_s": s.lease_s, "cancel_s": s.cancel_s},
            "state": {"rps": s.state_rates.0, "write_rps": s.state_rates.1, "value_kb": s.value_kb, "txn_ops": 12,
                "next": s.next_limits.filter(|_| s.limits_announced).map(|(rate, size, ops)| json!({"write_rps": rate, "value_kb": size, "txn_ops": ops}))},
            "cloud": {"rps": 10, "list_lag_s": s.list_lag_s},
            "quota": {"core_share": 0.1, "ram_mb": 40, "max_connections": 600}, "clock_error_ms": 200},
    });
    for (path, value) in &s.parameters {
        let parameter = file
            .pointer_mut(&format!("/params/{path}"))
            .expect("a parameter of the deploy file");
        // Counts have no decimals.
        *parameter = if value.fract() == 0.0 {
            json!(*value as u64)
        } else {
            json!(value)
        };
    }
    Arc::new(Settings::parse("scenario", file.to_string().as_bytes()).expect("settings"))
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

    /// Sends a message, subject to the faults that are active between the two parties.
    fn send(&mut self, from: Party, to: Party, is_response: bool, message: Message) {
        let now = self.now;
        if matches!(to, Party::Machine(m) if self.inbound_dropped_until.get(&m).is_some_and(|until| now < *until))
        {
            return;
        }
        if let (Party::Machine(m), Message::Heartbeat { .. }) = (&from, &message)
            && self
                .heartbeats_dropped_until
                .get(m)
                .is_some_and(|until| now < *until)
        {
            return;
        }
        let mut at = now + 500 + (self.random_fraction() * 3_000.0) as u64;
        if self.random_fraction() < 0.01 {
            at += (self.random_fraction() * 300_000.0) as u64;
        }
        let (mut is_duplicated, mut is_slow) = (false, false);
        let is_command = matches!(
            message,
            Message::Request {
                outbound: Outbound::PushCommand(..),
                ..
            }
        );
        for f in &self.faults {
            let affects_message = match (&f.a, &f.b) {
                (Party::Zone(z), Party::Outside) => self.is_in(&from, z) != self.is_in(&to, z),
                (a, b) => a.covers(&from) && b.covers(&to) || a.covers(&to) && b.covers(&from),
            };
            if !affects_message || now < f.from || now >= f.until {
                continue;
            }
            match f.mode {
                Mode::Drop => return,
                Mode::DropResponses if is_response => return,
                Mode::DropResponses => {}
                Mode::Reset => return self.reset(message),
                Mode::Hold => at = at.max(f.until + 1_000 + at - now),
                Mode::Repeat => is_duplicated = !is_command,
                Mode::LateCommands if is_command => at = at.max(f.until + 1_000),
                Mode::LateCommands => {}
                Mode::Slow => is_slow = true,
            }
        }
        if is_slow {
            at += (self.random_fraction() * 2e6) as u64;
        }
        if is_duplicated {
            let later = at + (self.random_fraction() * 8e6) as u64;
            self.schedule(later, SimEvent::Deliver(Box::new(message.clone())));
        }
        self.schedule(at, SimEvent::Deliver(Box::new(message)));
    }

    /// Whether a party is in a zone. Only controllers and machines are; users, the cloud and the state service are in none.
    fn is_in(&self, party: &Party, zone: &str) -> bool {
        match party {
            Party::Node(n) => zone_of(&self.script, *n) == zone,
            Party::Machine(m) => self.cloud.hosts.get(m).is_some_and(|h| h.zone == zone),
            _ => false,
        }
    }

    /// Resets a connection: the party that waits for the response learns so at once, whether the request or the response was lost.
    fn reset(&mut self, message: Message) {
        let soon = self.now + 2_000;
        match message {
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            }
            | Message::Response {
                node,
                incarnation,
                call,
                outbound,
                ..
            } => {
                let reset = Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    response: None,
                };
                self.schedule(soon, SimEvent::Deliver(Box::new(reset)));
            }
            Message::Heartbeat { machine, sent, .. }
            | Message::HeartbeatReply { machine, sent, .. } => {
                self.schedule(soon, SimEvent::WorkerTimeout(machine, sent));
            }
            _ => {}
        }
    }

    fn handle_event(&mut self, n: usize, event: Event) -> Option<HeartbeatResponse> {
        let now = self.time(n);
        let node = self.nodes[n].as_mut()?;
        let before = node.controller.counters().failovers;
        let effects = node.controller.handle(now, event);
        for effect in &effects {
            self.decisions.add(self.now, n, effect);
        }
        let took_over = node.controller.counters().failovers > before;
        let incarnation = node.incarnation;
        let wake = node.controller.wake().0;
        let wake = wake.max(self.now + 100);
        if wake < node.wake_at || node.wake_at <= self.now {
            node.wake_at = wake;
            self.schedule(wake, SimEvent::Wake(n));
        }
        if took_over {
            self.deliver_heartbeat_copies(n);
        }
        let mut heartbeat_response = None;
        for e in effects {
            match e {
                Effect::State(call, request, limit) => {
                    self.call_out(n, incarnation, call, Outbound::State(request), limit);
                }
                Effect::Cloud(call, request, limit) => {
                    self.call_out(n, incarnation, call, Outbound::Cloud(request), limit);
                }
                Effect::PushCommand {
                    call,
                    endpoint,
                    body,
                    timeout: limit,
                } => {
                    let machine = endpoint
                        .split(['.', ':'])
                        .nth(3)
                        .and_then(|m| m.parse().ok())
                        .expect("endpoint");
                    self.call_out(
                        n,
                        incarnation,
                        call,
                        Outbound::PushCommand(machine, body),
                        limit,
                    );
                }
                Effect::Heartbeat(_, response) => heartbeat_response = Some(response),
                Effect::User(call, response) => {
                    let wait = self.nodes[n]
                        .as_mut()
                        .and_then(|x| x.open_user_calls.remove(&call));
                    if let Some((user, attempt)) = wait {
                        let job = self.users[user].job;
                        if let UserResponse::Unsatisfiable(why) = &response {
                            self.checker.refusals.insert(job, why.to_string());
                        }
                        if let UserResponse::Status(JobStatusResponse {
                            reason: Some(why), ..
                        }) = &response
                        {
                            self.checker
                                .reasons
                                .entry(job)
                                .or_default()
                                .insert(why.to_string());
                        }
                        let (status, state) = match response {
                            UserResponse::Accepted(a) => (201, Some(a)),
                            UserResponse::Status(a) => (200, Some(a)),
                            UserResponse::NotFound => (404, None),
                            UserResponse::Unsatisfiable(_) => (422, None),
                            UserResponse::Invalid(_) => (400, None),
                            UserResponse::RetryAfter(_) => (503, None),
                        };
                        let state = state.map(|a| {
                            let v: Value = serde_json::from_slice(&a.body()).expect("a response");
                            v["status"].as_str().unwrap_or_default().to_owned()
                        });
                        // Partitions never affect users.
                        let m = Message::UserReply {
                            user,
                            attempt,
                            status,
                            state,
                        };
                        self.schedule(self.now + 1_000, SimEvent::Deliver(Box::new(m)));
                    }
                }
                Effect::Peers(hint) => {
                    for o in 0..self.script.nodes {
                        if o != n {
                            let m = Message::Hint {
                                node: o,
                                hint: hint.clone(),
                            };
                            self.send(Party::Node(n), Party::Node(o), false, m);
                        }
                    }
                }
            }
        }
        heartbeat_response
    }

    fn callee(outbound: &Outbound) -> Party {
        match outbound {
            Outbound::State(_) => Party::State,
            Outbound::Cloud(_) => Party::Cloud,
            Outbound::PushCommand(m, _) => Party::Machine(*m),
        }
    }

    fn call_out(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
        timeout: Micros,
    ) {
        let to = Self::callee(&outbound);
        let timeout_response = Message::Response {
            node,
            incarnation,
            call,
            outbound: outbound.clone(),
            response: None,
        };
        self.schedule(
            self.now + timeout.0,
            SimEvent::Deliver(Box::new(timeout_response)),
        );
        self.send(
            Party::Node(node),
            to,
            false,
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            },
        );
    }

    fn deliver(&mut self, message: Message) {
        // A controller that hangs handles nothing until it continues.
        let to_node = match &message {
            Message::Response { node, .. } | Message::Heartbeat { node, .. } => Some(*node),
            Message::UserRequest { node, .. } | Message::Hint { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = to_node.and_then(|n| self.nodes[n].as_mut())
            && self.now < node.stalled_until
        {
            node.deferred_messages.push(message);
            return;
        }
        match message {
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            } => self.receive_call(node, incarnation, call, outbound),
            Message::Response {
                node,
                incarnation,
                call,
                outbound,
                response,
            } => {
                if self.nodes[node]
                    .as_ref()
                    .is_none_or(|n| n.incarnation != incarnation)
                {
                    return;
                }
                let no_response = || Err(CallError::OutcomeUnknown);
                let max_response_bytes = (self.script.max_response_kb * 1024.0) as usize;
                let event = match outbound {
                    Outbound::State(_)
                        if response
                            .as_ref()
                            .is_some_and(|(_, b)| b.len() > max_response_bytes) =>
                    {
                        Event::State(call, Err(CallError::ResponseTooLarge))
                    }
                    Outbound::State(r) => Event::State(
                        call,
                        response.map_or_else(no_response, |(s, b)| state_wire::parse(&r, s, &b)),
                    ),
                    Outbound::Cloud(r) => Event::Cloud(
                        call,
                        response.map_or(Err(CallError::OutcomeUnknown), |(s, b)| {
                            cloud_wire::parse(&r, s, &b)
                        }),
                    ),
                    Outbound::PushCommand(..) => Event::AgentResponse(
                        call,
                        response.and_then(|(s, b)| Some((s == 200, Heartbeat::parse(&b)?))),
                    ),
                };
                self.handle_event(node, event);
            }
            Message::Heartbeat {
                machine,
                node,
                sent,
                body,
            } => {
                self.copy_late(&Message::Heartbeat {
                    machine,
                    node,
                    sent,
                    body: body.clone(),
                });
                let heartbeat = Heartbeat::parse(&body).expect("a heartbeat");
                let incarnation = heartbeat.incarnation();
                let Some(response) =
                    self.handle_event(node, Event::Heartbeat(CallId(0), heartbeat))
                else {
                    return;
                };
                let (status, body) = match response {
                    HeartbeatResponse::Commands {
                        fencing_token,
                        commands,
                    } => (200, heartbeat_response_body(fencing_token, &commands)),
                    HeartbeatResponse::NotLeader(owner) => (421, not_leader_body(owner.as_deref())),
                    HeartbeatResponse::Unavailable => (503, Vec::new()),
                    HeartbeatResponse::Malformed => panic!("a well-formed heartbeat was refused"),
                };
                let reply = Message::HeartbeatReply {
                    machine,
                    sent,
                    incarnation,
                    status,
                    body,
                };
                self.send(Party::Node(node), Party::Machine(machine), true, reply);
            }
            Message::HeartbeatReply {
                machine,
                sent,
                incarnation,
                status,
                body,
            } => self.handle_heartbeat_reply(machine, sent, incarnation, status, &body),
            Message::UserRequest { node, user } => {
                self.copy_late(&Message::UserRequest { node, user });
                self.receive_user_request(node, user, Some(self.users[user].attempt));
            }
            Message::UserReply {
                user,
                attempt,
                status,
                state,
            } => {
                if self.users[user].attempt == attempt && self.users[user].awaiting_response {
                    self.handle_user_reply(user, status, state.as_deref());
                }
            }
            Message::Hint { node, hint } => {
                self.copy_late(&Message::Hint {
                    node,
                    hint: hint.clone(),
                });
                self.handle_event(node, Event::Peer(hint));
            }
        }
    }

    /// A user's request has arrived at a controller. `attempt` is the one that waits for the response; `None` if nobody does.
    fn receive_user_request(&mut self, node: usize, user: usize, attempt: Option<u32>) {
        let u = &self.users[user];
        let (kind, job) = (u.kind, u.job);
        let body = u.body.clone();
        let Some(n) = self.nodes[node].as_mut() else {
            return;
        };
        let call = CallId(n.next_user_call);
        n.next_user_call += 1;
        if let Some(attempt) = attempt {
            n.open_user_calls.insert(call, (user, attempt));
        }
        let id = cometlead::storage::ids::JobId(job);
        let event = match kind {
            "abort" => Event::User(call, UserRequest::Cancel(id)),
            "query" => Event::User(call, UserRequest::Query(id)),
            _ => match parse_submission(&body) {
                Ok((id, spec)) => Event::User(call, UserRequest::Submit(id, Box::new(spec))),
                // Like the server, which then reads only the job's name.
                Err(_) => Event::InvalidSubmission(call, id, "body".into()),
            },
        };
        self.handle_event(node, event);
    }

    /// A controller's request has arrived at its callee.
    fn receive_call(&mut self, node: usize, incarnation: u64, call: CallId, outbound: Outbound) {
        let now = self.now;
        let response = match &outbound {
            Outbound::State(request) => {
                let (method, path, body) = state_wire::http(request);
                let late = matches!(request, StateRequest::Transaction(_))
                    && self.draws_fault(|w| &w.late_writes);
                if self.is_affected(&self.refused_nodes, node) {
                    Some((503, json!({})))
                } else if late {
                    let after = 2_000_000 + (self.random_fraction() * 1e7) as u64;
                    self.schedule(
                        now + after,
                        SimEvent::DelayedTransaction(Box::new(request.clone())),
                    );
                    return;
                } else if self.is_affected(&self.throttled_nodes, node) {
                    self.throttled_requests += 1;
                    Some((429, json!({})))
                } else if self.loses_response(request) {
                    self.carry_out_state_request(request);
                    return;
                } else {
                    // Each watch needs an id of its own, by which its response is found later.
                    self.last_id += 1;
                    let id = self.last_id;
                    let response = self.state.request(now, id, method, &path, &body);
                    if response.is_none() {
                        let waiting_call = Message::Response {
                            node,
                            incarnation,
                            call,
                            outbound: outbound.clone(),
                            response: None,
                        };
                        self.scheduled_events
                            .insert(id, SimEvent::Deliver(Box::new(waiting_call)));
                    }
                    self.state_tick();
                    response
                }
            }
            Outbound::Cloud(request) => Some(self.carry_out_cloud_request(request)),
            Outbound::PushCommand(machine, body) => {
                let mut task_events = Vec::new();
                let response = self.deliver_command(*machine, body, &mut task_events);
                self.record_task_events(*machine, task_events);
                response
            }
        };
        if let Some((status, body)) = response {
            self.copy_late(&Message::Request {
                node,
                incarnation,
                call,
                outbound: outbound.clone(),
            });
            let from = Self::callee(&outbound);
            let response = Some((status, body.to_string().into_bytes()));
            self.send(
                from,
                Party::Node(node),
                true,
                Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    response,
                },
            );
        }
    }

    fn carry_out_cloud_request(&mut self, request: &cloud_wire::CloudRequest) -> (u16, Value) {
        let (method, path, body) = cloud_wire::http(request);
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        let before: Vec<u64> = self.cloud.hosts.keys().copied().collect();
        let response = self
            .cloud
            .request(self.now, method, &path, &body, &mut || rng.random::<f64>());
        self.apply_cloud_changes(&before);
        response
    }

    /// Carries out a request to the state service whose response nobody gets.
    fn carry_out_state_request(&mut self, request: &StateRequest) {
        let (method, path, body) = state_wire::http(request);
        self.last_id += 1;
        self.state
            .request(self.now, self.last_id, method, &path, &body);
        self.state_tick();
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

    fn step(&mut self, i: usize) {
        let now = self.now;
        match self.script.steps[i].1.clone() {
            Step::Submit { job, fields, node } => self.submit(job, &fields, node),
            Step::Cancel { job, node } => {
                self.checker.record_abort_request(job);
                self.send_with_retries(job, "abort", Vec::new(), node);
            }
            Step::Query { job, node } => self.send_with_retries(job, "query", Vec::new(), node),
            Step::Crash {
                node: Some(n),
                down,
            } => self.crash(n, down),
            Step::Crash { node: None, down } => {
                (0..self.script.nodes).for_each(|n| self.crash(n, down));
            }
            Step::FailZone { zone, down } => {
                self.cloud
                    .zones_without_power
                    .push((zone.clone(), now + down));
                let in_zone = |m: &&u64| self.is_in(&Party::Machine(**m), &zone);
                let machines: Vec<u64> = self.workers.keys().filter(in_zone).copied().collect();
                machines
                    .into_iter()
                    .for_each(|m| self.schedule(now, SimEvent::MachineTerminated(m)));
                for n in 0..self.script.nodes {
                    if zone_of(&self.script, n) == zone {
                        self.crash(n, down);
                    }
                }
            }
            Step::LinkFault { a, b, mode, span } => {
                if let Party::Zone(z) = &a {
                    self.cloud.partitioned_zones.push((z.clone(), now + span));
                }
                self.faults.push(Fault {
                    a,
                    b,
                    mode,
                    from: now,
                    until: now + span,
                });
            }
            Step::Outage {
                party: Party::State,
                span,
            } => self.state.outage(now, span),
            Step::Outage {
                party: Party::Cloud,
                span,
            } => self.cloud.out_until = now + span,
            Step::Outage { party, .. } => panic!("{party:?} cannot have an outage"),
            Step::Refuse { node, span } => self.refused_nodes.push((node, now + span)),
            Step::Throttle { node, span } => self.throttled_nodes.push((node, now + span)),
            Step::LateWrites {
                share,
                span,
                at_once: true,
                of,
            } => self.lost_responses.push((share, now + span, of)),
            Step::LateWrites { share, span, .. } => self.late_writes.push((share, now + span)),
            Step::DuplicateHeartbeats {
                share,
                span,
                to: CopiesTo::Same,
            } => self.late_reports.push((share, now + span)),
            Step::LateCopies { copies, span } => self.late_copies.push((copies, now + span)),
            Step::DuplicateHeartbeats { share, span, to } => {
                self.heartbeat_copy_windows
                    .push((share, now + span, to == CopiesTo::All));
            }
            Step::DropHeartbeats {
                machine,
                count,
                span,
            } => {
                self.heartbeats_dropped_until
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::CancelNow { count, hang } => self.cancel_running_jobs(count, hang),
            Step::CancelAtEnd { share, span } => self.cancel_at_end.push((share, now + span)),
            Step::QueryBursts { aborts, span } => self.query_bursts.push((aborts, now + span)),
            Step::OddRequests { span } => self.schedule(now, SimEvent::UnusualRequest(now + span)),
            Step::DropInbound {
                machine,
                count,
                span,
            } => {
                self.inbound_dropped_until
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::Hang { party, span } => match party {
                Party::Machine(m) => self.hang_machine(m, span),
                Party::Node(n) => {
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.stalled_until = now + span;
                        self.schedule(now + span, SimEvent::Wake(n));
                    }
                }
                other => panic!("{other:?} cannot hang"),
            },
            Step::ReclaimMachines {
                machine,
                count,
                notice,
            } => {
                for machine in machine..machine + count {
                    if let Some(w) = self.workers.get_mut(&machine).filter(|_| notice > 0) {
                        w.preempted_at = Some(now + notice);
                        w.changed_since_report = true;
                        let next = w.next_deadline();
                        self.schedule(next, SimEvent::WorkerDeadline(machine));
                    }
                    self.schedule(now + notice, SimEvent::MachineTerminated(machine));
                }
            }
            Step::ScaleBootTimes { factor, span } => {
                self.cloud.boot_slowdown = (factor, now + span);
            }
            Step::Polls {
                job,
                count,
                rate,
                span,
            } => {
                let every = (1e6 / rate) as u64;
                self.schedule(
                    now,
                    SimEvent::Poll {
                        job,
                        count,
                        every,
                        until: now + span,
                    },
                );
            }
            Step::ChangeTeam { name, cores, limit } => {
                self.script.teams.retain(|t| t.0 != name);
                self.script.teams.push((name, cores, limit));
                self.renew_settings();
                self.nodes_with_old_settings = (0..self.script.nodes).collect();
            }
            Step::AnnounceNextLimits => {
                self.script.limits_announced = true;
                self.renew_settings();
            }
            Step::ApplyNextLimits => {
                let (rate, size, ops) = self.script.next_limits.expect("next limits");
                self.state.lower_limits(rate, (size * 1024.0) as usize, ops);
            }
            Step::ChangeRules { node, name, down } => {
                self.node_rules[node] = name;
                self.crash(node, down);
            }
            Step::ChangeVersion { node, down, new } => {
                if new {
                    self.nodes_on_previous_version.remove(&node);
                } else {
                    self.nodes_on_previous_version.insert(node);
                }
                self.crash(node, down);
            }
            Step::FailAllTasks { machine } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.all_tasks_fail = true;
                }
            }
        }
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
