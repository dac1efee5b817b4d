//! Random faults over real connections. `SEEDS=5000 cargo test -p cometlead-queues --release --test random_faults`
//! runs more seeds; `SEED=n` runs a single one.

mod fakes;
mod test_bed;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use test_bed::{Answers, RunningService, TestBed, wait_until};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const DEFAULT_SEED_COUNT: u64 = 200;
const MESSAGE_COUNT: usize = 12;
/// Number of seeds that run at the same time.
const MAX_CONCURRENT_SEEDS: usize = 24;

/// One run: two services, connections that drop at any frame, requests that fail, kills and restarts.
struct FaultRun {
    rng: StdRng,
    bed: TestBed,
    settings: Value,
    running_services: Vec<RunningService>,
}

impl FaultRun {
    async fn new(seed: u64) -> FaultRun {
        let mut rng = StdRng::seed_from_u64(seed);
        let bed = TestBed::new(seed, 60, 12).await;
        let settings = bed.settings();
        let start = |_| bed.start_service(rng.random(), &settings);
        let running_services = (0..2).map(start).collect();
        FaultRun {
            rng,
            bed,
            settings,
            running_services,
        }
    }

    fn start_service(&mut self) -> RunningService {
        self.bed.start_service(self.rng.random(), &self.settings)
    }

    /// Sleeps for a random time below `max_ms`.
    async fn pause(&mut self, max_ms: u64) {
        let pause = Duration::from_millis(self.rng.random_range(0..max_ms));
        tokio::time::sleep(pause).await;
    }

    async fn send_with_faults(&mut self) {
        for n in 0..MESSAGE_COUNT {
            let body = body(n);
            self.bed.send(n, "work", &body);
            if self.rng.random_range(0..4) == 0 {
                self.bed.send(n, "work", &body);
            }
            self.pause(40).await;
            self.random_fault();
        }
    }

    fn random_fault(&mut self) {
        match self.rng.random_range(0..10) {
            0 => {
                let killed = self.rng.random_range(0..self.running_services.len());
                self.running_services[killed].kill();
                self.running_services[killed] = self.start_service();
            }
            1 => self.bed.broker.restart(),
            2 => self.running_services[0].request_stop(),
            _ => {}
        }
    }

    /// Disables all faults, waits for all answers, and stops all services.
    async fn finish(&mut self, violations: &mut Vec<String>) -> Answers {
        self.bed.broker.set_frames_per_drop(0);
        self.bed.services.disable_faults();
        let last_service = self.start_service();
        let mut answers = self.bed.wait_for_answers(MESSAGE_COUNT).await;
        for service in &self.running_services {
            service.request_stop();
            service.kill();
        }
        if !last_service.stop_within_poll_limit().await {
            violations.push("the last service does not stop".to_owned());
        }
        wait_until("the end of all connections", || {
            self.bed.broker.connection_count() == 0
        })
        .await;
        self.bed.collect_answers(&mut answers);
        self.acknowledge_requeued_duplicates(&mut answers).await;
        answers
    }

    /// Duplicates may have been requeued. Another service acknowledges them without an answer.
    async fn acknowledge_requeued_duplicates(&mut self, answers: &mut Answers) {
        if self.bed.broker.ready_count("work") == 0 {
            return;
        }
        let service = self.start_service();
        wait_until("the requeued messages", || {
            self.bed.broker.ready_count("work") == 0
        })
        .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        service.stop_within_poll_limit().await;
        self.bed.collect_answers(answers);
    }

    fn check_answers(&self, answers: &Answers, violations: &mut Vec<String>) {
        for n in 0..MESSAGE_COUNT {
            let message_answers = answers.get(&format!("c{n}"));
            let message_answers = message_answers.map_or(&[][..], Vec::as_slice);
            if message_answers.len() != 1 || message_answers[0]["status"] != expected_status(n) {
                violations.push(format!("message {n}: {message_answers:?}"));
            }
            for answer in message_answers.iter().filter(|a| a["status"] == "done") {
                let job = answer["nameId"].as_str().unwrap_or_default();
                if self.bed.services.final_status(job) != Some("done") {
                    violations.push(format!("message {n}: {job} is not done"));
                }
            }
        }
    }
}

fn body(n: usize) -> String {
    match n % 6 {
        1 => r#"{"nameId":"req-000007","lane":"a"}"#.to_owned(),
        2 => "[1]".to_owned(),
        4 => r#"{"crew":"nobody"}"#.to_owned(),
        _ => format!(r#"{{"lane":"a","n":{n}}}"#),
    }
}

fn expected_status(n: usize) -> &'static str {
    if matches!(n % 6, 2 | 4) {
        "refused"
    } else {
        "done"
    }
}

/// Runs one seed and returns all violations.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut violations = Vec::new();
    let mut run = FaultRun::new(seed).await;
    run.send_with_faults().await;
    run.pause(300).await;
    let answers = run.finish(&mut violations).await;
    run.check_answers(&answers, &mut violations);
    let violations = violations.into_iter();
    violations.map(|v| format!("seed {seed}: {v}")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_message_has_one_answer_under_random_faults() {
    let number = |name: &str| {
        let text = std::env::var(name).ok();
        text.map(|n| n.parse::<u64>().expect("a number"))
    };
    let seeds = match number("SEED") {
        Some(seed) => seed..=seed,
        None => 1..=number("SEEDS").unwrap_or(DEFAULT_SEED_COUNT),
    };
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_SEEDS));
    let mut runs = JoinSet::new();
    for seed in seeds {
        let permits = Arc::clone(&permits);
        runs.spawn(async move {
            let _permit = permits.acquire().await;
            run_seed(seed).await
        });
    }
    let violations: Vec<String> = runs.join_all().await.into_iter().flatten().collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
