//! Amounts at the ends of their ranges: whatever the cloud's catalogue and the deploy file may hold, controllers go on
//! running and jobs run.

#[allow(dead_code)]
mod runner;

use runner::World;
use runner::script::Script;
use std::panic::catch_unwind;

/// Jobs that an ordinary machine type can run: urgent and not, bound to on-demand machines, starting together, and with
/// pauses in which machines are idle.
const JOBS: &str = "at 2 submit req-000001 pieces=4 cores=1 run=2 lane=small times=10 every=5\n\
    at 3 submit req-000101 pieces=6 cores=2 run=8 lane=urgent urgency=high due=60\n\
    at 4 submit req-000201 pieces=3 cores=4 run=6 lane=set shape=group spot=no\n\
    expect all-done\n";

const ORDINARY_TYPE: &str =
    "type ordinary cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=10 spot=10\n";

/// Runs a script; returns what went wrong.
fn failures(text: &str) -> Vec<String> {
    let script = Script::parse(text).expect("a script");
    let run = || {
        let mut world = World::new(script);
        world.run();
        world.failures()
    };
    catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| vec!["a controller panicked".to_owned()])
}

fn assert_all_pass(cases: &[(String, String)]) {
    let failed: Vec<String> = cases
        .iter()
        .flat_map(|(name, text)| {
            failures(text)
                .into_iter()
                .map(move |failure| format!("{name}: {failure}"))
        })
        .collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against a panic of every controller, and against jobs that never run, for an amount of a machine type beside which an
/// ordinary one is offered.
#[test]
fn jobs_run_whatever_amounts_a_machine_type_has() {
    let fields = [
        "cores",
        "mem",
        "accelerators",
        "cache",
        "fetch",
        "boot",
        "price",
        "spot_price",
    ];
    let amounts = [
        "0",
        "0.000000001",
        "0.0005",
        "0.4",
        "0.9",
        "1000000",
        "1000000000000",
        "1e300",
    ];
    let usual = [
        ("cores", "8"),
        ("mem", "32"),
        ("boot", "4"),
        ("price", "1"),
        ("spot_price", "0.4"),
    ];
    let mut cases = Vec::new();
    for field in fields {
        for amount in amounts {
            let mut odd = format!("type odd {field}={amount} count=5 spot=5");
            for (other, value) in usual.iter().filter(|(other, _)| *other != field) {
                odd += &format!(" {other}={value}");
            }
            cases.push((
                format!("{field}={amount}"),
                format!("end 150\n{odd}\n{ORDINARY_TYPE}{JOBS}"),
            ));
        }
    }
    for boot in ["0", "0.000000001", "0.4", "0.9", "1"] {
        let only =
            format!("type only boot={boot} cores=8 mem=32 price=1 spot_price=0.4 count=9 spot=9\n");
        cases.push((
            format!("only boot={boot}"),
            format!("end 150\n{only}{JOBS}"),
        ));
    }
    assert_all_pass(&cases);
}

/// Guards against a panic of every controller, and against jobs that never run, for an amount of the deploy file.
#[test]
fn jobs_run_whatever_amounts_the_deploy_file_has() {
    let least = "0.000000001";
    let most = "1000000000";
    let cases: Vec<(String, String)> = [
        ("cloud.rps", vec!["0.5", "0.9", most]),
        ("cloud.list_lag_s", vec![least, "1", "100", most]),
        ("state.rps", vec!["20", most]),
        ("state.write_rps", vec!["3", "5.5", most]),
        ("state.value_kb", vec!["2", "1000000"]),
        ("state.txn_ops", vec!["4", "1000", "1000000000000"]),
        ("quota.core_share", vec![least, most]),
        ("quota.ram_mb", vec![least, most]),
        ("quota.max_connections", vec!["32", most]),
        ("clock_error_ms", vec!["0", least, "10000", most]),
    ]
    .into_iter()
    .flat_map(|(parameter, amounts)| {
        amounts.into_iter().map(move |amount| {
            let text = format!("end 200\nsetting {parameter} {amount}\n{ORDINARY_TYPE}{JOBS}");
            (format!("{parameter}={amount}"), text)
        })
    })
    .collect();
    assert_all_pass(&cases);
}
