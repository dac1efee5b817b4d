//! The delivery state machine: takes each message from its first delivery to its one answer.
//!
//! Pure logic without I/O or clock: [`DeliveryStateMachine::handle`] takes an event and the time, and returns effects.
//! Its state need not survive the process. The broker redelivers what is not acknowledged; the replicated log says
//! which messages are answered; and if a connection broke during a commit, its receipts show which of its transactions
//! were committed.

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

/// Shortest delay before a retry.
const MIN_RETRY_DELAY: Micros = 500_000;

/// The pending messages of one process, with all state that is needed to answer them.
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
    /// Pending messages by the requests in flight for them.
    messages_by_request: HashMap<RequestId, MessageKey>,
    /// All requests to the controllers in flight, including those for messages that are not pending any more.
    requests_in_flight: HashSet<RequestId>,
    /// Claimed messages in the order in which they are to be answered.
    claimed_messages: VecDeque<MessageKey>,
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
            messages_by_request: HashMap::new(),
            requests_in_flight: HashSet::new(),
            claimed_messages: VecDeque::new(),
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

    /// Number of pending messages.
    pub fn pending_count(&self) -> usize {
        self.messages.len()
    }

    /// When the oldest pending message was received.
    pub fn oldest_received_at(&self) -> Option<Micros> {
        self.messages.values().map(|m| m.received_at).min()
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The local replica of the log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Handles an event and returns the resulting effects. Time never goes back: if `now` is earlier than in a previous
    /// call, the latest time so far counts.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.dispatch(event);
        loop {
            self.advance();
            // A change that is found settled while a batch is collected has its outcome without a response.
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
            Event::ControllerResponse(id, response) => self.on_controller_response(id, response),
            Event::StateResponse(response) => self.on_state_response(response),
            Event::Committed => self.on_committed(),
            Event::ReceiptsRead(consumer, receipts) => self.on_receipts_read(consumer, receipts),
            Event::ReceiptQueueDeleted(consumer) => self.deregister_settled(consumer),
            Event::Stop => self.begin_shutdown(),
        }
    }

    /// Performs everything that the new state permits.
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
        self.effects.extend(request.map(Effect::StateRequest));
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

    /// Adds the delivery of a copy to the pending message, whose answer it shares.
    fn on_repeated_delivery(&mut self, key: MessageKey, tag: DeliveryTag) {
        let Some(pending) = self.messages.get_mut(&key) else {
            return;
        };
        self.counters.duplicate_deliveries += 1;
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
            self.on_already_answered(key);
        } else if let Some(invalid) = invalid {
            self.on_outcome(key, Outcome::Refused(invalid.to_string()));
        } else {
            self.schedule.add(self.now, submission, key);
        }
    }

    fn command(&mut self, command: BrokerCommand) {
        self.effects.push(Effect::BrokerCommand(command));
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
