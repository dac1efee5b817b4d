//! What controllers tell each other: hints, on which no rule rests.

use crate::storage::records::Incarnation;
use serde::{Deserialize, Serialize};

/// A controller's view of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHint {
    /// Its name.
    #[serde(rename = "node")]
    pub node: String,
    /// Its process.
    #[serde(rename = "run")]
    pub run: Incarnation,
    /// Milliseconds since it last had contact with the state service; none yet if absent.
    #[serde(rename = "contact_ms")]
    pub contact_ms: Option<u64>,
    /// Revision of its copy.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Terms of all slices as its copy has them, by slice, and whether it owns them.
    #[serde(rename = "terms")]
    pub terms: Vec<(u64, bool)>,
    /// Changes a second that it spends at the state service, in thousandths.
    #[serde(rename = "spends", default)]
    pub spends: u64,
    /// Milliseconds since it last heard any worker; never if absent.
    #[serde(rename = "heard_ms", default)]
    pub heard_ms: Option<u64>,
    /// Its rounds are full, and more waits for the rate of changes.
    #[serde(rename = "pressed", default)]
    pub saturated: bool,
}
