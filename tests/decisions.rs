//! Digests of all decisions of all controllers, to verify that a change leaves every decision as it was. Not part of CI.

mod random_scenarios;
#[allow(dead_code)]
mod runner;

use runner::World;
use runner::effects::Fnv;
use runner::script::Script;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const THREADS: usize = 6;

/// The scenario files in `tests/scenarios`.
fn scenario_files() -> Vec<(String, Script)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    std::fs::read_dir(folder)
        .unwrap()
        .map(|file| {
            let path = file.unwrap().path();
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            let script = Script::parse(&std::fs::read_to_string(&path).unwrap());
            (
                name.clone(),
                script.unwrap_or_else(|e| panic!("{name}: {e}")),
            )
        })
        .collect()
}

/// 300 random scenarios, some of each kind.
fn random_scenarios() -> Vec<(String, Script)> {
    (0..=6)
        .flat_map(|kind| kind * 1000 + 1..=kind * 1000 + if kind == 6 { 60 } else { 40 })
        .map(|seed| (format!("seed-{seed:04}"), random_scenarios::generate(seed)))
        .collect()
}

/// Name, digest and number of effects of a run, as one line.
fn run_line(name: &str, script: &Script) -> String {
    let mut world = World::new(script.clone());
    world.run();
    let decisions = world.decisions;
    format!("{name} {:016x} {}", decisions.digest(), decisions.count())
}

fn run_lines(scripts: &[(String, Script)]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let lines = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((name, script)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = run_line(name, script);
                    lines.lock().unwrap().push(line);
                }
            });
        }
    });
    let mut lines = lines.into_inner().unwrap();
    lines.sort();
    lines
}

#[test]
#[ignore = "for changes that keep all decisions; see README.md"]
fn decisions() {
    let out = std::env::var("DECISIONS_OUT").expect("DECISIONS_OUT: the file for the digests");
    let scripts: Vec<_> = scenario_files()
        .into_iter()
        .chain(random_scenarios())
        .collect();
    let text = run_lines(&scripts).join("\n") + "\n";
    std::fs::write(out, &text).unwrap();
    let mut total = Fnv::default();
    total.bytes(text.as_bytes());
    println!("total {:016x} of {} runs", total.value(), scripts.len());
}
