//! The controller: a pure state machine that takes events and the time and returns effects.
//!
//! Nothing here does I/O or reads a clock, so the scenario runner can drive several controllers
//! through any order of messages. [`Controller`] routes events to its components, each of which has
//! a folder of its own.

mod agents;
pub mod api;
mod autoscaler;
mod calls;
mod commit;
mod constraints;
mod counters;
mod events;
mod health;
mod leadership;
mod peers;
mod replication;
mod throughput;

use crate::protocol::operator::OperatorSettings;
use crate::protocol::peer::PeerHint;
use crate::protocol::settings::Settings;
use crate::protocol::worker::Heartbeat;
use crate::storage::cell_state::{CellChanges, CellState};
use crate::storage::ids::{MachineId, ShardId};
use crate::storage::records::{COMPACT_FORMAT, Incarnation, LATEST_FORMAT};
use crate::time::Micros;
use calls::{Call, Purpose};
use commit::budget::Budget;
pub use counters::{ChangeCounters, Counters};
pub use events::{CallId, Effect, Event, Now};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// One controller of a cell.
///
/// It places the jobs of the shards that it leads on its own replica of the whole cell's state and commits
/// its claims to the state store by compare-and-swap.
pub struct Controller {
    /// The settings of the deploy file.
    settings: Arc<Settings>,
    operator_settings: OperatorSettings,
    /// This run of the process.
    incarnation: Incarnation,
    /// The time of the event that is being handled.
    now: Now,
    /// Effects of the event that is being handled.
    effects: Vec<Effect>,
    /// When the next tick is needed.
    next_wake: Micros,
    next_call: u64,
    /// Calls that wait for a response.
    calls: HashMap<CallId, Call>,
    /// The latest record format that this process understands.
    record_format: u32,
    limits: commit::limits::EffectiveLimits,
    budget: Budget,
    cell: CellState,
    stall: health::stall::StallDetector,
    replica: replication::Replica,
    leadership: leadership::Leadership,
    agents: BTreeMap<MachineId, agents::Agent>,
    /// Since when users may have been told that their jobs are cancelled.
    cancellations: agents::cancellations::Cancellations,
    /// Machines to whose agents a command may have to be pushed.
    agents_to_command: BTreeSet<MachineId>,
    /// Recently removed machines, those with the highest numbers: late heartbeats must not bring them back.
    removed_machines: BTreeSet<MachineId>,
    /// Largest number of machines whose agents this controller has answered at a time; bounds the size of
    /// `removed_machines`.
    max_agents_served: usize,
    connectivity: health::connectivity::Connectivity,
    rounds: commit::Rounds,
    users: api::UserRequests,
    dependency_lookups: api::dependencies::DependencyLookups,
    autoscaler: autoscaler::Autoscaler,
    rules: constraints::Rules,
    throughput: throughput::Throughput,
    zones: health::zones::Zones,
    /// The last hint of each peer, and when it was received.
    peers: HashMap<String, (Micros, PeerHint)>,
    next_tick: Micros,
    next_hint: Micros,
    next_counter_log: Micros,
    counters: Counters,
}

impl Controller {
    /// Time between two ticks of the periodic checks.
    const TICK_INTERVAL: Micros = Micros::millis(500);
    /// A node may be unhealthy once its last contact with the state store is this old.
    const CONTACT_LOSS_AGE: Micros = Micros::secs(4);
    /// A peer's hint that is this old or older says nothing about the peer's contact with the state store.
    const PEER_HINT_MAX_AGE: Micros = Micros::secs(5);
    /// How much more recent a peer's contact must be to show that the state store can be reached.
    const MIN_CONTACT_AGE_DIFFERENCE: Micros = Micros::secs(2);

    /// A controller that has just started. The seed also identifies this run of the process.
    pub fn new(
        settings: Arc<Settings>,
        operator_settings: OperatorSettings,
        seed: u64,
    ) -> Controller {
        let controllers = settings.controller_count() as f64;
        Controller {
            incarnation: Incarnation(seed),
            now: Now::default(),
            effects: Vec::new(),
            next_wake: Micros::ZERO,
            next_call: 1,
            calls: HashMap::new(),
            record_format: LATEST_FORMAT,
            limits: commit::limits::EffectiveLimits::new(&settings),
            budget: Budget::new(
                settings.state_rps / controllers,
                settings.state_limits.write_rps / controllers,
            ),
            cell: CellState::default(),
            stall: health::stall::StallDetector::default(),
            replica: replication::Replica::default(),
            leadership: leadership::Leadership::default(),
            agents: BTreeMap::new(),
            cancellations: agents::cancellations::Cancellations::default(),
            agents_to_command: BTreeSet::new(),
            removed_machines: BTreeSet::new(),
            max_agents_served: 0,
            connectivity: health::connectivity::Connectivity::default(),
            rounds: commit::Rounds::default(),
            users: api::UserRequests::default(),
            dependency_lookups: api::dependencies::DependencyLookups::default(),
            autoscaler: autoscaler::Autoscaler::default(),
            rules: constraints::Rules::default(),
            throughput: throughput::Throughput::default(),
            zones: health::zones::Zones::default(),
            peers: HashMap::new(),
            next_tick: Micros::ZERO,
            next_hint: Micros::ZERO,
            next_counter_log: Micros::ZERO,
            counters: Counters::default(),
            settings,
            operator_settings,
        }
    }

    /// Limits the controller to record formats up to this one, as in an earlier version. A version without the compact
    /// encoding does not support announced limits either.
    pub fn with_max_record_format(mut self, record_format: u32) -> Controller {
        self.record_format = record_format;
        if record_format < COMPACT_FORMAT {
            self.limits = commit::limits::EffectiveLimits::current_only(&self.settings);
        }
        self
    }

    /// Handles an event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Effect> {
        self.now = Now {
            monotonic: now.monotonic.max(self.now.monotonic),
            time_of_day: now.time_of_day,
        };
        self.cell.time_of_day = now.time_of_day;
        self.detect_stall();
        self.dispatch(event);
        self.drive();
        std::mem::take(&mut self.effects)
    }

    /// Routes an event to the component that handles it.
    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::User(call, request) => self.on_user(call, request),
            Event::InvalidSubmission(call, job, reason) => {
                self.on_invalid_submission(call, job, reason);
            }
            Event::Heartbeat(call, heartbeat) => {
                self.connectivity.on_agent_contact(self.now.monotonic);
                let response = self.on_heartbeat(&heartbeat);
                self.effects.push(Effect::Heartbeat(call, response));
            }
            Event::State(call, result) => self.on_state(call, result),
            Event::Cloud(call, result) => self.on_cloud_response(call, result),
            Event::AgentResponse(call, response) => self.on_agent_response(call, response),
            Event::Peer(hint) => self.on_hint(hint),
        }
    }

    /// An agent responded to a pushed command or a probe, or no response arrived in time.
    fn on_agent_response(&mut self, call: CallId, response: Option<(bool, Heartbeat)>) {
        if response.is_some() {
            self.connectivity.on_agent_contact(self.now.monotonic);
        }
        match self.calls.remove(&call).map(|call| call.purpose) {
            Some(Purpose::PushCommand(machine)) => self.on_push_result(call, machine, response),
            Some(Purpose::Probe) => self.on_probe_result(response.is_some()),
            _ => {}
        }
    }

    /// When the controller next needs a [`Event::Tick`], in monotonic time.
    pub fn wake(&self) -> Micros {
        self.next_wake
    }

    /// Whether the node can take requests.
    ///
    /// A node is unhealthy only if it alone has lost contact with the state store. While the peers have no contact
    /// either, the state store is unavailable, and nodes that became unhealthy then would return to service later than
    /// the state store.
    pub fn healthy(&self, now: Now) -> bool {
        if !self.replica.is_ready() {
            return false;
        }
        let contact_age = now.monotonic.since(self.replica.last_contact());
        contact_age < Self::CONTACT_LOSS_AGE || !self.peer_has_newer_contact(now, contact_age)
    }

    fn peer_has_newer_contact(&self, now: Now, contact_age: Micros) -> bool {
        self.peers.values().any(|(received, hint)| {
            let hint_age = now.monotonic.since(*received);
            let peer_contact_age = hint
                .state_store_contact_ms
                .map(|ms| Micros::millis(ms) + hint_age);
            hint_age < Self::PEER_HINT_MAX_AGE
                && peer_contact_age
                    .is_some_and(|age| age + Self::MIN_CONTACT_AGE_DIFFERENCE < contact_age)
        })
    }

    /// Whether a hint of this peer was received.
    pub fn knows_peer(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The replica of the cell's state.
    pub fn cell(&self) -> &CellState {
        &self.cell
    }

    /// Runs what is due in all components, in a fixed order: leadership before the components that depend on it, reads
    /// last.
    fn drive(&mut self) {
        self.next_wake = Micros::FOREVER;
        if self.now.monotonic >= self.next_tick {
            self.next_tick = self.now.monotonic + Self::TICK_INTERVAL;
            self.tick();
        }
        self.wake_at(self.next_tick);
        self.drive_leadership();
        self.drive_dependencies();
        self.drive_rules();
        self.drive_users();
        if !self.stall.is_recovering() {
            self.drive_autoscaler();
            self.drive_rounds();
        }
        self.drive_agents();
        self.drive_replica();
        self.drive_hints();
    }

    /// Runs the periodic checks. Checks that draw conclusions from missing messages or from idleness wait until the
    /// replica is up to date after a stall.
    fn tick(&mut self) {
        if !self.stall.is_recovering() {
            self.tick_connectivity();
            self.tick_agents();
            self.tick_zones();
        }
        self.tick_cancellations();
        self.tick_starvation();
        self.tick_gang_reservation();
        self.tick_users();
        self.tick_rules();
        self.tick_counters();
    }

    /// Requests a tick at this time at the latest.
    fn wake_at(&mut self, at: Micros) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Time since the last contact with the state store.
    fn contact_age(&self) -> Micros {
        self.now.monotonic.since(self.replica.last_contact())
    }

    /// Notifies the components of changes of the replica.
    fn on_cell_changed(&mut self, changes: &CellChanges) {
        for shard in &changes.leaders {
            self.on_leader_changed(*shard);
        }
        self.on_format_observed();
        if changes.nodes {
            self.leadership.schedule_check();
            self.update_known_formats();
            self.record_declared_rules();
        }
        if changes.rules {
            self.on_rules_changed();
        }
        for machine in &changes.machines {
            self.on_machine_changed(*machine);
        }
        for ended in &changes.ended {
            self.throughput.record_ended(ended);
            self.on_job_removed(ended.job);
            if let Some(end) = ended.outcome {
                self.users.record_end(ended.job, end);
            }
        }
        for job in &changes.jobs {
            self.users.on_job_live(*job);
            self.on_rules_of_job_changed(*job);
            self.on_job_changed(*job);
        }
        if Self::affects_scheduling(changes) {
            self.rounds.request();
            self.autoscaler.schedule_check();
        }
    }

    fn affects_scheduling(changes: &CellChanges) -> bool {
        changes.usage
            || !changes.jobs.is_empty()
            || !changes.machines.is_empty()
            || !changes.leaders.is_empty()
    }

    /// Whether this process leads the shard, as far as it knows.
    fn leads(&self, shard: ShardId) -> bool {
        self.leadership.leader_term(shard).is_some()
    }
}
