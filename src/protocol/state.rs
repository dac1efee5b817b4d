//! Requests to the state store and its responses.
//!
//! [`http`] encodes a request and [`parse`] reads its response; the formats on the wire are in submodules.

mod request;
mod response;

pub use request::http;
pub use response::{decode, parse};

use crate::storage::cell_state::Change;
use crate::storage::records::Key;
use crate::time::Micros;
use serde::Serialize;
use serde_json::value::RawValue;
use thiserror::Error;

/// Why a call has no usable response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// No response, or one that cannot be understood: the request may take effect, now or later.
    #[error("no answer")]
    OutcomeUnknown,
    /// 503: rejected without taking effect.
    #[error("unavailable")]
    Unavailable,
    /// 429: rejected for the rate of requests, without taking effect.
    #[error("too many requests")]
    RateLimited,
    /// The response is larger than what is read at once; whether a transaction took effect is as unknown as without one.
    #[error("the answer is too large")]
    ResponseTooLarge,
    /// 400: rejected as invalid, without taking effect.
    #[error("refused")]
    Rejected,
}

/// One change of a transaction.
#[derive(Clone, Debug)]
pub struct KeyChange {
    /// The key.
    pub key: Key,
    /// Its new value, encoded; `None` removes the key.
    pub value: Option<Box<RawValue>>,
    /// The lease that the key is attached to: the key goes when the lease expires.
    pub lease_id: Option<u64>,
}

/// A compare-and-swap transaction: all its changes are applied if all its conditions hold, and none otherwise.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys, each with the revision of its last change that it must have; 0 for a key that must not exist.
    pub when: Vec<(Key, u64)>,
    /// The changes.
    pub changes: Vec<KeyChange>,
}

impl Transaction {
    /// Size of its largest value, in bytes.
    pub fn largest(&self) -> usize {
        self.changes
            .iter()
            .filter_map(|change| change.value.as_ref())
            .map(|value| value.get().len())
            .max()
            .unwrap_or(0)
    }
}

/// A request to the state store.
#[derive(Clone, Debug)]
pub enum StateRequest {
    /// The value of one key.
    Get(Key),
    /// A page of all live keys.
    List {
        /// The page begins after this key.
        after: Option<String>,
    },
    /// A transaction.
    Transaction(Transaction),
    /// A new lease of this duration.
    LeaseGrant(Micros),
    /// The renewal of a lease.
    LeaseKeepAlive(u64),
    /// Changes of live keys after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store holds the request back while there is no change.
        wait: Micros,
    },
}

/// The content of a response.
#[derive(Clone, Debug)]
pub enum StateResponse {
    /// A key's encoded value; `None` if the key does not exist.
    Value(Option<Box<RawValue>>),
    /// A page of live keys.
    Page {
        /// The keys and their values.
        items: Vec<Change>,
        /// The last key of the page, if more pages follow.
        next: Option<String>,
        /// Revision of the store that the page shows.
        revision: u64,
    },
    /// The transaction was applied at this revision.
    Applied(u64),
    /// The conditions on these keys did not hold at this revision; nothing was applied.
    Conflict(Vec<Key>, u64),
    /// The identifier of a granted lease.
    Lease(u64),
    /// The lease was renewed.
    LeaseKeptAlive,
    /// The lease that was to be renewed or written with has expired.
    LeaseExpired,
    /// The changes up to this revision.
    Changes(Vec<Change>, u64),
    /// The store no longer keeps changes since the given revision: all keys have to be listed again.
    Compacted,
}

/// Encodes a record as the value of a [`KeyChange`]; `None` if it has no JSON form.
pub fn encode<T: Serialize>(value: &T) -> Option<Box<RawValue>> {
    serde_json::value::to_raw_value(value).ok()
}

#[cfg(test)]
mod tests;
