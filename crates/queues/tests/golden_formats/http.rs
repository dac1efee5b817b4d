//! Formats of HTTP paths, requests and responses.

use super::{assert_golden, closed_segment, read_golden};
use cometlead_queues::replicated_log::{CompareAndSwap, OpenSegment};
use cometlead_queues::reply::Outcome;
use cometlead_queues::state_machine::ControllerResponse;
use cometlead_queues::wire::controllers::{
    HttpResponse, RequestKind, SUBMIT_PATH, cancel_path, decode_response, status_path,
};
use cometlead_queues::wire::state_service::{
    LogKeys, TRANSACTION_PATH, compare_and_swap_body, decode_applied_revision,
    decode_closed_segments_page, decode_open_segment,
};
use serde_json::Value;

#[test]
fn controller_paths_match_golden_file() {
    let paths = [
        SUBMIT_PATH.to_owned(),
        status_path("req-000041"),
        cancel_path("req-000041"),
    ];
    assert_golden("http-controller-paths.txt", paths.join("\n").as_bytes());
}

#[test]
fn decoded_controller_responses_match_golden_file() {
    let cases: Vec<Value> =
        serde_json::from_slice(&read_golden("http-controller-responses.json")).expect("JSON");
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
        let decoded = match decode_response(kind, response) {
            ControllerResponse::Live => "live".to_owned(),
            ControllerResponse::Ended(Outcome::Done) => "done".to_owned(),
            ControllerResponse::Ended(Outcome::Cancelled) => "cancelled".to_owned(),
            ControllerResponse::Ended(Outcome::Refused(reason)) => format!("refused: {reason}"),
            ControllerResponse::UnknownJob => "unknown".to_owned(),
            ControllerResponse::RetryAfter(micros) => format!("retry after {micros} us"),
            ControllerResponse::NoResponse => "no answer".to_owned(),
        };
        assert_eq!(case["reply"], decoded, "{case}");
    }
}

#[test]
fn encoded_state_service_requests_match_golden_files() {
    let keys = LogKeys::new("q/");
    let paths = [
        TRANSACTION_PATH.to_owned(),
        keys.open_segment_path(),
        keys.closed_segments_page_path(0),
        keys.closed_segments_page_path(12),
    ];
    assert_golden("http-state-paths.txt", paths.join("\n").as_bytes());
    let encode_cas = |expected_revision, open: &str, close, remove| {
        let open = open.to_owned();
        let request = CompareAndSwap {
            expected_revision,
            open,
            close,
            remove,
        };
        compare_and_swap_body(&keys, &request)
    };
    let first = encode_cas(0, r#"{"v":1}"#, None, None);
    assert_golden("http-state-cas-first.json", &first.expect("a body"));
    let full = encode_cas(
        41,
        r#"{"v":1}"#,
        Some(closed_segment(7, r#"{"v":2}"#)),
        Some(3),
    );
    assert_golden("http-state-cas-close-remove.json", &full.expect("a body"));
    assert!(encode_cas(0, "{", None, None).is_err());
}

#[test]
fn state_service_responses_of_golden_files_are_decoded() {
    let open =
        decode_open_segment(&read_golden("http-state-key-response.json")).expect("a segment");
    assert_eq!(
        open,
        OpenSegment {
            text: r#"{"v":1,"h":[],"e":""}"#.to_owned(),
            revision: 41
        }
    );
    let page =
        decode_closed_segments_page(&read_golden("http-state-page-response.json")).expect("a page");
    let segments = vec![
        closed_segment(7, r#"{"v":1}"#),
        closed_segment(8, r#"{"v":2}"#),
    ];
    assert_eq!((page.segments, page.has_more), (segments, true));
    let applied = decode_applied_revision(&read_golden("http-state-cas-response.json"));
    assert_eq!(applied.expect("a revision"), 42);
    assert!(decode_open_segment(b"{}").is_err() && decode_closed_segments_page(b"{}").is_err());
}
