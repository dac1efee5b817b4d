//! Messages, and what they ask for.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Largest body, in bytes: as much as the users' interface takes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// A message as the broker delivers it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
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
    /// The header `cancel`: the job is to be cancelled.
    pub cancel: bool,
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

/// What a message asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// To submit this job with this body.
    Submit(String, Vec<u8>),
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
        if self.body.len() > BODY_LIMIT {
            return Wish::Refuse("the body is too large");
        }
        // Deep nesting is refused by the reader itself, before it takes much.
        let Ok(Value::Object(mut fields)) = serde_json::from_slice::<Value>(&self.body) else {
            return Wish::Refuse("the body is not a JSON object");
        };
        let name = match fields.get("nameId") {
            None | Some(Value::Null) if self.cancel => return Wish::Refuse("nameId: missing"),
            None | Some(Value::Null) => self.job(),
            Some(Value::String(name)) if is_name(name) => name.clone(),
            Some(_) => return Wish::Refuse("nameId: invalid"),
        };
        if self.cancel {
            return Wish::Cancel(name);
        }
        fields.insert("nameId".to_owned(), Value::String(name.clone()));
        if let Some(urgency) = &self.urgency {
            fields.insert("urgency".to_owned(), Value::String(urgency.clone()));
        }
        Wish::Submit(name, Value::Object(fields).to_string().into_bytes())
    }

    /// A name of the users' form that follows from the message: eighteen digits, the first of which is not 0.
    fn job(&self) -> String {
        const LEAST: u64 = 100_000_000_000_000_000;
        format!("req-{}", LEAST + xxh3_64(&self.key().0.to_be_bytes()) % (9 * LEAST))
    }
}

fn is_name(name: &str) -> bool {
    let digits = name.strip_prefix("req-").unwrap_or_default();
    let plain = digits.len() == 6 || (7..=18).contains(&digits.len()) && !digits.starts_with('0');
    plain && digits.bytes().all(|b| b.is_ascii_digit())
}
