//! The processes of a simulation: their lifecycle, their connections and the effects of their state machines.

use super::Simulation;
use super::event::{ConnectionNumber, ProcessEvent, SimulatedConnection, SimulationEvent, Slot};
use cometlead_queues::replicated_log::{LogLimits, StateRequest, StateResponse};
use cometlead_queues::state_machine::{BrokerCommand, ControllerResponse, RequestId};
use cometlead_queues::time::{Micros, SECOND};
use cometlead_queues::{DeliveryStateMachine, Effect, Event, Limits};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time without heartbeats after which a connection ends.
const HEARTBEAT_TIMEOUT: Micros = 4 * SECOND;
/// Longest delay between a process and the broker.
const MAX_BROKER_DELAY: Micros = 5_000;
/// Shortest time between two ticks.
const MIN_TICK_INTERVAL: Micros = 1_000;

pub struct Process {
    pub machine: DeliveryStateMachine,
    pub incarnation: u64,
    /// Number of connections that the process has opened.
    connect_attempts: u64,
    pub connection: Option<ConnectionNumber>,
    hanging_until: Micros,
    next_wake: Micros,
    /// Events that arrived while the process was hanging.
    deferred_events: VecDeque<ProcessEvent>,
    /// When the process's last command reaches the broker. Commands keep their order.
    pub last_command_at: Micros,
}

impl Simulation {
    pub(super) fn start_process(&mut self, slot: Slot) {
        if self.processes[slot].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let limits = Limits {
            max_requests: 4,
            submissions_per_s: 20,
            queries_per_s: 20,
            query_interval: 2 * SECOND,
            log: LogLimits {
                max_value_bytes: self.config.max_value_bytes,
                batches_per_s: 20,
                retention: 3_600 * SECOND,
            },
            queues: BTreeMap::new(),
        };
        self.processes[slot] = Some(Process {
            machine: DeliveryStateMachine::new(self.rng.random(), limits),
            incarnation,
            connect_attempts: 0,
            connection: None,
            hanging_until: 0,
            next_wake: 0,
            deferred_events: VecDeque::new(),
            last_command_at: 0,
        });
        let at = self.random_time_within(SECOND);
        self.connect(slot, incarnation, at);
    }

    pub(super) fn kill_process(&mut self, slot: Slot) {
        let Some(process) = self.processes[slot].take() else {
            return;
        };
        if let Some(connection) = process.connection {
            let at = self.random_time_within(2 * SECOND);
            self.schedule(at, SimulationEvent::CloseConnection(connection));
        }
        let at = self.random_time_within(5 * SECOND);
        self.schedule(at, SimulationEvent::Start(slot));
    }

    pub(super) fn hang_process(&mut self, slot: Slot, span: Option<Micros>) {
        let span = span.unwrap_or_else(|| 1 + self.random_below(15 * SECOND));
        let now = self.now;
        let Some(process) = self.processes[slot].as_mut() else {
            return;
        };
        process.hanging_until = now + span;
        let connection = process.connection;
        self.schedule(now + span, SimulationEvent::Wake(slot));
        if let Some(connection) = connection.filter(|_| span > HEARTBEAT_TIMEOUT) {
            let at = now + HEARTBEAT_TIMEOUT;
            self.schedule(at, SimulationEvent::CloseConnection(connection));
            self.schedule(at, SimulationEvent::DropConnection(slot));
        }
    }

    pub(super) fn shut_down_process(&mut self, slot: Slot) {
        let is_responsive = |p: &Process| p.hanging_until <= self.now;
        if self.processes[slot].as_ref().is_some_and(is_responsive) {
            self.handle_in_process(slot, Event::Stop);
        }
    }

    pub(super) fn wake_process(&mut self, slot: Slot) {
        let now = self.now;
        let process = self.processes[slot].as_mut();
        let Some(process) = process.filter(|p| p.hanging_until <= now) else {
            return;
        };
        for event in std::mem::take(&mut process.deferred_events) {
            self.deliver_to_process(event);
        }
        self.handle_in_process(slot, Event::Tick);
    }

    /// Opens a connection at once; the process is notified of it at the given time.
    fn connect(&mut self, slot: Slot, incarnation: u64, at: Micros) {
        self.last_event_number += 1;
        let number = self.last_event_number;
        let Some(process) = self.processes[slot].as_mut() else {
            return;
        };
        process.connect_attempts += 1;
        process.connection = Some(number);
        process.last_command_at = at;
        let connected = Event::Connected {
            connection: process.connect_attempts,
        };
        let connection = SimulatedConnection {
            slot,
            consumer: None,
            receipts: Vec::new(),
            obsolete_keys: BTreeSet::new(),
        };
        self.connections.insert(number, connection);
        self.broker.open_channel((number, 1));
        self.broker.select_transactions((number, 1));
        let event = ProcessEvent {
            slot,
            incarnation,
            connection: Some(number),
            event: connected,
        };
        self.schedule(at, SimulationEvent::Deliver(event));
    }

    /// Notifies a process, after a delay, that its connection is closed.
    pub(super) fn report_disconnected(&mut self, slot: Slot, connection: ConnectionNumber) {
        let process = self.processes[slot].as_ref();
        let affected = process.filter(|p| p.connection == Some(connection));
        if let Some(incarnation) = affected.map(|p| p.incarnation) {
            let event = ProcessEvent {
                slot,
                incarnation,
                connection: Some(connection),
                event: Event::Disconnected,
            };
            let at = self.random_time_within(1_000);
            self.schedule(at, SimulationEvent::Deliver(event));
        }
    }

    /// Drops the connection of a process. The broker detects this later, and until then executes the commands that
    /// arrive.
    pub(super) fn drop_connection(&mut self, slot: Slot) {
        let process = self.processes[slot].as_ref();
        if let Some(connection) = process.and_then(|p| p.connection) {
            self.report_disconnected(slot, connection);
            let at = self.random_time_within(2 * SECOND);
            self.schedule(at, SimulationEvent::CloseConnection(connection));
        }
    }

    pub(super) fn deliver_to_process(&mut self, delivered: ProcessEvent) {
        let (slot, incarnation, now) = (delivered.slot, delivered.incarnation, self.now);
        let process = self.processes[slot].as_mut();
        let Some(process) = process.filter(|p| p.incarnation == incarnation) else {
            return;
        };
        if process.hanging_until > now {
            process.deferred_events.push_back(delivered);
            return;
        }
        if delivered.connection.is_some() && delivered.connection != process.connection {
            return;
        }
        let is_disconnected = matches!(delivered.event, Event::Disconnected);
        if is_disconnected {
            process.connection = None;
        }
        self.handle_in_process(slot, delivered.event);
        if is_disconnected {
            let at = self.random_time_within(3 * SECOND);
            self.connect(slot, incarnation, at);
        }
    }

    fn handle_in_process(&mut self, slot: Slot, event: Event) {
        let now = self.now;
        let Some(process) = self.processes[slot].as_mut() else {
            return;
        };
        let effects = process.machine.handle(now, event);
        let incarnation = process.incarnation;
        let wake = process.machine.next_wake().max(now + MIN_TICK_INTERVAL);
        if wake < Micros::MAX && (wake < process.next_wake || process.next_wake <= now) {
            process.next_wake = wake;
            self.schedule(wake, SimulationEvent::Wake(slot));
        }
        for effect in effects {
            self.execute_effect(slot, incarnation, effect);
        }
    }

    fn execute_effect(&mut self, slot: Slot, incarnation: u64, effect: Effect) {
        match effect {
            // The process exits, and a new one is started in its slot.
            Effect::Finished => self.schedule(self.now, SimulationEvent::Kill(slot)),
            Effect::StateRequest(request) => self.send_state_request(slot, incarnation, request),
            Effect::Submit(request, body) => {
                let response = self.submit_job(&body);
                self.send_controller_response(slot, incarnation, request, response);
            }
            Effect::QueryStatus(request, job) => {
                let response = self.controllers.query(self.now, &job);
                self.send_controller_response(slot, incarnation, request, response);
            }
            Effect::Cancel(request, job) => {
                let response = self.controllers.cancel(self.now, &job);
                self.send_controller_response(slot, incarnation, request, response);
            }
            Effect::BrokerCommand(BrokerCommand::Reconnect) => self.drop_connection(slot),
            Effect::BrokerCommand(command) => self.send_command_with_faults(slot, command),
        }
    }

    /// Sends a command to the broker. The connection may drop at a commit.
    fn send_command_with_faults(&mut self, slot: Slot, command: BrokerCommand) {
        let is_commit = matches!(command, BrokerCommand::Commit(_));
        self.send_command(slot, command);
        if is_commit && self.random_bool(self.config.drop_probability_at_commit) {
            self.drop_connection(slot);
        }
    }

    fn send_command(&mut self, slot: Slot, command: BrokerCommand) {
        let process = self.processes[slot].as_ref();
        let Some(connection) = process.and_then(|p| p.connection) else {
            return;
        };
        let arrives_at = self.random_time_within(MAX_BROKER_DELAY);
        let Some(process) = self.processes[slot].as_mut() else {
            return;
        };
        process.last_command_at = arrives_at.max(process.last_command_at + 1);
        let at = process.last_command_at;
        self.schedule(at, SimulationEvent::Command(connection, command));
    }

    /// Requests and responses may get lost; requests may also be executed late.
    fn send_state_request(&mut self, slot: Slot, incarnation: u64, request: StateRequest) {
        let response = if self.is_outage() {
            StateResponse::NoResponse
        } else if self.config.has_faulty_services && self.random_bool(0.05) {
            let at = self.random_time_within(20 * SECOND);
            self.schedule(at, SimulationEvent::LateRequest(request));
            StateResponse::NoResponse
        } else {
            let response = self.state_service.respond(&request);
            if self.random_bool(0.03) {
                StateResponse::NoResponse
            } else {
                response
            }
        };
        let at = self.random_time_within(30_000);
        let event = ProcessEvent {
            slot,
            incarnation,
            connection: None,
            event: Event::StateResponse(response),
        };
        self.schedule(at, SimulationEvent::Deliver(event));
    }

    fn submit_job(&mut self, body: &[u8]) -> ControllerResponse {
        if self.is_outage() || self.random_bool(0.1) {
            return ControllerResponse::RetryAfter(SECOND);
        }
        let ends_at = self.now + SECOND + self.random_below(20 * SECOND);
        self.controllers.submit(self.now, body, ends_at)
    }

    fn send_controller_response(
        &mut self,
        slot: Slot,
        incarnation: u64,
        request: RequestId,
        response: ControllerResponse,
    ) {
        let response = if self.is_outage() || self.random_bool(0.03) {
            ControllerResponse::NoResponse
        } else {
            response
        };
        let at = self.random_time_within(50_000);
        let event = ProcessEvent {
            slot,
            incarnation,
            connection: None,
            event: Event::ControllerResponse(request, response),
        };
        self.schedule(at, SimulationEvent::Deliver(event));
    }
}
