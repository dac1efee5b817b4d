//! What operators set.

use crate::front::{Limits, QueueRule, WithoutReply};
use crate::ledger::LedgerLimits;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why settings cannot be used: one line that names the field.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadSettings {
    /// Not the JSON of the schema.
    #[error("{0}")]
    Malformed(String),
    /// A value that is not allowed.
    #[error("{0}: must be {1}")]
    Field(&'static str, &'static str),
    /// A file that is named and cannot be used.
    #[error("{0}: {1}")]
    File(&'static str, String),
}

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
    pub queues: Vec<OneQueue>,
    /// Most requests to the controllers at once.
    #[serde(default = "calls")]
    #[schemars(range(min = 1, max = 256))]
    #[serde(rename = "calls")]
    pub calls: usize,
    /// Most submissions a second.
    #[serde(default = "submits")]
    #[schemars(range(min = 1, max = 10_000))]
    #[serde(rename = "submits_per_s")]
    pub submits_per_s: u32,
    /// Most polls a second, over all jobs.
    #[serde(default = "polls")]
    #[schemars(range(min = 1, max = 10_000))]
    #[serde(rename = "polls_per_s")]
    pub polls_per_s: u32,
    /// Shortest time between two polls of one job, in seconds.
    #[serde(default = "poll")]
    #[schemars(range(min = 0.1, max = 300.0))]
    #[serde(rename = "poll_s")]
    pub poll_s: f64,
    /// How long it is remembered that a message was answered, in days.
    #[serde(default = "keep")]
    #[schemars(range(min = 1, max = 365))]
    #[serde(rename = "keep_days")]
    pub keep_days: u32,
    /// On SIGTERM: how long what is certain may take to be answered, in seconds.
    #[serde(default = "stop")]
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
    #[serde(default = "port")]
    #[schemars(range(min = 1))]
    #[serde(rename = "port")]
    pub port: u16,
    /// The virtual host.
    #[serde(default = "vhost")]
    #[serde(rename = "vhost")]
    pub vhost: String,
    /// A file with the user's name in its first line and the password in its second, beside the settings file unless
    /// its path is absolute.
    #[schemars(length(min = 1))]
    #[serde(rename = "credentials")]
    pub credentials: PathBuf,
    /// Time between heartbeats, in seconds; a broker that misses two is taken for dead.
    #[serde(default = "heartbeat")]
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
    #[serde(default = "prefix")]
    #[serde(rename = "prefix")]
    pub prefix: String,
    /// Most rounds a second; each is one write, or two or three at times.
    #[serde(default = "rounds")]
    #[schemars(range(min = 1, max = 1_000))]
    #[serde(rename = "rounds_per_s")]
    pub rounds_per_s: u32,
    /// Largest value, in bytes.
    #[serde(default = "value")]
    #[schemars(range(min = 700, max = 60_000))]
    #[serde(rename = "value_bytes")]
    pub value_bytes: usize,
}

/// One queue that is served.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OneQueue {
    /// Its name. It is there already, and durable.
    #[schemars(length(min = 1, max = 255))]
    #[serde(rename = "name")]
    pub name: String,
    /// Lower ranks are submitted first.
    #[serde(default)]
    #[serde(rename = "rank")]
    pub rank: u8,
    /// Most messages in hand, from the delivery until the answer is certain.
    #[serde(default = "prefetch")]
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

fn calls() -> usize {
    16
}
fn submits() -> u32 {
    50
}
fn polls() -> u32 {
    20
}
fn poll() -> f64 {
    5.0
}
fn keep() -> u32 {
    7
}
fn stop() -> u32 {
    20
}
fn port() -> u16 {
    5_672
}
fn vhost() -> String {
    "/".to_owned()
}
fn heartbeat() -> u16 {
    10
}
fn prefix() -> String {
    "q/".to_owned()
}
fn rounds() -> u32 {
    5
}
fn value() -> usize {
    2_048
}
fn prefetch() -> u16 {
    200
}

impl QueueSettings {
    /// Reads the text of a settings file and checks every range.
    pub fn parse(text: &[u8]) -> Result<QueueSettings, BadSettings> {
        let s: QueueSettings =
            serde_json::from_slice(text).map_err(|e| BadSettings::Malformed(e.to_string()))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), BadSettings> {
        let check = |field, ok: bool, what| {
            if ok {
                Ok(())
            } else {
                Err(BadSettings::Field(field, what))
            }
        };
        let address = |a: &String| {
            a.rsplit_once(':')
                .is_some_and(|(h, p)| !h.is_empty() && p.parse::<u16>().is_ok())
        };
        let controllers = !self.controllers.is_empty() && self.controllers.iter().all(address);
        check("controllers", controllers, "one or more of host:port")?;
        check("state.address", address(&self.state.address), "host:port")?;
        check(
            "metrics",
            self.metrics.as_ref().is_none_or(address),
            "host:port",
        )?;
        let p = &self.state.prefix;
        let own = !["c/", "final/"].iter().any(|other| p.starts_with(other));
        let plain = p.len() <= 64
            && p.bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"/-_.".contains(&b));
        check(
            "state.prefix",
            own && plain && p.len() > 1 && p.ends_with('/'),
            "a prefix of its own that ends with /",
        )?;
        check(
            "state.rounds_per_s",
            (1..=1_000).contains(&self.state.rounds_per_s),
            "1 to 1000",
        )?;
        check(
            "state.value_bytes",
            (700..=60_000).contains(&self.state.value_bytes),
            "700 to 60000",
        )?;
        check(
            "broker.host",
            !self.broker.host.is_empty(),
            "a name or an address",
        )?;
        check("broker.port", self.broker.port > 0, "1 to 65535")?;
        check(
            "broker.vhost",
            self.broker.vhost.len() <= 255,
            "at most 255 bytes",
        )?;
        check(
            "broker.heartbeat_s",
            (1..=600).contains(&self.broker.heartbeat_s),
            "1 to 600",
        )?;
        check(
            "broker.credentials",
            !self.broker.credentials.as_os_str().is_empty(),
            "the path of a file",
        )?;
        check("calls", (1..=256).contains(&self.calls), "1 to 256")?;
        check(
            "submits_per_s",
            (1..=10_000).contains(&self.submits_per_s),
            "1 to 10000",
        )?;
        check(
            "polls_per_s",
            (1..=10_000).contains(&self.polls_per_s),
            "1 to 10000",
        )?;
        check("poll_s", (0.1..=300.0).contains(&self.poll_s), "0.1 to 300")?;
        check("keep_days", (1..=365).contains(&self.keep_days), "1 to 365")?;
        check("stop_s", (1..=300).contains(&self.stop_s), "1 to 300")?;
        let names: BTreeSet<&String> = self.queues.iter().map(|q| &q.name).collect();
        check(
            "queues",
            !names.is_empty() && names.len() == self.queues.len(),
            "one or more, each named once",
        )?;
        for q in &self.queues {
            let name = |n: &String| (1..=255).contains(&n.len());
            check("queues.name", name(&q.name), "1 to 255 bytes")?;
            check(
                "queues.prefetch",
                (1..=10_000).contains(&q.prefetch),
                "1 to 10000",
            )?;
            check(
                "queues.dead_letter",
                q.dead_letter.as_ref().is_none_or(name),
                "1 to 255 bytes",
            )?;
            let other = q.dead_letter.as_ref().is_none_or(|d| !names.contains(d));
            check("queues.dead_letter", other, "a queue that is not served")?;
        }
        Ok(())
    }

    /// The limits of a front.
    pub fn limits(&self) -> Limits {
        let rule = |q: &OneQueue| QueueRule {
            rank: q.rank,
            without_reply: q.without_reply,
            dead_letter: q.dead_letter.clone(),
        };
        let queues: BTreeMap<String, QueueRule> = self
            .queues
            .iter()
            .map(|q| (q.name.clone(), rule(q)))
            .collect();
        Limits {
            calls: self.calls,
            submits_per_s: self.submits_per_s,
            polls_per_s: self.polls_per_s,
            poll: (self.poll_s * 1e6) as u64,
            ledger: LedgerLimits {
                value_bytes: self.state.value_bytes,
                rounds_per_s: self.state.rounds_per_s,
                keep: u64::from(self.keep_days) * 86_400_000_000,
            },
            queues,
        }
    }

    /// The published schema.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(QueueSettings)).unwrap_or_default()
    }
}

/// Name and password, which are never printed.
#[derive(Clone)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// The password.
    pub password: String,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials")
    }
}

impl Credentials {
    /// Reads the file that the settings name.
    pub fn load(base: &Path, settings: &BrokerSettings) -> Result<Credentials, BadSettings> {
        let path = base.join(&settings.credentials);
        let bad = |what: String| BadSettings::File("broker.credentials", what);
        let text =
            std::fs::read_to_string(&path).map_err(|e| bad(format!("{}: {e}", path.display())))?;
        let mut lines = text.lines().map(str::trim).filter(|l| !l.is_empty());
        match (lines.next(), lines.next()) {
            (Some(user), Some(password)) if user.len() < 256 && password.len() < 4_096 => {
                Ok(Credentials {
                    user: user.to_owned(),
                    password: password.to_owned(),
                })
            }
            _ => Err(bad(format!(
                "{}: two lines are wanted, a name and a password",
                path.display()
            ))),
        }
    }
}
