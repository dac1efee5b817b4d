//! Case: a large array whose record is too large for the lower limits because of its names is called off.

use crate::Outcome;
use crate::retry::{boards, insist, name};
use crate::world::{Record, World};
use cometlead_emulator::fakes::worker::JobInfo;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const JOB: u64 = 412;
const PIECES: u32 = 25_000;
/// Completed tasks from which on the record of the job does not get smaller any more.
const COMPLETED: u64 = 8_192;
/// Time after which a controller is back.
const BACK: Duration = Duration::from_secs(8);
/// How long the user repeats the request: as long as a cancellation has.
const REPEATED_FOR: Duration = Duration::from_secs(35);

const LANE: &str = concat!(
    "voter-roll-print/kebele-04/merkato-room/amharic-and-oromo-bilingual/two-sided-a4/",
    "reprint-after-census-tidy/posting-crews-of-the-second-week-of-december/",
    "boards-at-the-market-the-church-the-mosque-the-school-and-the-bus-station/by-noon"
);
const IMAGE: &str = concat!(
    "registry.boards.example.org/kebele-office/voter-rolls/amharic-and-oromo-bilingual-print-sheets-",
    "two-sided-a4/kebele-04-reprint:2026.12-addis-merkato-3@sha256:",
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
);

fn body() -> String {
    json!({"nameId": name(JOB), "lane": LANE, "crew": "kebele-office", "shape": "sweep", "urgency": "low",
        "pieces": PIECES, "cores": 0.25, "accelerators": 0.0, "memGb": 0.45, "bundle": IMAGE, "sizeGb": 0.5,
        "builds": ["press-server"], "yard": "merkato-room", "oneZone": true, "apart": false, "loaners": true,
        "guessS": 4.0, "bookmarkS": 20.0, "stashS": 1.5, "dueS": 900.0})
    .to_string()
}

pub async fn run(root: &Path, record: Record, folder: PathBuf, trouble: bool) -> Outcome {
    let mut figures = boards();
    figures.machine.name = "press-server".to_owned();
    figures.machine.cores = 64.0;
    figures.machine.memory_gb = 128.0;
    figures.machine.on_demand_per_zone = 13;
    figures.machine.spot_per_zone = 20;
    figures.machine.boot_s = 2.0;
    let world = World::start(root, record, folder, figures, 3).await;
    world.quiet();
    let outcome = match play(&world, trouble).await {
        Ok(outcome) => outcome,
        Err(why) => Outcome::CouldNotRun(why),
    };
    world.kill_all();
    outcome
}

fn stored_bytes(world: &World) -> usize {
    let state = world.state.lock().unwrap();
    let key = format!("c/job/{JOB}");
    let found = state.values(&key).find(|(k, _)| *k == key);
    found.map_or(0, |(_, value)| value.to_string().len())
}

async fn play(world: &World, trouble: bool) -> Result<Outcome, String> {
    for node in 0..3 {
        world.start_controller(node, None);
    }
    if !world.wait_healthy(Duration::from_secs(20)).await {
        return Err("controllers not healthy".to_owned());
    }
    world.jobs.lock().unwrap().insert(
        JOB,
        JobInfo {
            cores: 0.25,
            memory_gb: 0.45,
            run_us: 4_000_000,
            image: IMAGE.to_owned(),
            image_fetch_s: 1.0,
            task_count: PIECES,
            runs_until_cancelled: false,
            gang: false,
            fails: false,
            saves_checkpoint: false,
            checkpoint_duration_s: 0.0,
        },
    );
    match insist(world, "POST", "/work", &body()).await {
        Some((200 | 201, _)) => {}
        other => return Err(format!("not accepted: {other:?}")),
    }
    let path = format!("/work/{}", name(JOB));
    let until = Instant::now() + Duration::from_secs(45);
    loop {
        let status = insist(world, "GET", &path, "").await;
        let done = status
            .and_then(|(_, status)| status["done"].as_u64())
            .unwrap_or(0);
        if done >= COMPLETED {
            break;
        }
        if Instant::now() > until {
            return Err(format!("only {done} tasks are done"));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    world.record.line(format!(
        "the job's record takes {} bytes",
        stored_bytes(world)
    ));
    // Two of the three controllers are replaced, then the last.
    let next = json!({"write_rps": 28.0, "value_kb": 2.0, "txn_ops": 4});
    for nodes in [&[0, 1][..], &[2][..]] {
        for node in nodes {
            world.kill_controller(*node);
        }
        tokio::time::sleep(BACK).await;
        for node in nodes {
            world.start_controller(*node, trouble.then_some(&next));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    if trouble {
        world.state.lock().unwrap().lower_limits(28.0, 2_048, 4);
        world.record.line("the state service lowers its limits");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let bytes = stored_bytes(world);
    world
        .record
        .line(format!("the job's record takes {bytes} bytes"));
    if bytes == 0 {
        return Err("the job is over too soon".to_owned());
    }
    // The user calls the job off, again and again until that is answered.
    let until = Instant::now() + REPEATED_FOR;
    let mut node = 0;
    while Instant::now() < until {
        let answer = world.ask(node, "POST", &format!("{path}/abort"), "").await;
        if let Some(answer) = answer.filter(|a| a.status == 200) {
            let status: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            return Ok(match status["status"].as_str() {
                Some("cancelled" | "done") => Outcome::Held,
                _ => Outcome::Broken,
            });
        }
        node = (node + 1) % 3;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let asked = insist(world, "GET", &path, "").await;
    world.record.line(format!(
        "the request was not answered; a question gets {asked:?}"
    ));
    Ok(Outcome::Broken)
}
