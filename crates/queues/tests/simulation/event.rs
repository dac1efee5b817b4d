//! Events of a simulation, and the types that they refer to.

use cometlead_queues::replicated_log::StateRequest;
use cometlead_queues::reply::FinalAnswer;
use cometlead_queues::state_machine::{BrokerCommand, DeliveryTag};
use cometlead_queues::time::Micros;
use cometlead_queues::{ConsumerId, Event, Message, MessageKey};
use std::collections::BTreeSet;

/// Index of a process. A process that is restarted in a slot is a new incarnation.
pub type Slot = usize;

/// Number of a connection, unique in the whole simulation.
pub type ConnectionNumber = u64;

/// A message in a queue of the fake broker.
#[derive(Clone, Debug)]
pub enum QueuedMessage {
    Work(Message),
    Receipt(Vec<MessageKey>),
    Answer(FinalAnswer),
}

/// An event on its way to a process.
#[derive(Clone, Debug)]
pub struct ProcessEvent {
    pub slot: Slot,
    pub incarnation: u64,
    /// The connection that the event belongs to, if any.
    pub connection: Option<ConnectionNumber>,
    pub event: Event,
}

/// An event that is scheduled at a certain time.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    Publish(Message),
    /// The broker enqueues a random message once more.
    EnqueueRandomDuplicate,
    RestartBroker,
    LoseReceiptQueue,
    Kill(Slot),
    /// A process hangs for the given time, or for a random time if none is given.
    Hang(Slot, Option<Micros>),
    /// Controllers and state service are unavailable for this time.
    Outage(Micros),
    DropConnection(Slot),
    Start(Slot),
    ShutDown(Slot),
    Wake(Slot),
    /// A command reaches the broker.
    Command(ConnectionNumber, BrokerCommand),
    /// The broker detects that a connection is closed.
    CloseConnection(ConnectionNumber),
    /// An event reaches a process.
    Deliver(ProcessEvent),
    /// A request reaches the state service late, and its response is discarded.
    LateRequest(StateRequest),
}

/// The broker's state of a connection.
pub struct SimulatedConnection {
    pub slot: Slot,
    /// Present once the receipt queue is opened.
    pub consumer: Option<ConsumerId>,
    /// Delivered receipts of the connection's own consumer, with the messages that they are still needed for.
    pub receipts: Vec<(DeliveryTag, Vec<MessageKey>)>,
    /// Messages for which receipts are no longer needed.
    pub obsolete_keys: BTreeSet<MessageKey>,
}
