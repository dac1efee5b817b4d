//! Events that the state machine handles, and effects that it returns.

use crate::message::{Message, MessageKey};
use crate::progress::ConsumerId;
use crate::replicated_log::{StateRequest, StateResponse};
use crate::reply::{Outcome, Publication, StatusUpdate};
use crate::time::Micros;
use std::collections::BTreeSet;

/// Identifies a request to the controllers until it is answered.
pub type RequestId = u64;

/// Identifies a delivery on the present connection.
pub type DeliveryTag = u64;

/// What the controllers say about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControllerResponse {
    /// The job is accepted and not over yet.
    Live,
    /// The job has ended, or is refused permanently.
    Ended(Outcome),
    /// The controllers do not know the job.
    UnknownJob,
    /// The controllers are overloaded; the request may be repeated after this delay.
    RetryAfter(Micros),
    /// No usable response: the request may have been carried out.
    NoResponse,
}

/// Result of reading another consumer's receipts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiptsResponse {
    /// The consumer may still commit, or another process reads its receipts.
    Busy,
    /// The consumer cannot commit any more; these are the messages that it has answered.
    Complete(BTreeSet<MessageKey>),
    /// The consumer cannot commit any more, and the broker has lost its receipts.
    Lost,
}

/// An event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A connection was opened; [`Event::Disconnected`] came before if there was an earlier one.
    Connected {
        /// Number of the connection attempt, unique within this process.
        connection: u64,
    },
    /// The connection's receipt queue was declared, and has the connection as its exclusive consumer.
    ReceiptQueueOpened {
        /// False if either failed.
        succeeded: bool,
    },
    /// The connection was lost.
    Disconnected,
    /// The broker delivered a message.
    Delivered(DeliveryTag, Message),
    /// The controllers responded, or did not in time.
    ControllerResponse(RequestId, ControllerResponse),
    /// The state service responded, or did not in time.
    StateResponse(StateResponse),
    /// The broker has committed the transaction.
    Committed,
    /// Another consumer's receipts were read.
    ReceiptsRead(ConsumerId, ReceiptsResponse),
    /// The receipt queue of a dead or stopping consumer does not exist any more.
    ReceiptQueueDeleted(ConsumerId),
    /// Shutdown: nothing new is begun any more.
    Stop,
}

/// An effect that the runtime carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Submit a job with this JSON body.
    Submit(RequestId, Vec<u8>),
    /// Query the status of a job.
    QueryStatus(RequestId, String),
    /// Cancel a job.
    Cancel(RequestId, String),
    /// Send a request to the state service.
    StateRequest(StateRequest),
    /// Send a command over the connection to the broker.
    BrokerCommand(BrokerCommand),
    /// Shutdown is complete: all work in progress is answered, and this process has left nothing behind.
    Finished,
}

/// A command for the connection to the broker.
#[derive(Clone, Debug)]
pub enum BrokerCommand {
    /// Declare the consumer's receipt queue, and become its exclusive consumer.
    OpenReceiptQueue(ConsumerId),
    /// Start to consume from the work queues.
    StartConsuming,
    /// Close the connection and make a new one.
    Reconnect,
    /// Carry out a transaction with the broker.
    Commit(BrokerTransaction),
    /// Read all receipts of another consumer if it is dead, and prevent other processes from reading them.
    ReadReceipts(ConsumerId),
    /// Let other processes read a consumer's receipts again.
    ReleaseReceipts {
        /// Whose receipts.
        consumer: ConsumerId,
        /// Whether their queue is to be deleted.
        delete_queue: bool,
    },
}

/// One transaction with the broker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BrokerTransaction {
    /// Answers and dead letters. One receipt is published for all of them.
    pub publications: Vec<Publication>,
    /// Status updates.
    pub status_updates: Vec<StatusUpdate>,
    /// Deliveries to acknowledge.
    pub acks: Vec<DeliveryTag>,
    /// Messages whose receipts are obsolete, because the log says that they are answered.
    pub obsolete_receipts: Vec<MessageKey>,
}
