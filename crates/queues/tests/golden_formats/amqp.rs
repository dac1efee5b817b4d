//! Formats of AMQP messages.

use super::{assert_golden, consumer, golden_path, read_golden};
use amqp_serde::{from_bytes, to_bytes};
use amqprs::{BasicProperties, FieldTable, FieldValue};
use cometlead_queues::reply::{DeadLetter, FinalAnswer, Outcome, Progress, StatusUpdate};
use cometlead_queues::time::SECOND;
use cometlead_queues::wire::{amqp, receipts};
use cometlead_queues::{JobRequest, Message, MessageKey};

fn assert_golden_properties(name: &str, properties: &BasicProperties) {
    let bytes = to_bytes(properties).expect("properties that can be encoded");
    assert_golden(name, &bytes);
    let decoded: BasicProperties = from_bytes(&read_golden(name)).expect("properties");
    assert_eq!(to_bytes(&decoded).expect("properties"), bytes, "{name}");
}

fn final_answer(outcome: Outcome, maybe_duplicate: bool) -> FinalAnswer {
    FinalAnswer {
        reply_to: "answers".to_owned(),
        correlation_id: Some("c1".to_owned()),
        message: MessageKey(0xabc),
        job: Some("req-000041".to_owned()),
        outcome,
        maybe_duplicate,
    }
}

#[test]
fn encoded_final_answers_match_golden_files() {
    let body =
        |outcome, maybe_duplicate| amqp::final_answer_body(&final_answer(outcome, maybe_duplicate));
    assert_golden("amqp-answer-done.json", &body(Outcome::Done, false));
    assert_golden(
        "amqp-answer-cancelled.json",
        &body(Outcome::Cancelled, false),
    );
    let refused = || Outcome::Refused("nameId: invalid".to_owned());
    assert_golden("amqp-answer-refused.json", &body(refused(), false));
    assert_golden("amqp-answer-refused-repeated.json", &body(refused(), true));
    let without_job = FinalAnswer {
        job: None,
        ..final_answer(refused(), false)
    };
    assert_golden(
        "amqp-answer-without-job.json",
        &amqp::final_answer_body(&without_job),
    );
}

#[test]
fn encoded_status_updates_match_golden_files() {
    let update = |progress| StatusUpdate {
        reply_to: "answers".to_owned(),
        correlation_id: None,
        message: MessageKey(0xabc),
        job: Some("req-000041".to_owned()),
        progress,
    };
    let accepted = amqp::status_update_body(&update(Progress::Accepted));
    assert_golden("amqp-update-accepted.json", &accepted);
    let delayed = amqp::status_update_body(&update(Progress::Delayed(1_500_000)));
    assert_golden("amqp-update-delayed.json", &delayed);
}

#[test]
fn encoded_message_properties_match_golden_files() {
    let reply = amqp::reply_properties(MessageKey(0xabc), Some("c1"));
    assert_golden_properties("amqp-reply-properties.bin", &reply);
    let uncorrelated = amqp::reply_properties(MessageKey(0xabc), None);
    assert_golden_properties("amqp-reply-properties-uncorrelated.bin", &uncorrelated);
    let dead_letter = amqp::dead_letter_properties(&DeadLetter {
        queue: "dead".to_owned(),
        message: MessageKey(0xabc),
        reason: "the body is not a JSON object".to_owned(),
        body: b"[1]".to_vec(),
    });
    assert_golden_properties("amqp-dead-letter-properties.bin", &dead_letter);
    assert_golden_properties("amqp-receipt-properties.bin", &amqp::receipt_properties());
}

#[test]
fn encoded_and_decoded_receipts_match_golden_files() {
    let keys = [MessageKey(0xabc), MessageKey(u128::MAX)];
    assert_golden("amqp-receipt.txt", &receipts::encode(&keys));
    assert_eq!(receipts::decode(&read_golden("amqp-receipt.txt")), keys);
    let queue = receipts::queue_name(consumer(12));
    assert_golden("amqp-receipt-queue-name.txt", queue.as_bytes());
}

/// Request properties with all headers.
fn request_properties() -> BasicProperties {
    let mut headers = FieldTable::new();
    let mut set = |name: &str, value: FieldValue| {
        headers.insert(name.try_into().expect("a short name"), value);
    };
    let text = |t: &str| FieldValue::S(t.try_into().expect("a short text"));
    set("urgency", text("high"));
    set("due_s", FieldValue::d(12.5));
    set("awaits", text("req-000001, req-000002"));
    set("cancel", FieldValue::t(false));
    set("interim", text("true"));
    set(amqp::UNREADABLE_HEADER, FieldValue::t(false));
    let mut properties = BasicProperties::default();
    properties
        .with_reply_to("answers")
        .with_correlation_id("c1")
        .with_message_id("m1")
        .with_headers(headers);
    properties
}

/// The message of `amqp-request-properties.bin`.
fn message_with_all_headers(body: Vec<u8>) -> Message {
    Message {
        queue: "work".to_owned(),
        id: Some("m1".to_owned()),
        reply_to: Some("answers".to_owned()),
        correlation_id: Some("c1".to_owned()),
        priority: Some("high".to_owned()),
        deadline_s: Some(12.5),
        dependencies: Some("req-000001, req-000002".to_owned()),
        cancel: false,
        wants_status_updates: true,
        is_unreadable: false,
        redelivered: true,
        body,
    }
}

#[test]
fn decoded_request_and_its_submission_match_golden_files() {
    let name = "amqp-request-properties.bin";
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        // The order of encoded headers is undefined, so an ordinary run only reads this file.
        let bytes = to_bytes(&request_properties()).expect("properties");
        std::fs::write(golden_path(name), bytes).expect("a writable golden file");
    }
    let properties: BasicProperties = from_bytes(&read_golden(name)).expect("properties");
    let body = read_golden("amqp-request.json");
    let message = amqp::decode_message("work", &properties, body.clone(), true);
    assert_eq!(message, message_with_all_headers(body));
    let key = message.key().to_string();
    assert_golden("message-key-with-id.txt", key.as_bytes());
    let Ok(JobRequest::Submit {
        job,
        body,
        estimated_runtime,
    }) = message.job_request()
    else {
        panic!("no submission")
    };
    assert_golden("http-submission.json", &body);
    assert_eq!(
        (job.as_str(), estimated_runtime),
        ("req-000041", 90 * SECOND)
    );
}

#[test]
fn generated_key_and_job_name_of_request_match_golden_files() {
    let message = Message {
        queue: "work".to_owned(),
        body: b"{}".to_vec(),
        ..Message::default()
    };
    let key = message.key().to_string();
    assert_golden("message-key-without-id.txt", key.as_bytes());
    let Ok(JobRequest::Submit { body, .. }) = message.job_request() else {
        panic!("no submission")
    };
    assert_golden("http-submission-generated-name.json", &body);
}
