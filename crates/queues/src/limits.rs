//! Limits of the delivery state machine, and the rules for each queue.

use crate::replicated_log::LogLimits;
use crate::time::Micros;
use std::collections::BTreeMap;

/// What becomes of messages that ask for no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, schemars::JsonSchema)]
pub enum WithoutReply {
    /// They are acknowledged once the job is accepted.
    #[serde(rename = "accepted")]
    Accepted,
    /// They are acknowledged once the job is over.
    #[default]
    #[serde(rename = "over")]
    Over,
}

/// How messages of one queue are handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueRule {
    /// Messages of lower ranks are submitted first.
    pub rank: u8,
    /// When messages that ask for no answer are acknowledged.
    pub without_reply: WithoutReply,
    /// Queue for refused messages that ask for no answer. Without one they are dropped.
    pub dead_letter: Option<String>,
}

/// Limits of the delivery state machine.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most requests to the controllers at once.
    pub max_requests: usize,
    /// Most submissions a second.
    pub submissions_per_s: u32,
    /// Most status queries a second, over all jobs.
    pub queries_per_s: u32,
    /// Shortest time between two status queries for one job.
    pub query_interval: Micros,
    /// Limits of the replicated log.
    pub log: LogLimits,
    /// Rules by the names of the queues; a queue without one has the default.
    pub queues: BTreeMap<String, QueueRule>,
}
