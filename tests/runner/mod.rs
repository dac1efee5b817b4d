//! Drives several controllers in simulated time against stand-ins of everything around them.
//!
//! One seed gives one run. Messages can be held, dropped, repeated and delayed; parties can hang,
//! crash and be cut off. The checker judges what the stand-in workers do and what users are told.

pub mod check;
pub mod cloud;
pub mod script;
pub mod state;
pub mod worker;

use check::{Asked, Checker, MachineInfo};
use cometlead::bookkeeping::records::GroupRecord;
use cometlead::bookkeeping::time::Micros;
use cometlead::coordination::{CallId, Controller, Counters, Effect, Event, Now};
use cometlead::protocol::cloud as cloud_wire;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::protocol::state as state_wire;
use cometlead::protocol::state::{CallError, StateRequest};
use cometlead::protocol::user::{UserAnswer, UserRequest, parse_submission};
use cometlead::protocol::worker::{Report, ReportAnswer, elsewhere_body, orders_body};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use script::{Expect, Mode, Party, Script, Step};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use worker::{Deed, JobInfo, Worker};

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
    Report {
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
    User {
        node: usize,
        user: usize,
    },
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
    Boot(u64),
    Gone(u64),
    Restart(usize),
    Step(usize),
    StateTick,
    Sweep,
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
    polls: bool,
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
    pub check: Checker,
    counters: Counters,
    takeovers: u64,
    lost_leases: u64,
    most_groups: u64,
    throttles: u64,
}

fn settings(s: &Script, n: usize) -> Arc<Settings> {
    let others: Vec<Value> = (0..s.nodes)
        .filter(|o| *o != n)
        .map(|o| json!({"node": format!("n{o}"), "zone": "a", "peer_addr": format!("10.0.0.{}:81", o + 1)}))
        .collect();
    let teams: Vec<Value> = s
        .teams
        .iter()
        .map(|(name, g, m)| json!({"name": name, "cpus": g, "cpus_max": m, "gpus": 0, "gpus_max": 0}))
        .chain([json!({"name": "free"})])
        .collect();
    let file = json!({
        "node": format!("n{n}"), "zone": "a", "bind": format!("10.0.0.{}:80", n + 1),
        "back": format!("10.0.0.{}:81", n + 1), "others": others,
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {"teams": teams, "objectives": [{"kind": "wait", "class": "urgent", "within_s": 2, "share": 0.9}],
            "workers": {"report_s": s.report, "lease_s": s.lease, "cancel_s": s.cancel},
            "state": {"rps": s.rates.0, "write_rps": s.rates.1, "value_kb": s.value_kb, "txn_ops": 12},
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
            state: state::State::new(12, (script.value_kb * 1024.0) as usize, script.rates),
            cloud: cloud::Cloud::new(script.types.clone(), (script.lag * 1e6) as u64),
            workers: BTreeMap::new(),
            infos: BTreeMap::new(),
            jobs: BTreeMap::new(),
            users: Vec::new(),
            faults: Vec::new(),
            refused: Vec::new(),
            throttled: Vec::new(),
            check,
            counters: Counters::default(),
            takeovers: 0,
            lost_leases: 0,
            most_groups: 0,
            throttles: 0,
            script,
        };
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
        self.lives += 1;
        let seed = self.rng.random();
        let operator = OperatorSettings { slices: self.script.slices, ..OperatorSettings::default() };
        let controller = Controller::new(Arc::clone(&self.settings[n]), operator, seed);
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
        Now { steady: Micros(drift), day: Micros(DAY + self.now + n as u64 * 50_000) }
    }

    /// Sends a message, as the faults between the two let it.
    fn send(&mut self, from: Party, to: Party, answer: bool, message: Message) {
        let now = self.now;
        let mut at = now + 500 + (self.dice() * 3_000.0) as u64;
        if self.dice() < 0.01 {
            at += (self.dice() * 300_000.0) as u64;
        }
        let (mut twice, mut slow) = (false, false);
        let command = matches!(message, Message::Ask { ask: Ask::Direct(..), .. });
        for f in &self.faults {
            let between = f.a.covers(&from) && f.b.covers(&to) || f.a.covers(&to) && f.b.covers(&from);
            if !between || now < f.from || now >= f.until {
                continue;
            }
            match f.mode {
                Mode::Drop => return,
                Mode::Deaf if answer => return,
                Mode::Deaf => {}
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

    fn event(&mut self, n: usize, event: Event) -> Option<ReportAnswer> {
        let now = self.time(n);
        let node = self.nodes[n].as_mut()?;
        let effects = node.controller.handle(now, event);
        let life = node.life;
        let wake = node.controller.wake().0;
        let wake = wake.max(self.now + 100);
        if wake < node.wake_at || node.wake_at <= self.now {
            node.wake_at = wake;
            self.at(wake, Happening::Wake(n));
        }
        let mut report = None;
        for e in effects {
            match e {
                Effect::State(call, request, limit) => self.ask(n, life, call, Ask::State(request), limit),
                Effect::Cloud(call, request, limit) => self.ask(n, life, call, Ask::Cloud(request), limit),
                Effect::Direct { call, endpoint, body, limit } => {
                    let machine = endpoint.split(['.', ':']).nth(3).and_then(|m| m.parse().ok()).expect("endpoint");
                    self.ask(n, life, call, Ask::Direct(machine, body), limit);
                }
                Effect::Report(_, answer) => report = Some(answer),
                Effect::User(call, answer) => {
                    let wait = self.nodes[n].as_mut().and_then(|x| x.waits.remove(&call));
                    if let Some((user, attempt)) = wait {
                        let (status, state) = match answer {
                            UserAnswer::Accepted(a) => (201, Some(a)),
                            UserAnswer::Is(a) => (200, Some(a)),
                            UserAnswer::Unknown => (404, None),
                            UserAnswer::Never(_) => (422, None),
                            UserAnswer::Bad(_) => (400, None),
                            UserAnswer::Later(_) => (503, None),
                        };
                        let state = state.map(|a| {
                            let v: Value = serde_json::from_slice(&a.body()).expect("an answer");
                            v["status"].as_str().unwrap_or_default().to_owned()
                        });
                        // Users are beyond every cut.
                        let m = Message::Told { user, attempt, status, state };
                        self.at(self.now + 1_000, Happening::Deliver(Box::new(m)));
                    }
                }
                Effect::Peers(hint) => {
                    for o in 0..self.script.nodes {
                        if o != n {
                            let m = Message::Hint { node: o, hint: hint.clone() };
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
        let give_up = Message::Answer { node, life, call, ask: ask.clone(), answer: None };
        self.at(self.now + limit.0, Happening::Deliver(Box::new(give_up)));
        self.send(Party::Node(node), to, false, Message::Ask { node, life, call, ask });
    }

    fn deliver(&mut self, message: Message) {
        // A node that hangs takes nothing before it goes on.
        let to_node = match &message {
            Message::Answer { node, .. } | Message::Report { node, .. } => Some(*node),
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
            Message::Ask { node, life, call, ask } => self.asked(node, life, call, ask),
            Message::Answer { node, life, call, ask, answer } => {
                if self.nodes[node].as_ref().is_none_or(|n| n.life != life) {
                    return;
                }
                let none = || Err(CallError::Unknown);
                let event = match ask {
                    Ask::State(r) => {
                        Event::State(call, answer.map_or_else(none, |(s, b)| state_wire::parse(&r, s, &b)))
                    }
                    Ask::Cloud(r) => Event::Cloud(
                        call,
                        answer.map_or(Err(CallError::Unknown), |(s, b)| cloud_wire::parse(&r, s, &b)),
                    ),
                    Ask::Direct(..) => {
                        Event::Direct(call, answer.and_then(|(s, b)| Some((s == 200, Report::parse(&b)?))))
                    }
                };
                self.event(node, event);
            }
            Message::Report { machine, node, sent, body } => {
                let report = Report::parse(&body).expect("a report");
                let shift = report.session();
                let Some(answer) = self.event(node, Event::Report(CallId(0), report)) else { return };
                let (status, body) = match answer {
                    ReportAnswer::Orders { baton, orders } => (200, orders_body(baton, &orders)),
                    ReportAnswer::Elsewhere(owner) => (421, elsewhere_body(owner.as_deref())),
                    ReportAnswer::Unavailable => (503, Vec::new()),
                    ReportAnswer::Malformed => panic!("a good report was refused"),
                };
                let reply = Message::Reply { machine, sent, shift, status, body };
                self.send(Party::Node(node), Party::Machine(machine), true, reply);
            }
            Message::Reply { machine, sent, shift, status, body } => self.replied(machine, sent, shift, status, &body),
            Message::User { node, user } => {
                let u = &self.users[user];
                let (kind, job, attempt) = (u.kind, u.job, u.attempt);
                let body = u.body.clone();
                let Some(n) = self.nodes[node].as_mut() else { return };
                let call = CallId(n.next_user);
                n.next_user += 1;
                n.waits.insert(call, (user, attempt));
                let id = cometlead::bookkeeping::ids::JobId(job);
                let request = match kind {
                    "abort" => UserRequest::Abort(id),
                    "query" => UserRequest::Query(id),
                    _ => {
                        let (id, spec) = parse_submission(&body).expect("a submission");
                        UserRequest::Submit(id, Box::new(spec))
                    }
                };
                self.event(node, Event::User(call, request));
            }
            Message::Told { user, attempt, status, state } => {
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
                let refused = |list: &[(usize, u64)]| list.iter().any(|(n, until)| *n == node && now < *until);
                if refused(&self.refused) {
                    Some((503, json!({})))
                } else if refused(&self.throttled) {
                    self.throttles += 1;
                    Some((429, json!({})))
                } else {
                    // Watches are told apart by the order in which they are kept.
                    self.order += 1;
                    let id = self.order;
                    let answer = self.state.request(now, id, method, &path, &body);
                    if answer.is_none() {
                        let keep = Message::Answer { node, life, call, ask: ask.clone(), answer: None };
                        self.happenings.insert(id, Happening::Deliver(Box::new(keep)));
                    }
                    self.state_tick();
                    answer
                }
            }
            Ask::Cloud(request) => {
                let (method, path, body) = cloud_wire::http(request);
                let mut rng = StdRng::seed_from_u64(self.rng.random());
                let before: Vec<u64> = self.cloud.hosts.keys().copied().collect();
                let answer = self.cloud.request(now, method, &path, &body, &mut || rng.random::<f64>());
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
            self.send(from, Party::Node(node), true, Message::Answer { node, life, call, ask, answer });
        }
    }

    fn state_tick(&mut self) {
        for (id, status, body) in self.state.tick(self.now) {
            // Kept by its number in `happenings`, out of the queue.
            if let Some(Happening::Deliver(m)) = self.happenings.remove(&id)
                && let Message::Answer { node, life, call, ask, .. } = *m
            {
                let answer = Some((status, body.to_string().into_bytes()));
                let m = Message::Answer { node, life, call, ask, answer };
                self.send(Party::State, Party::Node(node), true, m);
            }
        }
    }

    fn after_cloud(&mut self, before: &[u64]) {
        let new: Vec<(u64, Option<u64>)> =
            self.cloud.hosts.iter().filter(|(i, _)| !before.contains(i)).map(|(i, h)| (*i, h.up_at)).collect();
        for (i, up) in new {
            if let Some(up) = up {
                self.at(up, Happening::Boot(i));
            }
        }
        let now = self.now;
        let gone: Vec<u64> =
            self.workers.keys().filter(|i| self.cloud.hosts[i].gone_at.is_some_and(|g| g <= now)).copied().collect();
        for i in gone {
            self.machine_gone(i);
        }
    }

    fn machine_gone(&mut self, i: u64) {
        if let Some(mut w) = self.workers.remove(&i) {
            let mut deeds = Vec::new();
            w.kill_all(&mut deeds);
            self.lost_leases += w.lost_leases;
            self.deeds(i, deeds);
        }
    }

    fn direct(&mut self, machine: u64, body: &[u8], deeds: &mut Vec<Deed>) -> Option<(u16, Value)> {
        let now = self.now;
        let w = self.workers.get_mut(&machine)?;
        if now < w.hung_until {
            // Carried out when the machine goes on, if token and session still match.
            let body = body.to_vec();
            let until = w.hung_until;
            let ask = Ask::Direct(machine, body);
            let late = Message::Ask { node: usize::MAX, life: 0, call: CallId(0), ask };
            self.at(until + 2_000, Happening::Deliver(Box::new(late)));
            return None;
        }
        w.check_lease(now, deeds);
        let v: Value = serde_json::from_slice(body).ok()?;
        let (baton, shift) = (v["baton"].as_u64()?, v["shift"].as_u64()?);
        let good = baton >= w.baton && shift == w.shift;
        if good {
            w.changed |= baton > w.baton;
            w.baton = w.baton.max(baton);
            w.execute(now, &v["orders"], &self.jobs, deeds);
        }
        let report = w.report(now);
        let next = w.next_deadline();
        self.at(next, Happening::Worker(machine));
        Some((if good { 200 } else { 409 }, report))
    }

    fn deeds(&mut self, machine: u64, deeds: Vec<Deed>) {
        let info = self.infos[&machine].clone();
        for d in deeds {
            tracing::debug!(machine, deed = ?d, "worker");
            self.check.deed(self.now, machine, &info, &d, &self.infos);
        }
    }

    /// A worker's own time has come.
    fn worker(&mut self, machine: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        let report = (self.script.report * 1e6) as u64;
        let jitter = 0.75 + 0.5 * self.dice();
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let mut deeds = Vec::new();
        w.check_lease(now, &mut deeds);
        if now < w.hung_until {
            // Its tasks do not run, but its lease ends all the same.
            let next = w.next_deadline();
            self.at(next.max(now + 1_000), Happening::Worker(machine));
            return self.deeds(machine, deeds);
        }
        w.advance(now, &self.jobs, &mut deeds);
        let mut message = None;
        if w.waiting.is_none() && now >= w.report_at() {
            w.changed = false;
            w.last_report = now;
            w.next_report = now + (report as f64 * jitter) as u64;
            let body = w.report(now).to_string().into_bytes();
            w.waiting = Some((w.tally, now, w.shift));
            let (node, sent) = (w.node % nodes, now);
            message = Some((node, Message::Report { machine, node, sent, body }));
        }
        let next = w.next_deadline();
        self.at(next.max(now + 1_000), Happening::Worker(machine));
        self.deeds(machine, deeds);
        if let Some((node, m)) = message {
            self.at(now + 4_000_000, Happening::WorkerTimeout(machine, now));
            if self.nodes[node].is_some() {
                self.send(Party::Machine(machine), Party::Node(node), false, m);
            }
        }
    }

    fn next_node(&mut self, machine: u64, wait: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.waiting = None;
            w.node = (w.node + 1) % nodes;
            w.next_report = now + wait;
            w.changed = false;
            self.at(now + wait, Happening::Worker(machine));
        }
    }

    fn replied(&mut self, machine: u64, sent: u64, shift: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        // A hanging machine takes answers when it goes on; they are too old by then.
        if now < w.hung_until || w.waiting.is_none_or(|(_, s, _)| s != sent) || now > sent + 4_000_000 {
            return;
        }
        let mut deeds = Vec::new();
        w.check_lease(now, &mut deeds);
        w.waiting = None;
        match status {
            200 => {
                let v: Value = serde_json::from_slice(body).expect("orders");
                let baton = v["baton"].as_u64().unwrap_or(0);
                if baton >= w.baton && shift == w.shift {
                    w.changed |= baton > w.baton;
                    w.baton = baton;
                    w.renewed = w.renewed.max(sent);
                    w.execute(now, &v["orders"], &self.jobs, &mut deeds);
                }
            }
            421 => {
                let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                let to = v["answerTo"].as_str().and_then(|n| n.strip_prefix('n')?.parse::<usize>().ok());
                match to.filter(|n| *n != w.node) {
                    Some(n) => {
                        w.node = n;
                        w.next_report = now + 100_000;
                    }
                    None => {
                        self.deeds(machine, deeds);
                        return self.next_node(machine, 1_000_000);
                    }
                }
            }
            _ => {
                self.deeds(machine, deeds);
                return self.next_node(machine, 1_000_000);
            }
        }
        let next = w.next_deadline();
        self.at(next, Happening::Worker(machine));
        self.deeds(machine, deeds);
    }

    fn boot(&mut self, i: u64) {
        let host = &self.cloud.hosts[&i];
        if host.gone_at.is_some() {
            return;
        }
        let t = self.cloud.type_of(i);
        let (yard, spot) = (host.yard.clone(), host.spot);
        let info = MachineInfo { build: t.name.clone(), yard: yard.clone(), spot };
        let node = (i as usize * 7) % self.script.nodes;
        let w = Worker {
            id: i,
            build: t.name.clone(),
            yard,
            spot,
            cores: t.cores,
            mem: t.mem,
            shift: 1,
            tally: 0,
            baton: 0,
            recall_at: None,
            pieces: BTreeMap::new(),
            images: Vec::new(),
            renewed: self.now,
            lease: (self.script.lease * 1e6) as u64,
            hung_until: 0,
            faulty: false,
            node,
            waiting: None,
            next_report: self.now,
            last_report: 0,
            changed: false,
            lost_leases: 0,
        };
        self.workers.insert(i, w);
        self.infos.insert(i, info);
        self.at(self.now, Happening::Worker(i));
    }

    fn submit(&mut self, job: u64, f: &BTreeMap<String, String>, node: Option<usize>) {
        let text = |k: &str, default: &str| f.get(k).cloned().unwrap_or(default.to_owned());
        let real = |k: &str, default: f64| f.get(k).map_or(default, |v| v.parse().expect("a number"));
        let flag = |k: &str, default: bool| f.get(k).map_or(default, |v| v == "yes");
        let run = real("run", 10.0);
        let pieces = real("pieces", 1.0) as u32;
        let builds: Option<Vec<String>> = f.get("builds").map(|b| b.split(',').map(str::to_owned).collect());
        let asked = Asked {
            team: text("team", "free"),
            cores: real("cores", 1.0),
            pieces,
            builds: builds.clone(),
            yard: f.get("yard").cloned(),
            spot: flag("spot", true),
            one_zone: flag("one_zone", false),
            apart: flag("apart", false),
        };
        let shape = text("shape", "sweep");
        let body = json!({"nameId": format!("req-{job:06}"), "lane": text("lane", "lane"), "crew": asked.team,
            "shape": shape, "urgency": text("urgency", "standard"), "pieces": pieces, "cores": asked.cores,
            "accelerators": 0, "memGb": real("mem", 1.0), "builds": builds, "yard": asked.yard,
            "oneZone": asked.one_zone, "apart": asked.apart, "loaners": asked.spot, "bundle": text("image", "img"),
            "sizeGb": real("size", 0.5), "guessS": real("guess", run), "bookmarkS": real("bookmark", 0.0),
            "stashS": real("stash", 0.0), "dueS": f.get("due").map(|d| d.parse::<f64>().expect("a number"))});
        let info = JobInfo {
            cores: asked.cores,
            mem: real("mem", 1.0),
            run: (run * 1e6) as u64,
            image: text("image", "img"),
            size: real("size", 0.5),
            pieces,
            standing: shape == "standing",
            fails: flag("fails", false),
            saves: real("bookmark", 0.0) > 0.0,
            stash: real("stash", 0.0),
        };
        self.jobs.entry(job).or_insert(info);
        self.check.asked.entry(job).or_insert(asked);
        self.user(job, "submit", body.to_string().into_bytes(), node);
    }

    fn user(&mut self, job: u64, kind: &'static str, body: Vec<u8>, node: Option<usize>) {
        self.users.push(User { job, kind, body, node, attempt: 0, asked: 0, waiting: false, polls: kind == "query" });
        let user = self.users.len() - 1;
        self.try_user(user);
    }

    fn try_user(&mut self, user: usize) {
        let alive: Vec<usize> = (0..self.script.nodes).filter(|n| self.nodes[*n].is_some()).collect();
        let pick = (self.dice() * alive.len() as f64) as usize;
        let u = &mut self.users[user];
        u.attempt += 1;
        u.asked = self.now;
        u.waiting = true;
        let attempt = u.attempt;
        let limit = if u.kind == "query" { 2_000_000 } else { 5_000_000 };
        let node = u.node.or_else(|| alive.get(pick).copied());
        self.at(self.now + limit, Happening::UserTimeout(user, attempt));
        if let Some(node) = node {
            let m = Message::User { node, user };
            self.at(self.now + 1_000, Happening::Deliver(Box::new(m)));
        }
    }

    fn told(&mut self, user: usize, status: u16, state: Option<&str>) {
        let (job, kind, polls) = (self.users[user].job, self.users[user].kind, self.users[user].polls);
        self.users[user].waiting = false;
        self.check.told(self.now, self.users[user].asked, kind, job, status, state);
        let over = matches!(state, Some("done" | "cancelled"));
        match kind {
            "query" if !over && polls => self.at(self.now + 3_000_000, Happening::UserAgain(user)),
            "submit" if matches!(status, 200 | 201) => {
                self.user(job, "query", Vec::new(), None);
            }
            "submit" | "abort" if status == 503 => self.at(self.now + 1_000_000, Happening::UserAgain(user)),
            _ => {}
        }
    }

    fn crash(&mut self, n: usize, down: u64) {
        if let Some(node) = self.nodes[n].take() {
            self.tally(node.controller.counters());
        }
        self.at(self.now + down, Happening::Restart(n));
    }

    fn tally(&mut self, x: Counters) {
        self.counters.clashes += x.clashes;
        self.counters.commits += x.commits;
        self.takeovers += x.takeovers;
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
            Step::Crash { node: Some(n), down } => self.crash(n, down),
            Step::Crash { node: None, down } => (0..self.script.nodes).for_each(|n| self.crash(n, down)),
            Step::Cut { a, b, mode, span } => {
                self.faults.push(Fault { a, b, mode, from: now, until: now + span });
            }
            Step::Outage { party: Party::State, span } => self.state.outage(now, span),
            Step::Outage { party: Party::Cloud, span } => self.cloud.out_until = now + span,
            Step::Outage { party, .. } => panic!("{party:?} has no outages"),
            Step::Refuse { node, span } => self.refused.push((node, now + span)),
            Step::Throttle { node, span } => self.throttled.push((node, now + span)),
            Step::Hang { party, span } => match party {
                Party::Machine(m) => {
                    if let Some(w) = self.workers.get_mut(&m) {
                        w.hung_until = now + span;
                        self.at(now + span, Happening::Worker(m));
                    }
                }
                Party::Node(n) => {
                    if let Some(node) = self.nodes[n].as_mut() {
                        node.hung_until = now + span;
                        self.at(now + span, Happening::Wake(n));
                    }
                }
                other => panic!("{other:?} cannot hang"),
            },
            Step::Take { machine, notice } => {
                if let Some(w) = self.workers.get_mut(&machine).filter(|_| notice > 0) {
                    w.recall_at = Some(now + notice);
                    w.changed = true;
                    let next = w.next_deadline();
                    self.at(next, Happening::Worker(machine));
                }
                self.at(now + notice, Happening::Gone(machine));
            }
            Step::Faulty { machine } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.faulty = true;
                }
            }
        }
    }

    fn wake(&mut self, n: usize) {
        let Some(node) = self.nodes[n].as_mut() else { return };
        if self.now < node.hung_until {
            return;
        }
        let held = std::mem::take(&mut node.held);
        for m in held {
            self.deliver(m);
        }
        let Some(node) = self.nodes[n].as_mut() else { return };
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
                    Message::Ask { node: usize::MAX, ask: Ask::Direct(machine, body), .. } => {
                        let mut deeds = Vec::new();
                        self.direct(machine, &body, &mut deeds);
                        self.deeds(machine, deeds);
                    }
                    m => self.deliver(m),
                },
                Happening::Wake(n) => self.wake(n),
                Happening::Worker(m) => self.worker(m),
                Happening::WorkerTimeout(m, sent) => {
                    let timed_out = self.workers.get(&m).is_some_and(|w| w.waiting.is_some_and(|(_, s, _)| s == sent));
                    if timed_out {
                        self.next_node(m, 1_000_000);
                    }
                }
                Happening::UserTimeout(u, attempt) => {
                    if self.users[u].waiting && self.users[u].attempt == attempt {
                        self.users[u].waiting = false;
                        self.at(self.now + 1_000_000, Happening::UserAgain(u));
                    }
                }
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
                    let next = self.state.next_deadline().unwrap_or(u64::MAX).max(self.now + 20_000);
                    self.at(next.min(self.now + 100_000), Happening::StateTick);
                }
                Happening::Sweep => {
                    self.check.sweep(self.now);
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

    /// The machines that have a record. None may have two.
    fn recorded(&mut self) -> BTreeSet<u64> {
        let mut all = BTreeSet::new();
        let mut of_slice: BTreeMap<String, u64> = BTreeMap::new();
        // Keys of the first layout had no part.
        for (key, value) in self.state.values("c/group/").filter(|(k, _)| k.split('/').count() == 4) {
            let group: GroupRecord = serde_json::from_value(value.clone()).expect("a group");
            let slice = key.split('/').nth(2).unwrap_or_default();
            *of_slice.entry(slice.to_owned()).or_default() += 1;
            for m in group.machines.keys() {
                if !all.insert(m.0) {
                    self.check.broken.push(format!("{}: i-{:06} is in two records", self.now, m.0));
                }
            }
        }
        self.most_groups = self.most_groups.max(of_slice.into_values().max().unwrap_or(0));
        all
    }

    /// Whether a controller says that it can take requests.
    pub fn any_healthy(&self) -> bool {
        (0..self.script.nodes).any(|n| self.nodes[n].as_ref().is_some_and(|x| x.controller.healthy(self.time(n))))
    }

    /// What was broken or not as expected.
    pub fn verdict(&mut self) -> Vec<String> {
        let recorded = self.recorded();
        // One that has just come up may still be on its way into a record.
        let unrecorded = self.workers.values().filter(|w| w.tally > 12 && !recorded.contains(&w.id)).count();
        let mut bad = self.check.broken.clone();
        for e in &self.script.expects {
            let good = match e {
                Expect::Done(j) => self.check.is_done(*j),
                Expect::Cancelled(j) => self.check.is_cancelled(*j),
                Expect::Unknown(j) => !self.check.is_accepted(*j),
                Expect::AllDone => self.check.open().is_empty(),
                Expect::Clashes => self.counters.clashes > 0,
                Expect::Takeovers(n) => self.takeovers >= *n,
                Expect::FewTakeovers(n) => self.takeovers <= *n,
                Expect::LostLeases(n) => self.lost_leases <= *n,
                Expect::Groups(n) => self.most_groups >= *n,
                Expect::AllRecorded => unrecorded == 0,
                Expect::Throttled => self.state.throttled + self.throttles > 0,
                Expect::FewerMachines(n) => self.cloud.hosts.len() as u64 <= *n,
            };
            if !good {
                bad.push(format!(
                    "expected {e:?}; open: {:?}, clashes {}, takeovers {}, lost leases {}, hosts {}, groups {}, \
                     without a record {unrecorded}",
                    self.check.open(),
                    self.counters.clashes,
                    self.takeovers,
                    self.lost_leases,
                    self.cloud.hosts.len(),
                    self.most_groups
                ));
            }
        }
        bad
    }

    /// How many tasks were started.
    pub fn started(&self) -> u64 {
        self.check.started
    }
}
