//! The encoding of requests to the state store.

use super::{KeyChange, StateRequest, Transaction};
use crate::storage::records::{Key, LIVE_PREFIX};
use serde::Serialize;
use serde_json::value::RawValue;

/// Largest number of keys in one page of a listing.
const PAGE_KEYS_LIMIT: usize = 1_000;

#[derive(Serialize)]
struct TransactionWire<'a> {
    #[serde(rename = "when")]
    conditions: Vec<ConditionWire>,
    #[serde(rename = "then", skip_serializing_if = "Vec::is_empty")]
    changes: Vec<ChangeWire<'a>>,
}

#[derive(Serialize)]
struct ConditionWire {
    #[serde(rename = "key")]
    key: String,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Serialize)]
struct ChangeWire<'a> {
    #[serde(rename = "write", skip_serializing_if = "Option::is_none")]
    write: Option<String>,
    #[serde(rename = "remove", skip_serializing_if = "Option::is_none")]
    remove: Option<String>,
    #[serde(rename = "value", skip_serializing_if = "Option::is_none")]
    value: Option<&'a RawValue>,
    #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
    lease_id: Option<u64>,
}

/// Method, path and body of a request.
pub fn http(request: &StateRequest) -> (&'static str, String, Vec<u8>) {
    match request {
        StateRequest::Get(key) => ("GET", format!("/kv/{key}"), Vec::new()),
        StateRequest::List { after } => ("GET", list_path(after.as_deref()), Vec::new()),
        StateRequest::Transaction(txn) => ("POST", "/txn".to_owned(), txn.body()),
        StateRequest::LeaseGrant(duration) => {
            let body = serde_json::json!({ "lifeMs": duration.as_millis() });
            ("POST", "/leases".to_owned(), body.to_string().into_bytes())
        }
        StateRequest::LeaseKeepAlive(id) => ("POST", format!("/leases/{id}/touch"), Vec::new()),
        StateRequest::Changes { after, wait } => {
            let wait = wait.as_millis();
            let path = format!("/changes?prefix={LIVE_PREFIX}&after={after}&waitMs={wait}");
            ("GET", path, Vec::new())
        }
    }
}

fn list_path(after: Option<&str>) -> String {
    let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
    format!("/kv?prefix={LIVE_PREFIX}{after}&most={PAGE_KEYS_LIMIT}")
}

impl Transaction {
    /// The body of the request for this transaction.
    pub fn body(&self) -> Vec<u8> {
        let wire = TransactionWire {
            conditions: self.conditions.iter().map(ConditionWire::new).collect(),
            changes: self.changes.iter().map(ChangeWire::new).collect(),
        };
        serde_json::to_vec(&wire).unwrap_or_default()
    }
}

impl ConditionWire {
    fn new((key, mod_revision): &(Key, u64)) -> ConditionWire {
        ConditionWire {
            key: key.to_string(),
            mod_revision: *mod_revision,
        }
    }
}

impl ChangeWire<'_> {
    fn new(change: &KeyChange) -> ChangeWire<'_> {
        let key = Some(change.key.to_string());
        let (write, remove) = match change.value {
            Some(_) => (key, None),
            None => (None, key),
        };
        ChangeWire {
            write,
            remove,
            value: change.value.as_deref(),
            lease_id: change.lease_id,
        }
    }
}
