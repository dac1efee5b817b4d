//! The platform's deploy file. Fields it may gain later are ignored.

use crate::storage::resources::offered;
use crate::time::Micros;
use serde::Deserialize;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why settings cannot be used: one line that names the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// Not JSON, or a field is missing or of the wrong type.
    #[error("{path}: {error}")]
    Malformed {
        /// The file.
        path: String,
        /// What is wrong, and where.
        error: serde_json::Error,
    },
    /// A field's value is out of range.
    #[error("{field}: {problem}")]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong.
        problem: &'static str,
    },
}

#[derive(Deserialize)]
struct File {
    #[serde(rename = "node")]
    node: String,
    #[serde(rename = "zone")]
    zone: String,
    #[serde(rename = "bind")]
    bind: String,
    #[serde(rename = "back")]
    back: String,
    #[serde(rename = "others")]
    others: Vec<OtherFile>,
    #[serde(rename = "outside")]
    outside: OutsideFile,
    #[serde(rename = "params")]
    params: ParamsFile,
}

#[derive(Deserialize)]
struct OtherFile {
    #[serde(rename = "node")]
    node: String,
    #[serde(rename = "peer_addr")]
    peer_addr: String,
}

#[derive(Deserialize)]
struct OutsideFile {
    #[serde(rename = "cloud")]
    cloud: String,
    #[serde(rename = "state")]
    state: String,
}

#[derive(Deserialize)]
struct ParamsFile {
    #[serde(rename = "teams", default)]
    teams: Vec<TeamFile>,
    #[serde(rename = "objectives", default)]
    objectives: Vec<serde_json::Value>,
    #[serde(rename = "workers")]
    workers: WorkersFile,
    #[serde(rename = "state")]
    state: StateFile,
    #[serde(rename = "cloud")]
    cloud: CloudFile,
    #[serde(rename = "quota")]
    quota: QuotaFile,
    #[serde(rename = "clock_error_ms")]
    clock_error_ms: f64,
}

#[derive(Deserialize)]
struct TeamFile {
    #[serde(rename = "name")]
    name: String,
    #[serde(rename = "cpus", default)]
    cpus: f64,
    #[serde(rename = "cpus_max", default)]
    cpus_max: f64,
    #[serde(rename = "gpus", default)]
    gpus: f64,
    #[serde(rename = "gpus_max", default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct ObjectiveFile {
    #[serde(rename = "kind")]
    kind: String,
    #[serde(rename = "class", default)]
    class: Option<String>,
    #[serde(rename = "within_s", default)]
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct WorkersFile {
    #[serde(rename = "report_s")]
    report_s: f64,
    #[serde(rename = "lease_s")]
    lease_s: f64,
    #[serde(rename = "cancel_s")]
    cancel_s: f64,
}

#[derive(Deserialize)]
struct StateFile {
    #[serde(rename = "rps")]
    rps: f64,
    #[serde(rename = "write_rps")]
    write_rps: f64,
    #[serde(rename = "value_kb")]
    value_kb: f64,
    #[serde(rename = "txn_ops")]
    txn_ops: u64,
    #[serde(rename = "next")]
    next: Option<NextFile>,
}

/// Limits that the state service will have from some later moment. What is absent stays as it is.
#[derive(Default, Deserialize)]
struct NextFile {
    #[serde(rename = "write_rps")]
    write_rps: Option<f64>,
    #[serde(rename = "value_kb")]
    value_kb: Option<f64>,
    #[serde(rename = "txn_ops")]
    txn_ops: Option<u64>,
}

#[derive(Deserialize)]
struct CloudFile {
    #[serde(rename = "rps")]
    rps: f64,
    #[serde(rename = "list_lag_s")]
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct QuotaFile {
    #[serde(rename = "core_share")]
    core_share: f64,
    #[serde(rename = "ram_mb")]
    ram_mb: f64,
    #[serde(rename = "max_connections")]
    max_connections: u64,
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its name.
    pub node: String,
    /// Where it listens to its peers.
    pub back: SocketAddrV4,
}

/// A team. Amounts are thousandths; a limit of `None` limits nothing.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores and accelerators.
    pub guarantee: (u64, u64),
    /// Most cores.
    pub cores_limit: Option<u64>,
    /// Most accelerators.
    pub accelerators_limit: Option<u64>,
}

impl Team {
    /// Whether the team has a guarantee or a limit.
    pub fn has_share(&self) -> bool {
        self.guarantee != (0, 0) || self.cores_limit.is_some() || self.accelerators_limit.is_some()
    }

    /// Whether the team may use this much.
    pub fn allows(&self, cores: u64, accelerators: u64) -> bool {
        self.cores_limit.is_none_or(|l| cores <= l)
            && self.accelerators_limit.is_none_or(|l| accelerators <= l)
    }
}

/// An aim on how soon a class's tasks start or its jobs end.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What is aimed at.
    pub kind: ObjectiveKind,
    /// The class, all if absent.
    pub class: Option<String>,
}

/// What an objective asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Done by the deadline.
    Deadline,
    /// Done within this time.
    Finished(Micros),
    /// Tasks started within this time.
    Wait(Micros),
    /// Work within a guarantee started within this time.
    Guarantee(Micros),
    /// Something this version does not know.
    Other,
}

/// Limits of the state service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Changes a second that it takes from all controllers together.
    pub write_rps: f64,
    /// Bytes of its largest value.
    pub value_bytes: usize,
    /// Changes in one transaction.
    pub txn_ops: usize,
}

/// The deploy file, validated.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where users, workers and health checks reach it.
    pub bind: SocketAddrV4,
    /// Where the other controllers reach it.
    pub back: SocketAddrV4,
    /// The other controllers.
    pub others: Vec<Other>,
    /// The cloud.
    pub cloud: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
    /// Teams.
    pub teams: Vec<Team>,
    /// Aims.
    pub objectives: Vec<Objective>,
    /// A worker's report interval.
    pub heartbeat_interval: Micros,
    /// A worker's lease.
    pub lease: Micros,
    /// Time by which a cancelled job's tasks must be gone.
    pub cancel: Micros,
    /// Requests a second that the state service takes from all controllers together.
    pub state_rps: f64,
    /// The limits that it has now.
    pub limits: StateLimits,
    /// Those that it will have from some later moment; the same if none are announced.
    pub next_limits: StateLimits,
    /// Requests a second that the cloud takes.
    pub cloud_rps: f64,
    /// How far its lists lag.
    pub list_lag: Micros,
    /// Share of a core.
    pub core_share: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Sockets.
    pub connections: usize,
    /// Bound of the time of day's error.
    pub clock_error: Micros,
}

fn invalid<T>(field: impl Into<String>, problem: &'static str) -> Result<T, SettingsError> {
    Err(SettingsError::Invalid {
        field: field.into(),
        problem,
    })
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= 1e9 {
        Ok(value)
    } else {
        invalid(field, "must be above 0 and at most 1e9")
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .or_else(|_| invalid(field, "must be an IPv4 address with a port"))
}

fn name(field: &str, text: String) -> Result<String, SettingsError> {
    let plain = text.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if plain && (1..=100).contains(&text.len()) {
        Ok(text)
    } else {
        invalid(
            field,
            "must be 1 to 100 printable characters without a slash",
        )
    }
}

/// Checks the limits of the state service that stand in a part of the file.
fn limits(part: &str, file: &StateFile) -> Result<StateLimits, SettingsError> {
    let field = |name: &str| format!("{part}.{name}");
    let write_rps = positive(&field("write_rps"), file.write_rps)?;
    let value_kb = positive(&field("value_kb"), file.value_kb)?;
    // The end of a task writes its group, its team's usage, its job and the job's end.
    if file.txn_ops < 4 {
        return invalid(field("txn_ops"), "must be at least 4");
    }
    Ok(StateLimits {
        write_rps,
        value_bytes: (value_kb * 1024.0) as usize,
        txn_ops: file.txn_ops as usize,
    })
}

impl Settings {
    /// Reads and validates the file at `path`.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Settings::parse(path, &text)
    }

    /// Validates the text of a file; `path` is only named in errors.
    pub fn parse(path: &str, text: &[u8]) -> Result<Settings, SettingsError> {
        let file: File =
            serde_json::from_slice(text).map_err(|error| SettingsError::Malformed {
                path: path.to_owned(),
                error,
            })?;
        let p = file.params;
        let seconds = |field: &str, s: f64| positive(field, s).map(Micros::from_secs_f64);
        let mut teams = Vec::new();
        for t in p.teams {
            for (key, value) in [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ] {
                if !(0.0..=1e9).contains(&value) {
                    return invalid(format!("params.teams.{}.{key}", t.name), "must be 0 to 1e9");
                }
            }
            let limit = |amount: f64| (amount > 0.0).then(|| offered(amount));
            teams.push(Team {
                name: t.name,
                guarantee: (offered(t.cpus), offered(t.gpus)),
                cores_limit: limit(t.cpus_max),
                accelerators_limit: limit(t.gpus_max),
            });
        }
        let others = file
            .others
            .into_iter()
            .map(|o| {
                Ok(Other {
                    node: name("others.node", o.node)?,
                    back: address("others.peer_addr", &o.peer_addr)?,
                })
            })
            .collect::<Result<_, SettingsError>>()?;
        let limits = limits("params.state", &p.state)?;
        let next = p.state.next.unwrap_or_default();
        let next = StateFile {
            rps: p.state.rps,
            write_rps: next.write_rps.unwrap_or(p.state.write_rps),
            value_kb: next.value_kb.unwrap_or(p.state.value_kb),
            txn_ops: next.txn_ops.unwrap_or(p.state.txn_ops),
            next: None,
        };
        let next_limits = self::limits("params.state.next", &next)?;
        // A job's record has to fit, with the first chunk of its finished set.
        if next_limits.value_bytes < limits.value_bytes.min(2 * 1024) {
            return invalid("params.state.next.value_kb", "must be at least 2");
        }
        if p.quota.max_connections < 32 {
            return invalid("params.quota.max_connections", "must be at least 32");
        }
        if p.clock_error_ms.is_nan() || !(0.0..=1e9).contains(&p.clock_error_ms) {
            return invalid("params.clock_error_ms", "must be 0 to 1e9");
        }
        let settings = Settings {
            node: name("node", file.node)?,
            zone: file.zone,
            bind: address("bind", &file.bind)?,
            back: address("back", &file.back)?,
            others,
            cloud: address("outside.cloud", &file.outside.cloud)?,
            state: address("outside.state", &file.outside.state)?,
            teams,
            objectives: p.objectives.into_iter().filter_map(objective).collect(),
            heartbeat_interval: seconds("params.workers.report_s", p.workers.report_s)?,
            lease: seconds("params.workers.lease_s", p.workers.lease_s)?,
            cancel: seconds("params.workers.cancel_s", p.workers.cancel_s)?,
            state_rps: positive("params.state.rps", p.state.rps)?,
            limits,
            next_limits,
            cloud_rps: positive("params.cloud.rps", p.cloud.rps)?,
            list_lag: seconds("params.cloud.list_lag_s", p.cloud.list_lag_s)?,
            core_share: positive("params.quota.core_share", p.quota.core_share)?,
            ram_mb: positive("params.quota.ram_mb", p.quota.ram_mb)?,
            connections: p.quota.max_connections as usize,
            clock_error: Micros::from_secs_f64(p.clock_error_ms / 1e3),
        };
        Ok(settings)
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Bytes of the largest answer that is read of the state service and the cloud. An answer with changes has no size
    /// limit of its own; after an absence it would hold all that happened meanwhile, and reading everything anew in
    /// pages (of 512 KiB at most) takes less. While it is read, an answer is in memory about three times over.
    pub fn body_limit(&self) -> usize {
        const LEAST: f64 = 1024.0 * 1024.0;
        const MOST: f64 = 6.0 * LEAST;
        (self.ram_mb * 1e6 / 32.0).clamp(LEAST, MOST) as usize
    }

    /// How old contact with the state service may be while workers are still answered, so that what was cancelled since
    /// is gone in time: a worker that was answered last then keeps its tasks for a lease. Zero where `cancel_s` leaves no
    /// room beside the lease: then no worker can be answered at all.
    pub fn contact_limit(&self) -> Micros {
        const MARGIN: Micros = Micros::millis(1_500);
        self.cancel - self.lease.with_drift() - MARGIN
    }

    /// Number of controllers.
    pub fn controllers(&self) -> usize {
        self.others.len() + 1
    }
}

/// Objectives of unknown kinds or forms are passed over: they only weigh decisions.
fn objective(value: serde_json::Value) -> Option<Objective> {
    let file: ObjectiveFile = serde_json::from_value(value).ok()?;
    let within = file
        .within_s
        .filter(|s| (0.0..=1e9).contains(s))
        .map(Micros::from_secs_f64);
    let kind = match (file.kind.as_str(), within) {
        ("deadline", _) => ObjectiveKind::Deadline,
        ("finished", Some(t)) => ObjectiveKind::Finished(t),
        ("wait", Some(t)) => ObjectiveKind::Wait(t),
        ("guarantee", Some(t)) => ObjectiveKind::Guarantee(t),
        _ => ObjectiveKind::Other,
    };
    Some(Objective {
        kind,
        class: file.class,
    })
}
