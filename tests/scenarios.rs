//! Runs every scenario file in `tests/scenarios`, and random scenarios over a fixed list of seeds.

mod random_scenarios;
mod runner;

use random_scenarios::generate;
use runner::World;
use runner::script::Script;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

fn run(script: Script) -> (World, Vec<String>) {
    runner::show_log();
    let mut world = World::new(script);
    world.run();
    let failures = world.failures();
    (world, failures)
}

/// Runs scripts on several threads. Returns all failures, each with the name of its script.
fn run_all(scripts: &[(String, Script)]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while let Some((name, script)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let (world, mut run_failures) = run(script.clone());
                    if world.started_tasks() == 0 {
                        run_failures.push("no task was started".to_owned());
                    }
                    failures
                        .lock()
                        .unwrap()
                        .extend(run_failures.into_iter().map(|b| format!("{name}: {b}")));
                }
            });
        }
    });
    let mut failures = failures.into_inner().unwrap();
    failures.sort();
    failures
}

#[test]
fn all_scenario_files_pass() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let only = std::env::var("SCENARIO").ok();
    // Another seed runs the same scenario with other random draws.
    let seed: Option<u64> = std::env::var("LUCK").ok().map(|s| s.parse().unwrap());
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
                    seed: seed.unwrap_or(s.seed),
                    ..s
                },
            )),
            Err(e) => failures.push(format!("{name}: {e}")),
        }
    }
    assert!(!scripts.is_empty(), "no scenario was run");
    failures.extend(run_all(&scripts));
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn random_scenarios_pass() {
    let only: Option<u64> = std::env::var("SEED").ok().map(|s| s.parse().unwrap());
    // First seed, to run only scenarios with fault combinations of all kinds, and more of them.
    let from: Option<u64> = std::env::var("MEETINGS_FROM")
        .ok()
        .map(|s| s.parse().unwrap());
    let count: u64 = std::env::var("SEEDS")
        .ok()
        .map_or(120, |s| s.parse().unwrap());
    // Seeds 304, 323, 444 and 578 find a fault that no others do: launches that were taken as settled.
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
                .chain(7001..=7000 + count)
                .chain(
                    random_scenarios::GANG_SEEDS_FROM + 1
                        ..=random_scenarios::GANG_SEEDS_FROM + count / 4,
                )
                .collect(),
        },
        |s| vec![s],
    );
    let scenarios: Vec<_> = seeds
        .into_iter()
        .map(|seed| (format!("seed {seed}"), generate(seed)))
        .collect();
    if only.is_some() && std::env::var("STEPS").is_ok() {
        // Shows the steps that a seed generates.
        scenarios[0]
            .1
            .steps
            .iter()
            .for_each(|step| eprintln!("{step:?}"));
    }
    let failures = run_all(&scenarios);
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A reservation for a gang keeps other jobs off machines with room for more than 90 s.
#[test]
fn no_job_waits_beside_machines_reserved_for_a_gang() {
    let seeds = [7239, 7510, 8058, 8601, 8760, 9376, 9840];
    let scenarios = seeds.map(|seed| (format!("seed {seed}"), generate(seed)));
    let failures = run_all(&scenarios);
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn invalid_scenario_lines_are_reported_with_their_number() {
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

/// Rules that a later version wrote and this version cannot parse may forbid any placement: no task is started until they
/// are removed.
#[test]
fn no_task_starts_while_stored_rules_cannot_be_parsed() {
    // A controller that was never seen may have these rules, so no other controller removes them.
    let text =
        "seed 1\nend 60\nat 0 crash n2 for=100\nat 2 submit req-000002 pieces=2 cores=1 run=2\n";
    for (rule, starts) in [("spot or not spot", true), ("spot unless later", false)] {
        let mut world = World::new(Script::parse(text).unwrap());
        world.state.insert_record(
            "c/meta",
            serde_json::json!({"layout": 4, "slices": 3, "teams": {}}),
        );
        let rules = serde_json::json!({"rules": [{"name": "later", "require": rule}]});
        world.state.insert_record("c/rules/0123456789abcdef", rules);
        world.run();
        assert_eq!(world.started_tasks() > 0, starts, "{rule}");
    }
}

/// An upgrade in place that finds records of an earlier format leaves them unchanged, and no controller gets healthy.
#[test]
fn records_of_an_unsupported_format_are_left_unchanged() {
    let text = "seed 1\nend 30\nat 2 submit req-000002 pieces=2 cores=1 run=2\n";
    let mut world = World::new(Script::parse(text).unwrap());
    world
        .state
        .insert_record("c/meta", serde_json::json!({"slices": 6, "teams": {}}));
    world.state.insert_record(
        "c/group/0",
        serde_json::json!({"m": {"6": {"b": "small", "y": "a", "e": "10.1.0.6:9000"}}}),
    );
    world.run();
    assert!(!world.any_healthy(), "a controller is healthy");
    assert_eq!(world.state.commits, 0, "something was written");
    assert_eq!(world.started_tasks(), 0, "something was started");
    assert!(world.failures().is_empty(), "an invariant was violated");
}

/// The checker finds planted faults: a job about which no request is answered, and one that never starts.
#[test]
fn checker_reports_jobs_that_are_forgotten_or_never_start() {
    let text = "end 400\ntype small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=0\n\
                at 2 submit req-000001 pieces=2 cores=2 run=5\nexpect fair\n";
    let (mut world, failures) = run(Script::parse(text).unwrap());
    for name in [
        "class lane",
        "team free",
        "largest of lane",
        "req-000001, one of the largest",
    ] {
        assert!(
            failures
                .iter()
                .any(|b| b.contains("unfair") && b.contains(name)),
            "{name}: {failures:?}"
        );
    }
    // From here on no request about the job is answered, although no fault is left.
    let run_end = 400_000_000;
    world.checker.check_deadlines(run_end + 74_000_000);
    assert!(
        !world
            .checker
            .violations
            .iter()
            .any(|b| b.contains("forgotten")),
        "{:?}",
        world.checker.violations
    );
    world.checker.check_deadlines(run_end + 76_000_000);
    assert!(
        world
            .checker
            .violations
            .iter()
            .any(|b| b.contains("forgotten: no request")),
        "{:?}",
        world.checker.violations
    );
}

/// A run with a single request: the submission of one job with two tasks of two cores each.
fn world_with_one_job(text: &str) -> World {
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

/// The checker finds planted faults in responses: no controller may report an older state than any controller reported
/// before, and no job may be accepted that cannot run or lacks a field.
#[test]
fn checker_reports_outdated_responses_and_accepted_invalid_jobs() {
    let request_abort = |world: &mut World| world.checker.record_abort_request(1);
    let mut world = world_with_one_job("end 1.5");
    request_abort(&mut world);
    world
        .checker
        .record_reply(9_000_000, 8_000_000, "submit", 1, 201, Some("queued"));
    world
        .checker
        .record_reply(20_000_000, 19_000_000, "abort", 1, 200, Some("cancelled"));
    // This request was sent before the other response, so it may report an earlier state.
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
    // A job that was never submitted is reported as cancelled by an abort.
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

/// The checker finds planted faults: a task that starts after its job was confirmed as cancelled, and one that runs longer
/// than `cancel_s` after that because its machine hung meanwhile.
#[test]
fn checker_reports_tasks_of_cancelled_jobs() {
    use runner::invariants::MachineInfo;
    use runner::worker::TaskEvent;
    let mut world = world_with_one_job("end 1.5\ncancel 40");
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
        .observe(3_000_000, 7, &info, &TaskEvent::Started((1, 0)), &all);
    assert_eq!(world.checker.starts_after_cancellation, 0);
    world
        .checker
        .record_reply(5_000_000, 4_000_000, "abort", 1, 200, Some("cancelled"));
    world
        .checker
        .observe(6_000_000, 7, &info, &TaskEvent::Started((1, 1)), &all);
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

/// The checker finds a planted fault: all controllers stop for good while a job waits, and the checker counts no fault as
/// active.
#[test]
fn checker_reports_jobs_that_wait_although_a_machine_fits() {
    let text = "end 140\nat 6 submit req-000002 pieces=40 cores=8 run=4\nat 8 crash nodes for=1000";
    let mut world = World::new(Script::parse(text).unwrap());
    // The crash does not count as an active fault here, since it is the fault to find.
    world.checker.last_fault_end = 10_000_000;
    world.run();
    assert!(
        has_violation(&world, "left_waiting: req-000002"),
        "{:?}",
        world.checker.violations
    );
    // A job that its team's limit holds back does not count as waiting.
    let mut world = World::new(Script::parse(&format!("team free most=4\n{text}")).unwrap());
    world.checker.last_fault_end = 10_000_000;
    world.run();
    assert!(
        !has_violation(&world, "left_waiting"),
        "{:?}",
        world.checker.violations
    );
}

/// The checker finds a planted fault: all polls for one job fail. The job counts as forgotten only while most other polls are
/// answered.
#[test]
fn checker_reports_polls_that_fail_for_one_job_only() {
    for (others_answered, forgotten) in [(true, true), (false, false)] {
        let mut world = world_with_one_job("end 1.5");
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

/// Small jobs need more room than there is for the whole run. Two gangs that need most of the machines at once, one of them with a deadline, must
/// start within four minutes.
///
/// This guards against a fault in which neither ever started. Room was reserved for a gang anew in each plan, among the machines with a free core at
/// that moment and on a third of them for each request, so the reservation changed from plan to plan and no machine ever became empty for the gang.
/// Reserved machines then went to small jobs that had waited for 45 s, of which a lasting shortage always has some, and machines that were empty for
/// the gang were released as surplus. The log lines `set waits for room` of this run showed it: of six machines
/// needed, at most 7 were reserved, mostly 2 to 4, and at most 3 had room. There were 2,167 lines `reserved machine assigned to a starved job`, and 40
/// machines were released.
#[test]
fn gangs_start_while_small_jobs_need_more_room_than_there_is() {
    let text = "seed 86\nend 520\nlease 15\nreport 2.5\ncancel 40\n\
        type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot=10\n\
        at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times=440 every=0.85\n\
        at 4 submit req-002001 pieces=2 cores=3 run=25 lane=middle urgency=low times=60 every=6\n\
        at 30 submit req-000001 pieces=6 cores=8 run=12 shape=group lane=set\n\
        at 60 submit req-000003 pieces=4 cores=6 run=12 shape=group lane=late due=200 urgency=low\n\
        expect starts-by req-000001 at=270\nexpect starts-by req-000003 at=300\n";
    let (_, failures) = run(Script::parse(text).unwrap());
    let late: Vec<&str> = failures
        .iter()
        .filter(|b| b.starts_with("expected"))
        .map(|b| &b[..b.len().min(40)])
        .collect();
    assert!(late.is_empty(), "{late:?}");
}
