//! Several state machines with fakes of broker, state service and controllers, in simulated time.
//!
//! All chance comes from a seed, so a failure can be replayed.

mod broker_side;
mod config;
mod controllers;
mod event;
mod process;
mod scenario;
mod verdict;

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
    /// Times and numbers of the events to come.
    timeline: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    processes: Vec<Option<Process>>,
    last_incarnation: u64,
    connections: BTreeMap<ConnectionNumber, SimulatedConnection>,
    broker: FakeBroker<QueuedMessage>,
    state_service: FakeStateService,
    controllers: FakeControllers,
    /// When controllers and state service are out.
    outage: std::ops::Range<Micros>,
    /// Every message that was ever queued, duplicates included.
    queued: Vec<Message>,
    published: BTreeSet<MessageKey>,
    /// Messages that restarts of the broker have lost.
    lost: BTreeSet<MessageKey>,
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
            queued: Vec::new(),
            published: BTreeSet::new(),
            lost: BTreeSet::new(),
            answers: Vec::new(),
        };
        simulation.broker.declare(WORK_QUEUE);
        simulation.broker.declare(ANSWER_QUEUE);
        simulation.schedule_messages();
        simulation.schedule_faults();
        simulation
    }

    fn schedule_messages(&mut self) {
        for slot in 0..self.config.processes {
            self.at(0, SimulationEvent::Start(slot));
        }
        for n in 0..self.config.messages {
            let at = self.below(100 * SECOND);
            let message = self.random_message(n);
            self.at(at, SimulationEvent::Publish(message));
        }
    }

    /// Two messages may name one job, one may name none, and some are invalid.
    fn random_message(&mut self, n: u64) -> Message {
        let body = match self.below(8) {
            0 => format!(r#"{{"nameId":"req-{:06}","lane":"a"}}"#, self.below(4)),
            1 => "[1]".to_owned(),
            _ => format!(r#"{{"lane":"a","n":{n}}}"#),
        };
        Message {
            queue: WORK_QUEUE.to_owned(),
            id: (!n.is_multiple_of(3)).then(|| format!("m{n}")),
            reply_to: Some(ANSWER_QUEUE.to_owned()),
            correlation_id: Some(format!("c{n}")),
            cancel: self.below(12) == 0,
            body: body.into_bytes(),
            ..Message::default()
        }
    }

    fn schedule_faults(&mut self) {
        let config = self.config;
        self.scatter(config.drops, SimulationEvent::DropConnection);
        self.scatter(config.kills, SimulationEvent::Kill);
        self.scatter(config.hangs, |slot| SimulationEvent::Hang(slot, None));
        self.scatter(config.duplicates, |_| SimulationEvent::DuplicateAny);
        self.scatter(config.restarts, |_| SimulationEvent::RestartBroker);
        self.scatter(config.shutdowns, SimulationEvent::ShutDown);
        self.scatter(config.lost_receipt_queues, |_| {
            SimulationEvent::LoseReceiptQueue
        });
        if config.outages {
            let from = self.below(100 * SECOND);
            self.outage = from..from + self.below(40 * SECOND);
        }
    }

    /// Schedules so many events at random times and processes.
    fn scatter(&mut self, count: u64, event: impl Fn(Slot) -> SimulationEvent) {
        for _ in 0..count {
            let at = self.below(150 * SECOND);
            let slot = self.below(self.config.processes as u64) as Slot;
            self.at(at, event(slot));
        }
    }

    /// A random number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// A time after a random delay below `limit`.
    fn soon(&mut self, limit: Micros) -> Micros {
        const MIN_DELAY: Micros = 200;
        self.now + MIN_DELAY + self.below(limit)
    }

    fn is_outage(&self) -> bool {
        self.outage.contains(&self.now)
    }

    pub fn at(&mut self, at: Micros, event: SimulationEvent) {
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
                self.published.insert(message.key());
                self.enqueue(message);
            }
            SimulationEvent::DuplicateAny => self.duplicate_any(),
            SimulationEvent::RestartBroker => self.restart_broker(),
            SimulationEvent::LoseReceiptQueue => self.lose_receipt_queue(),
            SimulationEvent::Kill(slot) => self.kill(slot),
            SimulationEvent::Hang(slot, span) => self.hang(slot, span),
            SimulationEvent::Outage(span) => self.outage = self.now..self.now + span,
            SimulationEvent::DropConnection(slot) => self.drop_connection(slot),
            SimulationEvent::Start(slot) => self.start(slot),
            SimulationEvent::ShutDown(slot) => self.shut_down(slot),
            SimulationEvent::Wake(slot) => self.wake(slot),
            SimulationEvent::Command(connection, command) => self.carry_out(connection, command),
            SimulationEvent::CloseConnection(connection) => {
                self.close(connection, false);
            }
            SimulationEvent::Deliver(event) => self.deliver_to_process(event),
            SimulationEvent::LateRequest(request) => {
                self.state_service.respond(&request);
            }
        }
    }

    fn duplicate_any(&mut self) {
        if !self.queued.is_empty() {
            let n = self.below(self.queued.len() as u64) as usize;
            self.enqueue(self.queued[n].clone());
        }
    }

    fn enqueue(&mut self, message: Message) {
        self.queued.push(message.clone());
        self.broker
            .enqueue(WORK_QUEUE, QueuedMessage::Work(message));
    }
}
