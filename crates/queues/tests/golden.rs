//! Golden bytes: every form that is stored or sent must stay exactly as the files under `tests/golden` have it.
//!
//! `UPDATE_GOLDEN=1 cargo test -p cometlead-queues --test golden` writes the files anew. A difference in a file that
//! exists already is a change of the protocol, and needs a new version beside the old one.

use amqp_serde::{from_bytes, to_bytes};
use amqprs::{BasicProperties, FieldTable, FieldValue};
use cometlead_queues::counters::Counters;
use cometlead_queues::progress::{ConsumerState, VersionedEntry};
use cometlead_queues::replicated_log::{
    ClosedSegment, CompareAndSwap, LogLimits, OpenSegment, ReplicatedLog, StateRequest,
    StateResponse,
};
use cometlead_queues::reply::{DeadLetter, FinalAnswer, Outcome, Progress, StatusUpdate};
use cometlead_queues::runtime::metrics::{Gauges, Snapshot, render};
use cometlead_queues::settings::QueueSettings;
use cometlead_queues::state_machine::ControllerResponse;
use cometlead_queues::time::SECOND;
use cometlead_queues::wire::controllers::{
    HttpResponse, RequestKind, SUBMIT_PATH, cancel_path, decode_response, status_path,
};
use cometlead_queues::wire::state_service::{
    LogKeys, TRANSACTION_PATH, compare_and_swap_body, decode_applied_revision, decode_open_segment,
    decode_page,
};
use cometlead_queues::wire::{amqp, receipts};
use cometlead_queues::{ConsumerId, JobRequest, Message, MessageKey, ProgressEntry};
use serde_json::Value;
use std::path::PathBuf;

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn golden_text(name: &str) -> String {
    String::from_utf8(golden(name)).expect("a golden file in UTF-8")
}

/// Compares with the golden file, or writes it where that is asked for.
fn assert_golden(name: &str, actual: &[u8]) {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden_path(name), actual).expect("a writable golden file");
    }
    let expected = golden(name);
    assert!(
        expected == actual,
        "{name} changed:\n  golden: {}\n  actual: {}",
        String::from_utf8_lossy(&expected),
        String::from_utf8_lossy(actual)
    );
}

fn assert_golden_properties(name: &str, properties: &BasicProperties) {
    let bytes = to_bytes(properties).expect("properties that can be encoded");
    assert_golden(name, &bytes);
    let decoded: BasicProperties = from_bytes(&golden(name)).expect("properties");
    assert_eq!(to_bytes(&decoded).expect("properties"), bytes, "{name}");
}

fn consumer(connection: u64) -> ConsumerId {
    ConsumerId {
        process: 0x0123_4567_89ab_cdef,
        connection,
    }
}

const LIMITS: LogLimits = LogLimits {
    max_value_bytes: 700,
    batches_per_s: 1_000,
    retention: 3_600 * SECOND,
};

/// A log that has read an empty open segment.
fn empty_log() -> ReplicatedLog {
    let mut log = ReplicatedLog::new(LIMITS);
    assert_eq!(log.next_request(0), Some(StateRequest::ReadOpenSegment));
    log.handle_response(0, StateResponse::OpenSegment(None));
    log
}

fn claim(connection: u64, at_s: u64) -> ProgressEntry {
    ProgressEntry::Claimed {
        by: consumer(connection),
        at_s,
    }
}

#[test]
fn open_segment_with_every_entry_kind_is_encoded_as_golden() {
    let mut log = empty_log();
    let states = [
        ConsumerState::Registered,
        ConsumerState::Active,
        ConsumerState::Drained,
        ConsumerState::ReceiptsLost,
    ];
    for (connection, state) in (1..).zip(states) {
        log.change_consumer(consumer(connection), None, Some(state));
    }
    log.write_entry(MessageKey(1), 0, claim(1, 1_700_000_000));
    log.write_entry(MessageKey(u128::MAX), 0, claim(2, 1_700_000_001));
    log.write_entry(
        MessageKey(3),
        0,
        ProgressEntry::Answered {
            at_s: 1_700_000_002,
        },
    );
    let Some(StateRequest::CompareAndSwap(CompareAndSwap {
        expected_revision: 0,
        open,
        close: None,
        remove: None,
    })) = log.next_request(SECOND)
    else {
        panic!("no compare-and-swap of the first open segment")
    };
    assert_golden("log-open-segment-v1.json", open.as_bytes());
}

#[test]
fn open_segment_of_golden_is_read_with_every_entry_kind() {
    let mut log = ReplicatedLog::new(LIMITS);
    assert_eq!(log.next_request(0), Some(StateRequest::ReadOpenSegment));
    let text = golden_text("log-open-segment-v1.json");
    log.handle_response(
        0,
        StateResponse::OpenSegment(Some(OpenSegment { text, revision: 7 })),
    );
    let states = [
        (consumer(1), ConsumerState::Registered),
        (consumer(2), ConsumerState::Active),
        (consumer(3), ConsumerState::Drained),
        (consumer(4), ConsumerState::ReceiptsLost),
    ];
    assert_eq!(log.consumers(), &states.into_iter().collect());
    assert_eq!(
        log.entry(MessageKey(1)),
        first_version(claim(1, 1_700_000_000))
    );
    assert_eq!(
        log.entry(MessageKey(u128::MAX)),
        first_version(claim(2, 1_700_000_001))
    );
    assert_eq!(
        log.entry(MessageKey(3)),
        first_version(ProgressEntry::Answered {
            at_s: 1_700_000_002
        })
    );
}

#[test]
fn segment_that_is_closed_is_encoded_and_read_as_golden() {
    let mut log = empty_log();
    for n in 0..30 {
        log.write_entry(MessageKey(n), 0, claim(1 + n as u64 % 2, 1_700_000_000));
    }
    let Some(StateRequest::CompareAndSwap(_)) = log.next_request(SECOND) else {
        panic!("no first compare-and-swap")
    };
    log.handle_response(SECOND, StateResponse::Applied { revision: 1 });
    let Some(StateRequest::CompareAndSwap(CompareAndSwap {
        open,
        close: Some(ClosedSegment {
            number: 0,
            text: closed,
        }),
        ..
    })) = log.next_request(2 * SECOND)
    else {
        panic!("no compare-and-swap that closes the first segment")
    };
    assert_golden("log-closed-segment-v1.json", closed.as_bytes());
    assert_golden("log-open-segment-after-close-v1.json", open.as_bytes());

    let mut reader = ReplicatedLog::new(LIMITS);
    assert_eq!(reader.next_request(0), Some(StateRequest::ReadOpenSegment));
    let open = golden_text("log-open-segment-after-close-v1.json");
    reader.handle_response(
        0,
        StateResponse::OpenSegment(Some(OpenSegment {
            text: open,
            revision: 2,
        })),
    );
    assert_eq!(
        reader.next_request(1),
        Some(StateRequest::ReadClosedSegments { from: 0 })
    );
    let closed = golden_text("log-closed-segment-v1.json");
    reader.handle_response(
        1,
        StateResponse::ClosedSegments {
            segments: vec![ClosedSegment {
                number: 0,
                text: closed,
            }],
            has_more: false,
        },
    );
    assert!(
        (0..reader.len() as u128).all(|n| reader.entry(MessageKey(n))
            == first_version(claim(1 + n as u64 % 2, 1_700_000_000)))
    );
    assert!(reader.len() > 20, "{} entries", reader.len());
}

fn first_version(entry: ProgressEntry) -> Option<VersionedEntry> {
    Some(VersionedEntry { entry, version: 1 })
}

fn closed_segment(number: u64, text: &str) -> ClosedSegment {
    ClosedSegment {
        number,
        text: text.to_owned(),
    }
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
fn final_answers_are_encoded_as_golden() {
    let body = |outcome, repeated| amqp::final_answer_body(&final_answer(outcome, repeated));
    assert_golden("amqp-answer-done.json", &body(Outcome::Done, false));
    assert_golden(
        "amqp-answer-cancelled.json",
        &body(Outcome::Cancelled, false),
    );
    let refused = || Outcome::Refused("nameId: invalid".to_owned());
    assert_golden("amqp-answer-refused.json", &body(refused(), false));
    assert_golden("amqp-answer-refused-repeated.json", &body(refused(), true));
    let nameless = FinalAnswer {
        job: None,
        ..final_answer(refused(), false)
    };
    assert_golden(
        "amqp-answer-without-job.json",
        &amqp::final_answer_body(&nameless),
    );
}

#[test]
fn status_updates_are_encoded_as_golden() {
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
fn message_properties_are_encoded_as_golden() {
    let reply = amqp::reply_properties(MessageKey(0xabc), Some("c1"));
    assert_golden_properties("amqp-reply-properties.bin", &reply);
    let uncorrelated = amqp::reply_properties(MessageKey(0xabc), None);
    assert_golden_properties("amqp-reply-properties-uncorrelated.bin", &uncorrelated);
    let dead = amqp::dead_letter_properties(&DeadLetter {
        queue: "dead".to_owned(),
        message: MessageKey(0xabc),
        reason: "the body is not a JSON object".to_owned(),
        body: b"[1]".to_vec(),
    });
    assert_golden_properties("amqp-dead-letter-properties.bin", &dead);
    assert_golden_properties("amqp-receipt-properties.bin", &amqp::receipt_properties());
}

#[test]
fn receipts_are_encoded_and_read_as_golden() {
    let keys = [MessageKey(0xabc), MessageKey(u128::MAX)];
    assert_golden("amqp-receipt.txt", &receipts::encode(&keys));
    assert_eq!(receipts::decode(&golden("amqp-receipt.txt")), keys);
    let queue = receipts::queue_name(consumer(12));
    assert_golden("amqp-receipt-queue-name.txt", queue.as_bytes());
}

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

#[test]
fn request_of_golden_is_read_and_submitted_as_golden() {
    let name = "amqp-request-properties.bin";
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        // Headers have no order when written, so this file is only read in an ordinary run.
        let bytes = to_bytes(&request_properties()).expect("properties");
        std::fs::write(golden_path(name), bytes).expect("a writable golden file");
    }
    let properties: BasicProperties = from_bytes(&golden(name)).expect("properties");
    let body = golden("amqp-request.json");
    let message = amqp::decode_message("work", &properties, body.clone(), true);
    let expected = Message {
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
    };
    assert_eq!(message, expected);
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
fn request_without_id_or_job_name_is_identified_as_golden() {
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

#[test]
fn controller_paths_are_as_golden() {
    let paths = [
        SUBMIT_PATH.to_owned(),
        status_path("req-000041"),
        cancel_path("req-000041"),
    ];
    assert_golden("http-controller-paths.txt", paths.join("\n").as_bytes());
}

#[test]
fn controller_responses_of_golden_are_read() {
    let cases: Vec<Value> =
        serde_json::from_slice(&golden("http-controller-responses.json")).expect("JSON");
    assert_eq!(cases.len(), 14);
    for case in cases {
        let kind = match case["request"].as_str() {
            Some("cancel") => RequestKind::Cancel,
            _ => RequestKind::SubmitOrQuery,
        };
        let body = case["body"].to_string();
        let response = HttpResponse {
            status: case["status"].as_u64().expect("a status") as u16,
            retry_after_s: case["retry_after"].as_f64(),
            body: body.as_bytes(),
        };
        let reply = match decode_response(kind, response) {
            ControllerResponse::Live => "live".to_owned(),
            ControllerResponse::Ended(Outcome::Done) => "done".to_owned(),
            ControllerResponse::Ended(Outcome::Cancelled) => "cancelled".to_owned(),
            ControllerResponse::Ended(Outcome::Refused(reason)) => format!("refused: {reason}"),
            ControllerResponse::UnknownJob => "unknown".to_owned(),
            ControllerResponse::RetryAfter(micros) => format!("retry after {micros} us"),
            ControllerResponse::NoResponse => "no answer".to_owned(),
        };
        assert_eq!(case["reply"], reply, "{case}");
    }
}

#[test]
fn state_service_requests_are_encoded_as_golden() {
    let keys = LogKeys::new("q/");
    let paths = [
        TRANSACTION_PATH.to_owned(),
        keys.open_path(),
        keys.closed_page_path(0),
        keys.closed_page_path(12),
    ];
    assert_golden("http-state-paths.txt", paths.join("\n").as_bytes());
    let cas = |expected_revision, open: &str, close, remove| {
        let open = open.to_owned();
        let request = CompareAndSwap {
            expected_revision,
            open,
            close,
            remove,
        };
        compare_and_swap_body(&keys, &request)
    };
    let first = cas(0, r#"{"v":1}"#, None, None);
    assert_golden("http-state-cas-first.json", &first.expect("a body"));
    let full = cas(
        41,
        r#"{"v":1}"#,
        Some(closed_segment(7, r#"{"v":2}"#)),
        Some(3),
    );
    assert_golden("http-state-cas-close-remove.json", &full.expect("a body"));
    assert!(cas(0, "{", None, None).is_err());
}

#[test]
fn state_service_responses_of_golden_are_read() {
    let open = decode_open_segment(&golden("http-state-key-response.json")).expect("a segment");
    assert_eq!(
        open,
        OpenSegment {
            text: r#"{"v":1,"h":[],"e":""}"#.to_owned(),
            revision: 41
        }
    );
    let page = decode_page(&golden("http-state-page-response.json")).expect("a page");
    let segments = vec![
        closed_segment(7, r#"{"v":1}"#),
        closed_segment(8, r#"{"v":2}"#),
    ];
    assert_eq!((page.segments, page.has_more), (segments, true));
    let applied = decode_applied_revision(&golden("http-state-cas-response.json"));
    assert_eq!(applied.expect("a revision"), 42);
    assert!(decode_open_segment(b"{}").is_err() && decode_page(b"{}").is_err());
}

#[test]
fn settings_schema_is_as_golden() {
    assert_golden("settings-schema.json", QueueSettings::schema().as_bytes());
}

#[test]
fn settings_of_golden_are_read_field_by_field() {
    let parsed = |name| QueueSettings::parse(&golden(name)).expect(name);
    assert_golden(
        "settings-full.debug.txt",
        plain_debug(&parsed("settings-full.json")).as_bytes(),
    );
    assert_golden(
        "settings-defaults.debug.txt",
        plain_debug(&parsed("settings-defaults.json")).as_bytes(),
    );
}

/// The values in their order, without the names that the source code gives them.
fn plain_debug(settings: &QueueSettings) -> String {
    let lines = format!("{settings:#?}");
    let value = |line: &str| {
        let line = line.trim();
        line.split_once(": ")
            .map_or(line, |(_, value)| value)
            .to_owned()
    };
    let values: Vec<String> = lines.lines().map(value).collect();
    let is_struct = |v: &String| v.ends_with(" {") && v != "{";
    let values = values
        .into_iter()
        .map(|v| if is_struct(&v) { "{".to_owned() } else { v });
    values.collect::<Vec<_>>().join("\n")
}

#[test]
fn metrics_page_is_as_golden() {
    let counters = Counters {
        received: 1,
        redelivered: 2,
        held_back: 3,
        accepted: 4,
        refused: 5,
        overload_responses: 6,
        lost_responses: 7,
        status_queries: 8,
        answered: 9,
        possible_duplicates: 10,
        commits: 11,
        claims_taken_over: 12,
    };
    let snapshot = Snapshot {
        counters,
        in_hand: 13,
        oldest_s: 14,
        log_entries: 15,
        applied_batches: 16,
        log_conflicts: 17,
    };
    let page = render(Gauges::new(snapshot)).expect("a page");
    assert_golden("metrics.txt", page.as_bytes());
}
