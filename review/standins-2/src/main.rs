//! Stand-ins and drivers of the cases of the second review: `review-standins-2 CASE ROOT FOLDER`.

mod fakes;
mod names;
mod queues;
mod retry;
mod world;

use retry::Mode;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(118);

async fn play(
    case: String,
    root: PathBuf,
    folder: PathBuf,
    temporary: PathBuf,
    trouble: bool,
) -> Outcome {
    let record = world::Record::create(&folder.join("record.txt"));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let root = root.as_path();
    match case.as_str() {
        "queues" => queues::run(root, record, temporary, trouble).await,
        "names" => names::run(root, record, temporary, trouble).await,
        "limits" => retry::run(root, record, temporary, trouble, Mode::Limits).await,
        "awaits" => retry::run(root, record, temporary, trouble, Mode::Awaits).await,
        _ => Outcome::CouldNotRun("no such case".to_owned()),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (case, root, folder) = (case.clone(), PathBuf::from(root), PathBuf::from(folder));
    let temporary = std::env::temp_dir().join(format!("cometlead-review-{}", std::process::id()));
    let playing = tokio::spawn(play(case, root, folder, temporary.clone(), trouble));
    let handle = playing.abort_handle();
    let mut stopped = signal(SignalKind::terminate()).expect("a signal handler");
    let outcome = tokio::select! {
        played = tokio::time::timeout(LIMIT, playing) => match played {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => Outcome::CouldNotRun(error.to_string()),
            Err(_) => Outcome::CouldNotRun("it took too long".to_owned()),
        },
        _ = stopped.recv() => Outcome::CouldNotRun("it was stopped".to_owned()),
        _ = tokio::signal::ctrl_c() => Outcome::CouldNotRun("it was stopped".to_owned()),
    };
    handle.abort();
    world::end_leftovers();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(why) => {
            println!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
