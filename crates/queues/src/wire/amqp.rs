//! AMQP message properties and bodies.

use crate::message::{MAX_BODY_BYTES, Message, MessageKey};
use crate::reply::{DeadLetter, FinalAnswer, Outcome, Progress, StatusUpdate};
use crate::time::as_seconds;
use amqprs::{BasicProperties, FieldTable, FieldValue};
use serde_json::json;

/// Header that replaces headers which the AMQP library cannot decode.
pub const UNREADABLE_HEADER: &str = "cometlead-unreadable";

/// Converts a broker delivery into a [`Message`].
///
/// Bodies above [`MAX_BODY_BYTES`] are refused later; if the message has an id, the excess is dropped here already,
/// because the id alone identifies the message.
pub fn decode_message(
    queue: &str,
    properties: &BasicProperties,
    mut body: Vec<u8>,
    redelivered: bool,
) -> Message {
    if body.len() > MAX_BODY_BYTES && properties.message_id().is_some() {
        body.truncate(MAX_BODY_BYTES + 1);
        body.shrink_to_fit();
    }
    let headers = properties.headers();
    Message {
        queue: queue.to_owned(),
        id: properties.message_id().cloned(),
        reply_to: properties.reply_to().filter(|r| !r.is_empty()).cloned(),
        correlation_id: properties.correlation_id().cloned(),
        priority: header(headers, "urgency").and_then(text),
        deadline_s: header(headers, "due_s").map(number),
        dependencies: header(headers, "awaits").and_then(text),
        cancel: flag(header(headers, "cancel")),
        wants_status_updates: flag(header(headers, "interim")),
        is_unreadable: flag(header(headers, UNREADABLE_HEADER)),
        redelivered,
        body,
    }
}

fn header<'a>(headers: Option<&'a FieldTable>, name: &str) -> Option<&'a FieldValue> {
    headers?.get(&name.try_into().ok()?)
}

fn text(value: &FieldValue) -> Option<String> {
    <&str>::try_from(value).ok().map(str::to_owned)
}

fn flag(value: Option<&FieldValue>) -> bool {
    match value {
        Some(FieldValue::t(is_set)) => *is_set,
        Some(other) => text(other).is_some_and(|t| t == "true"),
        None => false,
    }
}

/// Reads a number in any AMQP encoding. A value that is not a number becomes NaN, which validation refuses.
fn number(value: &FieldValue) -> f64 {
    match value {
        FieldValue::b(n) => f64::from(*n),
        FieldValue::B(n) => f64::from(*n),
        FieldValue::s(n) => f64::from(*n),
        FieldValue::u(n) => f64::from(*n),
        FieldValue::I(n) => f64::from(*n),
        FieldValue::i(n) => f64::from(*n),
        FieldValue::l(n) => *n as f64,
        FieldValue::f(n) => f64::from(*n),
        FieldValue::d(n) => *n,
        other => text(other).and_then(|t| t.parse().ok()).unwrap_or(f64::NAN),
    }
}

/// Properties of final answers and status updates: JSON, persistent, identified by the message they refer to.
pub fn reply_properties(message: MessageKey, correlation_id: Option<&str>) -> BasicProperties {
    let mut properties = BasicProperties::default();
    properties
        .with_content_type("application/json")
        .with_persistence(true)
        .with_message_id(&message.to_string());
    if let Some(correlation_id) = correlation_id {
        properties.with_correlation_id(correlation_id);
    }
    properties
}

/// Properties of receipts.
pub fn receipt_properties() -> BasicProperties {
    let mut properties = BasicProperties::default();
    properties.with_persistence(true);
    properties
}

/// Properties of a dead letter; its body is the refused body unchanged.
pub fn dead_letter_properties(letter: &DeadLetter) -> BasicProperties {
    let mut headers = FieldTable::new();
    // Both conversions fail only for texts far longer than these.
    if let (Ok(name), Ok(reason)) = ("reason".try_into(), letter.reason.as_str().try_into()) {
        headers.insert(name, FieldValue::S(reason));
    }
    let mut properties = BasicProperties::default();
    properties
        .with_persistence(true)
        .with_message_id(&letter.message.to_string())
        .with_headers(headers);
    properties
}

/// Body of the final answer.
pub fn final_answer_body(answer: &FinalAnswer) -> Vec<u8> {
    let (status, reason) = match &answer.outcome {
        Outcome::Done => ("done", None),
        Outcome::Cancelled => ("cancelled", None),
        Outcome::Refused(reason) => ("refused", Some(reason)),
    };
    let mut body = json!({ "nameId": answer.job, "status": status, "final": true });
    if let Some(reason) = reason {
        body["reason"] = json!(reason);
    }
    if answer.maybe_duplicate {
        body["repeated"] = json!(true);
    }
    body.to_string().into_bytes()
}

/// Body of a status update before the final answer.
pub fn status_update_body(update: &StatusUpdate) -> Vec<u8> {
    let job = &update.job;
    let body = match update.progress {
        Progress::Accepted => json!({ "nameId": job, "status": "accepted", "final": false }),
        Progress::Delayed(retry_after) => {
            let retry_after_s = as_seconds(retry_after);
            json!({ "nameId": job, "status": "delayed", "retryAfterS": retry_after_s, "final": false })
        }
    };
    body.to_string().into_bytes()
}
