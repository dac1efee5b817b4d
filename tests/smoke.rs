//! A short scale run with three real controllers and sixty fake workers. It checks results, not latencies.

use cometlead_emulator::run::run;
use cometlead_emulator::scenario::Scenario;
use std::path::Path;

#[test]
fn three_controllers_run_tasks_on_sixty_fake_workers() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/emulator/scenarios/smoke.toml");
    let scenario = Scenario::load(&file).unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_cometlead"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let result = run(&scenario, binary, folder, &|_| {}).unwrap();
    assert!(
        result.violation_counts.is_empty(),
        "{:?}",
        result.violations
    );
    assert_eq!(result.exited_controllers, 0);
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
