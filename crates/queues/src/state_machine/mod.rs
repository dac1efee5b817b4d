//! The delivery state machine: takes each message from its first delivery to its one answer.
//!
//! Pure logic without I/O or clock: [`DeliveryStateMachine::handle`] takes an event and the time, and returns effects.
//! Nothing that it knows has to outlive the process. What is not acknowledged is delivered again; the replicated log
//! says which messages are answered; and after a connection that broke during a commit, its receipts tell which of its
//! transactions were carried out.

mod claims;
mod commits;
mod connection;
mod controllers;
mod event;
mod failover;

pub use event::{
    BrokerCommand, BrokerTransaction, ControllerResponse, DeliveryTag, Effect, Event,
    ReceiptsResponse, RequestId,
};

use crate::counters::Counters;
use crate::limits::Limits;
use crate::message::{Message, MessageKey};
use crate::orphans::OrphanedDeliveries;
use crate::pending_message::{PendingMessage, Stage};
use crate::progress::ConsumerId;
use crate::replicated_log::ReplicatedLog;
use crate::reply::{Outcome, StatusUpdate};
use crate::schedule::RequestSchedule;
use crate::time::{Micros, SECOND};
use commits::CommittingMessage;
use connection::ConnectionPhase;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Shortest delay before something is tried again.
const MIN_RETRY_DELAY: Micros = 500_000;

/// Everything that one process knows about the messages it has in hand.
#[derive(Debug)]
pub struct DeliveryStateMachine {
    /// This process with its present connection.
    own_id: ConsumerId,
    limits: Limits,
    rng: StdRng,
    now: Micros,
    connection: ConnectionPhase,
    is_stopping: bool,
    is_finished: bool,
    last_request_id: RequestId,
    last_arrival: u64,
    messages: HashMap<MessageKey, PendingMessage>,
    schedule: RequestSchedule,
    /// Messages in hand by the requests in flight for them.
    requested: HashMap<RequestId, MessageKey>,
    /// All requests to the controllers in flight, also for messages that are not in hand any more.
    requests_in_flight: HashSet<RequestId>,
    /// Claimed messages in the order in which they are to be answered.
    claimed: VecDeque<MessageKey>,
    /// Messages with deliveries to acknowledge.
    to_acknowledge: BTreeSet<MessageKey>,
    status_updates: Vec<StatusUpdate>,
    /// The messages of the transaction in flight, if there is one.
    transaction: Option<Vec<CommittingMessage>>,
    /// Messages whose own receipts are obsolete.
    obsolete_receipts: Vec<MessageKey>,
    log: ReplicatedLog,
    orphans: OrphanedDeliveries,
    last_orphan_check: Micros,
    counters: Counters,
    effects: Vec<Effect>,
}

impl DeliveryStateMachine {
    /// A state machine that has just started. `process` is a random number; it also seeds the random delays.
    pub fn new(process: u64, limits: Limits) -> DeliveryStateMachine {
        DeliveryStateMachine {
            own_id: ConsumerId {
                process,
                connection: 0,
            },
            rng: StdRng::seed_from_u64(process),
            now: 0,
            connection: ConnectionPhase::Disconnected,
            is_stopping: false,
            is_finished: false,
            last_request_id: 1,
            last_arrival: 0,
            messages: HashMap::new(),
            schedule: RequestSchedule::new(limits.submissions_per_s, limits.queries_per_s),
            requested: HashMap::new(),
            requests_in_flight: HashSet::new(),
            claimed: VecDeque::new(),
            to_acknowledge: BTreeSet::new(),
            status_updates: Vec::new(),
            transaction: None,
            obsolete_receipts: Vec::new(),
            log: ReplicatedLog::new(limits.log),
            orphans: OrphanedDeliveries::default(),
            last_orphan_check: 0,
            counters: Counters::default(),
            effects: Vec::new(),
            limits,
        }
    }

    /// Number of messages in hand.
    pub fn in_hand(&self) -> usize {
        self.messages.len()
    }

    /// When the oldest message in hand was received.
    pub fn oldest_received_at(&self) -> Option<Micros> {
        self.messages.values().map(|m| m.received_at).min()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The copy of the replicated log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Takes an event and returns what is to be done about it. Time never goes back: an earlier `now` counts as the
    /// latest one before.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.dispatch(event);
        loop {
            self.advance();
            // Changes found settled while a batch was collected have outcomes without a response.
            if !self.handle_log_outcomes() {
                return std::mem::take(&mut self.effects);
            }
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Connected { connection } => self.on_connected(connection),
            Event::ReceiptQueueOpened { succeeded } => self.on_receipt_queue_opened(succeeded),
            Event::Disconnected => self.on_disconnected(),
            Event::Delivered(tag, message) => self.on_delivery(tag, message),
            Event::Controller(request, response) => self.on_controller(request, response),
            Event::State(response) => self.on_state_response(response),
            Event::Committed => self.on_committed(),
            Event::ReceiptsRead(consumer, receipts) => self.on_receipts(consumer, receipts),
            Event::ReceiptQueueDeleted(consumer) => self.deregister_drained(consumer),
            Event::Stop => self.begin_shutdown(),
        }
    }

    /// Does everything that has become possible.
    fn advance(&mut self) {
        if self.connection == ConnectionPhase::Active {
            self.send_controller_requests();
            self.recover_orphans();
            self.commit_transaction();
        }
        if self.is_stopping {
            self.advance_shutdown();
        }
        let request = self.log.next_request(self.now);
        self.effects.extend(request.map(Effect::State));
    }

    /// When the next [`Event::Tick`] is wanted; [`Micros::MAX`] if only other events can change anything.
    pub fn next_wake(&self) -> Micros {
        let log = self.log.next_wake();
        // Nothing is scheduled or recovered during shutdown.
        if self.connection != ConnectionPhase::Active || self.is_stopping {
            return log;
        }
        let schedule = if self.requests_in_flight.len() < self.limits.max_requests {
            self.schedule.next_wake()
        } else {
            Micros::MAX
        };
        log.min(schedule)
            .min(self.orphans.next_wake())
            .min(self.next_orphan_check())
    }

    fn on_delivery(&mut self, tag: DeliveryTag, message: Message) {
        if self.connection != ConnectionPhase::Active || self.is_stopping {
            return;
        }
        self.counters.received += 1;
        self.counters.redelivered += u64::from(message.redelivered);
        let key = message.key();
        if self.messages.contains_key(&key) {
            self.on_repeated_delivery(key, tag);
        } else {
            self.on_first_delivery(key, tag, message);
        }
    }

    /// A copy shares the answer of the message in hand.
    fn on_repeated_delivery(&mut self, key: MessageKey, tag: DeliveryTag) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        self.counters.held_back += 1;
        pending.unacked.push(tag);
        if matches!(pending.stage, Stage::Settled | Stage::Answered) {
            self.to_acknowledge.insert(key);
        }
    }

    fn on_first_delivery(&mut self, key: MessageKey, tag: DeliveryTag, message: Message) {
        self.last_arrival += 1;
        let rule = self.limits.queues.get(&message.queue).cloned();
        let pending = PendingMessage::new(
            message,
            rule.unwrap_or_default(),
            tag,
            self.last_arrival,
            self.now,
        );
        let submission = pending.submission();
        let invalid = pending.request.as_ref().err().copied();
        self.messages.insert(key, pending);
        if self.is_answered(key) {
            self.hold_back_answered(key);
        } else if let Some(invalid) = invalid {
            self.on_outcome(key, Outcome::Refused(invalid.to_string()));
        } else {
            self.schedule.add(self.now, submission, key);
        }
    }

    fn command(&mut self, command: BrokerCommand) {
        self.effects.push(Effect::Broker(command));
    }

    /// The time for log entries, in seconds since the Unix epoch.
    fn now_s(&self) -> u64 {
        self.now / SECOND
    }

    /// The delay plus up to a quarter of it, so that processes do not act in step.
    fn with_jitter(&mut self, delay: Micros) -> Micros {
        delay + self.rng.random_range(0..=delay / 4)
    }
}
