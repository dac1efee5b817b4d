//! Requests to the state store and its responses.
//!
//! [`http`] encodes a request and [`parse`] decodes its response; the wire formats are in submodules.

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
    /// 429: rejected by the rate limit, without taking effect.
    #[error("too many requests")]
    RateLimited,
    /// The response is larger than the limit for reading it. As without a response, it is unknown whether a transaction
    /// took effect.
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
    /// The lease that the key is attached to: the store removes the key when the lease expires.
    pub lease_id: Option<u64>,
}

/// A compare-and-swap transaction: all its changes are applied if all its conditions hold, and none otherwise.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The conditions: keys, each with the revision that its last change must have; 0 for a key that must not exist.
    pub conditions: Vec<(Key, u64)>,
    /// The changes.
    pub changes: Vec<KeyChange>,
}

/// Size of a transaction, in the quantities that the state store limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    /// Number of changes.
    pub changes: usize,
    /// Number of conditions.
    pub conditions: usize,
    /// Bytes of the largest value.
    pub largest_value_bytes: usize,
}

impl Transaction {
    /// Its size.
    pub fn size(&self) -> TransactionSize {
        TransactionSize {
            changes: self.changes.len(),
            conditions: self.conditions.len(),
            largest_value_bytes: self.largest_value_bytes(),
        }
    }

    /// Size of the largest value that it writes, in bytes.
    pub fn largest_value_bytes(&self) -> usize {
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
    /// Grants a lease of this duration.
    LeaseGrant(Micros),
    /// Renews the lease of this identifier.
    LeaseKeepAlive(u64),
    /// Changes of live keys after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long the store delays its response while there is no change (long polling).
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
        /// Revision of the store at which the page was read.
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
    /// The lease that the request renews, or attaches a key to, has expired.
    LeaseExpired,
    /// The changes up to this revision.
    Changes(Vec<Change>, u64),
    /// The store has discarded the changes after the given revision: all keys have to be listed again.
    Compacted,
}

/// Encodes a record as the value of a [`KeyChange`]; `None` if it has no JSON form.
pub fn encode<T: Serialize>(value: &T) -> Option<Box<RawValue>> {
    serde_json::value::to_raw_value(value).ok()
}

#[cfg(test)]
mod tests;
