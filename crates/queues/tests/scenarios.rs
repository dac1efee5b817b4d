//! Runs the files of `scenarios` in simulated time, and checks that every message has one answer despite all faults.
//!
//! `SCENARIO=name` selects a file, `SEED=n` a single seed, `SEEDS=n` the number of seeds per file.

mod fakes;
mod simulation;

use simulation::Scenario;
use std::path::{Path, PathBuf};

/// The selected scenarios and seeds.
struct Selection {
    scenario: Option<String>,
    seed: Option<u64>,
    seed_count: Option<u64>,
}

impl Selection {
    fn from_environment() -> Selection {
        let text = |name: &str| std::env::var(name).ok();
        let number = |name: &str| text(name).map(|n| n.parse().expect("a number"));
        Selection {
            scenario: text("SCENARIO"),
            seed: number("SEED"),
            seed_count: number("SEEDS"),
        }
    }

    fn files(&self) -> Vec<PathBuf> {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
        let files = std::fs::read_dir(directory).expect("a readable scenario directory");
        let files = files.map(|file| file.expect("a file").path());
        files.filter(|file| self.is_selected(file)).collect()
    }

    fn is_selected(&self, file: &Path) -> bool {
        let name = self.scenario.as_ref();
        name.is_none_or(|name| file.file_stem().is_some_and(|stem| stem == name.as_str()))
    }

    /// Runs one file and returns all violations.
    fn run(&self, file: &Path) -> Vec<String> {
        let text = std::fs::read_to_string(file).expect("a readable scenario");
        let scenario = Scenario::parse(&text);
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let seeds = match self.seed {
            Some(seed) => seed..=seed,
            None => 1..=self.seed_count.unwrap_or(scenario.seed_count),
        };
        let mut violations = Vec::new();
        for seed in seeds {
            let violations_of_seed = scenario.run(seed).into_iter();
            violations.extend(violations_of_seed.map(|v| format!("{name}, seed {seed}: {v}")));
        }
        violations
    }
}

#[test]
fn every_message_has_one_answer_in_all_scenarios() {
    let selection = Selection::from_environment();
    let files = selection.files();
    assert!(!files.is_empty(), "no scenario file is selected");
    let violations: Vec<String> = std::thread::scope(|scope| {
        let selection = &selection;
        let files = files.iter();
        let threads: Vec<_> = files
            .map(|file| scope.spawn(move || selection.run(file)))
            .collect();
        let results = threads
            .into_iter()
            .map(|t| t.join().expect("no panic in a scenario"));
        results.flatten().collect()
    });
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
