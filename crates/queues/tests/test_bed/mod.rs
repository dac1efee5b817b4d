//! Runs the whole queue service over real connections on loopback, with a fake broker, fake controllers and a fake
//! state service.

#![allow(dead_code, reason = "each test program uses some of it")]

use crate::fakes::amqp_server::{AMQPProperties, AmqpServer};
use crate::fakes::http_services::HttpServices;
use cometlead_queues::runtime::QueueService;
use cometlead_queues::settings::QueueSettings;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};

/// Number of polls after which a test stops waiting.
const MAX_POLLS: usize = 12_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Mean run time of jobs.
const MEAN_JOB_RUN_TIME: Duration = Duration::from_millis(60);

/// Answers by their correlation ids.
pub type Answers = BTreeMap<String, Vec<Value>>;

/// Waits for a future until `MAX_POLLS` polls have passed. A limit in wall-clock time would fail on a busy machine,
/// where the awaited work takes longer; each poll takes longer there, too.
pub async fn wait_within_poll_limit<T>(future: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(future);
    for _ in 0..MAX_POLLS {
        tokio::select! {
            output = &mut future => return Some(output),
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
    None
}

/// Waits until a condition holds; panics if it never does.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let outcome = wait_within_poll_limit(async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(outcome.await.is_some(), "gave up waiting for {what}");
}

/// Properties of request number `n`. Every third request has no message id.
pub fn request_properties(n: usize) -> AMQPProperties {
    let properties = AMQPProperties::default()
        .with_reply_to("answers".into())
        .with_correlation_id(format!("c{n}").into());
    if n.is_multiple_of(3) {
        properties
    } else {
        properties.with_message_id(format!("m{n}").into())
    }
}

/// A queue service that runs as a task.
pub struct RunningService {
    task: JoinHandle<()>,
    stop: Arc<Notify>,
}

impl RunningService {
    /// Shuts the service down gracefully; panics if the service has panicked.
    pub async fn stop(self) {
        self.request_stop();
        self.task.await.expect("no panic");
    }

    /// Shuts the service down gracefully. Returns whether it stopped within the poll limit.
    pub async fn stop_within_poll_limit(self) -> bool {
        self.request_stop();
        wait_within_poll_limit(self.task).await.is_some()
    }

    pub fn request_stop(&self) {
        self.stop.notify_one();
    }

    /// Ends the service without a shutdown.
    pub fn kill(&self) {
        self.task.abort();
    }
}

pub struct TestBed {
    pub broker: AmqpServer,
    pub services: HttpServices,
    /// Directory of the files that the settings refer to.
    pub settings_dir: tempfile::TempDir,
}

impl TestBed {
    pub async fn new(seed: u64, frames_per_drop: u32, requests_per_fault: u32) -> TestBed {
        let broker = AmqpServer::start(seed, frames_per_drop, None).await;
        TestBed::with_broker(broker, seed, requests_per_fault).await
    }

    /// A test bed whose broker has a certificate for these host names. The certificate is written to `roots.pem`.
    pub async fn with_tls(names: &[&str]) -> TestBed {
        const SEED: u64 = 4;
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let certificate = rcgen::generate_simple_self_signed(names).expect("a certificate");
        let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(
            certificate.signing_key.serialize_der(),
        ));
        let config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(vec![certificate.cert.der().clone()], key);
        let acceptor = TlsAcceptor::from(Arc::new(
            config.expect("a key that matches the certificate"),
        ));
        let broker = AmqpServer::start(SEED, 0, Some(acceptor)).await;
        let bed = TestBed::with_broker(broker, SEED, 0).await;
        bed.write_file("roots.pem", &certificate.cert.pem());
        bed
    }

    async fn with_broker(broker: AmqpServer, seed: u64, requests_per_fault: u32) -> TestBed {
        let services = HttpServices::start(seed, requests_per_fault, MEAN_JOB_RUN_TIME).await;
        for queue in ["work", "urgent", "answers", "dead"] {
            broker.declare_queue(queue);
        }
        let bed = TestBed {
            broker,
            services,
            settings_dir: tempfile::tempdir().expect("a temporary directory"),
        };
        bed.write_file("login", "clerk\nnotices\n");
        bed
    }

    /// Writes a file that the settings can refer to.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.settings_dir.path().join(name), text).expect("a writable file");
    }

    pub fn settings(&self) -> Value {
        json!({
            "broker": {
                "host": "127.0.0.1",
                "port": self.broker.address.port(),
                "credentials": "login",
                "heartbeat_s": 1,
            },
            "controllers": [self.services.address.to_string()],
            "state": { "address": self.services.address.to_string(), "rounds_per_s": 200 },
            "queues": [{ "name": "work", "prefetch": 20 }],
            "poll_s": 0.1,
            "polls_per_s": 1000,
            "submits_per_s": 1000,
            "calls": 16,
            "stop_s": 10,
        })
    }

    pub fn start_service(&self, process: u64, settings: &Value) -> RunningService {
        let settings = QueueSettings::parse(settings.to_string().as_bytes()).expect("settings");
        let service =
            QueueService::new(settings, self.settings_dir.path()).expect("valid credentials");
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let stopped = async move { stopped.notified().await };
            service.serve(process, stopped).await;
        });
        RunningService { task, stop }
    }

    /// Publishes request number `n`.
    pub fn send(&self, n: usize, queue: &str, body: &str) {
        self.broker
            .publish(queue, request_properties(n), body.as_bytes());
    }

    /// Adds all answers that have arrived.
    pub fn collect_answers(&self, answers: &mut Answers) {
        for message in self.broker.take_ready_messages("answers") {
            let id = message.properties.correlation_id().as_ref();
            let id = id.expect("a correlation id").as_str().to_owned();
            let answer = serde_json::from_slice(&message.body).expect("JSON");
            answers.entry(id).or_default().push(answer);
        }
    }

    /// Waits until `requests` requests have a final answer.
    pub async fn wait_for_answers(&self, requests: usize) -> Answers {
        let mut answers = Answers::new();
        let has_final_answer =
            |answers: &&Vec<Value>| answers.iter().any(|answer| answer["final"] == true);
        wait_until("the final answers", || {
            self.collect_answers(&mut answers);
            answers.values().filter(has_final_answer).count() >= requests
        })
        .await;
        answers
    }

    pub fn has_receipt_queues(&self) -> bool {
        let queues = self.broker.queue_names();
        queues.iter().any(|q| q.starts_with("cometlead.receipts."))
    }
}
