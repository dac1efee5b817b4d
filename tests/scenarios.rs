//! Plays every file in `tests/scenarios`, and a randomised sweep over a fixed list of seeds.

mod random_scenarios;
mod runner;

use random_scenarios::drawn;
use runner::World;
use runner::script::Script;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

fn play(script: Script) -> (World, Vec<String>) {
    runner::show_log();
    let mut world = World::new(script);
    world.run();
    let bad = world.failures();
    (world, bad)
}

/// Plays scripts on several threads; what was not as it should be, each with its script's name.
fn play_all(scripts: &[(String, Script)]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some((name, script)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let (world, mut bad) = play(script.clone());
                    if world.started_tasks() == 0 {
                        bad.push("nothing ran".to_owned());
                    }
                    failures
                        .lock()
                        .unwrap()
                        .extend(bad.into_iter().map(|b| format!("{name}: {b}")));
                }
            });
        }
    });
    let mut failures = failures.into_inner().unwrap();
    failures.sort();
    failures
}

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    // Another seed plays the same scenario with other luck.
    let luck: Option<u64> = std::env::var("LUCK").ok().map(|s| s.parse().unwrap());
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    let mut failures = Vec::new();
    let mut scripts = Vec::new();
    for path in files {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        if only.as_ref().is_some_and(|o| *o != name) {
            continue;
        }
        match Script::parse(&std::fs::read_to_string(&path).unwrap()) {
            Ok(s) => scripts.push((
                name,
                Script {
                    seed: luck.unwrap_or(s.seed),
                    ..s
                },
            )),
            Err(e) => failures.push(format!("{name}: {e}")),
        }
    }
    assert!(!scripts.is_empty(), "no scenario was played");
    failures.extend(play_all(&scripts));
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn sweep() {
    let only: Option<u64> = std::env::var("SEED").ok().map(|s| s.parse().unwrap());
    // Where the days with all meetings begin, for more of these alone.
    let from: Option<u64> = std::env::var("MEETINGS_FROM")
        .ok()
        .map(|s| s.parse().unwrap());
    let count: u64 = std::env::var("SEEDS")
        .ok()
        .map_or(120, |s| s.parse().unwrap());
    // The last ones catch what no other does: launches that were thought settled.
    let seeds: Vec<u64> = only.map_or_else(
        || match from {
            Some(from) => (from..from + count).collect(),
            None => (1..=count)
                .chain([304, 323, 444, 578])
                .chain(1001..=1000 + count / 2)
                .chain(2001..=2000 + count)
                .chain(3001..=3000 + count)
                .chain(4001..=4000 + count)
                .chain(5001..=5000 + count)
                .chain(6001..=6000 + count)
                .chain(random_scenarios::SETS_FROM + 1..=random_scenarios::SETS_FROM + count / 4)
                .collect(),
        },
        |s| vec![s],
    );
    let days: Vec<_> = seeds
        .into_iter()
        .map(|seed| (format!("seed {seed}"), drawn(seed)))
        .collect();
    if only.is_some() && std::env::var("STEPS").is_ok() {
        // Shows what a seed drew.
        days[0]
            .1
            .steps
            .iter()
            .for_each(|step| eprintln!("{step:?}"));
    }
    let failures = play_all(&days);
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn scenario_files_are_read_strictly() {
    for (text, line) in [
        ("seed 1\ncolour red", "line 2"),
        ("at 3 explode n0 for=3", "line 1"),
        ("\n\nat 3 crash n0 for=3 how=hard", "line 3"),
        ("at 3 cut n0 moon mode=drop for=3", "line 1"),
        ("at 3 submit req-000001 wings=2", "line 1"),
        ("expect luck", "line 1"),
    ] {
        let error = Script::parse(text).err().unwrap_or_default();
        assert!(error.starts_with(line), "{text}: {error}");
    }
}

/// Rules that a later version wrote in a way that this one does not understand may forbid anything: nothing is
/// started until they are gone.
#[test]
fn rules_that_are_not_understood_stop_all_starts() {
    // A controller that was never seen may have them, so nobody withdraws them.
    let text =
        "seed 1\nend 60\nat 0 crash n2 for=100\nat 2 submit req-000002 pieces=2 cores=1 run=2\n";
    for (rule, starts) in [("spot or not spot", true), ("spot unless later", false)] {
        let mut world = World::new(Script::parse(text).unwrap());
        world.state.put(
            "c/meta",
            serde_json::json!({"layout": 4, "slices": 3, "teams": {}}),
        );
        let rules = serde_json::json!({"rules": [{"name": "later", "require": rule}]});
        world.state.put("c/rules/0123456789abcdef", rules);
        world.run();
        assert_eq!(world.started_tasks() > 0, starts, "{rule}");
    }
}

/// An upgrade in place finds records of the layout before: they are left alone, and no node is in service.
#[test]
fn records_of_another_layout_are_left_alone() {
    let text = "seed 1\nend 30\nat 2 submit req-000002 pieces=2 cores=1 run=2\n";
    let mut world = World::new(Script::parse(text).unwrap());
    world
        .state
        .put("c/meta", serde_json::json!({"slices": 6, "teams": {}}));
    world.state.put(
        "c/group/0",
        serde_json::json!({"m": {"6": {"b": "small", "y": "a", "e": "10.1.0.6:9000"}}}),
    );
    world.run();
    assert!(!world.any_healthy(), "a node is in service");
    assert_eq!(world.state.commits, 0, "something was written");
    assert_eq!(world.started_tasks(), 0, "something was started");
    assert!(world.failures().is_empty(), "a rule was broken");
}

/// The checker's newer judgements on planted faults: a job that nobody is told about, and one that never begins.
#[test]
fn who_is_forgotten_or_left_out_is_seen() {
    let text = "end 400\ntype small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=0\n\
                at 2 submit req-000001 pieces=2 cores=2 run=5\nexpect fair\n";
    let (mut world, bad) = play(Script::parse(text).unwrap());
    for name in [
        "class lane",
        "team free",
        "largest of lane",
        "req-000001, one of the largest",
    ] {
        assert!(
            bad.iter().any(|b| b.contains("unfair") && b.contains(name)),
            "{name}: {bad:?}"
        );
    }
    // From here on nobody is told anything of it, although no trouble is left.
    let last = 400_000_000;
    world.checker.check_deadlines(last + 74_000_000);
    assert!(
        !world
            .checker
            .violations
            .iter()
            .any(|b| b.contains("forgotten")),
        "{:?}",
        world.checker.violations
    );
    world.checker.check_deadlines(last + 76_000_000);
    assert!(
        world
            .checker
            .violations
            .iter()
            .any(|b| b.contains("forgotten: no question")),
        "{:?}",
        world.checker.violations
    );
}

/// A world in which nothing has been asked of anybody yet but one job of two tasks of two cores.
fn one_job(text: &str) -> World {
    let mut world = World::new(
        Script::parse(&format!(
            "{text}\nat 1 submit req-000001 pieces=2 cores=2 run=5"
        ))
        .unwrap(),
    );
    world.run();
    world
}

fn has_violation(world: &World, rule: &str) -> bool {
    world.checker.violations.iter().any(|b| b.contains(rule))
}

/// Planted faults for what the checker judges of answers: nothing older at any node than any node said, and nothing accepted
/// that can't run or lacks a field.
#[test]
fn older_answers_and_bad_jobs_are_seen() {
    let asked = |world: &mut World| world.checker.record_abort_request(1);
    let mut world = one_job("end 1.5");
    asked(&mut world);
    world
        .checker
        .record_reply(9_000_000, 8_000_000, "submit", 1, 201, Some("queued"));
    world
        .checker
        .record_reply(20_000_000, 19_000_000, "abort", 1, 200, Some("cancelled"));
    // It was asked before the other node had told, so it may cross that answer.
    world
        .checker
        .record_reply(22_000_000, 19_000_000, "submit", 1, 200, Some("running"));
    assert!(
        world.checker.violations.is_empty(),
        "{:?}",
        world.checker.violations
    );
    for (status, state, rule) in [
        (200, Some("running"), "went_back"),
        (404, None, "forgotten"),
        (422, None, "forgotten"),
        (400, None, "forgotten"),
    ] {
        world.checker.violations.clear();
        world
            .checker
            .record_reply(30_000_000, 25_000_000, "query", 1, status, state);
        assert!(
            has_violation(&world, rule),
            "{status}: {:?}",
            world.checker.violations
        );
    }
    world.checker.violations.clear();
    world.checker.invalid_jobs.insert(2);
    world
        .checker
        .record_reply(30_000_000, 25_000_000, "submit", 2, 422, None);
    assert!(world.checker.violations.is_empty());
    world
        .checker
        .record_reply(30_000_000, 25_000_000, "submit", 2, 201, Some("queued"));
    assert!(
        has_violation(&world, "accepted_bad"),
        "{:?}",
        world.checker.violations
    );
    // What nobody submitted, cancelled through an abort.
    world.checker.violations.clear();
    world
        .checker
        .record_reply(30_000_000, 25_000_000, "abort", 3, 200, Some("cancelled"));
    assert!(
        has_violation(&world, "invented"),
        "{:?}",
        world.checker.violations
    );
}

/// Planted faults: a task that starts after its job was confirmed as cancelled, and one that goes on beyond `cancel_s` as its
/// machine hung meanwhile.
#[test]
fn tasks_of_cancelled_jobs_are_seen() {
    use runner::invariants::MachineInfo;
    use runner::worker::Deed;
    let mut world = one_job("end 1.5\ncancel 40");
    let info = MachineInfo {
        machine_type: "small".to_owned(),
        zone: "a".to_owned(),
        spot: true,
    };
    let all = std::collections::BTreeMap::from([(7, info.clone())]);
    world.checker.record_abort_request(1);
    world
        .checker
        .record_reply(2_000_000, 1_500_000, "submit", 1, 201, Some("queued"));
    world
        .checker
        .observe(3_000_000, 7, &info, &Deed::Started((1, 0)), &all);
    assert_eq!(world.checker.starts_after_cancellation, 0);
    world
        .checker
        .record_reply(5_000_000, 4_000_000, "abort", 1, 200, Some("cancelled"));
    world
        .checker
        .observe(6_000_000, 7, &info, &Deed::Started((1, 1)), &all);
    assert_eq!(world.checker.starts_after_cancellation, 1);
    world.checker.check_deadlines(45_000_000);
    assert!(
        world.checker.violations.is_empty(),
        "{:?}",
        world.checker.violations
    );
    world.checker.check_deadlines(45_000_001);
    for task in ["req-000001/0", "req-000001/1"] {
        assert!(
            has_violation(&world, &format!("ran_cancelled: {task}")),
            "{:?}",
            world.checker.violations
        );
    }
}

/// Planted fault: all controllers end for good while a job waits, and no trouble is said to be there.
#[test]
fn a_job_left_beside_a_machine_that_fits_is_seen() {
    let text = "end 140\nat 6 submit req-000002 pieces=40 cores=8 run=4\nat 8 crash nodes for=1000";
    let mut world = World::new(Script::parse(text).unwrap());
    // The crash is no trouble here but the fault itself.
    world.checker.last_fault_end = 10_000_000;
    world.run();
    assert!(
        has_violation(&world, "left_waiting: req-000002"),
        "{:?}",
        world.checker.violations
    );
    // What its team's limit forbids does not count as waiting.
    let mut world = World::new(Script::parse(&format!("team free most=4\n{text}")).unwrap());
    world.checker.last_fault_end = 10_000_000;
    world.run();
    assert!(
        !has_violation(&world, "left_waiting"),
        "{:?}",
        world.checker.violations
    );
}

/// Planted fault: all polls for one job fail. That it stands while most others are answered is what makes it forgotten.
#[test]
fn polls_that_fail_for_one_job_alone_are_seen() {
    for (others_answered, forgotten) in [(true, true), (false, false)] {
        let mut world = one_job("end 1.5");
        world
            .checker
            .record_reply(9, 8, "submit", 1, 201, Some("queued"));
        for second in 0..100 {
            let now = second * 1_000_000;
            world.checker.record_poll(now, 1, false);
            world
                .checker
                .record_poll(now, 2, others_answered || second % 3 == 0);
        }
        assert_eq!(
            has_violation(&world, "forgotten"),
            forgotten,
            "{others_answered}"
        );
    }
}

/// More small work than there is room comes without an end; two sets that need most of the machines at once, one of them with a deadline, are to
/// begin within four minutes all the same.
///
/// Once neither ever began. Room was reserved for a set anew in each plan, among the machines with a free core at that moment and on a third of them for
/// each request, so it changed from plan to plan and no machine was ever emptied for the set. What was reserved then went to small jobs that had waited for
/// 45 s, of which there always are some in a lasting shortage, and machines that stood empty for the set were returned as surplus. The lines `set waits for room` of
/// this run showed it: of six machines wanted 7 at most were reserved, mostly 2 to 4, and 3 at most had room; 2,167 lines `reserved machine assigned to a starved job`, and 40 machines returned.
#[test]
fn sets_begin_beside_small_jobs_without_end() {
    let text = "seed 86\nend 520\nlease 15\nreport 2.5\ncancel 40\n\
        type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=10\n\
        at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times=440 every=0.85\n\
        at 4 submit req-002001 pieces=2 cores=3 run=25 lane=middle urgency=low times=60 every=6\n\
        at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set\n\
        at 60 submit req-000003 pieces=4 cores=6 run=12 shape=group lane=late due=200 urgency=low\n\
        expect starts-by req-000001 at=270\nexpect starts-by req-000003 at=300\n";
    let (_, bad) = play(Script::parse(text).unwrap());
    let late: Vec<&str> = bad
        .iter()
        .filter(|b| b.starts_with("expected"))
        .map(|b| &b[..b.len().min(40)])
        .collect();
    assert!(late.is_empty(), "{late:?}");
}
