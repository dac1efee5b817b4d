//! Settings in the deploy file: announced limits of the state service, and the maximum contact age.

use cometlead::protocol::settings::{Settings, StateLimits};
use serde_json::{Value, json};

fn parse(next: Value) -> Result<(StateLimits, StateLimits), String> {
    let settings = settings(next, 10.0, 35.0)?;
    Ok((settings.state_limits, settings.announced_state_limits))
}

fn settings(next: Value, lease: f64, cancel: f64) -> Result<Settings, String> {
    let file = json!({
        "node": "n0", "zone": "a", "bind": "10.0.0.1:80", "back": "10.0.0.1:81", "others": [],
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {"workers": {"report_s": 1, "lease_s": lease, "cancel_s": cancel},
            "state": {"rps": 100, "write_rps": 40, "value_kb": 16, "txn_ops": 12, "next": next},
            "cloud": {"rps": 10, "list_lag_s": 4},
            "quota": {"core_share": 0.1, "ram_mb": 40, "max_connections": 600}, "clock_error_ms": 200},
    });
    Settings::parse("deploy.json", file.to_string().as_bytes()).map_err(|e| e.to_string())
}

/// The maximum contact age is what `cancel_s` leaves after the lease. If it leaves nothing, no worker can be answered: the
/// limit is zero from the start, without an underflow.
#[test]
fn max_contact_age_is_bounded_by_cancel_time_and_lease() {
    for (lease, cancel, most) in [
        (10.0, 35.0, 23_500),
        (15.25, 40.25, 23_500),
        (10.0, 11.0, 0),
        (10.0, 5.0, 0),
    ] {
        let limit = settings(json!(null), lease, cancel)
            .unwrap()
            .max_contact_age()
            .as_millis();
        assert!(
            limit <= most && limit + 20 >= most,
            "{lease} {cancel}: {limit}"
        );
    }
}

#[test]
fn limits_without_an_announced_change_stay_the_same() {
    for next in [json!(null), json!({}), json!({"write_rps": null})] {
        let (now, next) = parse(next).unwrap();
        assert_eq!(now, next);
    }
    let (now, next) = parse(json!({"txn_ops": 4, "later": 1})).unwrap();
    assert_eq!(
        (next.txn_ops, next.value_bytes, next.write_rps),
        (4, now.value_bytes, now.write_rps)
    );
    let (_, next) = parse(json!({"write_rps": 80.0, "value_kb": 32.0, "txn_ops": 12})).unwrap();
    assert_eq!(
        (next.txn_ops, next.value_bytes, next.write_rps),
        (12, 32 * 1024, 80.0)
    );
}

#[test]
fn announced_limits_out_of_range_are_refused_with_the_field_name() {
    for (next, field) in [
        (json!({"write_rps": 0.0}), "params.state.next.write_rps"),
        (json!({"value_kb": -1.0}), "params.state.next.value_kb"),
        (json!({"value_kb": 1.0}), "params.state.next.value_kb"),
        (json!({"txn_ops": 3}), "params.state.next.txn_ops"),
        (json!({"txn_ops": 4.5}), "deploy.json"),
        (json!(7), "deploy.json"),
    ] {
        let error = parse(next.clone()).unwrap_err();
        assert!(
            error.starts_with(field) && !error.contains('\n'),
            "{next}: {error}"
        );
    }
}

/// Guards against rates at which jobs start and never end without anybody being told: a job's end takes three changes in one transaction.
#[test]
fn write_rates_too_low_for_the_end_of_a_job_are_noticed() {
    for (next, suffice) in [
        (json!(null), true),
        (json!({"write_rps": 3.0}), true),
        (json!({"write_rps": 2.9}), false),
    ] {
        let settings = settings(next.clone(), 10.0, 35.0).unwrap();
        assert_eq!(settings.write_rates_suffice(), suffice, "{next}");
    }
}
