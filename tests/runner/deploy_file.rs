//! The deploy files that a script's controllers start with.

use super::script::Script;
use cometlead::protocol::settings::Settings;
use serde_json::{Value, json};
use std::sync::Arc;

/// Zone of a controller.
pub(super) fn zone_of(s: &Script, n: usize) -> &str {
    &s.zones[n % s.zones.len()]
}

/// The settings of a controller, read from the deploy file that the script describes.
pub(super) fn settings(s: &Script, n: usize) -> Arc<Settings> {
    let others: Vec<Value> = (0..s.nodes)
        .filter(|o| *o != n)
        .map(|o| json!({"node": format!("n{o}"), "zone": zone_of(s, o), "peer_addr": format!("10.0.0.{}:81", o + 1)}))
        .collect();
    let teams: Vec<Value> = s
        .teams
        .iter()
        .map(|(name, g, m)| json!({"name": name, "cpus": g, "cpus_max": m, "gpus": 0, "gpus_max": 0}))
        .chain(s.teams.iter().all(|t| t.0 != "free").then(|| json!({"name": "free"})))
        .collect();
    let mut file = json!({
        "node": format!("n{n}"), "zone": zone_of(s, n), "bind": format!("10.0.0.{}:80", n + 1),
        "back": format!("10.0.0.{}:81", n + 1), "others": others,
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
        "params": {"teams": teams, "objectives": [{"kind": "wait", "class": "urgent", "within_s": 2, "share": 0.9}],
            "workers": {"report_s": s.report_interval_s, "lease_s": s.lease_s, "cancel_s": s.cancel_s},
            "state": {"rps": s.state_rates.0, "write_rps": s.state_rates.1, "value_kb": s.value_kb, "txn_ops": 12,
                "next": s.next_limits.filter(|_| s.limits_announced).map(|(rate, size, ops)| json!({"write_rps": rate, "value_kb": size, "txn_ops": ops}))},
            "cloud": {"rps": 10, "list_lag_s": s.list_lag_s},
            "quota": {"core_share": 0.1, "ram_mb": 40, "max_connections": 600}, "clock_error_ms": 200},
    });
    for (path, value) in &s.parameters {
        let parameter = file
            .pointer_mut(&format!("/params/{path}"))
            .expect("a parameter of the deploy file");
        // Counts have no decimals.
        *parameter = if value.fract() == 0.0 {
            json!(*value as u64)
        } else {
            json!(value)
        };
    }
    Arc::new(Settings::parse("scenario", file.to_string().as_bytes()).expect("settings"))
}
