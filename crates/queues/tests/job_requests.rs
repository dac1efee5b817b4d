//! What messages ask for, and how they are told apart.

use cometlead_queues::message::InvalidRequest;
use cometlead_queues::{JobRequest, Message};

fn message(body: &str) -> Message {
    Message {
        queue: "q".into(),
        body: body.into(),
        ..Message::default()
    }
}

fn request_of(body: Vec<u8>) -> Result<JobRequest, InvalidRequest> {
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
        job, body: sent, ..
    }) = message(body).job_request()
    else {
        panic!("no submission")
    };
    let is_sent = String::from_utf8_lossy(&sent).contains(&job);
    assert!(job.len() == 22 && is_sent, "{job}");
    assert_eq!(message(body).job_request(), message(body).job_request());
}

#[test]
fn messages_without_id_differ_by_body_and_messages_with_id_do_not() {
    assert_ne!(
        message(r#"{"lane":"a"}"#).key(),
        message(r#"{"lane":"b"}"#).key()
    );
    let with_id = |body: &str| Message {
        id: Some("x".into()),
        ..message(body)
    };
    assert_eq!(with_id("1").key(), with_id("2").key());
}

#[test]
fn urgency_header_takes_precedence_over_the_body() {
    let low_priority = Message {
        priority: Some("low".into()),
        ..message(r#"{"urgency":"high"}"#)
    };
    assert!(
        matches!(low_priority.job_request(), Ok(JobRequest::Submit { body, .. }) if String::from_utf8_lossy(&body).contains(r#""urgency":"low""#))
    );
}

#[test]
fn cancellation_needs_a_job_name() {
    let cancel = |body: &str| Message {
        cancel: true,
        ..message(body)
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
    let deep = format!("{{\"a\":{}", "[".repeat(60_000));
    let not_objects = ["", "[1]", "\"x\"", deep.as_str()];
    for body in not_objects {
        let request = message(body).job_request();
        assert_eq!(request, Err(InvalidRequest::NotAnObject), "{body:.20}");
    }
    for body in ["{\"nameId\":7}", "{\"nameId\":\"req-41\"}"] {
        let request = message(body).job_request();
        assert_eq!(request, Err(InvalidRequest::InvalidJobName), "{body}");
    }
    let not_utf8 = request_of(vec![b'{', 0xff, b'}']);
    assert!(not_utf8.is_err(), "no UTF-8");
}

#[test]
fn body_above_the_limit_is_refused() {
    let large = format!(r#"{{"lane":"a","note":"{}"}}"#, "x".repeat(1 << 20));
    assert_eq!(
        request_of(large.into_bytes()),
        Err(InvalidRequest::BodyTooLarge)
    );
}
