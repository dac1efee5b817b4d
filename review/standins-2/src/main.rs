//! Stand-ins and drivers of the cases of the second review: `review-standins-2 CASE ROOT FOLDER`.

mod fakes;
mod names;
mod queues;
mod retry;
mod small;
mod world;

use retry::Mode;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (root, folder) = (Path::new(root), PathBuf::from(folder));
    let record = world::Record::create(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("cometlead-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let outcome = match case.as_str() {
        "queues" => queues::run(root, record, temporary.clone(), trouble).await,
        "names" => names::run(root, record, temporary.clone(), trouble).await,
        "small" => small::run(root, record, temporary.clone(), trouble).await,
        "awaits" => retry::run(root, record, temporary.clone(), trouble, Mode::Awaits).await,
        "limits" => retry::run(root, record, temporary.clone(), trouble, Mode::Limits).await,
        _ => Outcome::CouldNotRun("no such case".to_owned()),
    };
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
