//! The whole queue service over real connections on loopback, between fakes of broker, controllers and state service.

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

/// How often a test looks for what it waits for before it gives up.
const MAX_POLLS: usize = 12_000;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Mean run time of jobs.
const JOB_RUN_TIME: Duration = Duration::from_millis(60);

/// Answers by their correlation ids.
pub type Answers = BTreeMap<String, Vec<Value>>;

/// Waits for a future for so many turns of this process. A time limit would judge the machine: beside other load each
/// turn takes longer, and so does what is waited for.
pub async fn wait_patiently<T>(future: impl Future<Output = T>) -> Option<T> {
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
    let holds = wait_patiently(async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    assert!(holds.await.is_some(), "waited for {what} in vain");
}

/// Properties of request number `n`; every third has no message id.
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
    /// Shuts down in an orderly way; panics if the service did.
    pub async fn stop(self) {
        self.request_stop();
        self.task.await.expect("no panic");
    }

    /// Shuts down in an orderly way. Returns whether that ended in time.
    pub async fn stop_patiently(self) -> bool {
        self.request_stop();
        wait_patiently(self.task).await.is_some()
    }

    pub fn request_stop(&self) {
        self.stop.notify_one();
    }

    /// Ends the service without any shutdown.
    pub fn kill(&self) {
        self.task.abort();
    }
}

pub struct TestBed {
    pub broker: AmqpServer,
    pub services: HttpServices,
    /// Folder of the files that settings name.
    pub base: tempfile::TempDir,
}

impl TestBed {
    pub async fn new(seed: u64, drop_one_in: u32, fault_one_in: u32) -> TestBed {
        let broker = AmqpServer::start(seed, drop_one_in, None).await;
        TestBed::with_broker(broker, seed, fault_one_in).await
    }

    /// A broker with a certificate for these names, in the file `roots.pem`.
    pub async fn with_tls(names: &[&str]) -> TestBed {
        const SEED: u64 = 4;
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let own = rcgen::generate_simple_self_signed(names).expect("a certificate");
        let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(own.signing_key.serialize_der()));
        let config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(vec![own.cert.der().clone()], key);
        let acceptor = TlsAcceptor::from(Arc::new(config.expect("a key that fits")));
        let broker = AmqpServer::start(SEED, 0, Some(acceptor)).await;
        let bed = TestBed::with_broker(broker, SEED, 0).await;
        bed.write_file("roots.pem", &own.cert.pem());
        bed
    }

    async fn with_broker(broker: AmqpServer, seed: u64, fault_one_in: u32) -> TestBed {
        let services = HttpServices::start(seed, fault_one_in, JOB_RUN_TIME).await;
        for queue in ["work", "urgent", "answers", "dead"] {
            broker.declare(queue);
        }
        let bed = TestBed {
            broker,
            services,
            base: tempfile::tempdir().expect("a folder"),
        };
        bed.write_file("login", "clerk\nnotices\n");
        bed
    }

    /// Writes a file beside the settings.
    pub fn write_file(&self, name: &str, text: &str) {
        std::fs::write(self.base.path().join(name), text).expect("a writable file");
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
        let service = QueueService::new(settings, self.base.path()).expect("a login");
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
        for message in self.broker.drain("answers") {
            let id = message.properties.correlation_id().as_ref();
            let id = id.expect("a correlation id").as_str().to_owned();
            let answer = serde_json::from_slice(&message.body).expect("JSON");
            answers.entry(id).or_default().push(answer);
        }
    }

    /// Waits until so many requests have a final answer.
    pub async fn wait_for_answers(&self, requests: usize) -> Answers {
        let mut answers = Answers::new();
        let is_answered = |of: &&Vec<Value>| of.iter().any(|answer| answer["final"] == true);
        wait_until("answers", || {
            self.collect_answers(&mut answers);
            answers.values().filter(is_answered).count() >= requests
        })
        .await;
        answers
    }

    pub fn has_receipt_queues(&self) -> bool {
        let queues = self.broker.queues();
        queues.iter().any(|q| q.starts_with("cometlead.receipts."))
    }
}
