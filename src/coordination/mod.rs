//! The controller: events and the time go in, effects come out.
//!
//! Nothing here does I/O or reads a clock, so the scenario runner can drive several controllers
//! through any order of messages.

mod agents;
pub mod api;
mod autoscaler;
mod commit;
mod constraints;
mod health;
mod leadership;
mod replication;
mod throughput;

use crate::protocol::cloud::{CloudReply, CloudRequest};
use crate::protocol::operator::OperatorSettings;
use crate::protocol::peer::PeerHint;
use crate::protocol::settings::Settings;
use crate::protocol::state::{CallError, StateReply, StateRequest};
use crate::protocol::user::{UserRequest, UserResponse};
use crate::protocol::worker::{Heartbeat, HeartbeatResponse};
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::{CellChanges, CellState};
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::records::{FleetRecord, Incarnation, LAYOUT, ProvisionRecord, TERSE};
use crate::time::Micros;
use commit::budget::Budget;
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
    Heartbeat(CallId, Heartbeat),
    /// The state service answered, or did not.
    State(CallId, Result<StateReply, CallError>),
    /// The cloud answered, or did not.
    Cloud(CallId, Result<CloudReply, CallError>),
    /// A worker answered a direct command: its report if there was any answer, and whether the
    /// command was carried out.
    PushCommand(CallId, Option<(bool, Heartbeat)>),
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
    PushCommand {
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
    User(CallId, UserResponse),
    /// Answer a worker's report.
    Heartbeat(CallId, HeartbeatResponse),
    /// Tell all peers.
    Peers(PeerHint),
}

/// Why a request was sent; what to do with its answer.
#[derive(Debug)]
enum Purpose {
    Watch,
    Barrier,
    Page { first: Option<u64> },
    LeaseGrant,
    LeaseKeepAlive,
    Node,
    Meta,
    Claim(Vec<ShardId>),
    Submit(Vec<api::PendingRequest>),
    Abort(api::PendingRequest),
    Final(api::PendingRequest, JobId),
    DependencyLookup(JobId),
    Round(Box<commit::InFlight>),
    Types(Catalog),
    Rules,
    Fleet(Box<(FleetRecord, Vec<ProvisionRecord>)>),
    Cloud(autoscaler::CloudPurpose),
    PushCommand(MachineId),
    Probe,
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
    pub assigned: u64,
    /// Bookings cleared.
    pub released: u64,
    /// Requests that the state service refused for their rate.
    pub refused: u64,
    /// Slices taken over.
    pub failovers: u64,
    /// Times that this process itself did not run for a while.
    pub stalls: u64,
    /// Sessions declared over for their silence.
    pub silenced: u64,
    /// Machines that were to be returned for want of work.
    pub unneeded: u64,
    /// Machines marked as lost together with their zones.
    pub lost_with_zones: u64,
    /// Bookings of jobs with preferences, and those of them whose machines meet the weightiest.
    pub preferences: (u64, u64),
    /// Changes of groups, usage, jobs and their chunks, and ends of jobs in its rounds.
    pub changes: ChangeCounters,
}

/// What rounds spent their changes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeCounters {
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
    settings: Arc<Settings>,
    operator_settings: OperatorSettings,
    incarnation: Incarnation,
    now: Now,
    effects: Vec<Effect>,
    next_wake: Micros,
    next_call: u64,
    calls: HashMap<CallId, Call>,
    /// The latest layout of the records that it understands.
    layout: u32,
    limits: commit::limits::InForce,
    budget: Budget,
    cell: CellState,
    stall: health::stall::StallDetector,
    replica: replication::Replica,
    leadership: leadership::Leadership,
    agents: BTreeMap<MachineId, agents::Agent>,
    /// Since when jobs may have been called cancelled.
    cancelled: agents::cancellations::Cancellations,
    /// Machines whose workers may have to be sent a direct command.
    agents_to_command: BTreeSet<MachineId>,
    /// Machines that were removed lately: those of the highest numbers.
    removed_machines: BTreeSet<MachineId>,
    /// Most machines that this controller has answered at a time, as far as some were removed since.
    largest_fleet: usize,
    connectivity: health::connectivity::Connectivity,
    rounds: commit::Rounds,
    users: api::Users,
    dependency_lookups: api::dependencies::DependencyLookups,
    autoscaler: autoscaler::Autoscaler,
    rules: constraints::Rules,
    served: throughput::Served,
    zones: health::zones::Zones,
    peers: HashMap<String, (Micros, PeerHint)>,
    next_tick: Micros,
    next_hint: Micros,
    next_count: Micros,
    counters: Counters,
}

impl Controller {
    /// A controller that has just started. The seed also names this run of the process.
    pub fn new(
        settings: Arc<Settings>,
        operator_settings: OperatorSettings,
        seed: u64,
    ) -> Controller {
        let share = settings.controllers() as f64;
        Controller {
            incarnation: Incarnation(seed),
            now: Now::default(),
            effects: Vec::new(),
            next_wake: Micros::ZERO,
            next_call: 1,
            calls: HashMap::new(),
            layout: LAYOUT,
            limits: commit::limits::InForce::new(&settings),
            budget: Budget::new(
                settings.state_rps / share,
                settings.limits.write_rps / share,
            ),
            cell: CellState::default(),
            stall: health::stall::StallDetector::default(),
            replica: replication::Replica::default(),
            leadership: leadership::Leadership::default(),
            agents: BTreeMap::new(),
            cancelled: agents::cancellations::Cancellations::default(),
            agents_to_command: BTreeSet::new(),
            removed_machines: BTreeSet::new(),
            largest_fleet: 0,
            connectivity: health::connectivity::Connectivity::default(),
            rounds: commit::Rounds::default(),
            users: api::Users::default(),
            dependency_lookups: api::dependencies::DependencyLookups::default(),
            autoscaler: autoscaler::Autoscaler::default(),
            rules: constraints::Rules::default(),
            served: throughput::Served::default(),
            zones: health::zones::Zones::default(),
            peers: HashMap::new(),
            next_tick: Micros::ZERO,
            next_hint: Micros::ZERO,
            next_count: Micros::ZERO,
            counters: Counters::default(),
            settings,
            operator_settings,
        }
    }

    /// The same controller, as it would be if it understood layouts of the records up to this one only. One
    /// that understands no terse forms knows of no next limits either.
    pub fn understanding(mut self, layout: u32) -> Controller {
        self.layout = layout;
        if layout < TERSE {
            self.limits = commit::limits::InForce::unaware(&self.settings);
        }
        self
    }

    /// Takes an event and returns what is to be done about it.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = Now {
            steady: now.steady.max(self.now.steady),
            day: now.day,
        };
        self.cell.today = now.day;
        self.detect_stall();
        match event {
            Event::Tick => {}
            Event::User(call, request) => self.on_user(call, request),
            Event::BadSubmission(call, job, why) => self.on_bad_submission(call, job, why),
            Event::Heartbeat(call, heartbeat) => {
                self.connectivity.heard(self.now.steady);
                let answer = self.on_heartbeat(&heartbeat);
                self.effects.push(Effect::Heartbeat(call, answer));
            }
            Event::State(call, result) => self.on_state(call, result),
            Event::Cloud(call, result) => self.on_cloud(call, result),
            Event::PushCommand(call, result) => {
                if result.is_some() {
                    self.connectivity.heard(self.now.steady);
                }
                match self.calls.remove(&call).map(|c| c.purpose) {
                    Some(Purpose::PushCommand(machine)) => {
                        self.on_pushed_command(call, machine, result)
                    }
                    Some(Purpose::Probe) => self.on_probe_answer(result.is_some()),
                    _ => {}
                }
            }
            Event::Peer(hint) => self.on_hint(hint),
        }
        self.drive();
        std::mem::take(&mut self.effects)
    }

    /// When the controller next wants a [`Event::Tick`].
    pub fn wake(&self) -> Micros {
        self.next_wake
    }

    /// Whether the node can take requests.
    pub fn healthy(&self, now: Now) -> bool {
        if !self.replica.ready() {
            return false;
        }
        let age = now.steady.since(self.replica.contact());
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
    pub fn cell(&self) -> &CellState {
        &self.cell
    }

    fn drive(&mut self) {
        self.next_wake = Micros::FOREVER;
        if self.now.steady >= self.next_tick {
            self.next_tick = self.now.steady + Micros::millis(500);
            self.tick();
        }
        self.wake_at(self.next_tick);
        self.drive_leadership();
        self.drive_dependencies();
        self.drive_rules();
        self.drive_users();
        if !self.stall.in_doubt() {
            self.drive_autoscaler();
            self.drive_rounds();
        }
        self.drive_agents();
        self.drive_replica();
        self.drive_hints();
    }

    fn tick(&mut self) {
        if !self.stall.in_doubt() {
            self.tick_connectivity();
            self.tick_agents();
            self.tick_zones();
        }
        self.tick_cancellations();
        self.tick_starvation();
        self.tick_users();
        self.tick_rules();
        if self.now.steady >= self.next_count {
            self.next_count = self.now.steady + Micros::secs(30);
            let c = self.counters;
            let polls = self.users.polls();
            tracing::info!(
                commits = c.commits,
                clashes = c.clashes,
                unknown = c.unknown,
                dropped = c.dropped,
                assigned = c.assigned,
                released = c.released,
                refused = c.refused,
                stalls = c.stalls,
                silenced = c.silenced,
                unneeded = c.unneeded,
                lost_with_zones = c.lost_with_zones,
                groups = c.changes.groups,
                usage = c.changes.usage,
                jobs = c.changes.jobs,
                ends = c.changes.ends,
                preferences = c.preferences.0,
                wishes_met = c.preferences.1,
                waiting = self.rounds.waiting(),
                polls = polls.answered,
                polls_delayed = polls.delayed,
                polls_refused = polls.refused,
                "counts so far"
            );
            self.log_served();
        }
    }

    fn drive_hints(&mut self) {
        if self.now.steady >= self.next_hint {
            self.next_hint = self.now.steady + Micros::secs(1);
            let contact = self.replica.ready().then(|| self.contact_age().as_millis());
            let terms = (0..self.cell.leaders.len())
                .map(|k| (self.cell.leaders[k].mod_revision, self.leads(k)))
                .collect();
            self.effects.push(Effect::Peers(PeerHint {
                node: self.settings.node.clone(),
                run: self.incarnation,
                contact_ms: contact,
                revision: self.cell.revision,
                terms,
                heard_ms: self.heard_ms(),
                saturated: self.rounds.saturated(self.now.steady),
                spends: (self.budget.spending(self.now.steady) * 1e3) as u64,
            }));
            let lately = |(heard, hint): &(Micros, PeerHint)| {
                (self.now.steady.since(*heard) < Micros::secs(3))
                    .then_some(hint.spends as f64 / 1e3)
            };
            let others = self
                .settings
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
            .cell
            .nodes
            .get(&hint.node)
            .is_some_and(|n| n.value.run != hint.run && n.mod_revision > hint.revision);
        if later {
            return;
        }
        for (k, (term, leads)) in hint.terms.iter().enumerate() {
            if *leads && self.leads(k) && *term > self.cell.leaders[k].mod_revision {
                tracing::info!(shard = k, term, peer = hint.node, "told of a newer term");
                self.on_newer_term(k, *term);
                self.replica.want_barrier();
            }
        }
        self.peers
            .insert(hint.node.clone(), (self.now.steady, hint));
    }

    fn wake_at(&mut self, at: Micros) {
        self.next_wake = self.next_wake.min(at);
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
        self.effects.push(Effect::State(id, request, limit));
        id
    }

    fn contact_age(&self) -> Micros {
        self.now.steady.since(self.replica.contact())
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
            Purpose::LeaseGrant => self.on_lease_granted(result),
            Purpose::LeaseKeepAlive => self.on_lease_kept_alive(call.sent, result),
            Purpose::Node => self.on_node_written(result),
            Purpose::Meta => self.replica.want_barrier(),
            Purpose::Claim(shards) => self.on_claimed(&shards, result),
            Purpose::Submit(batch) => self.on_submitted(batch, result),
            Purpose::Abort(w) => self.on_aborted(w, result),
            Purpose::Final(w, of) => self.on_final(w, of, result),
            Purpose::DependencyLookup(id) => self.on_dependency_lookup(id, result),
            Purpose::Round(round) => self.on_round(*round, result),
            Purpose::Rules => self.on_rules_written(),
            Purpose::Types(types) => self.on_types_written(types, result),
            Purpose::Fleet(record) => self.on_fleet_written(*record, result),
            Purpose::Cloud(_) | Purpose::PushCommand(_) | Purpose::Probe => {}
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
        self.budget
            .set_writes(rate / self.settings.controllers() as f64);
        self.rounds.request();
    }

    /// Acts on what changes brought.
    fn on_cell_changed(&mut self, changes_seen: &CellChanges) {
        for k in &changes_seen.leaders {
            self.on_leader_changed(*k);
        }
        self.on_format_observed();
        if changes_seen.nodes {
            self.leadership.schedule_check();
            self.update_known_formats();
            self.note_declared();
        }
        if changes_seen.rules {
            self.on_rules_changed();
        }
        for m in &changes_seen.machines {
            self.on_machine_changed(*m);
        }
        for ended in &changes_seen.ended {
            self.served.note(ended);
            self.on_job_gone(ended.job);
            if let Some(f) = ended.how {
                self.users.remember(ended.job, f);
            }
        }
        for j in &changes_seen.jobs {
            self.users.appeared(*j);
            self.note_rules_of(*j);
            self.on_job_changed(*j);
        }
        if changes_seen.usage
            || !changes_seen.jobs.is_empty()
            || !changes_seen.machines.is_empty()
            || !changes_seen.leaders.is_empty()
        {
            self.rounds.request();
            self.autoscaler.schedule_check();
        }
    }

    /// Whether this process owns the slice, as far as it knows.
    fn leads(&self, k: ShardId) -> bool {
        self.leadership.leader_term(k).is_some()
    }
}
