//! What the service publishes for clients.

use crate::message::MessageKey;
use crate::time::Micros;

/// How the job of a message ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are done.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// The request was refused for this reason.
    Refused(String),
}

/// The one final answer to a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Queue that the client reads.
    pub reply_to: String,
    /// Copied from the request.
    pub correlation_id: Option<String>,
    /// The message that is answered.
    pub message: MessageKey,
    /// The job; absent if the request names none that is valid.
    pub job: Option<String>,
    /// How the job ended.
    pub outcome: Outcome,
    /// The answer may have been published before: the broker has lost the receipts that would show it.
    pub maybe_duplicate: bool,
}

/// Progress that is reported before the final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The controllers accepted the job.
    Accepted,
    /// The controllers are busy; the job is submitted again after this delay.
    Delayed(Micros),
}

/// A status update for clients that ask for them.
///
/// It may be published twice or not at all, but a connection never publishes it after the final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusUpdate {
    /// Queue that the client reads.
    pub reply_to: String,
    /// Copied from the request.
    pub correlation_id: Option<String>,
    /// The message that the update is about.
    pub message: MessageKey,
    /// The job.
    pub job: Option<String>,
    /// What is reported.
    pub progress: Progress,
}

/// A refused message whose client asks for no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadLetter {
    /// The dead-letter queue.
    pub queue: String,
    /// The refused message.
    pub message: MessageKey,
    /// Why it was refused.
    pub reason: String,
    /// The body as it was delivered.
    pub body: Vec<u8>,
}

/// What is published, exactly once, to settle a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Publication {
    /// The answer to its client.
    Answer(FinalAnswer),
    /// The message itself.
    DeadLetter(DeadLetter),
}

impl Publication {
    /// The message that is settled.
    pub fn message(&self) -> MessageKey {
        match self {
            Publication::Answer(answer) => answer.message,
            Publication::DeadLetter(letter) => letter.message,
        }
    }
}
