//! A measurement: messages per second through the queue service compared with the same jobs by HTTP, memory with
//! 100,000 waiting messages, and the time to the first answer after a restart of the broker.
//!
//! `COMETLEAD=target/release/cometlead cargo test -p cometlead-queues --release --test measurement -- --ignored
//! --nocapture` runs it; `PREFETCH` and `ROUNDS` change the settings.

mod fakes;
mod test_bed;

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_bed::{TestBed, wait_until};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const JOB_COUNT: usize = 20_000;
const WAITING_MESSAGE_COUNT: usize = 100_000;
const BROKER_RESTART_COUNT: usize = 3;
/// Concurrent requests and jobs by HTTP: as many as the queue service is allowed.
const MAX_HTTP_REQUESTS: usize = 16;
const MAX_HTTP_JOBS: usize = 400;

#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement"]
async fn measure_throughput_memory_and_recovery() {
    let binary = std::env::var("COMETLEAD").expect("COMETLEAD is the path of the program");
    let bed = TestBed::new(1, 0, 0).await;
    let http_jobs_per_s = measure_http(bed.services.address).await;

    for n in 0..JOB_COUNT {
        bed.send(n, "work", &format!(r#"{{"lane":"a","n":{n}}}"#));
    }
    let (start, changes_before) = (Instant::now(), bed.services.change_count());
    let mut service = start_program(&binary, &bed);
    wait_until("all answers", || {
        bed.broker.ready_count("answers") == JOB_COUNT
    })
    .await;
    let queue_jobs_per_s = JOB_COUNT as f64 / start.elapsed().as_secs_f64();
    let ratio = queue_jobs_per_s / http_jobs_per_s;
    println!(
        "by HTTP {http_jobs_per_s:.0} a second, by the queue {queue_jobs_per_s:.0}: {ratio:.2}"
    );
    let changes_per_message =
        (bed.services.change_count() - changes_before) as f64 / JOB_COUNT as f64;
    println!("{changes_per_message:.3} changes at the state service a message");
    println!("memory after {JOB_COUNT}: {}", peak_memory(service.id()));

    publish_waiting_messages(&bed);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let waiting = bed.broker.ready_count("work");
    println!(
        "memory with {waiting} waiting: {}",
        peak_memory(service.id())
    );
    for _ in 0..BROKER_RESTART_COUNT {
        measure_recovery(&bed).await;
    }
    wait_until("a quarter of them", || {
        bed.broker.ready_count("answers") > WAITING_MESSAGE_COUNT / 4
    })
    .await;
    let answered = bed.broker.ready_count("answers");
    println!(
        "memory with {answered} answered: {}",
        peak_memory(service.id())
    );
    service.kill().expect("a running process");
    service.wait().expect("the exit of the process");
}

/// Jobs per second without the queue service.
async fn measure_http(address: SocketAddr) -> f64 {
    let client = reqwest::Client::new();
    let requests = Arc::new(Semaphore::new(MAX_HTTP_REQUESTS));
    let jobs = Arc::new(Semaphore::new(MAX_HTTP_JOBS));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for n in 0..JOB_COUNT {
        let (client, requests, jobs) = (client.clone(), Arc::clone(&requests), Arc::clone(&jobs));
        tasks.spawn(async move {
            let _job = jobs.acquire().await;
            run_job_by_http(&client, address, n, &requests).await;
        });
    }
    tasks.join_all().await;
    JOB_COUNT as f64 / start.elapsed().as_secs_f64()
}

/// Submits a job by HTTP and polls its status until it is done.
async fn run_job_by_http(
    client: &reqwest::Client,
    address: SocketAddr,
    n: usize,
    requests: &Semaphore,
) {
    let name = format!("req-{}", 1_000_000 + n);
    let body = json!({ "nameId": name, "lane": "a", "n": n }).to_string();
    let mut request = client.post(format!("http://{address}/work")).body(body);
    loop {
        let permit = requests.acquire().await;
        let response = request.send().await.expect("a response");
        let text = response.text().await.expect("a body");
        drop(permit);
        if text.contains("done") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        request = client.get(format!("http://{address}/work/{name}"));
    }
}

fn start_program(binary: &str, bed: &TestBed) -> Child {
    let file = bed.settings_dir.path().join("queues.json");
    std::fs::write(&file, measurement_settings(bed).to_string()).expect("a writable file");
    Command::new(binary)
        .args(["queues", "--settings"])
        .arg(&file)
        .env("LOG_LEVEL", "error")
        .spawn()
        .expect("the program")
}

fn measurement_settings(bed: &TestBed) -> Value {
    let number = |name: &str, default: u32| {
        std::env::var(name).map_or(default, |n| n.parse().expect("a number"))
    };
    let mut settings = bed.settings();
    settings["queues"][0]["prefetch"] = json!(number("PREFETCH", 2_000));
    for rate in ["submits_per_s", "polls_per_s"] {
        settings[rate] = json!(10_000);
    }
    settings["state"]["rounds_per_s"] = json!(number("ROUNDS", 100));
    settings
}

fn peak_memory(pid: u32) -> String {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the status of the process");
    let mut lines = status.lines();
    let line = lines.find(|line| line.starts_with("VmHWM"));
    line.unwrap_or_default().to_owned()
}

fn publish_waiting_messages(bed: &TestBed) {
    let note = "x".repeat(300);
    for n in JOB_COUNT..JOB_COUNT + WAITING_MESSAGE_COUNT {
        let body = format!(r#"{{"lane":"a","n":{n},"note":"{note}"}}"#);
        bed.send(n, "work", &body);
    }
}

async fn measure_recovery(bed: &TestBed) {
    bed.broker.restart();
    let answers = bed.broker.ready_count("answers");
    let start = Instant::now();
    wait_until("an answer", || bed.broker.ready_count("answers") > answers).await;
    let seconds = start.elapsed().as_secs_f64();
    println!("first answer {seconds:.2} s after a restart of the broker");
    tokio::time::sleep(Duration::from_secs(1)).await;
}
