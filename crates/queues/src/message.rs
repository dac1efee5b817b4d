//! Messages as the broker delivers them, their identity, and the request that they carry.

use crate::time::{Micros, from_seconds};
use serde_json::{Map, Value, json};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Largest body, the same limit as in the controllers' user interface.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Upper bound on the estimate of a job's runtime, in seconds.
const MAX_ESTIMATED_RUNTIME_S: f64 = 86_400.0;

/// A message as the broker delivers it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The queue that it was consumed from.
    pub queue: String,
    /// The property `message_id`.
    pub id: Option<String>,
    /// The property `reply_to`: the queue for answers.
    pub reply_to: Option<String>,
    /// The property `correlation_id`, copied into answers.
    pub correlation_id: Option<String>,
    /// The header `urgency`: the job's priority.
    pub priority: Option<String>,
    /// The header `due_s`: the job's deadline, in seconds from the submission.
    pub deadline_s: Option<f64>,
    /// The header `awaits`: ids of jobs that have to end first, separated by commas.
    pub dependencies: Option<String>,
    /// The header `cancel`: the named job is to be cancelled.
    pub cancel: bool,
    /// The header `interim`: the client wants status updates before the final answer.
    pub wants_status_updates: bool,
    /// Its headers or other properties could not be decoded.
    pub is_unreadable: bool,
    /// The broker marked the delivery as repeated.
    pub redelivered: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Identity of a message: the same for every delivery and every copy of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageKey(pub u128);

impl fmt::Display for MessageKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for MessageKey {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<MessageKey, Self::Err> {
        u128::from_str_radix(text, 16).map(MessageKey)
    }
}

/// What a valid message asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobRequest {
    /// Submit a job.
    Submit {
        /// The job's id.
        job: String,
        /// The JSON body to submit.
        body: Vec<u8>,
        /// The owner's estimate of how long the job runs; 0 if unknown.
        estimated_runtime: Micros,
    },
    /// Cancel the job with this id.
    Cancel {
        /// The job's id.
        job: String,
    },
}

impl JobRequest {
    /// The job's id.
    pub fn job(&self) -> &str {
        match self {
            JobRequest::Submit { job, .. } | JobRequest::Cancel { job } => job,
        }
    }
}

/// Why a message cannot be carried out. The texts are part of the answer to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// Properties or headers could not be decoded.
    #[error("the headers cannot be read")]
    UnreadableHeaders,
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body is not a JSON object, or is nested too deeply.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A cancellation names no job.
    #[error("nameId: missing")]
    MissingJobName,
    /// The job's name does not have the format of the controllers' user interface.
    #[error("nameId: invalid")]
    InvalidJobName,
    /// The deadline is negative or not a number.
    #[error("due_s: invalid")]
    InvalidDeadline,
}

impl Message {
    /// Identity of the message, from queue, id, reply address and correlation id; without an id also from the body.
    pub fn key(&self) -> MessageKey {
        let mut text = Vec::new();
        // Each part is prefixed with its length, so that different sequences of parts never produce the same text.
        let mut append = |bytes: Option<&[u8]>| {
            text.extend(bytes.map_or(u64::MAX, |b| b.len() as u64).to_be_bytes());
            text.extend(bytes.unwrap_or_default());
        };
        append(Some(self.queue.as_bytes()));
        append(self.id.as_deref().map(str::as_bytes));
        append(self.reply_to.as_deref().map(str::as_bytes));
        append(self.correlation_id.as_deref().map(str::as_bytes));
        if self.id.is_none() {
            append(Some(&self.body));
        }
        MessageKey(xxh3_128(&text))
    }

    /// The request that the message carries.
    ///
    /// A job without a name gets one derived from the message, so that every delivery submits the same job and
    /// repeated submissions are idempotent.
    ///
    /// # Errors
    ///
    /// If the body is not a JSON object or a field is missing or not allowed; the error names the field.
    pub fn job_request(&self) -> Result<JobRequest, InvalidRequest> {
        let mut fields = self.body_fields()?;
        let job = self.job_name(&fields)?;
        if self.cancel {
            return Ok(JobRequest::Cancel { job });
        }
        if self.deadline_s.is_some_and(|s| !s.is_finite() || s < 0.0) {
            return Err(InvalidRequest::InvalidDeadline);
        }
        self.apply_headers(&mut fields, &job);
        let estimated_runtime = estimated_runtime(&fields);
        Ok(JobRequest::Submit {
            job,
            body: Value::Object(fields).to_string().into_bytes(),
            estimated_runtime,
        })
    }

    fn body_fields(&self) -> Result<Map<String, Value>, InvalidRequest> {
        if self.is_unreadable {
            return Err(InvalidRequest::UnreadableHeaders);
        }
        if self.body.len() > MAX_BODY_BYTES {
            return Err(InvalidRequest::BodyTooLarge);
        }
        // The parser limits the nesting depth by itself.
        match serde_json::from_slice(&self.body) {
            Ok(Value::Object(fields)) => Ok(fields),
            _ => Err(InvalidRequest::NotAnObject),
        }
    }

    fn job_name(&self, fields: &Map<String, Value>) -> Result<String, InvalidRequest> {
        match fields.get("nameId") {
            None | Some(Value::Null) if self.cancel => Err(InvalidRequest::MissingJobName),
            None | Some(Value::Null) => Ok(self.derived_job_name()),
            Some(Value::String(name)) if is_job_name(name) => Ok(name.clone()),
            Some(_) => Err(InvalidRequest::InvalidJobName),
        }
    }

    /// Headers take precedence over fields of the body.
    fn apply_headers(&self, fields: &mut Map<String, Value>, job: &str) {
        let mut set = |field: &str, value: Value| fields.insert(field.to_owned(), value);
        set("nameId", json!(job));
        if let Some(priority) = &self.priority {
            set("urgency", json!(priority));
        }
        if let Some(deadline_s) = self.deadline_s {
            set("dueS", json!(deadline_s));
        }
        if let Some(dependencies) = &self.dependencies {
            let jobs = dependencies.split(',').map(str::trim);
            let jobs: Vec<&str> = jobs.filter(|job| !job.is_empty()).collect();
            set("awaits", json!(jobs));
        }
    }

    /// A name in the format of the controllers' user interface: `req-` and eighteen digits without a leading zero.
    fn derived_job_name(&self) -> String {
        const SMALLEST_NUMBER: u64 = 100_000_000_000_000_000;
        let hash = xxh3_64(&self.key().0.to_be_bytes());
        format!("req-{}", SMALLEST_NUMBER + hash % (9 * SMALLEST_NUMBER))
    }
}

fn estimated_runtime(fields: &Map<String, Value>) -> Micros {
    let seconds = fields.get("guessS").and_then(Value::as_f64);
    from_seconds(
        seconds
            .unwrap_or_default()
            .clamp(0.0, MAX_ESTIMATED_RUNTIME_S),
    )
}

fn is_job_name(name: &str) -> bool {
    let digits = name.strip_prefix("req-").unwrap_or_default();
    let has_valid_length =
        digits.len() == 6 || (7..=18).contains(&digits.len()) && !digits.starts_with('0');
    has_valid_length && digits.bytes().all(|b| b.is_ascii_digit())
}
