//! Case: a repeated submission of an accepted job that is over, after limits of the state service were announced.

use crate::Outcome;
use crate::world::{Figures, Record, World};
use cometlead_emulator::fakes::cloud::TypeSpec;
use cometlead_emulator::fakes::worker::JobInfo;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The figures of the boards' deployment.
pub fn boards() -> Figures {
    let team = |name: &str, cpus: f64, most: f64| json!({"name": name, "cpus": cpus, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0});
    Figures {
        zone: "merkato-room",
        teams: json!([
            team("shop-desk", 400.0, 1200.0),
            team("posting-crews", 400.0, 1200.0),
            team("translators", 500.0, 3000.0),
            team("layout-room", 1000.0, 6000.0),
            team("ledger-office", 1200.0, 3500.0),
            team("kebele-office", 0.0, 0.0),
        ]),
        rps: 100.0,
        write_rps: 40.0,
        value_kb: 16.0,
        txn_ops: 12,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 35.0,
        cloud_rps: 6.0,
        list_lag_s: 8.0,
        core_share: 0.08,
        ram_mb: 40.0,
        max_connections: 600,
        clock_error_ms: 250.0,
        machine: TypeSpec {
            name: "kiosk-box".to_owned(),
            cores: 16.0,
            memory_gb: 64.0,
            accelerators: 0.0,
            cache_gb: 30.0,
            fetch_gb_per_s: 0.8,
            boot_s: 3.0,
            price: 1.2,
            spot_price: 0.4,
            on_demand_per_zone: 4,
            spot_per_zone: 4,
            stuck_boot_fraction: 0.0,
            zones: vec!["merkato-room".to_owned()],
        },
    }
}

/// What happens between the job's end and its repeated submission.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// The job awaits another; all controllers crash.
    Awaits,
    /// All controllers are restarted one after the other, with limits announced in their settings.
    Limits,
}

const FIRST: u64 = 398;
const LAST: u64 = 412;
/// Time after which a controller is back.
const BACK: Duration = Duration::from_secs(8);
/// How long users repeat a submission.
const REPEATED_FOR: Duration = Duration::from_secs(60);

pub fn name(job: u64) -> String {
    format!("req-{job:06}")
}

fn body(job: u64, lane: &str, pieces: u32, image: &str, awaits: &[u64]) -> String {
    let awaits: Vec<String> = awaits.iter().map(|job| name(*job)).collect();
    json!({"nameId": name(job), "lane": lane, "crew": "kebele-office", "shape": "sweep", "urgency": "low",
        "pieces": pieces, "cores": 0.25, "accelerators": 0.0, "memGb": 0.45, "bundle": image, "sizeGb": 0.5,
        "builds": ["kiosk-box"], "yard": "merkato-room", "oneZone": true, "apart": false, "loaners": true,
        "guessS": 4.0, "bookmarkS": 20.0, "stashS": 1.5, "dueS": 900.0, "awaits": awaits})
    .to_string()
}

/// Sends a request as a user does: again after a second on 503 or without an answer, for up to 40 s.
pub async fn insist(world: &World, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
    let until = Instant::now() + Duration::from_secs(40);
    let mut node = 0;
    while Instant::now() < until {
        let answer = world.ask(node, method, path, body).await;
        if let Some(answer) = answer.filter(|a| ![429, 503, 504].contains(&a.status)) {
            return Some((
                answer.status,
                serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
            ));
        }
        node = (node + 1) % world.nodes.len();
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    None
}

pub async fn run(
    root: &Path,
    record: Record,
    folder: PathBuf,
    trouble: bool,
    mode: Mode,
) -> Outcome {
    let world = World::start(root, record, folder, boards(), 3).await;
    let outcome = match play(&world, trouble, mode).await {
        Ok(outcome) => outcome,
        Err(why) => Outcome::CouldNotRun(why),
    };
    world.kill_all();
    outcome
}

/// Submits a job of small tasks; fails if it is not accepted.
async fn submit(world: &World, job: u64, body: &str, image: &str) -> Result<(), String> {
    world.jobs.lock().unwrap().insert(
        job,
        JobInfo {
            cores: 0.25,
            memory_gb: 0.45,
            run_us: 1_000_000,
            image: image.to_owned(),
            image_fetch_s: 0.5,
            task_count: 1,
            runs_until_cancelled: false,
            gang: false,
            fails: false,
            saves_checkpoint: false,
            checkpoint_duration_s: 0.0,
        },
    );
    match insist(world, "POST", "/work", body).await {
        Some((200 | 201, _)) => Ok(()),
        other => Err(format!("{} was not accepted: {other:?}", name(job))),
    }
}

/// The jobs up to their end; returns the submission that is repeated later.
async fn submit_and_end(world: &World, mode: Mode) -> Result<String, String> {
    let path = format!("/work/{}", name(LAST));
    if mode == Mode::Awaits {
        let image = "img-07";
        submit(
            world,
            FIRST,
            &body(FIRST, "archive-scans", 1, image, &[]),
            image,
        )
        .await?;
        let last = body(LAST, "print-sheets", 1, image, &[FIRST]);
        submit(world, LAST, &last, image).await?;
        for _ in 0..40 {
            let status = insist(world, "GET", &path, "").await;
            if status.is_some_and(|(_, status)| status["status"] == "done") {
                return Ok(last);
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        return Err("the jobs are not done".to_owned());
    }
    // One huge array; its image is named with its registry, path, tag and digest.
    let image = concat!(
        "registry.boards.example.org/kebele-office/voter-rolls/amharic-and-oromo-bilingual-print-sheets-",
        "two-sided-a4/kebele-04-reprint:2026.12-addis-merkato-3@sha256:",
        "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
    );
    let last = body(LAST, "voter-roll-print", 25_000, image, &[]);
    submit(world, LAST, &last, image).await?;
    for (key, value) in world.state.lock().unwrap().values(&format!("c/job/{LAST}")) {
        world.record.line(format!(
            "{key} takes {} bytes at the state service",
            value.to_string().len()
        ));
    }
    match insist(world, "POST", &format!("{path}/abort"), "").await {
        Some((200, answer)) if answer["status"] == "cancelled" => {}
        other => return Err(format!("not cancelled: {other:?}")),
    }
    // The job ends once nothing of it is assigned any more.
    for _ in 0..40 {
        let live = world
            .state
            .lock()
            .unwrap()
            .values(&format!("c/job/{LAST}"))
            .count();
        if live == 0 {
            return Ok(last);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    Err("the cancelled job does not end".to_owned())
}

/// What lies between the end and the repeated submission.
async fn restart(world: &World, trouble: bool, mode: Mode) {
    match mode {
        Mode::Awaits if !trouble => tokio::time::sleep(BACK).await,
        Mode::Awaits => {
            world.kill_all();
            tokio::time::sleep(BACK).await;
            for node in 0..3 {
                world.start_controller(node, None);
            }
        }
        Mode::Limits => {
            let next = json!({"write_rps": 28.0, "value_kb": 2.0, "txn_ops": 4});
            for node in 0..3 {
                world.kill_controller(node);
                tokio::time::sleep(BACK).await;
                world.start_controller(node, trouble.then_some(&next));
                tokio::time::sleep(Duration::from_secs(3)).await;
            }
        }
    }
}

async fn play(world: &World, trouble: bool, mode: Mode) -> Result<Outcome, String> {
    for node in 0..3 {
        world.start_controller(node, None);
    }
    if !world.wait_healthy(Duration::from_secs(20)).await {
        return Err("controllers not healthy".to_owned());
    }
    let last = submit_and_end(world, mode).await?;
    world.record.line("the job is over");
    restart(world, trouble, mode).await;
    if !world.wait_healthy(Duration::from_secs(15)).await {
        return Err("controllers not healthy after the restarts".to_owned());
    }
    // The user repeats the submission, as after a lost answer, for 60 s in all, each time at the next controller.
    let until = Instant::now() + REPEATED_FOR;
    let mut node = 0;
    while Instant::now() < until {
        let answer = world.ask(node, "POST", "/work", &last).await;
        match answer.as_ref().map(|a| a.status) {
            Some(200) => return Ok(Outcome::Held),
            Some(400 | 422) => return Ok(Outcome::Broken),
            Some(201) => return Err("accepted as a new job".to_owned()),
            _ => {}
        }
        node = (node + 1) % 3;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let path = format!("/work/{}", name(LAST));
    let known = insist(world, "GET", &path, "").await;
    world.record.line(format!(
        "no answer but 503 within 60 s; a question gets {known:?}"
    ));
    Ok(Outcome::Broken)
}
