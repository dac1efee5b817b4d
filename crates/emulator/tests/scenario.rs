//! Scenario files are checked strictly: an error names the faulty field in one line.

use cometlead_emulator::scenario::Scenario;
use std::path::Path;

fn smoke() -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/smoke.toml"))
        .unwrap()
}

#[test]
fn all_scenario_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        Scenario::load(&file.unwrap().path()).unwrap();
        count += 1;
    }
    assert!(count >= 3, "{count} files");
}

#[test]
fn error_names_the_faulty_field_in_one_line() {
    for (from, to, named) in [
        ("seed = 1", "seeds = 1", "seeds"),
        (
            "workers = 60",
            "workers = 0",
            "regions.workers: must be 1 to 20000",
        ),
        ("workers = 60", "workers = \"many\"", "workers"),
        (
            "controllers = 3",
            "controllers = 60",
            "regions.controllers: must be 59 or fewer over all regions",
        ),
        (
            "cancelled = 0.1",
            "cancelled = 1.1",
            "load.cancelled: must be 0 to 1",
        ),
        ("run_s = 3", "run_s = nan", "load.run_s: must be above 0"),
        (
            "txn_ops = 12",
            "txn_ops = 3",
            "state.txn_ops: must be 4 to 1000",
        ),
        (
            "name = \"smoke\"",
            "name = \"../smoke\"",
            "name: must be letters, digits and dashes",
        ),
    ] {
        let text = smoke().replacen(from, to, 1);
        let error = Scenario::parse("file.toml", &text).unwrap_err().to_string();
        assert!(
            error.contains(named) && error.lines().count() == 1,
            "{to}: {error}"
        );
    }
}

#[test]
fn faults_must_refer_to_existing_parties() {
    for (fault, named) in [
        (
            "what = { kind = \"kill_controller\", node = 3 }",
            "troubles.node",
        ),
        (
            "what = { kind = \"zone_gone\", zone = 2, for_s = 5 }",
            "troubles.zone",
        ),
        (
            "what = { kind = \"state_out\", for_s = 0 }",
            "troubles.for_s",
        ),
        ("what = { kind = \"meteor\" }", "meteor"),
    ] {
        let text = format!("{}\n[[troubles]]\nat_s = 1\nregion = 0\n{fault}\n", smoke());
        let error = Scenario::parse("file.toml", &text).unwrap_err().to_string();
        assert!(error.contains(named), "{fault}: {error}");
    }
    let text = format!(
        "{}\n[[troubles]]\nat_s = 1\nregion = 1\nwhat = {{ kind = \"kill_region\" }}\n",
        smoke()
    );
    assert!(
        Scenario::parse("file.toml", &text)
            .unwrap_err()
            .to_string()
            .contains("troubles.region")
    );
}

#[test]
fn late_copies_must_have_a_share_delays_and_a_count() {
    let valid = "share = 0.5\nmin_delay_s = 0.2\nmax_delay_s = 60\nmax_copies = 3\n";
    let parse = |copies: &str| {
        let text = format!("{}\n[late_copies]\n{copies}", smoke());
        Scenario::parse("file.toml", &text)
    };
    assert!(parse(valid).is_ok());
    for (from, to, named) in [
        ("share = 0.5", "share = 1.5", "late_copies.share"),
        (
            "min_delay_s = 0.2",
            "min_delay_s = 0",
            "late_copies.min_delay_s",
        ),
        (
            "max_delay_s = 60",
            "max_delay_s = 0.1",
            "at least min_delay_s",
        ),
        ("max_copies = 3", "max_copies = 0", "late_copies.max_copies"),
    ] {
        let error = parse(&valid.replace(from, to)).unwrap_err().to_string();
        assert!(error.contains(named), "{to}: {error}");
    }
}

#[test]
fn each_step_is_a_run() {
    let step = "\n[[steps]]\nworkers = 300\ntasks_per_worker = 4\nstarts_per_s = 20\n";
    let scenario = Scenario::parse("file.toml", &format!("{}{step}{step}", smoke())).unwrap();
    let runs = scenario.runs();
    assert_eq!(runs.len(), 2);
    assert_eq!(
        (runs[0].regions[0].workers, runs[0].wanted_running()),
        (300, 1_200.0)
    );
    assert!(runs[0].steps.is_empty());
}
