//! Several state machines with fakes of broker, state service and controllers, in simulated time.
//!
//! All random decisions derive from a seed, so a failure can be replayed.

mod broker;
mod config;
mod controllers;
mod event;
mod invariants;
mod process;
mod scenario;

pub use scenario::Scenario;

use crate::fakes::broker::FakeBroker;
use crate::fakes::state_service::FakeStateService;
use cometlead_queues::reply::FinalAnswer;
use cometlead_queues::time::{Micros, SECOND};
use cometlead_queues::{Message, MessageKey};
use config::SimulationConfig;
use controllers::FakeControllers;
use event::{ConnectionNumber, QueuedMessage, SimulatedConnection, SimulationEvent, Slot};
use process::Process;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const WORK_QUEUE: &str = "work";
const ANSWER_QUEUE: &str = "answers";

pub struct Simulation {
    config: SimulationConfig,
    rng: StdRng,
    now: Micros,
    last_event_number: u64,
    /// Times and numbers of the scheduled events, the earliest first.
    timeline: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by number.
    events: BTreeMap<u64, SimulationEvent>,
    processes: Vec<Option<Process>>,
    last_incarnation: u64,
    connections: BTreeMap<ConnectionNumber, SimulatedConnection>,
    broker: FakeBroker<QueuedMessage>,
    state_service: FakeStateService,
    controllers: FakeControllers,
    /// When the controllers and the state service are unavailable.
    outage: std::ops::Range<Micros>,
    /// Every message that was ever enqueued, duplicates included.
    enqueued_messages: Vec<Message>,
    published_keys: BTreeSet<MessageKey>,
    /// Keys of messages that were lost in restarts of the broker.
    lost_keys: BTreeSet<MessageKey>,
    answers: Vec<FinalAnswer>,
}

impl Simulation {
    pub fn new(seed: u64, config: SimulationConfig) -> Simulation {
        let mut simulation = Simulation {
            config,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            last_event_number: 0,
            timeline: BinaryHeap::new(),
            events: BTreeMap::new(),
            processes: (0..config.processes).map(|_| None).collect(),
            last_incarnation: 0,
            connections: BTreeMap::new(),
            broker: FakeBroker::new(),
            state_service: FakeStateService::new(config.max_value_bytes),
            controllers: FakeControllers::default(),
            outage: 0..0,
            enqueued_messages: Vec::new(),
            published_keys: BTreeSet::new(),
            lost_keys: BTreeSet::new(),
            answers: Vec::new(),
        };
        simulation.broker.declare_queue(WORK_QUEUE);
        simulation.broker.declare_queue(ANSWER_QUEUE);
        simulation.schedule_messages();
        simulation.schedule_faults();
        simulation
    }

    fn schedule_messages(&mut self) {
        for slot in 0..self.config.processes {
            self.schedule(0, SimulationEvent::Start(slot));
        }
        for n in 0..self.config.messages {
            let at = self.random_below(100 * SECOND);
            let message = self.random_message(n);
            self.schedule(at, SimulationEvent::Publish(message));
        }
    }

    /// Several messages may name the same job, others name none, and some are invalid.
    fn random_message(&mut self, n: u64) -> Message {
        let body = match self.random_below(8) {
            0 => format!(
                r#"{{"nameId":"req-{:06}","lane":"a"}}"#,
                self.random_below(4)
            ),
            1 => "[1]".to_owned(),
            _ => format!(r#"{{"lane":"a","n":{n}}}"#),
        };
        Message {
            queue: WORK_QUEUE.to_owned(),
            id: (!n.is_multiple_of(3)).then(|| format!("m{n}")),
            reply_to: Some(ANSWER_QUEUE.to_owned()),
            correlation_id: Some(format!("c{n}")),
            cancel: self.random_below(12) == 0,
            body: body.into_bytes(),
            ..Message::default()
        }
    }

    fn schedule_faults(&mut self) {
        let config = self.config;
        self.schedule_at_random(config.connection_drops, SimulationEvent::DropConnection);
        self.schedule_at_random(config.process_kills, SimulationEvent::Kill);
        self.schedule_at_random(config.process_hangs, |slot| {
            SimulationEvent::Hang(slot, None)
        });
        self.schedule_at_random(config.duplicate_messages, |_| {
            SimulationEvent::EnqueueRandomDuplicate
        });
        self.schedule_at_random(config.broker_restarts, |_| SimulationEvent::RestartBroker);
        self.schedule_at_random(config.process_shutdowns, SimulationEvent::ShutDown);
        self.schedule_at_random(config.lost_receipt_queues, |_| {
            SimulationEvent::LoseReceiptQueue
        });
        if config.has_faulty_services {
            let from = self.random_below(100 * SECOND);
            self.outage = from..from + self.random_below(40 * SECOND);
        }
    }

    /// Schedules `count` events at random times, each for a random process.
    fn schedule_at_random(&mut self, count: u64, event: impl Fn(Slot) -> SimulationEvent) {
        for _ in 0..count {
            let at = self.random_below(150 * SECOND);
            let slot = self.random_below(self.config.processes as u64) as Slot;
            self.schedule(at, event(slot));
        }
    }

    /// A random number below `limit`.
    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// The current time plus a minimum delay and a random delay below `limit`.
    fn random_time_within(&mut self, limit: Micros) -> Micros {
        const MIN_DELAY: Micros = 200;
        self.now + MIN_DELAY + self.random_below(limit)
    }

    fn is_outage(&self) -> bool {
        self.outage.contains(&self.now)
    }

    pub fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_event_number += 1;
        let number = self.last_event_number;
        self.timeline.push(Reverse((at.max(self.now), number)));
        self.events.insert(number, event);
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.timeline.pop() {
            if at > self.config.end {
                break;
            }
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.handle(event);
            self.deliver_queued();
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Publish(message) => {
                self.published_keys.insert(message.key());
                self.enqueue(message);
            }
            SimulationEvent::EnqueueRandomDuplicate => self.enqueue_random_duplicate(),
            SimulationEvent::RestartBroker => self.restart_broker(),
            SimulationEvent::LoseReceiptQueue => self.lose_receipt_queue(),
            SimulationEvent::Kill(slot) => self.kill_process(slot),
            SimulationEvent::Hang(slot, span) => self.hang_process(slot, span),
            SimulationEvent::Outage(span) => self.outage = self.now..self.now + span,
            SimulationEvent::DropConnection(slot) => self.drop_connection(slot),
            SimulationEvent::Start(slot) => self.start_process(slot),
            SimulationEvent::ShutDown(slot) => self.shut_down_process(slot),
            SimulationEvent::Wake(slot) => self.wake_process(slot),
            SimulationEvent::Command(connection, command) => {
                self.execute_command(connection, command);
            }
            SimulationEvent::CloseConnection(connection) => {
                self.close_connection(connection, false);
            }
            SimulationEvent::Deliver(event) => self.deliver_to_process(event),
            SimulationEvent::LateRequest(request) => {
                self.state_service.respond(&request);
            }
        }
    }

    fn enqueue_random_duplicate(&mut self) {
        if !self.enqueued_messages.is_empty() {
            let n = self.random_below(self.enqueued_messages.len() as u64) as usize;
            self.enqueue(self.enqueued_messages[n].clone());
        }
    }

    fn enqueue(&mut self, message: Message) {
        self.enqueued_messages.push(message.clone());
        self.broker
            .enqueue(WORK_QUEUE, QueuedMessage::Work(message));
    }
}
