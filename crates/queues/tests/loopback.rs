//! Tests of the whole service over real connections on loopback: AMQP to a fake broker, HTTP to fake controllers and
//! a fake state service.

#[path = "../examples/submit.rs"]
mod example;
mod fakes;
mod test_bed;

use amq_protocol::types::{AMQPValue, FieldTable};
use amqprs::connection::OpenConnectionArguments;
use cometlead_queues::runtime::QueueService;
use cometlead_queues::settings::QueueSettings;
use fakes::amqp_server::AMQPProperties;
use fakes::http_services::HttpServices;
use serde_json::{Value, json};
use std::time::Duration;
use test_bed::{Answers, TestBed, request_properties, wait_until, wait_within_poll_limit};

fn text(value: &str) -> AMQPValue {
    AMQPValue::LongString(value.into())
}

fn properties_with(n: usize, headers: &[(&str, AMQPValue)]) -> AMQPProperties {
    let mut table = FieldTable::default();
    for (name, value) in headers {
        table.insert((*name).into(), value.clone());
    }
    request_properties(n).with_headers(table)
}

/// Ends an outage and waits until the queue service has opened its receipt queue. It does not begin its work without
/// the state service.
async fn wait_for_connection_after_outage(bed: &TestBed) {
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.services.set_outage(false);
    wait_until("the connection", || bed.has_receipt_queues()).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn headers_status_updates_and_cancellations_are_honoured() {
    let bed = TestBed::new(1, 0, 0).await;
    bed.services.set_outage(true);
    let service = bed.start_service(1, &bed.settings());
    wait_for_connection_after_outage(&bed).await;
    bed.services.set_outage(true);
    let enabled = AMQPValue::Boolean(true);
    let headers = [("interim", enabled.clone()), ("urgency", text("high"))];
    let long_job = br#"{"nameId":"req-000001","guessS":600}"#;
    bed.broker
        .publish("work", properties_with(1, &headers), long_job);
    let mut answers = Answers::new();
    wait_until("a status update", || {
        bed.collect_answers(&mut answers);
        answers.contains_key("c1")
    })
    .await;
    assert_eq!(answers["c1"][0]["status"], "delayed");

    bed.services.set_outage(false);
    let cancellation = properties_with(2, &[("cancel", enabled)]);
    let unknown_job = br#"{"nameId":"req-999999"}"#;
    bed.broker.publish("work", cancellation, unknown_job);
    let invalid = properties_with(4, &[("due_s", text("soon"))]);
    bed.broker.publish("work", invalid, b"{}");
    let answers = bed.wait_for_answers(3).await;
    let long_job_answers = &answers["c1"];
    assert_eq!(
        long_job_answers.last().expect("an answer")["status"],
        "done"
    );
    assert!(
        long_job_answers.iter().any(|a| a["status"] == "accepted"),
        "{answers:?}"
    );
    assert_eq!(answers["c2"][0]["reason"], "no such job");
    assert_eq!(answers["c4"][0]["reason"], "due_s: invalid");
    service.stop().await;
    assert!(!bed.has_receipt_queues(), "shutdown leaves no queue behind");
    assert_eq!(bed.broker.ready_count("work"), 0);
}

/// Settings with two queues and one request at a time.
fn two_queue_settings(bed: &TestBed) -> Value {
    let mut settings = bed.settings();
    settings["queues"] = json!([
        { "name": "work", "rank": 9, "prefetch": 50, "dead_letter": "dead", "without_reply": "accepted" },
        { "name": "urgent", "rank": 1, "prefetch": 50 },
    ]);
    settings["calls"] = json!(1);
    settings["submits_per_s"] = json!(1);
    settings
}

#[tokio::test(flavor = "multi_thread")]
async fn lower_ranks_are_submitted_first_and_invalid_messages_without_reply_become_dead_letters() {
    let bed = TestBed::new(2, 0, 0).await;
    let without_reply = AMQPProperties::default;
    let invalid = [
        vec![b'['; 1 << 20],
        vec![0xff, 0xfe],
        b"{\"a\":".repeat(30_000),
        b"null".to_vec(),
    ];
    for body in &invalid {
        bed.broker.publish("work", without_reply(), body);
    }
    for n in 0..3 {
        let work = format!(r#"{{"nameId":"req-00001{n}"}}"#);
        let urgent = format!(r#"{{"nameId":"req-00002{n}"}}"#);
        bed.broker.publish("work", without_reply(), work.as_bytes());
        bed.broker
            .publish("urgent", without_reply(), urgent.as_bytes());
    }
    let service = bed.start_service(1, &two_queue_settings(&bed));
    wait_until("all jobs", || bed.services.submitted_jobs().len() == 6).await;
    let submitted = bed.services.submitted_jobs();
    // One job of `work` may be submitted before the service consumes from `urgent`.
    assert!(
        submitted[1..3].iter().all(|j| j.starts_with("req-00002")),
        "{submitted:?}"
    );
    wait_until("dead letters", || {
        bed.broker.ready_count("dead") == invalid.len()
    })
    .await;
    let dead_letters = bed.broker.take_ready_messages("dead");
    let have_reasons = dead_letters
        .iter()
        .all(|m| m.properties.headers().is_some());
    assert!(have_reasons, "dead letters have a reason");
    assert!(
        dead_letters.iter().any(|m| m.body == [0xff, 0xfe]),
        "bodies are unchanged"
    );
    service.stop().await;
    assert_eq!(
        bed.broker.ready_count("work") + bed.broker.ready_count("urgent"),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn undecodable_headers_are_refused_and_messages_behind_them_are_served() {
    let bed = TestBed::new(5, 0, 0).await;
    let mut settings = bed.settings();
    settings["queues"][0]["dead_letter"] = json!("dead");
    let not_utf8 = AMQPValue::LongString([0xff, 0xfe].as_slice().into());
    let mut table = FieldTable::default();
    table.insert("owner".into(), not_utf8);
    let with_reply = request_properties(1).with_headers(table.clone());
    bed.broker.publish("work", with_reply, b"{}");
    let without_reply = AMQPProperties::default().with_headers(table);
    bed.broker.publish("work", without_reply, b"{}");
    bed.send(2, "work", r#"{"lane":"b"}"#);
    let service = bed.start_service(1, &settings);
    let answers = bed.wait_for_answers(2).await;
    assert_eq!(answers["c1"][0]["reason"], "the headers cannot be read");
    assert_eq!(answers["c2"][0]["status"], "done");
    wait_until("dead letters", || bed.broker.ready_count("dead") == 1).await;
    service.stop().await;
    let submitted = bed.services.submitted_jobs().len();
    assert_eq!((bed.broker.ready_count("work"), submitted), (0, 1));
}

/// Publishes request number `n` with a header that the AMQP library cannot decode.
fn publish_undecodable(bed: &TestBed, n: usize) {
    let not_utf8 = AMQPValue::LongString([0xff, 0xfe].as_slice().into());
    let properties = properties_with(n, &[("owner", not_utf8)]);
    bed.broker.publish("work", properties, b"{}");
}

/// A connection may be lost after the last response to a command and before the session waits for the next command.
/// The AMQP library reports the loss only to those who wait at that moment.
///
/// A single thread makes this order certain. The confirmation of `basic.consume` and both messages arrive together.
/// The library reads them at once and fails at the second one; then it yields while the first one has no consumer yet,
/// and the session goes on. The outage of the controllers keeps the session from using the lost connection.
#[tokio::test(flavor = "current_thread")]
async fn loss_of_connection_before_the_session_waits_for_commands_is_noticed() {
    const SEED: u64 = 5;
    let bed = TestBed::new(SEED, 0, 0).await;
    let controllers = HttpServices::start(SEED, 0, Duration::ZERO).await;
    controllers.set_outage(true);
    let mut settings = bed.settings();
    settings["controllers"] = json!([controllers.address.to_string()]);
    bed.send(1, "work", "{}");
    publish_undecodable(&bed, 2);
    let service = bed.start_service(1, &settings);
    let answers = bed.wait_for_answers(1).await;
    assert_eq!(answers["c2"][0]["reason"], "the headers cannot be read");
    controllers.set_outage(false);
    let answers = bed.wait_for_answers(1).await;
    assert_eq!(answers["c1"][0]["status"], "done");
    service.stop().await;
    let submitted = controllers.submitted_jobs().len();
    assert_eq!((bed.broker.ready_count("work"), submitted), (0, 1));
}

/// A lost connection closes its channels, too. It must not be taken for a channel that the broker closed, since only a
/// lost connection is replaced by one through the header filter.
///
/// A single thread makes the order certain: the prefetch count of 1 lets the undecodable message follow the
/// confirmation of the first commit, so the channel is closed when the session goes on after the commit.
#[tokio::test(flavor = "current_thread")]
async fn loss_of_connection_right_after_a_commit_leads_to_one_reconnect() {
    let bed = TestBed::new(5, 0, 0).await;
    let mut settings = bed.settings();
    settings["queues"][0]["prefetch"] = json!(1);
    bed.send(1, "work", "{}");
    publish_undecodable(&bed, 2);
    let service = bed.start_service(1, &settings);
    let answers = bed.wait_for_answers(2).await;
    assert_eq!(answers["c1"][0]["status"], "done");
    assert_eq!(answers["c2"][0]["reason"], "the headers cannot be read");
    assert_eq!(bed.broker.accepted_connection_count(), 2);
    service.stop().await;
    assert_eq!(bed.broker.ready_count("work"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_reconnects_after_missed_heartbeats_of_a_hanging_broker() {
    let bed = TestBed::new(3, 0, 0).await;
    let service = bed.start_service(1, &bed.settings());
    bed.send(1, "work", "{}");
    bed.wait_for_answers(1).await;
    bed.broker.hang_connections();
    bed.send(2, "work", r#"{"lane":"b"}"#);
    bed.wait_for_answers(1).await;
    service.stop().await;
}

fn with_tls_settings(bed: &TestBed, tls: Value) -> Value {
    let mut settings = bed.settings();
    settings["broker"]["tls"] = tls;
    settings
}

#[tokio::test(flavor = "multi_thread")]
async fn service_connects_to_trusted_broker_over_tls_and_reconnects_after_its_restart() {
    let bed = TestBed::with_tls(&["mq.example.org"]).await;
    let tls = json!({ "roots": "roots.pem", "name": "mq.example.org" });
    let service = bed.start_service(1, &with_tls_settings(&bed, tls));
    for n in 0..20 {
        let body = format!(r#"{{"n":{n},"note":"{}"}}"#, "x".repeat(n * 2_000));
        bed.send(n, "work", &body);
    }
    let answers = bed.wait_for_answers(20).await;
    let is_done = |answers: &Vec<Value>| answers.len() == 1 && answers[0]["status"] == "done";
    assert!(answers.values().all(is_done), "{answers:?}");
    bed.broker.restart();
    bed.send(20, "work", "{}");
    bed.wait_for_answers(1).await;
    service.stop().await;
    assert_eq!(bed.broker.failed_tls_handshakes(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn untrusted_broker_gets_neither_credentials_nor_acknowledgements() {
    let bed = TestBed::with_tls(&["mq.example.org"]).await;
    let other_certificate = rcgen::generate_simple_self_signed(vec!["mq.example.org".to_owned()]);
    bed.write_file(
        "other.pem",
        &other_certificate.expect("a certificate").cert.pem(),
    );
    bed.send(1, "work", "{}");
    let untrusting_settings = [
        json!({ "roots": "other.pem", "name": "mq.example.org" }),
        json!({ "roots": "roots.pem", "name": "x.org" }),
    ];
    for (n, tls) in untrusting_settings.into_iter().enumerate() {
        let service = bed.start_service(1, &with_tls_settings(&bed, tls));
        wait_until("two failed handshakes", || {
            bed.broker.failed_tls_handshakes() >= 2 * (n + 1)
        })
        .await;
        assert_eq!(bed.broker.connection_count(), 0);
        service.stop().await;
    }
    // A service without TLS cannot connect to a broker that requires TLS.
    let service = bed.start_service(1, &bed.settings());
    wait_until("a failed handshake", || {
        bed.broker.failed_tls_handshakes() >= 5
    })
    .await;
    service.stop().await;
    let submitted = bed.services.submitted_jobs().len();
    assert_eq!((bed.broker.ready_count("work"), submitted), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn unusable_root_certificates_are_refused_with_the_name_of_their_file() {
    let bed = TestBed::with_tls(&["mq.example.org"]).await;
    let invalid_pem = "-----BEGIN CERTIFICATE-----\nxx\n-----END CERTIFICATE-----";
    bed.write_file("empty.pem", "");
    bed.write_file("bad.pem", invalid_pem);
    for file in ["none.pem", "empty.pem", "bad.pem"] {
        let settings = with_tls_settings(&bed, json!({ "roots": file }));
        let settings = QueueSettings::parse(settings.to_string().as_bytes()).expect("settings");
        let error = QueueService::new(settings, bed.settings_dir.path())
            .expect_err(file)
            .to_string();
        assert!(
            error.starts_with("broker.tls.roots: ")
                && error.contains(file)
                && !error.contains('\n'),
            "{error}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn example_client_gets_one_answer_however_often_it_submits() {
    let bed = TestBed::new(4, 0, 0).await;
    let service = bed.start_service(1, &bed.settings());
    let port = bed.broker.address.port();
    let connection_arguments = OpenConnectionArguments::new("127.0.0.1", port, "a", "b");
    let job = br#"{"nameId":"req-000412"}"#;
    let answer =
        wait_within_poll_limit(example::submit(&connection_arguments, "work", job.to_vec()))
            .await
            .expect("an end within the poll limit")
            .expect("an answer");
    assert!(answer.contains(r#""nameId":"req-000412","status":"done""#));
    let repeated = AMQPProperties::default()
        .with_reply_to("my.answers".into())
        .with_message_id("notice-1".into())
        .with_correlation_id("1".into());
    bed.broker.publish("work", repeated, job);
    wait_until("the acknowledgement of the repeated message", || {
        bed.broker.message_count("work") == 0
    })
    .await;
    service.stop().await;
    assert_eq!(bed.services.submitted_jobs(), ["req-000412"]);
    assert_eq!(bed.broker.ready_count("my.answers"), 0);
}
