//! Drives several controllers in simulated time against stand-ins of everything around them.
//!
//! One seed gives one run. Messages can be held, dropped, repeated and delayed; parties can hang,
//! crash and be cut off. The checker judges what the stand-in workers do and what users are told.

pub mod check;
/// Only `tests/decisions.rs` reads the digest.
#[allow(dead_code)]
pub mod effects;
pub mod laws;
mod looks;
mod machines;
pub mod script;
mod users;
mod verdict;
mod waiting;

use check::{Checker, MachineInfo};
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
pub use cometlead_emulator::standins::{cloud, state, worker};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use script::{CopiesTo, Mode, Party, Script, Step};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use worker::{JobInfo, Worker};

const DAY: u64 = 1_700_000_000_000_000;

/// Who waits for an answer of the outside.
#[derive(Clone, Debug)]
enum Ask {
    State(StateRequest),
    Cloud(cloud_wire::CloudRequest),
    Direct(u64, Vec<u8>),
}

#[derive(Clone, Debug)]
enum Message {
    /// A controller's request reaches the other side.
    Ask {
        node: usize,
        life: u64,
        call: CallId,
        ask: Ask,
    },
    /// Its answer reaches the controller.
    Answer {
        node: usize,
        life: u64,
        call: CallId,
        ask: Ask,
        answer: Option<(u16, Vec<u8>)>,
    },
    /// A worker's report reaches a controller.
    Heartbeat {
        machine: u64,
        node: usize,
        sent: u64,
        body: Vec<u8>,
    },
    /// The answer reaches the worker.
    Reply {
        machine: u64,
        sent: u64,
        shift: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A user's request reaches a controller.
    User { node: usize, user: usize },
    /// The answer reaches the user.
    Told {
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
enum Happening {
    Deliver(Box<Message>),
    Wake(usize),
    Worker(u64),
    WorkerTimeout(u64, u64),
    UserTimeout(usize, u32),
    UserAgain(usize),
    Poll {
        job: u64,
        count: u64,
        every: u64,
        until: u64,
    },
    Boot(u64),
    Gone(u64),
    Restart(usize),
    Step(usize),
    StateTick,
    Sweep,
    /// A transaction that got no answer is carried out.
    LateWrite(Box<StateRequest>),
    /// A user looks closely, or cancels.
    Look {
        job: u64,
        kind: &'static str,
        node: Option<usize>,
    },
    /// One odd request of many.
    Odd(u64),
}

struct Fault {
    a: Party,
    b: Party,
    mode: Mode,
    from: u64,
    until: u64,
}

struct User {
    job: u64,
    kind: &'static str,
    body: Vec<u8>,
    node: Option<usize>,
    attempt: u32,
    asked: u64,
    waiting: bool,
    repeats: bool,
}

struct Node {
    controller: Controller,
    life: u64,
    waits: BTreeMap<CallId, (usize, u32)>,
    hung_until: u64,
    held: Vec<Message>,
    next_user: u64,
    wake_at: u64,
}

thread_local! {
    static NOW: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Stamps the log with the simulated time.
struct SimulatedTime;

impl tracing_subscriber::fmt::time::FormatTime for SimulatedTime {
    fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
        write!(w, "{:9.3}", now() as f64 / 1e6)
    }
}

/// Shows the controllers' log of a run; only useful with a single scenario or seed.
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

/// The simulated time of this thread's world, for its log.
pub fn now() -> u64 {
    NOW.get()
}

pub struct World {
    script: Script,
    settings: Vec<Arc<Settings>>,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    rng: StdRng,
    nodes: Vec<Option<Node>>,
    lives: u64,
    pub state: state::State,
    cloud: cloud::Cloud,
    workers: BTreeMap<u64, Worker>,
    infos: BTreeMap<u64, MachineInfo>,
    jobs: BTreeMap<u64, JobInfo>,
    users: Vec<User>,
    faults: Vec<Fault>,
    refused: Vec<(usize, u64)>,
    throttled: Vec<(usize, u64)>,
    /// Shares of transactions that are carried out late, and of reports that come again; until when.
    late_writes: Vec<(f64, u64)>,
    late_reports: Vec<(f64, u64)>,
    /// Shares of transactions of a kind whose answers are lost, until when.
    lost_answers: Vec<(f64, u64, Option<String>)>,
    /// Copies of reports that are kept for when a controller takes slices over, and whether they go to all then.
    kept_reports: Vec<(bool, Message)>,
    keeping: Vec<(f64, u64, bool)>,
    /// Machines that hear nothing, and those that reach no controller; until when.
    deaf: BTreeMap<u64, u64>,
    mute: BTreeMap<u64, u64>,
    /// Users look closely, and a share of them cancels; and shares of jobs that are called off at their ends. Until when.
    close_looks: Vec<(f64, u64)>,
    cancel_at_end: Vec<(f64, u64)>,
    /// What was last looked at closely, and submissions as they were sent.
    looked: BTreeMap<u64, &'static str>,
    bodies: BTreeMap<u64, Vec<u8>>,
    next_odd: u64,
    /// How often something was played.
    played: BTreeMap<&'static str, u64>,
    /// Machines that had a record a moment ago, and how many got one when they were gone already.
    known: BTreeSet<u64>,
    ghosts: u64,
    pub check: Checker,
    /// All that the controllers decided.
    pub decisions: effects::Decisions,
    counters: Counters,
    failovers: u64,
    lost_leases: u64,
    most_groups: u64,
    throttles: u64,
    /// Controllers that have not read the newest deploy file.
    newer: BTreeSet<usize>,
    /// Controllers that start with the version before.
    old: BTreeSet<usize>,
    /// The rules that each controller has, or had before it went down.
    rules: Vec<Option<String>>,
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
    let file = json!({
        "node": format!("n{n}"), "zone": zone_of(s, n), "bind": format!("10.0.0.{}:80", n + 1),
        "back": format!("10.0.0.{}:81", n + 1), "others": others,
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {"teams": teams, "objectives": [{"kind": "wait", "class": "urgent", "within_s": 2, "share": 0.9}],
            "workers": {"report_s": s.report, "lease_s": s.lease, "cancel_s": s.cancel},
            "state": {"rps": s.rates.0, "write_rps": s.rates.1, "value_kb": s.value_kb, "txn_ops": 12,
                "next": s.next.map(|(rate, size, ops)| json!({"write_rps": rate, "value_kb": size, "txn_ops": ops}))},
            "cloud": {"rps": 10, "list_lag_s": s.lag},
            "quota": {"core_share": 0.1, "ram_mb": 40, "max_connections": 600}, "clock_error_ms": 200},
    });
    Arc::new(Settings::parse("scenario", file.to_string().as_bytes()).expect("settings"))
}

impl World {
    pub fn new(script: Script) -> World {
        let mut check = Checker::new((script.cancel * 1e6) as u64);
        for (name, _, most) in &script.teams {
            check.limits.insert(name.clone(), *most);
        }
        let mut w = World {
            settings: (0..script.nodes).map(|n| settings(&script, n)).collect(),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            rng: StdRng::seed_from_u64(script.seed),
            nodes: (0..script.nodes).map(|_| None).collect(),
            lives: 0,
            state: state::State::new(state::StateConfig {
                txn_ops: 12,
                value_bytes: (script.value_kb * 1024.0) as usize,
                rps: script.rates.0,
                write_rps: script.rates.1,
                // Small pages, so that there are several on ordinary days.
                page: 40,
            }),
            cloud: cloud::Cloud::new(script.types.clone(), (script.lag * 1e6) as u64),
            workers: BTreeMap::new(),
            infos: BTreeMap::new(),
            jobs: BTreeMap::new(),
            users: Vec::new(),
            faults: Vec::new(),
            refused: Vec::new(),
            throttled: Vec::new(),
            late_writes: Vec::new(),
            late_reports: Vec::new(),
            lost_answers: Vec::new(),
            kept_reports: Vec::new(),
            keeping: Vec::new(),
            deaf: BTreeMap::new(),
            mute: BTreeMap::new(),
            close_looks: Vec::new(),
            cancel_at_end: Vec::new(),
            looked: BTreeMap::new(),
            bodies: BTreeMap::new(),
            next_odd: 900_001,
            played: BTreeMap::new(),
            known: BTreeSet::new(),
            ghosts: 0,
            check,
            decisions: effects::Decisions::default(),
            counters: Counters::default(),
            failovers: 0,
            lost_leases: 0,
            most_groups: 0,
            throttles: 0,
            newer: BTreeSet::new(),
            old: (0..script.nodes).filter(|_| script.old).collect(),
            rules: vec![script.with.clone(); script.nodes],
            script,
        };
        w.check.calm = w.script.calm();
        w.check.laws = laws::Laws::new(&w.script);
        if let Some(file) = &w.script.records {
            let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("tests/production")
                .join(file);
            let records: BTreeMap<String, Value> =
                serde_json::from_slice(&std::fs::read(path).expect("records")).expect("records");
            records
                .into_iter()
                .for_each(|(key, value)| w.state.put(&key, value));
        }
        for n in 0..w.script.nodes {
            w.start(n);
        }
        for i in 0..w.script.steps.len() {
            let at = w.script.steps[i].0;
            w.at(at, Happening::Step(i));
        }
        w.at(0, Happening::StateTick);
        w.at(1_000_000, Happening::Sweep);
        w
    }

    fn at(&mut self, at: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at.max(self.now), self.order)));
        self.happenings.insert(self.order, what);
    }

    fn dice(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    fn start(&mut self, n: usize) {
        if self.newer.remove(&n) && self.newer.is_empty() {
            // From now on everybody knows the limits.
            let limits = self
                .script
                .teams
                .iter()
                .map(|(name, _, most)| (name.clone(), *most));
            self.check.later = limits.collect();
        }
        self.lives += 1;
        let seed = self.rng.random();
        let operator = OperatorSettings {
            shards: self.script.slices,
            ..OperatorSettings::default()
        };
        let record_format = if self.old.contains(&n) {
            INITIAL_FORMAT
        } else {
            LATEST_FORMAT
        };
        let rules = self.rules[n]
            .as_ref()
            .filter(|_| record_format == LATEST_FORMAT)
            .map(|name| {
                let file = serde_json::from_value(self.script.rules[name].clone()).expect("rules");
                Arc::new(RuleSet::of(file).expect("rules"))
            });
        let controller = Controller::new(Arc::clone(&self.settings[n]), operator, seed);
        let controller = controller.understanding(record_format).with_rules(rules);
        self.nodes[n] = Some(Node {
            controller,
            life: self.lives,
            waits: BTreeMap::new(),
            hung_until: 0,
            held: Vec::new(),
            next_user: 1,
            wake_at: u64::MAX,
        });
        self.event(n, Event::Tick);
    }

    fn time(&self, n: usize) -> Now {
        // The clocks of the controllers run a little apart, and their times of day differ.
        let drift = self.now + self.now / 2_000 * (n as u64 % 2);
        Now {
            steady: Micros(drift),
            day: Micros(DAY + self.now + n as u64 * 50_000),
        }
    }

    /// Sends a message, as the faults between the two let it.
    fn send(&mut self, from: Party, to: Party, answer: bool, message: Message) {
        let now = self.now;
        if matches!(to, Party::Machine(m) if self.deaf.get(&m).is_some_and(|until| now < *until)) {
            return;
        }
        if let (Party::Machine(m), Message::Heartbeat { .. }) = (&from, &message)
            && self.mute.get(m).is_some_and(|until| now < *until)
        {
            return;
        }
        let mut at = now + 500 + (self.dice() * 3_000.0) as u64;
        if self.dice() < 0.01 {
            at += (self.dice() * 300_000.0) as u64;
        }
        let (mut twice, mut slow) = (false, false);
        let command = matches!(
            message,
            Message::Ask {
                ask: Ask::Direct(..),
                ..
            }
        );
        for f in &self.faults {
            let between = match (&f.a, &f.b) {
                (Party::Zone(z), Party::Outside) => self.is_in(&from, z) != self.is_in(&to, z),
                (a, b) => a.covers(&from) && b.covers(&to) || a.covers(&to) && b.covers(&from),
            };
            if !between || now < f.from || now >= f.until {
                continue;
            }
            match f.mode {
                Mode::Drop => return,
                Mode::Deaf if answer => return,
                Mode::Deaf => {}
                Mode::Reset => return self.reset(message),
                Mode::Hold => at = at.max(f.until + 1_000 + at - now),
                Mode::Repeat => twice = !command,
                Mode::LateCommands if command => at = at.max(f.until + 1_000),
                Mode::LateCommands => {}
                Mode::Slow => slow = true,
            }
        }
        if slow {
            at += (self.dice() * 2e6) as u64;
        }
        if twice {
            let later = at + (self.dice() * 8e6) as u64;
            self.at(later, Happening::Deliver(Box::new(message.clone())));
        }
        self.at(at, Happening::Deliver(Box::new(message)));
    }

    /// Whether a controller or a machine is in a zone. Users, the cloud and the state service are in none.
    fn is_in(&self, party: &Party, zone: &str) -> bool {
        match party {
            Party::Node(n) => zone_of(&self.script, *n) == zone,
            Party::Machine(m) => self.cloud.hosts.get(m).is_some_and(|h| h.yard == zone),
            _ => false,
        }
    }

    /// The sender learns at once that its connection is gone; who has been sent an answer does too.
    fn reset(&mut self, message: Message) {
        let soon = self.now + 2_000;
        match message {
            Message::Ask {
                node,
                life,
                call,
                ask,
            }
            | Message::Answer {
                node,
                life,
                call,
                ask,
                ..
            } => {
                let none = Message::Answer {
                    node,
                    life,
                    call,
                    ask,
                    answer: None,
                };
                self.at(soon, Happening::Deliver(Box::new(none)));
            }
            Message::Heartbeat { machine, sent, .. } | Message::Reply { machine, sent, .. } => {
                self.at(soon, Happening::WorkerTimeout(machine, sent));
            }
            _ => {}
        }
    }

    fn event(&mut self, n: usize, event: Event) -> Option<HeartbeatResponse> {
        let now = self.time(n);
        let node = self.nodes[n].as_mut()?;
        let before = node.controller.counters().failovers;
        let effects = node.controller.handle(now, event);
        for effect in &effects {
            self.decisions.add(self.now, n, effect);
        }
        let took_over = node.controller.counters().failovers > before;
        let life = node.life;
        let wake = node.controller.wake().0;
        let wake = wake.max(self.now + 100);
        if wake < node.wake_at || node.wake_at <= self.now {
            node.wake_at = wake;
            self.at(wake, Happening::Wake(n));
        }
        if took_over {
            self.deliver_copies(n);
        }
        let mut report = None;
        for e in effects {
            match e {
                Effect::State(call, request, limit) => {
                    self.ask(n, life, call, Ask::State(request), limit);
                }
                Effect::Cloud(call, request, limit) => {
                    self.ask(n, life, call, Ask::Cloud(request), limit);
                }
                Effect::PushCommand {
                    call,
                    endpoint,
                    body,
                    limit,
                } => {
                    let machine = endpoint
                        .split(['.', ':'])
                        .nth(3)
                        .and_then(|m| m.parse().ok())
                        .expect("endpoint");
                    self.ask(n, life, call, Ask::Direct(machine, body), limit);
                }
                Effect::Heartbeat(_, answer) => report = Some(answer),
                Effect::User(call, answer) => {
                    let wait = self.nodes[n].as_mut().and_then(|x| x.waits.remove(&call));
                    if let Some((user, attempt)) = wait {
                        let job = self.users[user].job;
                        if let UserResponse::Unsatisfiable(why) = &answer {
                            self.check.refusals.insert(job, why.to_string());
                        }
                        if let UserResponse::Status(JobStatusResponse {
                            reason: Some(why), ..
                        }) = &answer
                        {
                            self.check
                                .reasons
                                .entry(job)
                                .or_default()
                                .insert(why.to_string());
                        }
                        let (status, state) = match answer {
                            UserResponse::Accepted(a) => (201, Some(a)),
                            UserResponse::Status(a) => (200, Some(a)),
                            UserResponse::NotFound => (404, None),
                            UserResponse::Unsatisfiable(_) => (422, None),
                            UserResponse::Invalid(_) => (400, None),
                            UserResponse::RetryAfter(_) => (503, None),
                        };
                        let state = state.map(|a| {
                            let v: Value = serde_json::from_slice(&a.body()).expect("an answer");
                            v["status"].as_str().unwrap_or_default().to_owned()
                        });
                        // Users are beyond every cut.
                        let m = Message::Told {
                            user,
                            attempt,
                            status,
                            state,
                        };
                        self.at(self.now + 1_000, Happening::Deliver(Box::new(m)));
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
        report
    }

    fn party(ask: &Ask) -> Party {
        match ask {
            Ask::State(_) => Party::State,
            Ask::Cloud(_) => Party::Cloud,
            Ask::Direct(m, _) => Party::Machine(*m),
        }
    }

    fn ask(&mut self, node: usize, life: u64, call: CallId, ask: Ask, limit: Micros) {
        let to = Self::party(&ask);
        let abandon_boots = Message::Answer {
            node,
            life,
            call,
            ask: ask.clone(),
            answer: None,
        };
        self.at(
            self.now + limit.0,
            Happening::Deliver(Box::new(abandon_boots)),
        );
        self.send(
            Party::Node(node),
            to,
            false,
            Message::Ask {
                node,
                life,
                call,
                ask,
            },
        );
    }

    fn deliver(&mut self, message: Message) {
        // A node that hangs takes nothing before it goes on.
        let to_node = match &message {
            Message::Answer { node, .. } | Message::Heartbeat { node, .. } => Some(*node),
            Message::User { node, .. } | Message::Hint { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = to_node.and_then(|n| self.nodes[n].as_mut())
            && self.now < node.hung_until
        {
            node.held.push(message);
            return;
        }
        match message {
            Message::Ask {
                node,
                life,
                call,
                ask,
            } => self.asked(node, life, call, ask),
            Message::Answer {
                node,
                life,
                call,
                ask,
                answer,
            } => {
                if self.nodes[node].as_ref().is_none_or(|n| n.life != life) {
                    return;
                }
                let none = || Err(CallError::OutcomeUnknown);
                let most = (self.script.body_kb * 1024.0) as usize;
                let event = match ask {
                    Ask::State(_) if answer.as_ref().is_some_and(|(_, b)| b.len() > most) => {
                        Event::State(call, Err(CallError::ResponseTooLarge))
                    }
                    Ask::State(r) => Event::State(
                        call,
                        answer.map_or_else(none, |(s, b)| state_wire::parse(&r, s, &b)),
                    ),
                    Ask::Cloud(r) => Event::Cloud(
                        call,
                        answer.map_or(Err(CallError::OutcomeUnknown), |(s, b)| {
                            cloud_wire::parse(&r, s, &b)
                        }),
                    ),
                    Ask::Direct(..) => Event::PushCommand(
                        call,
                        answer.and_then(|(s, b)| Some((s == 200, Heartbeat::parse(&b)?))),
                    ),
                };
                self.event(node, event);
            }
            Message::Heartbeat {
                machine,
                node,
                sent,
                body,
            } => {
                let report = Heartbeat::parse(&body).expect("a report");
                let shift = report.incarnation();
                let Some(answer) = self.event(node, Event::Heartbeat(CallId(0), report)) else {
                    return;
                };
                let (status, body) = match answer {
                    HeartbeatResponse::Commands {
                        fencing_token,
                        commands,
                    } => (200, heartbeat_response_body(fencing_token, &commands)),
                    HeartbeatResponse::NotLeader(owner) => (421, not_leader_body(owner.as_deref())),
                    HeartbeatResponse::Unavailable => (503, Vec::new()),
                    HeartbeatResponse::Malformed => panic!("a good report was refused"),
                };
                let reply = Message::Reply {
                    machine,
                    sent,
                    shift,
                    status,
                    body,
                };
                self.send(Party::Node(node), Party::Machine(machine), true, reply);
            }
            Message::Reply {
                machine,
                sent,
                shift,
                status,
                body,
            } => self.replied(machine, sent, shift, status, &body),
            Message::User { node, user } => {
                let u = &self.users[user];
                let (kind, job, attempt) = (u.kind, u.job, u.attempt);
                let body = u.body.clone();
                let Some(n) = self.nodes[node].as_mut() else {
                    return;
                };
                let call = CallId(n.next_user);
                n.next_user += 1;
                n.waits.insert(call, (user, attempt));
                let id = cometlead::storage::ids::JobId(job);
                let request = match kind {
                    "abort" => UserRequest::Abort(id),
                    "query" => UserRequest::Query(id),
                    _ => {
                        let event = match parse_submission(&body) {
                            Ok((id, spec)) => {
                                Event::User(call, UserRequest::Submit(id, Box::new(spec)))
                            }
                            // As the server has it, which reads the name alone then.
                            Err(_) => Event::InvalidSubmission(call, id, "body".into()),
                        };
                        self.event(node, event);
                        return;
                    }
                };
                self.event(node, Event::User(call, request));
            }
            Message::Told {
                user,
                attempt,
                status,
                state,
            } => {
                if self.users[user].attempt == attempt && self.users[user].waiting {
                    self.told(user, status, state.as_deref());
                }
            }
            Message::Hint { node, hint } => {
                self.event(node, Event::Peer(hint));
            }
        }
    }

    /// A controller's request has reached the other side.
    fn asked(&mut self, node: usize, life: u64, call: CallId, ask: Ask) {
        let now = self.now;
        let answer = match &ask {
            Ask::State(request) => {
                let (method, path, body) = state_wire::http(request);
                let late = matches!(request, StateRequest::Transaction(_))
                    && self.drawn(|w| &w.late_writes);
                if self.is_among(&self.refused, node) {
                    Some((503, json!({})))
                } else if late {
                    let after = 2_000_000 + (self.dice() * 1e7) as u64;
                    self.at(now + after, Happening::LateWrite(Box::new(request.clone())));
                    return;
                } else if self.is_among(&self.throttled, node) {
                    self.throttles += 1;
                    Some((429, json!({})))
                } else if self.loses_answer(request) {
                    self.order += 1;
                    self.state.request(now, self.order, method, &path, &body);
                    self.state_tick();
                    return;
                } else {
                    // Watches are told apart by the order in which they are kept.
                    self.order += 1;
                    let id = self.order;
                    let answer = self.state.request(now, id, method, &path, &body);
                    if answer.is_none() {
                        let keep = Message::Answer {
                            node,
                            life,
                            call,
                            ask: ask.clone(),
                            answer: None,
                        };
                        self.happenings
                            .insert(id, Happening::Deliver(Box::new(keep)));
                    }
                    self.state_tick();
                    answer
                }
            }
            Ask::Cloud(request) => {
                let (method, path, body) = cloud_wire::http(request);
                let mut rng = StdRng::seed_from_u64(self.rng.random());
                let before: Vec<u64> = self.cloud.hosts.keys().copied().collect();
                let answer = self
                    .cloud
                    .request(now, method, &path, &body, &mut || rng.random::<f64>());
                self.after_cloud(&before);
                Some(answer)
            }
            Ask::Direct(machine, body) => {
                let mut deeds = Vec::new();
                let answer = self.direct(*machine, body, &mut deeds);
                self.deeds(*machine, deeds);
                answer
            }
        };
        if let Some((status, body)) = answer {
            let from = Self::party(&ask);
            let answer = Some((status, body.to_string().into_bytes()));
            self.send(
                from,
                Party::Node(node),
                true,
                Message::Answer {
                    node,
                    life,
                    call,
                    ask,
                    answer,
                },
            );
        }
    }

    /// Whether a controller is among those that are troubled now.
    fn is_among(&self, list: &[(usize, u64)], node: usize) -> bool {
        list.iter()
            .any(|(n, until)| *n == node && self.now < *until)
    }

    /// Whether something of which a share is troubled now is.
    fn drawn(&mut self, of: impl Fn(&World) -> &[(f64, u64)]) -> bool {
        let share = self.share_of(of(self)).unwrap_or(0.0);
        share > 0.0 && self.dice() < share
    }

    fn state_tick(&mut self) {
        assert!(
            self.state.violations.is_empty(),
            "refused by the state service: {:?}",
            self.state.violations
        );
        for (id, status, body) in self.state.tick(self.now) {
            // Kept by its number in `happenings`, out of the queue.
            if let Some(Happening::Deliver(m)) = self.happenings.remove(&id)
                && let Message::Answer {
                    node,
                    life,
                    call,
                    ask,
                    ..
                } = *m
            {
                // Open watches of a controller that is refused wait as in an outage, longer than it waits for them.
                if self.is_among(&self.refused, node) {
                    continue;
                }
                let answer = Some((status, body.to_string().into_bytes()));
                let m = Message::Answer {
                    node,
                    life,
                    call,
                    ask,
                    answer,
                };
                self.send(Party::State, Party::Node(node), true, m);
            }
        }
    }

    fn crash(&mut self, n: usize, down: u64) {
        // One that is down already comes back when it was to.
        let Some(node) = self.nodes[n].take() else {
            return;
        };
        self.tally(node.controller.counters());
        self.at(self.now + down, Happening::Restart(n));
    }

    fn tally(&mut self, x: Counters) {
        self.counters.clashes += x.clashes;
        self.counters.commits += x.commits;
        self.failovers += x.failovers;
        self.counters.stalls += x.stalls;
        self.counters.silenced += x.silenced;
        self.counters.unneeded += x.unneeded;
        self.counters.lost_with_zones += x.lost_with_zones;
    }

    fn step(&mut self, i: usize) {
        let now = self.now;
        match self.script.steps[i].1.clone() {
            Step::Submit { job, fields, node } => self.submit(job, &fields, node),
            Step::Abort { job, node } => {
                self.check.asks_abort(job);
                self.user(job, "abort", Vec::new(), node);
            }
            Step::Query { job, node } => self.user(job, "query", Vec::new(), node),
            Step::Crash {
                node: Some(n),
                down,
            } => self.crash(n, down),
            Step::Crash { node: None, down } => {
                (0..self.script.nodes).for_each(|n| self.crash(n, down));
            }
            Step::Die { zone, down } => {
                self.cloud.dark.push((zone.clone(), now + down));
                let there = |m: &&u64| self.is_in(&Party::Machine(**m), &zone);
                let machines: Vec<u64> = self.workers.keys().filter(there).copied().collect();
                machines
                    .into_iter()
                    .for_each(|m| self.at(now, Happening::Gone(m)));
                for n in 0..self.script.nodes {
                    if zone_of(&self.script, n) == zone {
                        self.crash(n, down);
                    }
                }
            }
            Step::Cut { a, b, mode, span } => {
                if let Party::Zone(z) = &a {
                    self.cloud.cut.push((z.clone(), now + span));
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
            Step::Outage { party, .. } => panic!("{party:?} has no outages"),
            Step::Refuse { node, span } => self.refused.push((node, now + span)),
            Step::Throttle { node, span } => self.throttled.push((node, now + span)),
            Step::LateWrites {
                share,
                span,
                at_once: true,
                of,
            } => self.lost_answers.push((share, now + span, of)),
            Step::LateWrites { share, span, .. } => self.late_writes.push((share, now + span)),
            Step::LateReports {
                share,
                span,
                to: CopiesTo::Same,
            } => self.late_reports.push((share, now + span)),
            Step::LateReports { share, span, to } => {
                self.keeping.push((share, now + span, to == CopiesTo::All));
            }
            Step::Mute {
                machine,
                count,
                span,
            } => {
                self.mute
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::CancelNow { count, hang } => self.cancel_now(count, hang),
            Step::CancelAtEnd { share, span } => self.cancel_at_end.push((share, now + span)),
            Step::CloseLooks { aborts, span } => self.close_looks.push((aborts, now + span)),
            Step::OddRequests { span } => self.at(now, Happening::Odd(now + span)),
            Step::Deaf {
                machine,
                count,
                span,
            } => {
                self.deaf
                    .extend((machine..machine + count).map(|m| (m, now + span)));
            }
            Step::Hang { party, span } => match party {
                Party::Machine(m) => self.hang(m, span),
                Party::Node(n) => {
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.hung_until = now + span;
                        self.at(now + span, Happening::Wake(n));
                    }
                }
                other => panic!("{other:?} cannot hang"),
            },
            Step::Take {
                machine,
                count,
                notice,
            } => {
                for machine in machine..machine + count {
                    if let Some(w) = self.workers.get_mut(&machine).filter(|_| notice > 0) {
                        w.recall_at = Some(now + notice);
                        w.changed = true;
                        let next = w.next_deadline();
                        self.at(next, Happening::Worker(machine));
                    }
                    self.at(now + notice, Happening::Gone(machine));
                }
            }
            Step::Boots { factor, span } => self.cloud.slow = (factor, now + span),
            Step::Polls {
                job,
                count,
                rate,
                span,
            } => {
                let every = (1e6 / rate) as u64;
                self.at(
                    now,
                    Happening::Poll {
                        job,
                        count,
                        every,
                        until: now + span,
                    },
                );
            }
            Step::Team { name, cores, most } => {
                self.script.teams.retain(|t| t.0 != name);
                self.script.teams.push((name, cores, most));
                self.settings = (0..self.script.nodes)
                    .map(|n| settings(&self.script, n))
                    .collect();
                self.newer = (0..self.script.nodes).collect();
            }
            Step::Limits => {
                let (rate, size, ops) = self.script.next.expect("next limits");
                self.state.lower(rate, (size * 1024.0) as usize, ops);
            }
            Step::Rules { node, name, down } => {
                self.rules[node] = name;
                self.crash(node, down);
            }
            Step::Change { node, down, new } => {
                if new {
                    self.old.remove(&node);
                } else {
                    self.old.insert(node);
                }
                self.crash(node, down);
            }
            Step::Faulty { machine } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.faulty = true;
                }
            }
        }
    }

    fn wake(&mut self, n: usize) {
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        if self.now < node.hung_until {
            return;
        }
        let held = std::mem::take(&mut node.held);
        for m in held {
            self.deliver(m);
        }
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        if node.wake_at <= self.now || node.hung_until > 0 {
            node.wake_at = u64::MAX;
            node.hung_until = 0;
            self.event(n, Event::Tick);
        }
    }

    /// Plays the scenario.
    pub fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.script.end {
                break;
            }
            self.now = at;
            NOW.set(at);
            match self.happenings.remove(&id).expect("a happening") {
                Happening::Deliver(m) => match *m {
                    // A command that a hanging machine carries out late: nobody waits for it.
                    Message::Ask {
                        node: usize::MAX,
                        ask: Ask::Direct(machine, body),
                        ..
                    } => {
                        let mut deeds = Vec::new();
                        self.direct(machine, &body, &mut deeds);
                        self.deeds(machine, deeds);
                    }
                    m => self.deliver(m),
                },
                Happening::Wake(n) => self.wake(n),
                Happening::Worker(m) => self.worker(m),
                Happening::WorkerTimeout(m, sent) => {
                    let timed_out = self
                        .workers
                        .get(&m)
                        .is_some_and(|w| w.waiting.is_some_and(|(_, s, _)| s == sent));
                    if timed_out {
                        self.next_node(m, 1_000_000);
                    }
                }
                Happening::UserTimeout(u, attempt) => self.gave_up(u, attempt),
                Happening::Poll {
                    job,
                    count,
                    every,
                    until,
                } => {
                    let which = job + (self.dice() * count as f64) as u64;
                    self.poll(which);
                    if self.now + every < until {
                        self.at(
                            self.now + every,
                            Happening::Poll {
                                job,
                                count,
                                every,
                                until,
                            },
                        );
                    }
                }
                Happening::Look { job, kind, node } => self.look(job, kind, node),
                Happening::Odd(until) => self.odd(until),
                Happening::UserAgain(u) => {
                    if !self.users[u].waiting {
                        self.try_user(u);
                    }
                }
                Happening::Boot(i) => self.boot(i),
                Happening::Gone(i) => {
                    if let Some(h) = self.cloud.hosts.get_mut(&i) {
                        h.gone_at.get_or_insert(self.now);
                    }
                    self.machine_gone(i);
                }
                Happening::Restart(n) => self.start(n),
                Happening::Step(i) => self.step(i),
                Happening::StateTick => {
                    self.state_tick();
                    let next = self
                        .state
                        .next_deadline()
                        .unwrap_or(u64::MAX)
                        .max(self.now + 20_000);
                    self.at(next.min(self.now + 100_000), Happening::StateTick);
                }
                Happening::LateWrite(request) => {
                    let (method, path, body) = state_wire::http(&request);
                    self.order += 1;
                    self.state.request(at, self.order, method, &path, &body);
                    self.state_tick();
                }
                Happening::Sweep => {
                    self.check.sweep(self.now);
                    self.note_waiting();
                    let ruled = self.state.values("c/meta").any(|(_, v)| {
                        v["layout"]
                            .as_u64()
                            .is_some_and(|l| format_has_rules(l as u32))
                    });
                    self.check.laws.note(self.now, ruled, &self.rules);
                    self.recorded();
                    self.at(self.now + 1_000_000, Happening::Sweep);
                }
            }
        }
        for n in 0..self.script.nodes {
            if let Some(node) = self.nodes[n].as_ref() {
                let counters = node.controller.counters();
                self.tally(counters);
            }
        }
        self.lost_leases += self.workers.values().map(|w| w.lost_leases).sum::<u64>();
    }
}
