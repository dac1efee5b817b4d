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
    /// Where marks are kept.
    #[serde(rename = "state")]
    pub state: StateSettings,
    /// The queues that are served.
    #[schemars(length(min = 1))]
    #[serde(rename = "queues")]
    pub queues: Vec<ServedQueue>,
    /// Most requests to the controllers at once.
    #[serde(default = "default_calls")]
    #[schemars(range(min = 1, max = 256))]
    #[serde(rename = "calls")]
    pub calls: usize,
    /// Most submissions a second.
    #[serde(default = "default_submits_per_s")]
    #[schemars(range(min = 1, max = 10_000))]
    #[serde(rename = "submits_per_s")]
    pub submits_per_s: u32,
    /// Most polls a second, over all jobs.
    #[serde(default = "default_polls_per_s")]
    #[schemars(range(min = 1, max = 10_000))]
    #[serde(rename = "polls_per_s")]
    pub polls_per_s: u32,
    /// Shortest time between two polls of one job, in seconds.
    #[serde(default = "default_poll_s")]
    #[schemars(range(min = 0.1, max = 300.0))]
    #[serde(rename = "poll_s")]
    pub poll_s: f64,
    /// How long it is remembered that a message was answered, in days.
    #[serde(default = "default_keep_days")]
    #[schemars(range(min = 1, max = 365))]
    #[serde(rename = "keep_days")]
    pub keep_days: u32,
    /// On SIGTERM: how long what is certain may take to be answered, in seconds.
    #[serde(default = "default_stop_s")]
    #[schemars(range(min = 1, max = 300))]
    #[serde(rename = "stop_s")]
    pub stop_s: u32,
    /// An address for `GET /metrics` and `GET /healthz`. Absent: none.
    #[serde(default)]
    #[serde(rename = "metrics")]
    pub metrics: Option<String>,
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
    #[serde(default = "default_port")]
    #[schemars(range(min = 1))]
    #[serde(rename = "port")]
    pub port: u16,
    /// The virtual host.
    #[serde(default = "default_vhost")]
    #[serde(rename = "vhost")]
    pub vhost: String,
    /// A file with the user's name in its first line and the password in its second, beside the settings file unless
    /// its path is absolute.
    #[schemars(length(min = 1))]
    #[serde(rename = "credentials")]
    pub credentials: PathBuf,
    /// Time between heartbeats, in seconds; a broker that misses two is taken for dead.
    #[serde(default = "default_heartbeat_s")]
    #[schemars(range(min = 1, max = 600))]
    #[serde(rename = "heartbeat_s")]
    pub heartbeat_s: u16,
    /// TLS. Absent: none.
    #[serde(default)]
    #[serde(rename = "tls")]
    pub tls: Option<TlsSettings>,
}

/// TLS to the broker.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// A PEM file with the certificates that are trusted, beside the settings file unless its path is absolute.
    #[serde(rename = "roots")]
    pub roots: PathBuf,
    /// The name that the broker's certificate must have. Absent: its host.
    #[serde(default)]
    #[serde(rename = "name")]
    pub name: Option<String>,
}

/// Where marks are kept.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StateSettings {
    /// The state service, `host:port`.
    #[serde(rename = "address")]
    pub address: String,
    /// What the keys begin with; every front of the same queues has the same one.
    #[serde(default = "default_prefix")]
    #[serde(rename = "prefix")]
    pub prefix: String,
    /// Most rounds a second; each is one write, or two or three at times.
    #[serde(default = "default_rounds_per_s")]
    #[schemars(range(min = 1, max = 1_000))]
    #[serde(rename = "rounds_per_s")]
    pub rounds_per_s: u32,
    /// Largest value, in bytes.
    #[serde(default = "default_value_bytes")]
    #[schemars(range(min = 700, max = 60_000))]
    #[serde(rename = "value_bytes")]
    pub value_bytes: usize,
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
    #[serde(default)]
    #[serde(rename = "rank")]
    pub rank: u8,
    /// Most messages in hand, from the delivery until the answer is certain.
    #[serde(default = "default_prefetch")]
    #[schemars(range(min = 1, max = 10_000))]
    #[serde(rename = "prefetch")]
    pub prefetch: u16,
    /// When a message that asks for no answer is acknowledged.
    #[serde(default)]
    #[serde(rename = "without_reply")]
    pub without_reply: WithoutReply,
    /// The queue for refused messages that ask for no answer. Absent: they are dropped, with a line in the log.
    #[serde(default)]
    #[schemars(length(min = 1, max = 255))]
    #[serde(rename = "dead_letter")]
    pub dead_letter: Option<String>,
}

fn default_calls() -> usize {
    16
}
fn default_submits_per_s() -> u32 {
    50
}
fn default_polls_per_s() -> u32 {
    20
}
fn default_poll_s() -> f64 {
    5.0
}
fn default_keep_days() -> u32 {
    7
}
fn default_stop_s() -> u32 {
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
fn default_prefix() -> String {
    "q/".to_owned()
}
fn default_rounds_per_s() -> u32 {
    5
}
fn default_value_bytes() -> usize {
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
    /// [`SettingsError::Malformed`] or [`SettingsError::InvalidField`], for the first fault that is found.
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
            max_requests: self.calls,
            submissions_per_s: self.submits_per_s,
            queries_per_s: self.polls_per_s,
            query_interval: from_seconds(self.poll_s),
            log: LogLimits {
                max_value_bytes: self.state.value_bytes,
                batches_per_s: self.state.rounds_per_s,
                retention: u64::from(self.keep_days) * SECONDS_PER_DAY * SECOND,
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
