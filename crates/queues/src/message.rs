//! Messages, and what they ask for.

use crate::front::Micros;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Largest body, in bytes: as much as the users' interface takes.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Longest guess of a run time that is made use of.
const MOST_GUESS_S: f64 = 86_400.0;

/// A message as the broker delivers it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The queue that it came through.
    pub queue: String,
    /// Its `message_id`, if its client gave one.
    pub id: Option<String>,
    /// Where to answer.
    pub reply_to: Option<String>,
    /// What the client tells its answers apart by.
    pub correlation: Option<String>,
    /// The header `urgency`.
    pub urgency: Option<String>,
    /// The header `due_s`, in seconds from the submission.
    pub due_s: Option<f64>,
    /// The header `awaits`: ids of jobs, divided by commas.
    pub awaits: Option<String>,
    /// The header `cancel`: the job is to be cancelled.
    pub cancel: bool,
    /// The header `interim`: the client wants to be told that its job is accepted or has to wait.
    pub interim: bool,
    /// Its headers, or more of its properties, could not be read.
    pub unreadable: bool,
    /// The broker has delivered it before, or says so.
    pub redelivered: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Tells messages apart: the same for every delivery and every copy of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Key {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Key, Self::Err> {
        u128::from_str_radix(text, 16).map(Key)
    }
}

/// What a message asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// To submit a job.
    Submit {
        /// The job's id.
        job: String,
        /// The body that is submitted.
        body: Vec<u8>,
        /// How long its tasks run, as its owner guesses.
        guess: Micros,
    },
    /// To cancel this job.
    Cancel(String),
    /// Nothing that could be carried out, and why.
    Refuse(&'static str),
}

impl Message {
    /// What tells it apart. Each part is written with its length, so no two messages have the same text.
    pub fn key(&self) -> Key {
        let mut text = Vec::new();
        let mut part = |bytes: Option<&[u8]>| {
            text.extend(bytes.map_or(u64::MAX, |b| b.len() as u64).to_be_bytes());
            text.extend(bytes.unwrap_or_default());
        };
        part(Some(self.queue.as_bytes()));
        part(self.id.as_deref().map(str::as_bytes));
        part(self.reply_to.as_deref().map(str::as_bytes));
        part(self.correlation.as_deref().map(str::as_bytes));
        if self.id.is_none() {
            part(Some(&self.body));
        }
        Key(xxh3_128(&text))
    }

    /// What it asks for. A job without a name gets one that follows from the message, so that every delivery of
    /// it is the same job.
    pub fn wish(&self) -> Wish {
        if self.unreadable {
            return Wish::Refuse("the headers cannot be read");
        }
        if self.body.len() > BODY_LIMIT {
            return Wish::Refuse("the body is too large");
        }
        // Deep nesting is refused by the reader itself, before it takes much.
        let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(&self.body) else {
            return Wish::Refuse("the body is not a JSON object");
        };
        let job = match fields.get("nameId") {
            None | Some(Value::Null) if self.cancel => return Wish::Refuse("nameId: missing"),
            None | Some(Value::Null) => self.job(),
            Some(Value::String(name)) if is_name(name) => name.clone(),
            Some(_) => return Wish::Refuse("nameId: invalid"),
        };
        if self.cancel {
            return Wish::Cancel(job);
        }
        if self.due_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
            return Wish::Refuse("due_s: invalid");
        }
        let mut set = |field: &str, value: Value| fields.insert(field.to_owned(), value);
        set("nameId", json!(job));
        if let Some(urgency) = &self.urgency {
            set("urgency", json!(urgency));
        }
        if let Some(due) = self.due_s {
            set("dueS", json!(due));
        }
        if let Some(awaits) = &self.awaits {
            let ids: Vec<&str> = awaits
                .split(',')
                .map(str::trim)
                .filter(|id| !id.is_empty())
                .collect();
            set("awaits", json!(ids));
        }
        let guess = fields
            .get("guessS")
            .and_then(Value::as_f64)
            .unwrap_or_default()
            .clamp(0.0, MOST_GUESS_S);
        let body = Value::Object(fields).to_string().into_bytes();
        Wish::Submit {
            job,
            body,
            guess: (guess * 1e6) as Micros,
        }
    }

    /// A name of the users' form that follows from the message: eighteen digits, the first of which is not 0.
    fn job(&self) -> String {
        const LEAST: u64 = 100_000_000_000_000_000;
        format!(
            "req-{}",
            LEAST + xxh3_64(&self.key().0.to_be_bytes()) % (9 * LEAST)
        )
    }
}

fn is_name(name: &str) -> bool {
    let digits = name.strip_prefix("req-").unwrap_or_default();
    let plain = digits.len() == 6 || (7..=18).contains(&digits.len()) && !digits.starts_with('0');
    plain && digits.bytes().all(|b| b.is_ascii_digit())
}
