//! The format of the deploy file, before validation. Unknown fields, such as those of later versions, are ignored.

use serde::Deserialize;

/// The deploy file.
#[derive(Deserialize)]
pub(super) struct DeployFile {
    #[serde(rename = "node")]
    pub node: String,
    #[serde(rename = "zone")]
    pub zone: String,
    #[serde(rename = "bind")]
    pub bind: String,
    #[serde(rename = "back")]
    pub peer_bind: String,
    #[serde(rename = "others")]
    pub peers: Vec<PeerEntry>,
    #[serde(rename = "outside")]
    pub services: ServicesSection,
    #[serde(rename = "params")]
    pub params: ParamsSection,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct PeerEntry {
    #[serde(rename = "node")]
    pub node: String,
    #[serde(rename = "peer_addr")]
    pub address: String,
}

/// Addresses of the services that the scheduler uses.
#[derive(Deserialize)]
pub(super) struct ServicesSection {
    #[serde(rename = "cloud")]
    pub cloud: String,
    #[serde(rename = "state")]
    pub state: String,
}

/// Parameters of the platform.
#[derive(Deserialize)]
pub(super) struct ParamsSection {
    #[serde(rename = "teams", default)]
    pub teams: Vec<TeamEntry>,
    /// They are decoded one by one, since those of forms that this version does not know are skipped.
    #[serde(rename = "objectives", default)]
    pub objectives: Vec<serde_json::Value>,
    #[serde(rename = "workers")]
    pub agents: AgentsSection,
    #[serde(rename = "state")]
    pub state: StateSection,
    #[serde(rename = "cloud")]
    pub cloud: CloudSection,
    #[serde(rename = "quota")]
    pub quota: QuotaSection,
    #[serde(rename = "clock_error_ms")]
    pub clock_error_ms: f64,
}

/// A team's guarantee and limits; a limit of 0 means no limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    #[serde(rename = "name")]
    pub name: String,
    #[serde(rename = "cpus", default)]
    pub guaranteed_cores: f64,
    #[serde(rename = "cpus_max", default)]
    pub cores_limit: f64,
    #[serde(rename = "gpus", default)]
    pub guaranteed_accelerators: f64,
    #[serde(rename = "gpus_max", default)]
    pub accelerators_limit: f64,
}

/// A service-level objective.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    #[serde(rename = "kind")]
    pub kind: String,
    #[serde(rename = "class", default)]
    pub class: Option<String>,
    #[serde(rename = "within_s", default)]
    pub within_s: Option<f64>,
}

/// Intervals and timeouts of agents.
#[derive(Deserialize)]
pub(super) struct AgentsSection {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    #[serde(rename = "lease_s")]
    pub lease_s: f64,
    #[serde(rename = "cancel_s")]
    pub cancel_s: f64,
}

/// Limits of the state store.
#[derive(Deserialize)]
pub(super) struct StateSection {
    #[serde(rename = "rps")]
    pub rps: f64,
    #[serde(rename = "write_rps")]
    pub write_rps: f64,
    #[serde(rename = "value_kb")]
    pub value_kb: f64,
    #[serde(rename = "txn_ops")]
    pub txn_ops: u64,
    #[serde(rename = "next")]
    pub next: Option<NextStateSection>,
}

/// Limits that the state store will have later. A limit that is absent stays as it is.
#[derive(Default, Deserialize)]
pub(super) struct NextStateSection {
    #[serde(rename = "write_rps")]
    pub write_rps: Option<f64>,
    #[serde(rename = "value_kb")]
    pub value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    pub txn_ops: Option<u64>,
}

/// Limits of the cloud's API.
#[derive(Deserialize)]
pub(super) struct CloudSection {
    #[serde(rename = "rps")]
    pub rps: f64,
    #[serde(rename = "list_lag_s")]
    pub list_lag_s: f64,
}

/// The resources that a controller's process may use.
#[derive(Deserialize)]
pub(super) struct QuotaSection {
    #[serde(rename = "core_share")]
    pub core_share: f64,
    #[serde(rename = "ram_mb")]
    pub ram_mb: f64,
    #[serde(rename = "max_connections")]
    pub max_connections: u64,
}
