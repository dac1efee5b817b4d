//! The controllers' HTTP interface for users: paths and responses.

use crate::reply::Outcome;
use crate::state_machine::ControllerResponse;
use crate::time::{Micros, from_seconds};
use serde::Deserialize;

/// Longest `Retry-After` that is respected, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;
/// Retry delay when a busy controller names none, in seconds.
const DEFAULT_RETRY_AFTER_S: f64 = 1.0;
/// Longest refusal reason that is passed on to clients, in characters.
const MAX_REASON_CHARS: usize = 1_000;

/// Path for submissions.
pub const SUBMIT_PATH: &str = "/work";

/// Path that reports the status of a job.
pub fn status_path(job: &str) -> String {
    format!("/work/{job}")
}

/// Path that cancels a job.
pub fn cancel_path(job: &str) -> String {
    format!("/work/{job}/abort")
}

/// The kind of a request, as far as the meaning of a response depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submission or status query.
    SubmitOrQuery,
    /// Cancellation: a job that does not exist is a final refusal.
    Cancel,
}

/// A response as received.
#[derive(Clone, Copy, Debug)]
pub struct HttpResponse<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Retry-After`, in seconds.
    pub retry_after_s: Option<f64>,
    /// JSON body; anything else counts as an empty object.
    pub body: &'a [u8],
}

#[derive(Default, Deserialize)]
struct JobBody {
    #[serde(default, rename = "status")]
    status: String,
    #[serde(default, rename = "reason")]
    reason: Option<String>,
    #[serde(default, rename = "error")]
    error: Option<String>,
}

/// Interprets a response. After [`ControllerResponse::NoResponse`] or [`ControllerResponse::RetryAfter`], the next
/// request should go to another controller.
pub fn decode_response(kind: RequestKind, response: HttpResponse<'_>) -> ControllerResponse {
    let body: JobBody = serde_json::from_slice(response.body).unwrap_or_default();
    match (response.status, body.status.as_str()) {
        (200 | 201, "done") => ControllerResponse::Ended(Outcome::Done),
        (200 | 201, "cancelled") => ControllerResponse::Ended(Outcome::Cancelled),
        (200 | 201, "queued" | "running") => ControllerResponse::Live,
        (400 | 422, _) => {
            ControllerResponse::Ended(Outcome::Refused(refusal_reason(response.status, body)))
        }
        (404, _) if kind == RequestKind::Cancel => {
            ControllerResponse::Ended(Outcome::Refused("no such job".to_owned()))
        }
        (404, _) => ControllerResponse::UnknownJob,
        (429 | 503, _) => ControllerResponse::RetryAfter(retry_after(response.retry_after_s)),
        _ => ControllerResponse::NoResponse,
    }
}

fn retry_after(seconds: Option<f64>) -> Micros {
    let seconds = seconds
        .filter(|s| s.is_finite())
        .unwrap_or(DEFAULT_RETRY_AFTER_S)
        .clamp(0.0, MAX_RETRY_AFTER_S);
    from_seconds(seconds)
}

fn refusal_reason(status: u16, body: JobBody) -> String {
    let mut reason = body.reason.or(body.error).unwrap_or_else(|| match status {
        400 => "malformed".to_owned(),
        _ => "can never run".to_owned(),
    });
    if let Some((end, _)) = reason.char_indices().nth(MAX_REASON_CHARS) {
        reason.truncate(end);
    }
    reason
}
