//! The whole service over real connections on loopback: AMQP to a fake broker, HTTP to fakes of the controllers and
//! the state service. `SEEDS=5000 cargo test -p cometlead-queues --release --test loopback` plays more.

#[path = "../examples/submit.rs"]
mod example;
mod fakes;

use cometlead_queues::runtime::QueueService;
use cometlead_queues::settings::QueueSettings;
use fakes::amqp_server::{AMQPProperties, AmqpServer};
use fakes::http_services::HttpServices;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};

/// How often a test looks before it gives up on what it waits for, 10 ms apart.
const LOOKS: usize = 12_000;

/// Waits for something, for so many turns of this process. A clock would judge the machine: beside other load each turn
/// takes longer, and so does what is waited for.
async fn patiently<T>(what: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(what);
    for _ in 0..LOOKS {
        tokio::select! {
            done = &mut what => return Some(done),
            () = tokio::time::sleep(Duration::from_millis(10)) => {}
        }
    }
    None
}

struct TestBed {
    broker: AmqpServer,
    services: HttpServices,
    base: tempfile::TempDir,
}

fn settings(broker: &AmqpServer, services: &HttpServices) -> Value {
    json!({
        "broker": { "host": "127.0.0.1", "port": broker.at.port(), "credentials": "login", "heartbeat_s": 1 },
        "controllers": [services.at.to_string()],
        "state": { "address": services.at.to_string(), "rounds_per_s": 200 },
        "queues": [{ "name": "work", "prefetch": 20 }],
        "poll_s": 0.1, "polls_per_s": 1000, "submits_per_s": 1000, "calls": 16, "stop_s": 10,
    })
}

impl TestBed {
    async fn new(seed: u64, drop_one_in: u32, fault_one_in: u32) -> TestBed {
        TestBed::with(
            AmqpServer::start(seed, drop_one_in, None).await,
            seed,
            fault_one_in,
        )
        .await
    }

    async fn with(broker: AmqpServer, seed: u64, fault_one_in: u32) -> TestBed {
        let services = HttpServices::start(seed, fault_one_in, Duration::from_millis(60)).await;
        for queue in ["work", "urgent", "answers", "dead"] {
            broker.declare(queue);
        }
        let base = tempfile::tempdir().expect("a folder");
        std::fs::write(base.path().join("login"), "clerk\nnotices\n").expect("a file");
        TestBed {
            broker,
            services,
            base,
        }
    }

    fn settings(&self) -> Value {
        settings(&self.broker, &self.services)
    }

    fn process(&self, run: u64, settings: &Value) -> (JoinHandle<()>, Arc<Notify>) {
        let settings = QueueSettings::parse(settings.to_string().as_bytes()).expect("settings");
        let queues = QueueService::new(settings, self.base.path()).expect("a login");
        let stop = Arc::new(Notify::new());
        let stopped = Arc::clone(&stop);
        (
            tokio::spawn(async move {
                queues
                    .serve(run, async move { stopped.notified().await })
                    .await
            }),
            stop,
        )
    }

    fn send(&self, n: usize, queue: &str, body: &str) {
        self.broker.publish(queue, asks(n), body.as_bytes());
    }

    /// Waits for final answers, by their correlation.
    async fn answers(&self, n: usize) -> BTreeMap<String, Vec<Value>> {
        let mut answers: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        wait("answers", || {
            read(self, &mut answers);
            answers
                .values()
                .filter(|a| a.iter().any(|v| v["final"] == true))
                .count()
                >= n
        })
        .await;
        answers
    }
}

fn read(bed: &TestBed, answers: &mut BTreeMap<String, Vec<Value>>) {
    for letter in bed.broker.read("answers") {
        let correlation = letter
            .properties
            .correlation_id()
            .as_ref()
            .expect("a correlation")
            .as_str()
            .to_owned();
        answers
            .entry(correlation)
            .or_default()
            .push(serde_json::from_slice(&letter.body).expect("JSON"));
    }
}

async fn wait(what: &str, mut ready: impl FnMut() -> bool) {
    let waited = patiently(async {
        while !ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_some(), "waited for {what} in vain");
}

fn asks(n: usize) -> AMQPProperties {
    let p = AMQPProperties::default()
        .with_reply_to("answers".into())
        .with_correlation_id(format!("c{n}").into());
    if n.is_multiple_of(3) {
        p
    } else {
        p.with_message_id(format!("m{n}").into())
    }
}

/// A seed: some messages, two processes, connections that end at any frame, requests that fail, kills and restarts.
async fn play(seed: u64) -> Vec<String> {
    const MESSAGES: usize = 12;
    let mut rng = StdRng::seed_from_u64(seed);
    let bed = TestBed::new(seed, 60, 12).await;
    let settings = bed.settings();
    let mut processes: Vec<_> = (0..2)
        .map(|_| bed.process(rng.random(), &settings))
        .collect();
    for n in 0..MESSAGES {
        let body = match n % 6 {
            1 => r#"{"nameId":"req-000007","lane":"a"}"#.to_owned(),
            2 => "[1]".to_owned(),
            4 => r#"{"crew":"nobody"}"#.to_owned(),
            _ => format!(r#"{{"lane":"a","n":{n}}}"#),
        };
        bed.send(n, "work", &body);
        if rng.random_range(0..4) == 0 {
            bed.send(n, "work", &body);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
        match rng.random_range(0..10) {
            0 => {
                // Killed, as far as anybody else can tell, and started again.
                let one = rng.random_range(0..processes.len());
                processes[one].0.abort();
                processes[one] = bed.process(rng.random(), &settings);
            }
            1 => bed.broker.restart(),
            2 => processes[0].1.notify_one(),
            _ => {}
        }
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
    bed.broker.drop_one_in(0);
    bed.services.stop_faults();
    processes.push(bed.process(rng.random(), &settings));
    let mut answers = bed.answers(MESSAGES).await;
    // All is acknowledged, and nothing comes after it.
    let last = processes.pop().expect("a process");
    for (process, stop) in &processes {
        stop.notify_one();
        process.abort();
    }
    last.1.notify_one();
    let ended = patiently(last.0).await.is_some();
    wait("the end of all connections", || {
        bed.broker.connections() == 0
    })
    .await;
    let left = bed.broker.ready("work");
    read(&bed, &mut answers);
    let mut bad = Vec::new();
    if !ended {
        bad.push("the last process does not end".to_owned());
    }
    // What is left is a copy or two that the last one gave back; another process settles it without a word.
    if left > 0 {
        let (process, stop) = bed.process(rng.random(), &settings);
        wait("the rest", || bed.broker.ready("work") == 0).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        stop.notify_one();
        let _ = patiently(process).await;
        read(&bed, &mut answers);
    }
    for n in 0..MESSAGES {
        let of = answers.get(&format!("c{n}")).map_or(&[][..], Vec::as_slice);
        let status = of.first().map(|a| a["status"].as_str().unwrap_or_default());
        let wanted = if matches!(n % 6, 2 | 4) {
            "refused"
        } else {
            "done"
        };
        if of.len() != 1 || status != Some(wanted) {
            bad.push(format!("message {n}: {of:?}"));
        }
        for answer in of.iter().filter(|a| a["status"] == "done") {
            let job = answer["nameId"].as_str().unwrap_or_default();
            if bed.services.ended(job) != Some("done") {
                bad.push(format!("message {n}: {job} is not done"));
            }
        }
    }
    bad.into_iter()
        .map(|b| format!("seed {seed}: {b}"))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_answer_for_each_message_whatever_ends() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .map(|s| s.parse::<u64>().expect("a number"))
    };
    let seeds = number("SEED").map_or(1..=number("SEEDS").unwrap_or(200), |s| s..=s);
    let room = Arc::new(Semaphore::new(24));
    let mut plays = tokio::task::JoinSet::new();
    for seed in seeds {
        let room = Arc::clone(&room);
        plays.spawn(async move {
            let _turn = room.acquire().await;
            play(seed).await
        });
    }
    let bad: Vec<String> = plays.join_all().await.into_iter().flatten().collect();
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

/// Headers count; a job that has to wait is told so; a cancellation is answered, and so is what it cancels.
#[tokio::test(flavor = "multi_thread")]
async fn headers_interim_answers_and_cancellation() {
    use amq_protocol::types::{AMQPValue, FieldTable};
    let bed = TestBed::new(1, 0, 0).await;
    bed.services.set_outage(true);
    let with = |n: usize, headers: &[(&str, AMQPValue)]| {
        let mut table = FieldTable::default();
        for (name, value) in headers {
            table.insert((*name).into(), value.clone());
        }
        asks(n).with_headers(table)
    };
    let yes = AMQPValue::Boolean(true);
    let text = |t: &str| AMQPValue::LongString(t.into());
    let long = br#"{"nameId":"req-000001","guessS":600}"#;
    let (process, stop) = bed.process(1, &bed.settings());
    // The state service is out as well: nothing begins before it is back.
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.services.set_outage(false);
    wait("the connection", || {
        bed.broker
            .queues()
            .iter()
            .any(|q| q.starts_with("cometlead.receipts."))
    })
    .await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    bed.services.set_outage(true);
    bed.broker.publish(
        "work",
        with(1, &[("interim", yes.clone()), ("urgency", text("high"))]),
        long,
    );
    let mut answers = BTreeMap::new();
    wait("an interim answer", || {
        read(&bed, &mut answers);
        answers.contains_key("c1")
    })
    .await;
    assert_eq!(answers["c1"][0]["status"], "delayed");
    bed.services.set_outage(false);
    bed.broker.publish(
        "work",
        with(2, &[("cancel", yes)]),
        br#"{"nameId":"req-999999"}"#,
    );
    bed.broker
        .publish("work", with(4, &[("due_s", text("soon"))]), b"{}");
    let rest = bed.answers(3).await;
    assert_eq!(rest["c1"].last().expect("an answer")["status"], "done");
    assert!(
        rest["c1"].iter().any(|a| a["status"] == "accepted"),
        "{rest:?}"
    );
    assert_eq!(rest["c2"][0]["reason"], "no such job");
    assert_eq!(rest["c4"][0]["reason"], "due_s: invalid");
    stop.notify_one();
    process.await.expect("no panic");
    // A clean end leaves no queue behind.
    assert!(
        !bed.broker
            .queues()
            .iter()
            .any(|q| q.starts_with("cometlead.receipts."))
    );
    assert_eq!(bed.broker.ready("work"), 0);
}

/// Urgent queues first; what nobody can be told about goes to the dead letters; poison stops nothing.
#[tokio::test(flavor = "multi_thread")]
async fn ranks_dead_letters_and_poison() {
    let bed = TestBed::new(2, 0, 0).await;
    let mut settings = bed.settings();
    settings["queues"] = json!([
        { "name": "work", "rank": 9, "prefetch": 50, "dead_letter": "dead", "without_reply": "accepted" },
        { "name": "urgent", "rank": 1, "prefetch": 50 },
    ]);
    settings["calls"] = json!(1);
    settings["submits_per_s"] = json!(1);
    let silent = AMQPProperties::default;
    let poison = [
        vec![b'['; 1 << 20],
        vec![0xff, 0xfe],
        b"{\"a\":".repeat(30_000),
        b"null".to_vec(),
    ];
    for body in &poison {
        bed.broker.publish("work", silent(), body);
    }
    for n in 0..3 {
        bed.broker.publish(
            "work",
            silent(),
            format!(r#"{{"nameId":"req-00001{n}"}}"#).as_bytes(),
        );
        bed.broker.publish(
            "urgent",
            silent(),
            format!(r#"{{"nameId":"req-00002{n}"}}"#).as_bytes(),
        );
    }
    let (process, stop) = bed.process(1, &settings);
    wait("all jobs", || bed.services.submitted().len() == 6).await;
    let taken = bed.services.submitted();
    // One may be asked for before the other queue has begun.
    assert!(
        taken[1..3].iter().all(|j| j.starts_with("req-00002")),
        "{taken:?}"
    );
    wait("dead letters", || bed.broker.ready("dead") == poison.len()).await;
    let dead = bed.broker.read("dead");
    assert!(
        dead.iter().all(|l| l.properties.headers().is_some()),
        "with the reason"
    );
    assert!(dead.iter().any(|l| l.body == [0xff, 0xfe]), "as they came");
    stop.notify_one();
    process.await.expect("no panic");
    assert_eq!(bed.broker.ready("work") + bed.broker.ready("urgent"), 0);
}

/// Headers that the library cannot read end its connection. The next one goes on without them, and what stands behind
/// such a message is served.
#[tokio::test(flavor = "multi_thread")]
async fn headers_that_cannot_be_read() {
    use amq_protocol::types::{AMQPValue, FieldTable};
    let bed = TestBed::new(5, 0, 0).await;
    let mut settings = bed.settings();
    settings["queues"][0]["dead_letter"] = json!("dead");
    let mut table = FieldTable::default();
    table.insert(
        "owner".into(),
        AMQPValue::LongString([0xff, 0xfe].as_slice().into()),
    );
    bed.broker
        .publish("work", asks(1).with_headers(table.clone()), b"{}");
    bed.broker
        .publish("work", AMQPProperties::default().with_headers(table), b"{}");
    bed.send(2, "work", r#"{"lane":"b"}"#);
    let (process, stop) = bed.process(1, &settings);
    let answers = bed.answers(2).await;
    assert_eq!(answers["c1"][0]["reason"], "the headers cannot be read");
    assert_eq!(answers["c2"][0]["status"], "done");
    wait("dead letters", || bed.broker.ready("dead") == 1).await;
    stop.notify_one();
    process.await.expect("no panic");
    assert_eq!(
        (bed.broker.ready("work"), bed.services.submitted().len()),
        (0, 1)
    );
}

/// A broker that hangs is noticed by its heartbeat, and the next connection goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_broker_that_hangs() {
    let bed = TestBed::new(3, 0, 0).await;
    let (process, stop) = bed.process(1, &bed.settings());
    bed.send(1, "work", "{}");
    bed.answers(1).await;
    bed.broker.hang();
    bed.send(2, "work", r#"{"lane":"b"}"#);
    bed.answers(1).await;
    stop.notify_one();
    process.await.expect("no panic");
}

/// A broker with a certificate, and the folder with its roots.
async fn with_tls(names: &[&str]) -> TestBed {
    let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
    let own = rcgen::generate_simple_self_signed(names).expect("a certificate");
    let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(own.signing_key.serialize_der()));
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(vec![own.cert.der().clone()], key);
    let acceptor = TlsAcceptor::from(Arc::new(config.expect("a key that fits")));
    let bed = TestBed::with(AmqpServer::start(4, 0, Some(acceptor)).await, 4, 0).await;
    std::fs::write(bed.base.path().join("roots.pem"), own.cert.pem()).expect("a file");
    bed
}

/// Over TLS everything goes on as without, to the broker whose certificate is trusted under the name that is asked for.
#[tokio::test(flavor = "multi_thread")]
async fn over_tls() {
    let bed = with_tls(&["mq.example.org"]).await;
    let mut settings = bed.settings();
    settings["broker"]["tls"] = json!({ "roots": "roots.pem", "name": "mq.example.org" });
    let (process, stop) = bed.process(1, &settings);
    for n in 0..20 {
        let body = format!(r#"{{"n":{n},"note":"{}"}}"#, "x".repeat(n * 2_000));
        bed.send(n, "work", &body);
    }
    let answers = bed.answers(20).await;
    assert!(
        answers
            .values()
            .all(|a| a.len() == 1 && a[0]["status"] == "done"),
        "{answers:?}"
    );
    bed.broker.restart();
    bed.send(20, "work", "{}");
    bed.answers(1).await;
    stop.notify_one();
    process.await.expect("no panic");
    assert_eq!(bed.broker.failed_handshakes(), 0);
}

/// A broker that cannot prove who it is reads neither credentials nor anything else, and nothing is taken from it.
#[tokio::test(flavor = "multi_thread")]
async fn a_broker_that_is_not_trusted() {
    let bed = with_tls(&["mq.example.org"]).await;
    let other = rcgen::generate_simple_self_signed(vec!["mq.example.org".to_owned()])
        .expect("a certificate");
    std::fs::write(bed.base.path().join("other.pem"), other.cert.pem()).expect("a file");
    bed.send(1, "work", "{}");
    let wrong = [
        json!({ "roots": "other.pem", "name": "mq.example.org" }),
        json!({ "roots": "roots.pem", "name": "x.org" }),
    ];
    for (n, tls) in wrong.into_iter().enumerate() {
        let mut settings = bed.settings();
        settings["broker"]["tls"] = tls;
        let (process, stop) = bed.process(1, &settings);
        wait("two attempts", || {
            bed.broker.failed_handshakes() >= 2 * (n + 1)
        })
        .await;
        assert_eq!(bed.broker.connections(), 0);
        stop.notify_one();
        process.await.expect("no panic");
    }
    // Nor does it go on without TLS where the broker wants it, or the other way round.
    let (process, stop) = bed.process(1, &bed.settings());
    wait("an attempt", || bed.broker.failed_handshakes() >= 5).await;
    stop.notify_one();
    process.await.expect("no panic");
    assert_eq!(
        (bed.broker.ready("work"), bed.services.submitted().len()),
        (1, 0)
    );
    // Files that cannot serve are named.
    for (file, text) in [
        ("none.pem", None),
        ("empty.pem", Some("")),
        (
            "bad.pem",
            Some("-----BEGIN CERTIFICATE-----\nxx\n-----END CERTIFICATE-----"),
        ),
    ] {
        if let Some(text) = text {
            std::fs::write(bed.base.path().join(file), text).expect("a file");
        }
        let mut settings = bed.settings();
        settings["broker"]["tls"] = json!({ "roots": file });
        let settings = QueueSettings::parse(settings.to_string().as_bytes()).expect("settings");
        let error = QueueService::new(settings, bed.base.path())
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

/// The client that the operators' page shows.
#[tokio::test(flavor = "multi_thread")]
async fn the_example_client() {
    let bed = TestBed::new(4, 0, 0).await;
    let (process, stop) = bed.process(1, &bed.settings());
    let login = amqprs::connection::OpenConnectionArguments::new(
        "127.0.0.1",
        bed.broker.at.port(),
        "a",
        "b",
    );
    let job = br#"{"nameId":"req-000412"}"#;
    let answer = patiently(example::submit(&login, "work", job.to_vec()))
        .await
        .expect("in time");
    assert!(
        answer
            .expect("an answer")
            .contains(r#""nameId":"req-000412","status":"done""#)
    );
    // Sent again it is the same message: its one answer was given.
    let again = AMQPProperties::default()
        .with_reply_to("my.answers".into())
        .with_message_id("notice-1".into());
    let again = again.with_correlation_id("1".into());
    bed.broker.publish("work", again, job);
    wait("its acknowledgement", || bed.broker.held("work") == 0).await;
    stop.notify_one();
    process.await.expect("no panic");
    assert_eq!(bed.services.submitted(), ["req-000412"]);
    assert_eq!(bed.broker.ready("my.answers"), 0);
}

/// What cannot be used is refused in one line that names it.
#[test]
fn settings_are_checked() {
    let good = json!({
        "broker": { "host": "mq", "credentials": "login" }, "controllers": ["a:1"],
        "state": { "address": "b:2" }, "queues": [{ "name": "work" }],
    });
    let parse = |s: &Value| QueueSettings::parse(s.to_string().as_bytes());
    parse(&good).expect("defaults for the rest");
    let bad: [(&str, Value, &str); 12] = [
        ("/calls", json!(0), "calls"),
        ("/pol_s", json!(1), "pol_s"),
        ("/poll_s", json!(0.01), "poll_s"),
        ("/keep_days", json!(1000), "keep_days"),
        ("/controllers", json!([]), "controllers"),
        ("/controllers", json!(["a"]), "controllers"),
        ("/state/prefix", json!("c/q/"), "state.prefix"),
        ("/state/prefix", json!("final/"), "state.prefix"),
        ("/state/value_bytes", json!(100), "state.value_bytes"),
        ("/broker/heartbeat_s", json!(0), "broker.heartbeat_s"),
        (
            "/queues",
            json!([{ "name": "a" }, { "name": "a" }]),
            "queues",
        ),
        (
            "/queues",
            json!([{ "name": "a", "dead_letter": "a" }]),
            "queues.dead_letter",
        ),
    ];
    for (at, value, field) in bad {
        let mut s = good.clone();
        let (parent, name) = at.rsplit_once('/').expect("a path");
        s.pointer_mut(parent).expect("a parent")[name] = value;
        let error = parse(&s).expect_err(at).to_string();
        assert!(
            error.contains(field) && !error.contains('\n'),
            "{at}: {error}"
        );
    }
    let s = parse(&good).expect("settings");
    let error = QueueService::new(s, Path::new("/nowhere"))
        .expect_err("no such file")
        .to_string();
    assert!(error.starts_with("broker.credentials: "), "{error}");
}

/// Messages a second against the same jobs by HTTP, memory with 100,000 waiting, time to an answer after a restart:
/// `COMETLEAD=target/release/cometlead cargo test -p cometlead-queues --release --test loopback measure -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn measure() {
    const JOBS: usize = 20_000;
    const WAITING: usize = 100_000;
    let binary = std::env::var("COMETLEAD").expect("the path of the program");
    let bed = TestBed::new(1, 0, 0).await;
    // By HTTP: as many at once as the queue's prefetch allows, as many requests as the process may have.
    let (client, http) = (reqwest::Client::new(), Arc::new(Semaphore::new(16)));
    let (jobs, at) = (Arc::new(Semaphore::new(400)), bed.services.at);
    let start = std::time::Instant::now();
    let mut plays = tokio::task::JoinSet::new();
    for n in 0..JOBS {
        let (client, http, jobs) = (client.clone(), Arc::clone(&http), Arc::clone(&jobs));
        plays.spawn(async move {
            let _job = jobs.acquire().await;
            let name = format!("req-{}", 1_000_000 + n);
            let body = json!({ "nameId": name, "lane": "a", "n": n }).to_string();
            let mut request = client.post(format!("http://{at}/work")).body(body);
            loop {
                let call = http.acquire().await;
                let text = request
                    .send()
                    .await
                    .expect("an answer")
                    .text()
                    .await
                    .expect("a body");
                drop(call);
                if text.contains("done") {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                request = client.get(format!("http://{at}/work/{name}"));
            }
        });
    }
    plays.join_all().await;
    let direct = JOBS as f64 / start.elapsed().as_secs_f64();
    // By the queue.
    let mut settings = bed.settings();
    let number = |name: &str, usual: u32| {
        std::env::var(name).map_or(usual, |n| n.parse().expect("a number"))
    };
    settings["queues"][0]["prefetch"] = json!(number("PREFETCH", 2_000));
    for rate in ["submits_per_s", "polls_per_s"] {
        settings[rate] = json!(10_000);
    }
    settings["state"]["rounds_per_s"] = json!(number("ROUNDS", 100));
    let file = bed.base.path().join("queues.json");
    std::fs::write(&file, settings.to_string()).expect("a file");
    for n in 0..JOBS {
        bed.send(n, "work", &format!(r#"{{"lane":"a","n":{n}}}"#));
    }
    let (start, writes) = (std::time::Instant::now(), bed.services.writes());
    let mut process = std::process::Command::new(&binary)
        .args(["queues", "--settings"])
        .arg(&file)
        .env("LOG_LEVEL", "error")
        .spawn()
        .expect("the program");
    let memory = |pid: u32| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
        status
            .lines()
            .find(|l| l.starts_with("VmHWM"))
            .unwrap_or_default()
            .to_owned()
    };
    wait("all answers", || bed.broker.ready("answers") == JOBS).await;
    let queued = JOBS as f64 / start.elapsed().as_secs_f64();
    println!(
        "by HTTP {direct:.0} a second, by the queue {queued:.0}: {:.2}",
        queued / direct
    );
    println!(
        "{:.3} changes at the state service a message",
        (bed.services.writes() - writes) as f64 / JOBS as f64
    );
    println!("memory after {JOBS}: {}", memory(process.id()));
    let body = "x".repeat(300);
    for n in JOBS..JOBS + WAITING {
        bed.send(
            n,
            "work",
            &format!(r#"{{"lane":"a","n":{n},"note":"{body}"}}"#),
        );
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    println!(
        "memory with {} waiting: {}",
        bed.broker.ready("work"),
        memory(process.id())
    );
    for _ in 0..3 {
        bed.broker.restart();
        let answers = bed.broker.ready("answers");
        let start = std::time::Instant::now();
        wait("an answer", || bed.broker.ready("answers") > answers).await;
        println!(
            "first answer {:.2} s after a restart of the broker",
            start.elapsed().as_secs_f64()
        );
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    wait("half of them", || bed.broker.ready("answers") > WAITING / 4).await;
    println!(
        "memory with {} answered: {}",
        bed.broker.ready("answers"),
        memory(process.id())
    );
    process.kill().expect("a process");
    process.wait().expect("its end");
}
