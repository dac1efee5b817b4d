//! Settings of the queue service, as operators write them.
//!
//! Names, defaults and descriptions of the fields are part of the published schema.

mod credentials;
mod error;
mod validation;

pub use credentials::Credentials;
pub use error::{FileError, SettingsError};

use crate::limits::{Limits, QueueRule, WithoutReply};
use crate::replicated_log::LogLimits;
use crate::time::{SECOND, from_seconds};
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

const SECONDS_PER_DAY: u64 = 86_400;

/// The settings of `cometlead queues`.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct QueueSettings {
    /// The AMQP broker.
    #[serde(rename = "broker")]
    pub broker: BrokerSettings,
    /// The controllers' addresses for users, each `host:port`. Any one of them will do.
    #[schemars(length(min = 1))]
    #[serde(rename = "controllers")]
    pub controllers: Vec<String>,
    /// The state service that stores the replicated log.
    #[schemars(description = "Where marks are kept.")]
    #[serde(rename = "state")]
    pub state: StateSettings,
    /// The queues that are served.
    #[schemars(length(min = 1))]
    #[serde(rename = "queues")]
    pub queues: Vec<ServedQueue>,
    /// Most requests to the controllers at once.
    #[serde(rename = "calls", default = "default_max_requests")]
    #[schemars(range(min = 1, max = 256))]
    pub max_requests: usize,
    /// Most submissions a second.
    #[serde(rename = "submits_per_s", default = "default_submissions_per_s")]
    #[schemars(range(min = 1, max = 10_000))]
    pub submissions_per_s: u32,
    /// Most status queries a second, over all jobs.
    #[schemars(description = "Most polls a second, over all jobs.")]
    #[serde(rename = "polls_per_s", default = "default_queries_per_s")]
    #[schemars(range(min = 1, max = 10_000))]
    pub queries_per_s: u32,
    /// Shortest time between two status queries for one job, in seconds.
    #[schemars(description = "Shortest time between two polls of one job, in seconds.")]
    #[serde(rename = "poll_s", default = "default_query_interval_s")]
    #[schemars(range(min = 0.1, max = 300.0))]
    pub query_interval_s: f64,
    /// How long it is remembered that a message was answered, in days.
    #[serde(rename = "keep_days", default = "default_retention_days")]
    #[schemars(range(min = 1, max = 365))]
    pub retention_days: u32,
    /// Grace period on shutdown to finish work in progress, in seconds.
    #[schemars(
        description = "On SIGTERM: how long what is certain may take to be answered, in seconds."
    )]
    #[serde(rename = "stop_s", default = "default_shutdown_grace_s")]
    #[schemars(range(min = 1, max = 300))]
    pub shutdown_grace_s: u32,
    /// An address for `GET /metrics` and `GET /healthz`. Absent: none.
    #[serde(rename = "metrics", default)]
    pub metrics_address: Option<String>,
}

/// The AMQP broker.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BrokerSettings {
    /// Its name or address.
    #[schemars(length(min = 1))]
    #[serde(rename = "host")]
    pub host: String,
    /// Its port.
    #[serde(rename = "port", default = "default_port")]
    #[schemars(range(min = 1))]
    pub port: u16,
    /// The virtual host.
    #[serde(rename = "vhost", default = "default_vhost")]
    pub vhost: String,
    /// A file with the user's name in its first line and the password in its second, beside the settings file unless
    /// its path is absolute.
    #[schemars(length(min = 1))]
    #[serde(rename = "credentials")]
    pub credentials_file: PathBuf,
    /// Time between heartbeats, in seconds; a broker that misses two is taken for dead.
    #[serde(rename = "heartbeat_s", default = "default_heartbeat_s")]
    #[schemars(range(min = 1, max = 600))]
    pub heartbeat_s: u16,
    /// TLS. Absent: none.
    #[serde(rename = "tls", default)]
    pub tls: Option<TlsSettings>,
}

/// TLS to the broker.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// A PEM file with the certificates that are trusted, beside the settings file unless its path is absolute.
    #[serde(rename = "roots")]
    pub root_certificates: PathBuf,
    /// The name that the broker's certificate must have. Absent: its host.
    #[serde(rename = "name", default)]
    pub server_name: Option<String>,
}

/// The state service that stores the replicated log.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[schemars(description = "Where marks are kept.")]
#[serde(deny_unknown_fields)]
pub struct StateSettings {
    /// The state service, `host:port`.
    #[serde(rename = "address")]
    pub address: String,
    /// Prefix of the log's keys; all processes that serve the same queues have the same one.
    #[schemars(
        description = "What the keys begin with; every front of the same queues has the same one."
    )]
    #[serde(rename = "prefix", default = "default_key_prefix")]
    pub key_prefix: String,
    /// Most batches of log changes a second; a batch is one to three writes.
    #[schemars(description = "Most rounds a second; each is one write, or two or three at times.")]
    #[serde(rename = "rounds_per_s", default = "default_batches_per_s")]
    #[schemars(range(min = 1, max = 1_000))]
    pub batches_per_s: u32,
    /// Largest value, in bytes.
    #[serde(rename = "value_bytes", default = "default_max_value_bytes")]
    #[schemars(range(min = 700, max = 60_000))]
    pub max_value_bytes: usize,
}

/// One queue that is served.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[schemars(rename = "OneQueue")]
#[serde(deny_unknown_fields)]
pub struct ServedQueue {
    /// Its name. It is there already, and durable.
    #[schemars(length(min = 1, max = 255))]
    #[serde(rename = "name")]
    pub name: String,
    /// Lower ranks are submitted first.
    #[serde(rename = "rank", default)]
    pub rank: u8,
    /// Most messages in hand, from the delivery until the answer is certain.
    #[serde(rename = "prefetch", default = "default_prefetch")]
    #[schemars(range(min = 1, max = 10_000))]
    pub prefetch: u16,
    /// When a message that asks for no answer is acknowledged.
    #[serde(rename = "without_reply", default)]
    pub without_reply: WithoutReply,
    /// The queue for refused messages that ask for no answer. Absent: they are dropped, with a line in the log.
    #[serde(rename = "dead_letter", default)]
    #[schemars(length(min = 1, max = 255))]
    pub dead_letter: Option<String>,
}

fn default_max_requests() -> usize {
    16
}
fn default_submissions_per_s() -> u32 {
    50
}
fn default_queries_per_s() -> u32 {
    20
}
fn default_query_interval_s() -> f64 {
    5.0
}
fn default_retention_days() -> u32 {
    7
}
fn default_shutdown_grace_s() -> u32 {
    20
}
fn default_port() -> u16 {
    5_672
}
fn default_vhost() -> String {
    "/".to_owned()
}
fn default_heartbeat_s() -> u16 {
    10
}
fn default_key_prefix() -> String {
    "q/".to_owned()
}
fn default_batches_per_s() -> u32 {
    5
}
fn default_max_value_bytes() -> usize {
    2_048
}
fn default_prefetch() -> u16 {
    200
}

impl QueueSettings {
    /// Reads the text of a settings file and checks every range.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Malformed`] or [`SettingsError::InvalidField`], for the first error that is found.
    pub fn parse(text: &[u8]) -> Result<QueueSettings, SettingsError> {
        let settings: QueueSettings = serde_json::from_slice(text)?;
        validation::validate(&settings)?;
        Ok(settings)
    }

    /// Limits of the delivery state machine.
    pub fn limits(&self) -> Limits {
        let queues = self
            .queues
            .iter()
            .map(|queue| (queue.name.clone(), queue.rule()));
        Limits {
            max_requests: self.max_requests,
            submissions_per_s: self.submissions_per_s,
            queries_per_s: self.queries_per_s,
            query_interval: from_seconds(self.query_interval_s),
            log: LogLimits {
                max_value_bytes: self.state.max_value_bytes,
                batches_per_s: self.state.batches_per_s,
                retention: u64::from(self.retention_days) * SECONDS_PER_DAY * SECOND,
            },
            queues: queues.collect(),
        }
    }

    /// The published JSON schema.
    pub fn schema() -> String {
        // A schema is JSON, so it can always be written.
        serde_json::to_string_pretty(&schemars::schema_for!(QueueSettings)).unwrap_or_default()
    }
}

impl ServedQueue {
    fn rule(&self) -> QueueRule {
        QueueRule {
            rank: self.rank,
            without_reply: self.without_reply,
            dead_letter: self.dead_letter.clone(),
        }
    }
}
