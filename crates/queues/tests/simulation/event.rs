//! What happens in a simulation.

use cometlead_queues::replicated_log::StateRequest;
use cometlead_queues::reply::FinalAnswer;
use cometlead_queues::state_machine::{BrokerCommand, DeliveryTag};
use cometlead_queues::time::Micros;
use cometlead_queues::{ConsumerId, Event, Message, MessageKey};
use std::collections::BTreeSet;

/// Place of a process; whoever is started there anew is another incarnation.
pub type Slot = usize;

/// Number of a connection in the whole simulation.
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
    /// The connection that it belongs to, if it does to one.
    pub connection: Option<ConnectionNumber>,
    pub event: Event,
}

/// Something that happens at a certain time.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    Publish(Message),
    /// The broker duplicates any message.
    DuplicateAny,
    RestartBroker,
    LoseReceiptQueue,
    Kill(Slot),
    /// A process hangs; without a time for a random one.
    Hang(Slot, Option<Micros>),
    /// Controllers and state service are out for this time.
    Outage(Micros),
    DropConnection(Slot),
    Start(Slot),
    ShutDown(Slot),
    Wake(Slot),
    /// A command reaches the broker.
    Command(ConnectionNumber, BrokerCommand),
    /// The broker notices that a connection is gone.
    CloseConnection(ConnectionNumber),
    /// An event reaches a process.
    Deliver(ProcessEvent),
    /// A request reaches the state service late, and nobody waits for the response.
    LateRequest(StateRequest),
}

/// A connection as the broker knows it.
pub struct SimulatedConnection {
    pub slot: Slot,
    /// Known once the receipt queue is opened.
    pub consumer: Option<ConsumerId>,
    /// Delivered own receipts, with the messages that they are still needed for.
    pub receipts: Vec<(DeliveryTag, Vec<MessageKey>)>,
    pub obsolete: BTreeSet<MessageKey>,
}
