//! The controller: events and the time go in, effects come out.
//!
//! Nothing here does I/O or reads a clock, so the scenario runner can drive several controllers
//! through any order of messages.

mod absence;
mod budget;
mod cancelled;
pub mod connections;
mod draft;
mod fleet;
mod limits;
mod ownership;
mod pipelines;
mod reach;
mod reader;
mod rounds;
mod rules;
mod served;
mod sessions;
mod users;
mod zones;

use crate::bookkeeping::catalog::Catalog;
use crate::bookkeeping::ids::{JobId, MachineId, Slice};
use crate::bookkeeping::records::{FleetRecord, Incarnation, LAYOUT, ProvisionRecord, TERSE};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Touched, View};
use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::operator::OperatorSettings;
use crate::protocol::peer::PeerHint;
use crate::protocol::settings::Settings;
use crate::protocol::state::{CallError, StateReply, StateRequest};
use crate::protocol::user::{UserAnswer, UserRequest};
use crate::protocol::worker::{Report, ReportAnswer};
use budget::Budget;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The time: by the process's own steady clock, and of day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady, from the start of the process.
    pub steady: Micros,
    /// Time of day; off by at most the bound in the settings.
    pub day: Micros,
}

/// Names a request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Something that happened.
#[derive(Debug)]
pub enum Event {
    /// The process began, or time passed.
    Tick,
    /// A user asks; the answer goes to this call.
    User(CallId, UserRequest),
    /// A submission that is malformed but names its job.
    BadSubmission(CallId, JobId, Cow<'static, str>),
    /// A worker reports; the answer goes to this call.
    Report(CallId, Report),
    /// The state service answered, or did not.
    State(CallId, Result<StateReply, CallError>),
    /// The cloud answered, or did not.
    Cloud(CallId, Result<CloudReply, CallError>),
    /// A worker answered a direct command: its report if there was any answer, and whether the
    /// command was carried out.
    Direct(CallId, Option<(bool, Report)>),
    /// A peer told of itself.
    Peer(PeerHint),
}

/// Something to be done.
#[derive(Debug)]
pub enum Effect {
    /// Ask the state service, for at most this long.
    State(CallId, StateRequest, Micros),
    /// Ask the cloud.
    Cloud(CallId, CloudRequest, Micros),
    /// Send a direct command to a worker.
    Direct {
        /// The call.
        call: CallId,
        /// The worker's address.
        endpoint: String,
        /// The command's body.
        body: Vec<u8>,
        /// How long to wait.
        limit: Micros,
    },
    /// Answer a user.
    User(CallId, UserAnswer),
    /// Answer a worker's report.
    Report(CallId, ReportAnswer),
    /// Tell all peers.
    Peers(PeerHint),
}

/// Why a request was sent; what to do with its answer.
#[derive(Debug)]
enum Purpose {
    Watch,
    Barrier,
    Page { first: Option<u64> },
    Grant,
    Touch,
    Node,
    Meta,
    Claim(Vec<Slice>),
    Submit(Vec<users::PendingRequest>),
    Abort(users::PendingRequest),
    Final(users::PendingRequest, JobId),
    Forerunner(JobId),
    Round(Box<rounds::InFlight>),
    Types(Catalog),
    Rules,
    Fleet(Box<(FleetRecord, Vec<ProvisionRecord>)>),
    Cloud(fleet::CloudPurpose),
    Direct(MachineId),
    Enquiry,
}

struct Call {
    purpose: Purpose,
    sent: Micros,
    /// Of a transaction: its changes, and bytes of the largest value.
    size: Option<(usize, usize)>,
}

/// How a controller counts what it does, for its log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Rounds committed.
    pub commits: u64,
    /// Rounds that failed for a clash.
    pub clashes: u64,
    /// Rounds without an answer.
    pub unknown: u64,
    /// Claims dropped for a clash and planned again.
    pub dropped: u64,
    /// Claims committed.
    pub booked: u64,
    /// Bookings cleared.
    pub cleared: u64,
    /// Requests that the state service refused for their rate.
    pub refused: u64,
    /// Slices taken over.
    pub takeovers: u64,
    /// Times that this process itself did not run for a while.
    pub absences: u64,
    /// Sessions declared over for their silence.
    pub silenced: u64,
    /// Machines that were to be returned for want of work.
    pub unneeded: u64,
    /// Machines marked as lost together with their zones.
    pub lost_with_zones: u64,
    /// Bookings of jobs with preferences, and those of them whose machines meet the weightiest.
    pub wishes: (u64, u64),
    /// Changes of groups, usage, jobs and their chunks, and ends of jobs in its rounds.
    pub changes: Changes,
}

/// What rounds spent their changes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Changes {
    /// Groups of machines.
    pub groups: u64,
    /// Usage of teams.
    pub usage: u64,
    /// Jobs and their chunks.
    pub jobs: u64,
    /// Ends of jobs.
    pub ends: u64,
}

/// One controller.
pub struct Controller {
    cfg: Arc<Settings>,
    op: OperatorSettings,
    run: Incarnation,
    now: Now,
    out: Vec<Effect>,
    wake: Micros,
    next_call: u64,
    calls: HashMap<CallId, Call>,
    /// The latest layout of the records that it understands.
    layout: u32,
    limits: limits::InForce,
    budget: Budget,
    view: View,
    absence: absence::Absence,
    reader: reader::Reader,
    ownership: ownership::Ownership,
    sessions: BTreeMap<MachineId, sessions::Session>,
    /// Since when jobs may have been called cancelled.
    cancelled: cancelled::Cancelled,
    /// Machines whose workers may have to be sent a direct command.
    to_command: BTreeSet<MachineId>,
    /// Machines that were removed lately: those of the highest numbers.
    removed: BTreeSet<MachineId>,
    /// Most machines that this controller has answered at a time, as far as some were removed since.
    largest_fleet: usize,
    reach: reach::Reach,
    rounds: rounds::Rounds,
    users: users::Users,
    look_ups: pipelines::LookUps,
    fleet: fleet::Fleet,
    rules: rules::Rules,
    served: served::Served,
    zones: zones::Zones,
    peers: HashMap<String, (Micros, PeerHint)>,
    next_sweep: Micros,
    next_hint: Micros,
    next_count: Micros,
    counters: Counters,
}

impl Controller {
    /// A controller that has just started. The seed also names this run of the process.
    pub fn new(cfg: Arc<Settings>, op: OperatorSettings, seed: u64) -> Controller {
        let share = cfg.controllers() as f64;
        Controller {
            run: Incarnation(seed),
            now: Now::default(),
            out: Vec::new(),
            wake: Micros::ZERO,
            next_call: 1,
            calls: HashMap::new(),
            layout: LAYOUT,
            limits: limits::InForce::new(&cfg),
            budget: Budget::new(cfg.state_rps / share, cfg.limits.write_rps / share),
            view: View::default(),
            absence: absence::Absence::default(),
            reader: reader::Reader::default(),
            ownership: ownership::Ownership::default(),
            sessions: BTreeMap::new(),
            cancelled: cancelled::Cancelled::default(),
            to_command: BTreeSet::new(),
            removed: BTreeSet::new(),
            largest_fleet: 0,
            reach: reach::Reach::default(),
            rounds: rounds::Rounds::default(),
            users: users::Users::default(),
            look_ups: pipelines::LookUps::default(),
            fleet: fleet::Fleet::default(),
            rules: rules::Rules::default(),
            served: served::Served::default(),
            zones: zones::Zones::default(),
            peers: HashMap::new(),
            next_sweep: Micros::ZERO,
            next_hint: Micros::ZERO,
            next_count: Micros::ZERO,
            counters: Counters::default(),
            cfg,
            op,
        }
    }

    /// The same controller, as it would be if it understood layouts of the records up to this one only. One
    /// that understands no terse forms knows of no next limits either.
    pub fn understanding(mut self, layout: u32) -> Controller {
        self.layout = layout;
        if layout < TERSE {
            self.limits = limits::InForce::unaware(&self.cfg);
        }
        self
    }

    /// Takes an event and returns what is to be done about it.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = Now {
            steady: now.steady.max(self.now.steady),
            day: now.day,
        };
        self.view.today = now.day;
        self.note_time();
        match event {
            Event::Tick => {}
            Event::User(call, request) => self.on_user(call, request),
            Event::BadSubmission(call, job, why) => self.on_bad_submission(call, job, why),
            Event::Report(call, report) => {
                self.reach.heard(self.now.steady);
                let answer = self.on_report(&report);
                self.out.push(Effect::Report(call, answer));
            }
            Event::State(call, result) => self.on_state(call, result),
            Event::Cloud(call, result) => self.on_cloud(call, result),
            Event::Direct(call, result) => {
                if result.is_some() {
                    self.reach.heard(self.now.steady);
                }
                match self.calls.remove(&call).map(|c| c.purpose) {
                    Some(Purpose::Direct(machine)) => self.on_direct(call, machine, result),
                    Some(Purpose::Enquiry) => self.on_enquiry(result.is_some()),
                    _ => {}
                }
            }
            Event::Peer(hint) => self.on_hint(hint),
        }
        self.pump();
        std::mem::take(&mut self.out)
    }

    /// When the controller next wants a [`Event::Tick`].
    pub fn wake(&self) -> Micros {
        self.wake
    }

    /// Whether the node can take requests.
    pub fn healthy(&self, now: Now) -> bool {
        if !self.reader.ready() {
            return false;
        }
        let age = now.steady.since(self.reader.contact());
        // Own trouble only: while the peers are without contact too, it is the state service's,
        // and nodes that went unhealthy would come back one pause later than it does.
        let blind = Micros::secs(4);
        age < blind
            || !self.peers.values().any(|(heard, hint)| {
                let quiet = now.steady.since(*heard);
                let theirs = hint.contact_ms.map(|ms| Micros::millis(ms) + quiet);
                quiet < Micros::secs(5) && theirs.is_some_and(|t| t + Micros::secs(2) < age)
            })
    }

    /// Whether a peer has told of itself.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// What it has counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The private copy.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn pump(&mut self) {
        self.wake = Micros::FOREVER;
        if self.now.steady >= self.next_sweep {
            self.next_sweep = self.now.steady + Micros::millis(500);
            self.sweep();
        }
        self.wake_at(self.next_sweep);
        self.pump_ownership();
        self.pump_pipelines();
        self.pump_rules();
        self.pump_users();
        if !self.absence.in_doubt() {
            self.pump_fleet();
            self.pump_rounds();
        }
        self.pump_sessions();
        self.pump_reader();
        self.pump_hints();
    }

    fn sweep(&mut self) {
        if !self.absence.in_doubt() {
            self.sweep_reach();
            self.sweep_sessions();
            self.sweep_zones();
        }
        self.sweep_cancelled();
        self.sweep_patience();
        self.sweep_users();
        self.sweep_rules();
        if self.now.steady >= self.next_count {
            self.next_count = self.now.steady + Micros::secs(30);
            let c = self.counters;
            let polls = self.users.polls();
            tracing::info!(
                commits = c.commits,
                clashes = c.clashes,
                unknown = c.unknown,
                dropped = c.dropped,
                booked = c.booked,
                cleared = c.cleared,
                refused = c.refused,
                absences = c.absences,
                silenced = c.silenced,
                unneeded = c.unneeded,
                lost_with_zones = c.lost_with_zones,
                groups = c.changes.groups,
                usage = c.changes.usage,
                jobs = c.changes.jobs,
                ends = c.changes.ends,
                wishes = c.wishes.0,
                wishes_met = c.wishes.1,
                waiting = self.rounds.waiting(),
                polls = polls.answered,
                polls_delayed = polls.delayed,
                polls_refused = polls.refused,
                "counts so far"
            );
            self.log_served();
        }
    }

    fn pump_hints(&mut self) {
        if self.now.steady >= self.next_hint {
            self.next_hint = self.now.steady + Micros::secs(1);
            let contact = self.reader.ready().then(|| self.contact_age().as_millis());
            let terms = (0..self.view.own.len())
                .map(|k| (self.view.own[k].mod_revision, self.owns(k)))
                .collect();
            self.out.push(Effect::Peers(PeerHint {
                node: self.cfg.node.clone(),
                run: self.run,
                contact_ms: contact,
                revision: self.view.revision,
                terms,
                heard_ms: self.heard_ms(),
                pressed: self.rounds.pressed(self.now.steady),
                spends: (self.budget.spending(self.now.steady) * 1e3) as u64,
            }));
            let lately = |(heard, hint): &(Micros, PeerHint)| {
                (self.now.steady.since(*heard) < Micros::secs(3))
                    .then_some(hint.spends as f64 / 1e3)
            };
            let others = self
                .cfg
                .others
                .iter()
                .map(|o| self.peers.get(&o.node).and_then(lately));
            self.budget.lend(self.now.steady, others);
        }
        self.wake_at(self.next_hint);
    }

    fn on_hint(&mut self, hint: PeerHint) {
        // A word of an earlier run that arrives late: its copy had not come as far as the record of a later run.
        let later = self
            .view
            .nodes
            .get(&hint.node)
            .is_some_and(|n| n.value.run != hint.run && n.mod_revision > hint.revision);
        if later {
            return;
        }
        for (k, (term, owns)) in hint.terms.iter().enumerate() {
            if *owns && self.owns(k) && *term > self.view.own[k].mod_revision {
                tracing::info!(slice = k, term, peer = hint.node, "told of a newer term");
                self.told_newer(k, *term);
                self.reader.want_barrier();
            }
        }
        self.peers
            .insert(hint.node.clone(), (self.now.steady, hint));
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake = self.wake.min(at);
    }

    fn call(&mut self, purpose: Purpose) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let sent = self.now.steady;
        self.calls.insert(
            id,
            Call {
                purpose,
                sent,
                size: None,
            },
        );
        id
    }

    /// Sends a request to the state service. The caller has asked the budget.
    fn ask_state(&mut self, purpose: Purpose, request: StateRequest) -> CallId {
        let limit = match &request {
            StateRequest::Changes { wait, .. } => *wait + Micros::millis(1_500),
            _ => Micros::millis(1_500),
        };
        let id = self.call(purpose);
        if let (StateRequest::Txn(txn), Some(call)) = (&request, self.calls.get_mut(&id)) {
            call.size = Some((txn.then.len(), txn.largest()));
        }
        self.out.push(Effect::State(id, request, limit));
        id
    }

    fn contact_age(&self) -> Micros {
        self.now.steady.since(self.reader.contact())
    }

    fn on_state(&mut self, id: CallId, result: Result<StateReply, CallError>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match &result {
            Err(CallError::TooMany) => {
                self.counters.refused += 1;
                self.budget.refused(self.now.steady);
                if self.limits.throttled(self.now.steady) {
                    self.on_limits_fallen("it refuses for the rate");
                }
            }
            Err(CallError::Refused) => {
                let (changes, largest) = call.size.unwrap_or_default();
                if self.limits.refused(changes, largest) {
                    self.on_limits_fallen("it refused a transaction");
                } else {
                    tracing::info!(purpose = ?call.purpose, changes, largest, "refused as wrong");
                }
            }
            _ => {}
        }
        match call.purpose {
            Purpose::Watch => self.on_changes(id, call.sent, true, result),
            Purpose::Barrier => self.on_changes(id, call.sent, false, result),
            Purpose::Page { first } => self.on_page(first, result),
            Purpose::Grant => self.on_grant(result),
            Purpose::Touch => self.on_touched(call.sent, result),
            Purpose::Node => self.on_node_written(result),
            Purpose::Meta => self.reader.want_barrier(),
            Purpose::Claim(slices) => self.on_claimed(&slices, result),
            Purpose::Submit(batch) => self.on_submitted(batch, result),
            Purpose::Abort(w) => self.on_aborted(w, result),
            Purpose::Final(w, of) => self.on_final(w, of, result),
            Purpose::Forerunner(id) => self.on_forerunner(id, result),
            Purpose::Round(round) => self.on_round(*round, result),
            Purpose::Rules => self.on_rules_written(),
            Purpose::Types(types) => self.on_types_written(types, result),
            Purpose::Fleet(record) => self.on_fleet_written(*record, result),
            Purpose::Cloud(_) | Purpose::Direct(_) | Purpose::Enquiry => {}
        }
    }

    /// The state service's next limits hold from now on, for all that this process does.
    fn on_limits_fallen(&mut self, why: &'static str) {
        let (ops, bytes, rate) = (
            self.limits.txn_ops(),
            self.limits.taken_bytes(),
            self.limits.write_rps(),
        );
        tracing::info!(
            why,
            ops,
            bytes,
            rate,
            "the state service has lowered its limits"
        );
        self.budget.set_writes(rate / self.cfg.controllers() as f64);
        self.rounds.look();
    }

    /// Acts on what changes brought.
    fn on_touched_view(&mut self, touched: &Touched) {
        for k in &touched.own {
            self.on_own_changed(*k);
        }
        self.note_layout();
        if touched.nodes {
            self.ownership.look();
            self.note_versions();
            self.note_declared();
        }
        if touched.rules {
            self.on_rules_changed();
        }
        for m in &touched.machines {
            self.on_machine_changed(*m);
        }
        for ended in &touched.ended {
            self.served.note(ended);
            self.on_job_gone(ended.job);
            if let Some(f) = ended.how {
                self.users.remember(ended.job, f);
            }
        }
        for j in &touched.jobs {
            self.users.appeared(*j);
            self.note_rules_of(*j);
            self.on_job_changed(*j);
        }
        if touched.usage
            || !touched.jobs.is_empty()
            || !touched.machines.is_empty()
            || !touched.own.is_empty()
        {
            self.rounds.look();
            self.fleet.look();
        }
    }

    /// Whether this process owns the slice, as far as it knows.
    fn owns(&self, k: Slice) -> bool {
        self.ownership.tenure(k).is_some()
    }
}
