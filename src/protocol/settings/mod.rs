//! The platform's deploy file: validated settings of a controller.

mod file;
mod validation;

use crate::protocol::state::TransactionSize;
use crate::time::Micros;
use file::DeployFile;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why the deploy file cannot be used; one line that names the field.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The failure of the operating system.
        source: std::io::Error,
    },
    /// Not JSON, or a field is missing or of the wrong type.
    #[error("{path}: {source}")]
    Malformed {
        /// Path of the file.
        path: String,
        /// What is wrong, and where in the file.
        source: serde_json::Error,
    },
    /// A field's value is out of range.
    #[error("{field}: {problem}")]
    Invalid {
        /// Path of the field in the file.
        field: String,
        /// What its value must be.
        problem: &'static str,
    },
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The controller's name.
    pub node: String,
    /// Address at which it listens for its peers.
    pub address: SocketAddrV4,
}

/// A team's guarantee and limits. Amounts are thousandths; `None` means no limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed cores and accelerators.
    pub guarantee: (u64, u64),
    /// Largest number of cores that the team may use.
    pub cores_limit: Option<u64>,
    /// Largest number of accelerators that the team may use.
    pub accelerators_limit: Option<u64>,
}

impl Team {
    /// Whether the team has a guarantee or a limit.
    pub fn has_guarantee_or_limit(&self) -> bool {
        self.guarantee != (0, 0) || self.cores_limit.is_some() || self.accelerators_limit.is_some()
    }

    /// Whether the team's limits allow it to use these amounts in total.
    pub fn allows(&self, cores: u64, accelerators: u64) -> bool {
        self.cores_limit.is_none_or(|l| cores <= l)
            && self.accelerators_limit.is_none_or(|l| accelerators <= l)
    }
}

/// A service-level objective: how soon the tasks of a job class should start or its jobs should end.
#[derive(Clone, Debug)]
pub struct Objective {
    /// What the objective requires.
    pub kind: ObjectiveKind,
    /// The job class that it applies to; all classes if absent.
    pub class: Option<String>,
}

/// What an objective requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Jobs end by their deadlines.
    Deadline,
    /// Jobs end within this time of their submission.
    Finished(Micros),
    /// Tasks start within this time.
    Wait(Micros),
    /// Tasks within their team's guarantee start within this time.
    Guarantee(Micros),
    /// An objective that this version does not know.
    Other,
}

/// Limits of the state store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Changes per second that it accepts from all controllers together.
    pub write_rps: f64,
    /// Size of its largest value, in bytes.
    pub value_bytes: usize,
    /// Largest number of changes in one transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Conditions that a transaction may have for each change that it may have.
    const CONDITIONS_PER_CHANGE: usize = 4;

    /// Largest number of conditions in one transaction.
    pub fn max_conditions(&self) -> usize {
        self.txn_ops.saturating_mul(Self::CONDITIONS_PER_CHANGE)
    }

    /// Largest number of changes that the store accepts at a time because of its rate: what it accepts in a second, at
    /// least one.
    pub fn burst_changes(&self) -> usize {
        self.write_rps.max(1.0) as usize
    }

    /// Whether the store accepts a transaction of this size.
    pub fn allow(&self, size: &TransactionSize) -> bool {
        size.changes <= self.txn_ops
            && size.conditions <= self.max_conditions()
            && size.largest_value_bytes <= self.value_bytes
    }
}

/// The validated settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Address at which it serves users, agents and health checks.
    pub bind: SocketAddrV4,
    /// Address at which it listens for its peers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud's API.
    pub cloud_address: SocketAddrV4,
    /// Address of the state store.
    pub state_store_address: SocketAddrV4,
    /// Teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
    /// Interval of an agent's heartbeats.
    pub heartbeat_interval: Micros,
    /// Duration of an agent's lease: an agent whose lease expires ends its tasks.
    pub agent_lease: Micros,
    /// Time after a cancellation by which the job's tasks must have stopped.
    pub cancellation_timeout: Micros,
    /// Requests per second that the state store accepts from all controllers together.
    pub state_rps: f64,
    /// Current limits of the state store.
    pub state_limits: StateLimits,
    /// Limits announced for later; equal to `state_limits` if there is no announcement.
    pub announced_state_limits: StateLimits,
    /// Requests per second that the cloud accepts.
    pub cloud_rps: f64,
    /// Longest time by which the cloud's machine list may be out of date.
    pub max_list_lag: Micros,
    /// Fraction of a processor core that the process may use.
    pub core_share: f64,
    /// Memory that the process may use, in MB.
    pub ram_mb: f64,
    /// Largest number of sockets that the process may have open.
    pub max_connections: usize,
    /// Largest error of the time of day.
    pub clock_error: Micros,
}

/// Smallest burst of changes with which jobs can end: the end of a job's last task writes its machine group, removes the
/// job's record and writes its final record.
const MIN_BURST_CHANGES: usize = 3;

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or used.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Parses and validates the text of a file; `path` only appears in errors.
    ///
    /// # Errors
    /// [`SettingsError`] with the first field that is invalid.
    pub fn parse(path: &str, text: &[u8]) -> Result<Settings, SettingsError> {
        let file: DeployFile =
            serde_json::from_slice(text).map_err(|source| SettingsError::Malformed {
                path: path.to_owned(),
                source,
            })?;
        Settings::from_file(file)
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Size in bytes of the largest response body that is read from the state store and the cloud.
    ///
    /// A response with changes would otherwise be unbounded: after a long disconnection it contains all changes since
    /// then, and listing all keys in pages (of 512 KiB at most) takes less memory. While a response is parsed, it
    /// occupies about three times its size in memory.
    pub fn body_limit(&self) -> usize {
        const MIN_BYTES: f64 = 1024.0 * 1024.0;
        const MAX_BYTES: f64 = 6.0 * MIN_BYTES;
        const MEMORY_DIVISOR: f64 = 32.0;
        (self.ram_mb * 1e6 / MEMORY_DIVISOR).clamp(MIN_BYTES, MAX_BYTES) as usize
    }

    /// How long after the last contact with the state store the leases of agents may still be renewed; zero if no lease
    /// can ever be renewed.
    ///
    /// A job may be cancelled right after the last contact, and an agent whose lease is renewed at the end of this time
    /// keeps its tasks for the duration of a whole lease. Both durations together must stay within the time for
    /// cancellations. The result is zero where that leaves no time.
    pub fn max_contact_age(&self) -> Micros {
        const CANCELLATION_MARGIN: Micros = Micros::millis(1_500);
        self.cancellation_timeout - self.agent_lease.with_drift() - CANCELLATION_MARGIN
    }

    /// Whether jobs can end at the state store's rates, the current and the announced one.
    pub fn write_rates_suffice(&self) -> bool {
        let limits = [&self.state_limits, &self.announced_state_limits];
        limits
            .iter()
            .all(|limits| limits.burst_changes() >= MIN_BURST_CHANGES)
    }

    /// Number of controllers, this one included.
    pub fn controller_count(&self) -> usize {
        self.peers.len() + 1
    }
}
