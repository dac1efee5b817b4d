//! Golden bytes: every form that is stored or sent must stay exactly as the files under `tests/golden` have it.
//!
//! `UPDATE_GOLDEN=1 cargo test -p cometlead-queues --test golden` writes the files anew. A difference in a file that
//! exists already is a change of the protocol, and needs a new version beside the old one.

use amqp_serde::{from_bytes, to_bytes};
use amqprs::{BasicProperties, FieldTable, FieldValue};
use cometlead_queues::answer::{Answer, DeadLetter, Notice, Outcome, Progress};
use cometlead_queues::counters::Counters;
use cometlead_queues::front::Reply;
use cometlead_queues::ledger::{Ledger, LedgerLimits, Request, Told};
use cometlead_queues::mark::LinkState;
use cometlead_queues::settings::QueueSettings;
use cometlead_queues::shell::metrics::{Gauges, Snapshot, render};
use cometlead_queues::wire::controllers::{
    RequestKind, Response, SUBMIT_PATH, cancel_path, decode_reply, status_path,
};
use cometlead_queues::wire::state_service::{
    LogKeys, TRANSACTION_PATH, compare_and_swap_body, decode_applied_revision, decode_key,
    decode_page,
};
use cometlead_queues::wire::{amqp, receipts};
use cometlead_queues::{Holder, Key, Mark, Message, Wish};
use serde_json::Value;
use std::path::PathBuf;

const SECOND: u64 = 1_000_000;

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

fn consumer(link: u64) -> Holder {
    Holder {
        run: 0x0123_4567_89ab_cdef,
        link,
    }
}

const LIMITS: LedgerLimits = LedgerLimits {
    value_bytes: 700,
    rounds_per_s: 1_000,
    keep: 3_600 * SECOND,
};

/// A log that has read an empty open segment.
fn empty_log() -> Ledger {
    let mut log = Ledger::new(LIMITS);
    assert_eq!(log.ask(0), Some(Request::Open));
    log.told(0, Told::Open(None));
    log
}

fn claim(link: u64, at_s: u64) -> Mark {
    Mark::Sealed(consumer(link), at_s)
}

#[test]
fn open_segment_with_every_entry_kind_is_encoded_as_golden() {
    let mut log = empty_log();
    let states = [
        LinkState::Begun,
        LinkState::Up,
        LinkState::Told,
        LinkState::Lost,
    ];
    for (link, state) in (1..).zip(states) {
        log.link(consumer(link), None, Some(state));
    }
    log.write(Key(1), 0, claim(1, 1_700_000_000));
    log.write(Key(u128::MAX), 0, claim(2, 1_700_000_001));
    log.write(Key(3), 0, Mark::Answered(1_700_000_002));
    let Some(Request::Round {
        stamp: 0,
        open,
        close: None,
        remove: None,
    }) = log.ask(SECOND)
    else {
        panic!("no compare-and-swap of the first open segment")
    };
    assert_golden("log-open-segment-v1.json", open.as_bytes());
}

#[test]
fn open_segment_of_golden_is_read_with_every_entry_kind() {
    let mut log = Ledger::new(LIMITS);
    assert_eq!(log.ask(0), Some(Request::Open));
    let text = golden_text("log-open-segment-v1.json");
    log.told(0, Told::Open(Some((text, 7))));
    let states = [
        (consumer(1), LinkState::Begun),
        (consumer(2), LinkState::Up),
        (consumer(3), LinkState::Told),
        (consumer(4), LinkState::Lost),
    ];
    assert_eq!(log.links(), &states.into_iter().collect());
    assert_eq!(log.mark(Key(1)), Some((claim(1, 1_700_000_000), 1)));
    assert_eq!(log.mark(Key(u128::MAX)), Some((claim(2, 1_700_000_001), 1)));
    assert_eq!(log.mark(Key(3)), Some((Mark::Answered(1_700_000_002), 1)));
}

#[test]
fn segment_that_is_closed_is_encoded_and_read_as_golden() {
    let mut log = empty_log();
    for n in 0..30 {
        log.write(Key(n), 0, claim(1 + n as u64 % 2, 1_700_000_000));
    }
    let Some(Request::Round { .. }) = log.ask(SECOND) else {
        panic!("no first compare-and-swap")
    };
    log.told(SECOND, Told::Applied(1));
    let Some(Request::Round {
        open,
        close: Some((0, closed)),
        ..
    }) = log.ask(2 * SECOND)
    else {
        panic!("no compare-and-swap that closes the first segment")
    };
    assert_golden("log-closed-segment-v1.json", closed.as_bytes());
    assert_golden("log-open-segment-after-close-v1.json", open.as_bytes());

    let mut reader = Ledger::new(LIMITS);
    assert_eq!(reader.ask(0), Some(Request::Open));
    let open = golden_text("log-open-segment-after-close-v1.json");
    reader.told(0, Told::Open(Some((open, 2))));
    assert_eq!(reader.ask(1), Some(Request::Closed(0)));
    let closed = golden_text("log-closed-segment-v1.json");
    reader.told(1, Told::Closed(vec![(0, closed)], false));
    assert!(
        (0..reader.len() as u128)
            .all(|n| reader.mark(Key(n)) == Some((claim(1 + n as u64 % 2, 1_700_000_000), 1)))
    );
    assert!(reader.len() > 20, "{} entries", reader.len());
}

fn final_answer(outcome: Outcome, repeated: bool) -> Answer {
    Answer {
        to: "answers".to_owned(),
        correlation: Some("c1".to_owned()),
        of: Key(0xabc),
        job: Some("req-000041".to_owned()),
        outcome,
        repeated,
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
    let nameless = Answer {
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
    let update = |progress| Notice {
        to: "answers".to_owned(),
        correlation: None,
        of: Key(0xabc),
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
    let reply = amqp::reply_properties(Key(0xabc), Some("c1"));
    assert_golden_properties("amqp-reply-properties.bin", &reply);
    let uncorrelated = amqp::reply_properties(Key(0xabc), None);
    assert_golden_properties("amqp-reply-properties-uncorrelated.bin", &uncorrelated);
    let dead = amqp::dead_letter_properties(&DeadLetter {
        to: "dead".to_owned(),
        of: Key(0xabc),
        reason: "the body is not a JSON object".to_owned(),
        body: b"[1]".to_vec(),
    });
    assert_golden_properties("amqp-dead-letter-properties.bin", &dead);
    assert_golden_properties("amqp-receipt-properties.bin", &amqp::receipt_properties());
}

#[test]
fn receipts_are_encoded_and_read_as_golden() {
    let keys = [Key(0xabc), Key(u128::MAX)];
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
        correlation: Some("c1".to_owned()),
        urgency: Some("high".to_owned()),
        due_s: Some(12.5),
        awaits: Some("req-000001, req-000002".to_owned()),
        cancel: false,
        interim: true,
        unreadable: false,
        redelivered: true,
        body,
    };
    assert_eq!(message, expected);
    let key = message.key().to_string();
    assert_golden("message-key-with-id.txt", key.as_bytes());
    let Wish::Submit { job, body, guess } = message.wish() else {
        panic!("no submission")
    };
    assert_golden("http-submission.json", &body);
    assert_eq!((job.as_str(), guess), ("req-000041", 90 * SECOND));
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
    let Wish::Submit { body, .. } = message.wish() else {
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
        let response = Response {
            status: case["status"].as_u64().expect("a status") as u16,
            retry_after_s: case["retry_after"].as_f64(),
            body: body.as_bytes(),
        };
        let reply = match decode_reply(kind, response) {
            Reply::Live => "live".to_owned(),
            Reply::Over(Outcome::Done) => "done".to_owned(),
            Reply::Over(Outcome::Cancelled) => "cancelled".to_owned(),
            Reply::Over(Outcome::Refused(reason)) => format!("refused: {reason}"),
            Reply::Unknown => "unknown".to_owned(),
            Reply::Later(micros) => format!("retry after {micros} us"),
            Reply::None => "no answer".to_owned(),
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
    let first = compare_and_swap_body(&keys, 0, r#"{"v":1}"#, None, None);
    assert_golden("http-state-cas-first.json", &first.expect("a body"));
    let full = compare_and_swap_body(&keys, 41, r#"{"v":1}"#, Some((7, r#"{"v":2}"#)), Some(3));
    assert_golden("http-state-cas-close-remove.json", &full.expect("a body"));
    assert!(compare_and_swap_body(&keys, 0, "{", None, None).is_err());
}

#[test]
fn state_service_responses_of_golden_are_read() {
    let open = decode_key(&golden("http-state-key-response.json")).expect("a key");
    assert_eq!(open, (r#"{"v":1,"h":[],"e":""}"#.to_owned(), 41));
    let page = decode_page(&golden("http-state-page-response.json")).expect("a page");
    let segments = vec![(7, r#"{"v":1}"#.to_owned()), (8, r#"{"v":2}"#.to_owned())];
    assert_eq!(page, (segments, true));
    let applied = decode_applied_revision(&golden("http-state-cas-response.json"));
    assert_eq!(applied.expect("a revision"), 42);
    assert!(decode_key(b"{}").is_err() && decode_page(b"{}").is_err());
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
        delayed: 6,
        unanswered: 7,
        polls: 8,
        answered: 9,
        repeated: 10,
        commits: 11,
        settled: 12,
    };
    let snapshot = Snapshot {
        counters,
        in_hand: 13,
        oldest_s: 14,
        marks: 15,
        rounds: 16,
        clashes: 17,
    };
    let page = render(Gauges::new(snapshot)).expect("a page");
    assert_golden("metrics.txt", page.as_bytes());
}
