//! Short scale runs with three real controllers and sixty fake workers. They check results, not latencies.

use cometlead_emulator::late_copies::CopiedRequest;
use cometlead_emulator::report::RunResult;
use cometlead_emulator::run::run;
use cometlead_emulator::scenario::Scenario;
use std::path::Path;

/// Runs a scenario of the emulator, and checks that no rule is broken and no controller exits by itself.
fn run_scenario(name: &str) -> RunResult {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/emulator/scenarios");
    let scenario = Scenario::load(&folder.join(name).with_extension("toml")).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_cometlead"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let result = run(&scenario, binary, folder, &|_| {}).unwrap();
    assert!(
        result.violation_counts.is_empty(),
        "{:?}",
        result.violations
    );
    assert_eq!(result.exited_controllers, 0);
    result
}

#[test]
fn late_copies_of_requests_start_nothing_and_break_no_rule() {
    let result = run_scenario("late-copies");
    let copies = |kind| result.late_copies.get(&kind).copied().unwrap_or(0);
    assert!(copies(CopiedRequest::RefusedCommand) > 0);
    assert!(copies(CopiedRequest::Command) > copies(CopiedRequest::RefusedCommand));
    assert!(result.completions_per_s > 0.0, "{}", result.table());
}

#[test]
fn three_controllers_run_tasks_on_sixty_fake_workers() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let result = run_scenario("smoke");
    assert!(result.workers >= 30, "{} workers", result.workers);
    assert!(
        result.most_running >= 100,
        "{} tasks ran at once",
        result.most_running
    );
    assert!(
        result.submitted > 0 && result.completions_per_s > 0.0,
        "{}",
        result.table()
    );
    assert!(
        result.worker_bytes_per_s.p50 > 0.0 && result.regions[0].state_changes > 0.0,
        "{}",
        result.table()
    );
    result.write(folder).unwrap();
    for extension in ["json", "csv", "svg"] {
        assert!(
            folder.join("smoke").with_extension(extension).exists(),
            "{extension}"
        );
    }
}
