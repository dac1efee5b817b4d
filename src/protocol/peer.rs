//! Hints that controllers exchange. They only make decisions faster: no safety property relies on them.

use crate::storage::records::Incarnation;
use serde::{Deserialize, Serialize};

/// A controller's state as it sends it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHint {
    /// The controller's name.
    #[serde(rename = "node")]
    pub node: String,
    /// Incarnation of its process.
    #[serde(rename = "run")]
    pub incarnation: Incarnation,
    /// Milliseconds since the state store last responded to it; absent if it never did.
    #[serde(rename = "contact_ms")]
    pub state_store_contact_ms: Option<u64>,
    /// Revision of the state store that its replica has reached.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// For each shard, in order: its leader term in the controller's replica, and whether the controller leads it.
    #[serde(rename = "terms")]
    pub shard_terms: Vec<(u64, bool)>,
    /// Rate of its writes to the state store, in thousandths of a change per second.
    #[serde(rename = "spends", default)]
    pub write_rate_milli: u64,
    /// Milliseconds since it last received a heartbeat from any agent; absent if it never received one.
    #[serde(rename = "heard_ms", default)]
    pub last_heartbeat_ms: Option<u64>,
    /// Whether its commit rounds are full, so that further changes wait for the limit of the write rate.
    #[serde(rename = "pressed", default)]
    pub saturated: bool,
}
