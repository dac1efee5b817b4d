//! Every message has one answer, whatever fails: plays the files of `scenarios` in simulated time.
//!
//! `SCENARIO=name` chooses a file, `SEED=n` a seed, `SEEDS=n` how many seeds.

mod fakes;
mod simulation;

use simulation::Scenario;
use std::path::{Path, PathBuf};

/// Which scenarios and seeds are played.
struct Selection {
    scenario: Option<String>,
    seed: Option<u64>,
    seeds: Option<u64>,
}

impl Selection {
    fn from_environment() -> Selection {
        let text = |name: &str| std::env::var(name).ok();
        let number = |name: &str| text(name).map(|n| n.parse().expect("a number"));
        Selection {
            scenario: text("SCENARIO"),
            seed: number("SEED"),
            seeds: number("SEEDS"),
        }
    }

    fn files(&self) -> Vec<PathBuf> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
        let files = std::fs::read_dir(folder).expect("the folder of scenarios");
        let files = files.map(|file| file.expect("a file").path());
        files.filter(|file| self.is_selected(file)).collect()
    }

    fn is_selected(&self, file: &Path) -> bool {
        let name = self.scenario.as_ref();
        name.is_none_or(|name| file.file_stem().is_some_and(|stem| stem == name.as_str()))
    }

    /// Plays one file and returns everything that is wrong.
    fn play(&self, file: &Path) -> Vec<String> {
        let text = std::fs::read_to_string(file).expect("a readable scenario");
        let scenario = Scenario::parse(&text);
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        let seeds = match self.seed {
            Some(seed) => seed..=seed,
            None => 1..=self.seeds.unwrap_or(scenario.seeds),
        };
        let mut complaints = Vec::new();
        for seed in seeds {
            let of_seed = scenario.play(seed).into_iter();
            complaints.extend(of_seed.map(|c| format!("{name}, seed {seed}: {c}")));
        }
        complaints
    }
}

#[test]
fn every_message_has_one_answer_in_all_scenarios() {
    let selection = Selection::from_environment();
    let files = selection.files();
    assert!(!files.is_empty(), "no such scenario");
    let complaints: Vec<String> = std::thread::scope(|scope| {
        let selection = &selection;
        let files = files.iter();
        let threads: Vec<_> = files
            .map(|file| scope.spawn(move || selection.play(file)))
            .collect();
        let results = threads.into_iter().map(|t| t.join().expect("a scenario"));
        results.flatten().collect()
    });
    assert!(complaints.is_empty(), "{}", complaints.join("\n"));
}
