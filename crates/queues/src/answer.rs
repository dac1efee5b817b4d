//! What clients are told.

use crate::front::Micros;
use crate::message::Key;

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are done.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// It was refused, and why.
    Refused(String),
}

/// An answer to a client: the only one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The queue.
    pub to: String,
    /// What the client tells it apart by.
    pub correlation: Option<String>,
    /// Which message it answers.
    pub of: Key,
    /// The job.
    pub job: Option<String>,
    /// How it ended.
    pub outcome: Outcome,
    /// The broker has lost what would tell whether it was given before.
    pub repeated: bool,
}

/// What a client may be told in the meantime, if it asked for that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The job is accepted.
    Accepted,
    /// It could not be taken yet, and is submitted again after so long.
    Delayed(Micros),
}

/// An interim answer. It may come twice, or not at all, and never after the final one of the same connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The queue.
    pub to: String,
    /// What the client tells it apart by.
    pub correlation: Option<String>,
    /// Which message it is about.
    pub of: Key,
    /// The job.
    pub job: Option<String>,
    /// What is told.
    pub progress: Progress,
}

/// A message that nobody can be told about, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadLetter {
    /// The queue for such messages.
    pub to: String,
    /// Which message it is.
    pub of: Key,
    /// Why it was refused.
    pub reason: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// What goes out for a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Post {
    /// Its answer.
    Answer(Answer),
    /// The message itself.
    Dead(DeadLetter),
}

impl Post {
    /// Which message it is about.
    pub fn of(&self) -> Key {
        match self {
            Post::Answer(a) => a.of,
            Post::Dead(d) => d.of,
        }
    }
}
