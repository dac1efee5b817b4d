//! Gangs, and tasks that need most of a machine, start within four minutes while small jobs need more room than there is,
//! whatever faults happen meanwhile.
//!
//! `SEEDS=100 cargo test --release --test gangs -- --nocapture` runs more seeds and prints when each job started;
//! `CASE=name` runs one case, `SEED=3` one seed, and `LOG_LEVEL=debug` shows the controllers' log.

#[allow(dead_code)]
mod runner;

use runner::World;
use runner::script::Script;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const THREADS: usize = 4;

/// Number of seeds per case unless `SEEDS` is set.
const DEFAULT_SEEDS: u64 = 1;

/// Jobs below this number are the gangs and large tasks that must start in time.
const FIRST_SMALL_JOB: u64 = 1_000;

/// Ten machines with eight cores each, and small jobs for twelve of them.
const SHORTAGE: &str = "lease 15\nreport 2.5\ncancel 40\n\
    type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=10\n\
    at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times=300 every=0.85\n\
    at 4 submit req-002001 pieces=2 cores=3 run=25 lane=middle urgency=low times=40 every=6\n";

/// The same shortage in two zones.
const SHORTAGE_IN_ZONES: &str = "zones a,b,b\nlease 15\nreport 2.5\ncancel 40\n\
    type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=5 zones=a,b\n\
    at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times=300 every=0.85\n";

/// The same shortage with most small jobs from one team, whose limit is six machines.
const TEAM_AT_ITS_LIMIT: &str = "lease 15\nreport 2.5\ncancel 40\nteam red most=48\n\
    type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=10\n\
    at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small team=red times=170 every=1.5\n";

/// In every case half of the small jobs are done within four minutes, as the users require of each class.
const SMALL_JOBS_EXPECTATION: &str = "expect served small within=240 share=0.5\n";

struct Case {
    name: &'static str,
    shortage: &'static str,
    /// What is submitted in addition to the small jobs, the faults, and by when each job starts: four minutes after its submission.
    text: &'static str,
}

const CASES: [Case; 15] = [
    Case {
        name: "two-gangs",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set\n\
            at 60 submit req-000003 pieces=4 cores=6 run=12 shape=group lane=late due=200 urgency=low\n\
            expect starts-by req-000001 at=270\nexpect starts-by req-000003 at=300\n",
    },
    Case {
        name: "three-gangs-of-three-teams",
        shortage: SHORTAGE,
        text: "team red cores=8\nteam blue cores=8\n\
            at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set team=red\n\
            at 31 submit req-000002 pieces=6 cores=8 run=12 shape=group lane=set team=blue\n\
            at 32 submit req-000003 pieces=10 cores=5 run=12 shape=group lane=set team=free\n\
            expect starts-by req-000001 at=270\nexpect starts-by req-000002 at=271\nexpect starts-by req-000003 at=272\n",
    },
    Case {
        name: "a-gang-of-all-machines",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=10 cores=8 run=12 shape=group lane=set urgency=low\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-task-of-a-whole-machine",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=1 cores=8 run=12 lane=large urgency=low\n\
            at 31 submit req-000002 pieces=1 cores=5 run=12 lane=large urgency=low\n\
            expect starts-by req-000001 at=270\nexpect starts-by req-000002 at=271\n",
    },
    Case {
        name: "arrays-of-whole-machines",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=3 cores=8 run=12 lane=large urgency=low\n\
            at 31 submit req-000002 pieces=6 cores=7 run=12 lane=large\n\
            expect starts-by req-000001 at=270\nexpect starts-by req-000002 at=271\n",
    },
    Case {
        name: "replicas-that-are-claimed-together",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=5 cores=6 shape=standing lane=service urgency=low\n\
            at 300 abort req-000001\nexpect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-gang-whose-deadline-has-passed",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=6 cores=8 run=30 shape=group lane=set due=10\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-gang-in-one-zone",
        shortage: SHORTAGE_IN_ZONES,
        text: "at 30 submit req-000001 pieces=5 cores=8 run=12 shape=group one_zone=yes lane=set\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-gang-spread-over-zones",
        shortage: SHORTAGE_IN_ZONES,
        text: "at 30 submit req-000001 pieces=8 cores=8 run=12 shape=group apart=yes lane=set\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-gang-whose-team-is-at-its-limit",
        shortage: TEAM_AT_ITS_LIMIT,
        text: "at 4 submit req-002001 pieces=4 cores=1 run=10 lane=other times=60 every=4\n\
            at 30 submit req-000001 pieces=6 cores=7 run=12 shape=group lane=set team=red urgency=low\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "controllers-crash-during-a-gang-reservation",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set urgency=low\n\
            at 78 crash n0 for=5\nat 86 crash n1 for=5\nat 95 crash n2 for=5\nat 106 crash nodes for=1\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "a-controller-is-cut-off-during-a-gang-reservation",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set urgency=low\n\
            at 78 cut n0 state mode=drop for=20\nat 100 cut n1 nodes mode=drop for=20\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "reserved-machines-are-lost",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=9 cores=8 run=12 shape=group lane=set urgency=low\n\
            at 80 take i-000001 count=2\nat 88 take i-000003 count=2 notice=6\nat 96 take i-000005\n\
            expect starts-by req-000001 at=270\n",
    },
    Case {
        name: "urgent-work-during-a-gang-reservation",
        shortage: SHORTAGE,
        text: "at 30 submit req-000001 pieces=9 cores=8 run=12 shape=group lane=set urgency=low\n\
            at 70 submit req-000010 pieces=2 cores=1 run=4 lane=urgent urgency=high times=20 every=4\n\
            expect starts-by req-000001 at=270\nexpect started urgent within=2 share=0.9\n",
    },
    Case {
        name: "a-gang-assigned-in-parts",
        shortage: "next value_kb=2 txn_ops=4\nslices 12\nat 20 limits\nlease 15\nreport 2.5\ncancel 40\n\
            type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=10\n\
            at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times=300 every=0.85\n",
        text: "at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set\n\
            expect starts-by req-000001 at=270\n",
    },
];

/// Runs a case. Returns the violated invariants and unmet expectations.
fn failures(case: &Case, seed: u64, controllers: usize) -> Vec<String> {
    let text = format!(
        "seed {seed}\nend 320\n{}{}{SMALL_JOBS_EXPECTATION}",
        case.shortage, case.text
    );
    let mut script = Script::parse(&text).unwrap_or_else(|e| panic!("{}: {e}", case.name));
    script.nodes = script.nodes.max(controllers);
    runner::show_log();
    let mut world = World::new(script);
    world.run();
    let name = format!("{}, seed {seed}, {controllers} controllers", case.name);
    let large_jobs = world.checker.first_start.range(..FIRST_SMALL_JOB);
    let starts: Vec<String> = large_jobs
        .map(|(job, at)| format!("req-{job:06} started at {} s", at / 1_000_000))
        .collect();
    println!("{name}: {}", starts.join(", "));
    world
        .failures()
        .iter()
        // Small jobs need more room than there is, so they queue for longer than the 90 s that the invariant allows while there is
        // free room.
        .filter(|failure| !failure.contains("left_waiting"))
        .map(|failure| format!("{name}: {}", failure.chars().take(100).collect::<String>()))
        .collect()
}

fn env_variable<T: std::str::FromStr>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{name}: {text}")))
}

#[test]
fn gangs_start_within_four_minutes_while_small_jobs_exceed_the_room() {
    let only: Option<String> = env_variable("CASE");
    let seeds = match env_variable("SEED") {
        Some(seed) => seed..=seed,
        None => 1..=env_variable("SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    let mut runs = Vec::new();
    for case in CASES
        .iter()
        .filter(|case| only.as_ref().is_none_or(|name| name == case.name))
    {
        for seed in seeds.clone() {
            runs.extend([3, 5].map(|controllers| (case, seed, controllers)));
        }
    }
    assert!(!runs.is_empty(), "no case was run");
    let next = AtomicUsize::new(0);
    let all = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((case, seed, controllers)) =
                    runs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let failures = failures(case, *seed, *controllers);
                    all.lock().unwrap().extend(failures);
                }
            });
        }
    });
    let mut all = all.into_inner().unwrap();
    all.sort();
    assert!(all.is_empty(), "{}", all.join("\n"));
}
