//! Random faults over real connections. `SEEDS=5000 cargo test -p cometlead-queues --release --test random_faults`
//! plays more seeds; `SEED=n` plays one.

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

const DEFAULT_SEEDS: u64 = 200;
const MESSAGES: usize = 12;
/// Seeds that are played at the same time.
const CONCURRENT_SEEDS: usize = 24;

/// Two services, connections that break at any frame, requests that fail, kills and restarts.
struct Play {
    rng: StdRng,
    bed: TestBed,
    settings: Value,
    running: Vec<RunningService>,
}

impl Play {
    async fn new(seed: u64) -> Play {
        let mut rng = StdRng::seed_from_u64(seed);
        let bed = TestBed::new(seed, 60, 12).await;
        let settings = bed.settings();
        let start = |_| bed.start_service(rng.random(), &settings);
        let running = (0..2).map(start).collect();
        Play {
            rng,
            bed,
            settings,
            running,
        }
    }

    fn start_service(&mut self) -> RunningService {
        self.bed.start_service(self.rng.random(), &self.settings)
    }

    async fn pause(&mut self, max_ms: u64) {
        let pause = Duration::from_millis(self.rng.random_range(0..max_ms));
        tokio::time::sleep(pause).await;
    }

    async fn send_with_faults(&mut self) {
        for n in 0..MESSAGES {
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
                let killed = self.rng.random_range(0..self.running.len());
                self.running[killed].kill();
                self.running[killed] = self.start_service();
            }
            1 => self.bed.broker.restart(),
            2 => self.running[0].request_stop(),
            _ => {}
        }
    }

    /// Waits for all answers without further faults, and stops all services.
    async fn finish(&mut self, complaints: &mut Vec<String>) -> Answers {
        self.bed.broker.drop_one_in(0);
        self.bed.services.stop_faults();
        let last = self.start_service();
        let mut answers = self.bed.wait_for_answers(MESSAGES).await;
        for service in &self.running {
            service.request_stop();
            service.kill();
        }
        if !last.stop_patiently().await {
            complaints.push("the last service does not end".to_owned());
        }
        wait_until("the end of all connections", || {
            self.bed.broker.connections() == 0
        })
        .await;
        self.bed.collect_answers(&mut answers);
        self.settle_returned(&mut answers).await;
        answers
    }

    /// A duplicate or two may have gone back to the queue. Another service acknowledges them without an answer.
    async fn settle_returned(&mut self, answers: &mut Answers) {
        if self.bed.broker.ready("work") == 0 {
            return;
        }
        let service = self.start_service();
        wait_until("the rest", || self.bed.broker.ready("work") == 0).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        service.stop_patiently().await;
        self.bed.collect_answers(answers);
    }

    fn check_answers(&self, answers: &Answers, complaints: &mut Vec<String>) {
        for n in 0..MESSAGES {
            let of_message = answers.get(&format!("c{n}"));
            let of_message = of_message.map_or(&[][..], Vec::as_slice);
            if of_message.len() != 1 || of_message[0]["status"] != expected_status(n) {
                complaints.push(format!("message {n}: {of_message:?}"));
            }
            for answer in of_message.iter().filter(|a| a["status"] == "done") {
                let job = answer["nameId"].as_str().unwrap_or_default();
                if self.bed.services.ended(job) != Some("done") {
                    complaints.push(format!("message {n}: {job} is not done"));
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

/// Plays one seed and returns everything that is wrong.
async fn play(seed: u64) -> Vec<String> {
    let mut complaints = Vec::new();
    let mut play = Play::new(seed).await;
    play.send_with_faults().await;
    play.pause(300).await;
    let answers = play.finish(&mut complaints).await;
    play.check_answers(&answers, &mut complaints);
    let of_seed = complaints.into_iter();
    of_seed.map(|c| format!("seed {seed}: {c}")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_message_has_one_answer_under_random_faults() {
    let number = |name: &str| {
        let text = std::env::var(name).ok();
        text.map(|n| n.parse::<u64>().expect("a number"))
    };
    let seeds = match number("SEED") {
        Some(seed) => seed..=seed,
        None => 1..=number("SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let permits = Arc::new(Semaphore::new(CONCURRENT_SEEDS));
    let mut plays = JoinSet::new();
    for seed in seeds {
        let permits = Arc::clone(&permits);
        plays.spawn(async move {
            let _permit = permits.acquire().await;
            play(seed).await
        });
    }
    let complaints: Vec<String> = plays.join_all().await.into_iter().flatten().collect();
    assert!(complaints.is_empty(), "{}", complaints.join("\n"));
}
