//! Case: an array of small tasks, of which a machine holds more than its report has room for.

use crate::Outcome;
use crate::retry::{boards, insist, name};
use crate::world::{Record, World};
use cometlead_emulator::fakes::worker::JobInfo;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const JOB: u64 = 412;
const PIECES: u32 = 2_560;
/// How long the job is waited for: its tasks take 25 s.
const LIMIT: Duration = Duration::from_secs(90);

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

async fn play(world: &World, trouble: bool) -> Result<Outcome, String> {
    for node in 0..3 {
        world.start_controller(node, None);
    }
    if !world.wait_healthy(Duration::from_secs(20)).await {
        return Err("controllers not healthy".to_owned());
    }
    let (cores, memory_gb) = if trouble { (0.05, 0.09) } else { (0.25, 0.45) };
    world.jobs.lock().unwrap().insert(JOB, JobInfo {
        cores,
        memory_gb,
        run_us: 25_000_000,
        image: "img-roll".to_owned(),
        image_fetch_s: 1.0,
        task_count: PIECES,
        runs_until_cancelled: false,
        gang: false,
        fails: false,
        saves_checkpoint: false,
        checkpoint_duration_s: 0.0,
    });
    let body = json!({"nameId": name(JOB), "lane": "voter-roll-print", "crew": "kebele-office", "shape": "sweep",
        "urgency": "low", "pieces": PIECES, "cores": cores, "accelerators": 0.0, "memGb": memory_gb,
        "bundle": "img-roll", "sizeGb": 0.5, "builds": null, "yard": null, "oneZone": false, "apart": false,
        "loaners": true, "guessS": 25.0, "bookmarkS": 0.0, "stashS": 0.0, "dueS": null});
    match insist(world, "POST", "/work", &body.to_string()).await {
        Some((200 | 201, _)) => {}
        other => return Err(format!("not accepted: {other:?}")),
    }
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        let status = insist(world, "GET", &format!("/work/{}", name(JOB)), "").await;
        if status.is_some_and(|(_, status)| status["status"] == "done") {
            return Ok(Outcome::Held);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    Ok(Outcome::Broken)
}
