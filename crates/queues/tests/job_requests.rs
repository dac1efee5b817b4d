//! Decoding of job requests from messages, and the keys that identify messages.

use cometlead_queues::message::InvalidRequest;
use cometlead_queues::{JobRequest, Message};

fn message_with_body(body: &str) -> Message {
    Message {
        queue: "q".into(),
        body: body.into(),
        ..Message::default()
    }
}

fn decode_request(body: Vec<u8>) -> Result<JobRequest, InvalidRequest> {
    let message = Message {
        body,
        ..Message::default()
    };
    message.job_request()
}

#[test]
fn job_without_name_gets_the_same_name_for_every_delivery() {
    let body = r#"{"lane":"a"}"#;
    let Ok(JobRequest::Submit {
        job,
        body: submitted_body,
        ..
    }) = message_with_body(body).job_request()
    else {
        panic!("no submission")
    };
    let is_submitted = String::from_utf8_lossy(&submitted_body).contains(&job);
    assert!(job.len() == 22 && is_submitted, "{job}");
    assert_eq!(
        message_with_body(body).job_request(),
        message_with_body(body).job_request()
    );
}

#[test]
fn message_key_depends_on_the_body_unless_the_message_has_an_id() {
    assert_ne!(
        message_with_body(r#"{"lane":"a"}"#).key(),
        message_with_body(r#"{"lane":"b"}"#).key()
    );
    let with_id = |body: &str| Message {
        id: Some("x".into()),
        ..message_with_body(body)
    };
    assert_eq!(with_id("1").key(), with_id("2").key());
}

#[test]
fn urgency_header_takes_precedence_over_the_body() {
    let low_priority = Message {
        priority: Some("low".into()),
        ..message_with_body(r#"{"urgency":"high"}"#)
    };
    assert!(
        matches!(low_priority.job_request(), Ok(JobRequest::Submit { body, .. }) if String::from_utf8_lossy(&body).contains(r#""urgency":"low""#))
    );
}

#[test]
fn cancellation_without_job_name_is_refused() {
    let cancel = |body: &str| Message {
        cancel: true,
        ..message_with_body(body)
    };
    let job = "req-000041".to_owned();
    assert_eq!(
        cancel(r#"{"nameId":"req-000041"}"#).job_request(),
        Ok(JobRequest::Cancel { job })
    );
    assert_eq!(
        cancel("{}").job_request(),
        Err(InvalidRequest::MissingJobName)
    );
}

#[test]
fn invalid_bodies_are_refused_with_their_reason() {
    let deeply_nested = format!("{{\"a\":{}", "[".repeat(60_000));
    let not_objects = ["", "[1]", "\"x\"", deeply_nested.as_str()];
    for body in not_objects {
        let request = message_with_body(body).job_request();
        assert_eq!(request, Err(InvalidRequest::NotAnObject), "{body:.20}");
    }
    for body in ["{\"nameId\":7}", "{\"nameId\":\"req-41\"}"] {
        let request = message_with_body(body).job_request();
        assert_eq!(request, Err(InvalidRequest::InvalidJobName), "{body}");
    }
    let not_utf8 = decode_request(vec![b'{', 0xff, b'}']);
    assert!(not_utf8.is_err(), "invalid UTF-8 is refused");
}

#[test]
fn body_above_the_limit_is_refused() {
    let large_body = format!(r#"{{"lane":"a","note":"{}"}}"#, "x".repeat(1 << 20));
    assert_eq!(
        decode_request(large_body.into_bytes()),
        Err(InvalidRequest::BodyTooLarge)
    );
}
