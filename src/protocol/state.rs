//! The state service's requests and responses.

use crate::storage::cell_state::{Change, Content};
use crate::storage::records::{Key, LIVE};
use crate::time::Micros;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashMap;
use thiserror::Error;

/// Why a call brought nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// No answer, or one that says nothing: the request may be carried out, now or later.
    #[error("no answer")]
    Unknown,
    /// Refused without being carried out: 503.
    #[error("unavailable")]
    Unavailable,
    /// Refused for its rate: 429.
    #[error("too many requests")]
    TooMany,
    /// Answered, with more than is read at once; of a transaction that says no more than no answer does.
    #[error("the answer is too large")]
    TooLarge,
    /// Refused as wrong: 400.
    #[error("refused")]
    Refused,
}

/// One change of a transaction.
#[derive(Clone, Debug)]
pub struct Put {
    /// The key.
    pub key: Key,
    /// Its new content, already encoded; `None` removes it.
    pub value: Option<Box<RawValue>>,
    /// The lease that the key is attached to.
    pub lease_id: Option<u64>,
}

/// A transaction.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Conditions: key and the revision that it must have.
    pub when: Vec<(Key, u64)>,
    /// Changes.
    pub then: Vec<Put>,
}

/// A request to the state service.
#[derive(Clone, Debug)]
pub enum StateRequest {
    /// One key.
    Get(Key),
    /// A page of all live keys.
    List {
        /// The page begins after this key.
        after: Option<String>,
    },
    /// A transaction.
    Txn(Txn),
    /// A new lease.
    LeaseGrant(Micros),
    /// A lease's renewal.
    LeaseKeepAlive(u64),
    /// Changes of live keys after a revision.
    Changes {
        /// The revision.
        after: u64,
        /// How long to wait for one.
        wait: Micros,
    },
}

/// What came of a request that was answered.
#[derive(Clone, Debug)]
pub enum StateReply {
    /// A key's raw value, or none.
    Value(Option<Box<RawValue>>),
    /// A page.
    Page {
        /// The keys.
        items: Vec<Change>,
        /// The last key of the page, if there are more.
        next: Option<String>,
        /// Revision of the page.
        revision: u64,
    },
    /// The transaction was applied at this revision.
    Applied(u64),
    /// The transaction failed: these keys had other revisions.
    Clash(Vec<Key>, u64),
    /// A lease.
    Lease(u64),
    /// The lease lives on.
    LeaseKeptAlive,
    /// The lease is gone, or the write's lease is.
    NoLease,
    /// Changes up to a revision.
    Changes(Vec<Change>, u64),
    /// The revision asked for is too old: read everything anew.
    TooOld,
}

#[derive(Serialize)]
struct TxnWire<'a> {
    #[serde(rename = "when")]
    when: Vec<WhenWire>,
    #[serde(rename = "then", skip_serializing_if = "Vec::is_empty")]
    then: Vec<ThenWire<'a>>,
}

#[derive(Serialize)]
struct WhenWire {
    #[serde(rename = "key")]
    key: String,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Serialize)]
struct ThenWire<'a> {
    #[serde(rename = "write", skip_serializing_if = "Option::is_none")]
    write: Option<String>,
    #[serde(rename = "remove", skip_serializing_if = "Option::is_none")]
    remove: Option<String>,
    #[serde(rename = "value", skip_serializing_if = "Option::is_none")]
    value: Option<&'a RawValue>,
    #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
    lease_id: Option<u64>,
}

impl Txn {
    /// Bytes of its largest value.
    pub fn largest(&self) -> usize {
        self.then
            .iter()
            .filter_map(|p| p.value.as_ref())
            .map(|v| v.get().len())
            .max()
            .unwrap_or(0)
    }
}

/// Encodes a record for a [`Put`].
pub fn encode<T: Serialize>(value: &T) -> Option<Box<RawValue>> {
    serde_json::value::to_raw_value(value).ok()
}

/// Method, path and body of a request.
pub fn http(request: &StateRequest) -> (&'static str, String, Vec<u8>) {
    match request {
        StateRequest::Get(key) => ("GET", format!("/kv/{key}"), Vec::new()),
        StateRequest::List { after } => {
            let after = after
                .as_ref()
                .map(|a| format!("&after={a}"))
                .unwrap_or_default();
            (
                "GET",
                format!("/kv?prefix={LIVE}{after}&most=1000"),
                Vec::new(),
            )
        }
        StateRequest::Txn(txn) => ("POST", "/txn".to_owned(), txn.body()),
        StateRequest::LeaseGrant(life) => {
            let body = serde_json::json!({ "lifeMs": life.as_millis() });
            ("POST", "/leases".to_owned(), body.to_string().into_bytes())
        }
        StateRequest::LeaseKeepAlive(id) => ("POST", format!("/leases/{id}/touch"), Vec::new()),
        StateRequest::Changes { after, wait } => (
            "GET",
            format!(
                "/changes?prefix={LIVE}&after={after}&waitMs={}",
                wait.as_millis()
            ),
            Vec::new(),
        ),
    }
}

impl Txn {
    /// The body on the wire.
    pub fn body(&self) -> Vec<u8> {
        let wire = TxnWire {
            when: self
                .when
                .iter()
                .map(|(k, s)| WhenWire {
                    key: k.to_string(),
                    mod_revision: *s,
                })
                .collect(),
            then: self
                .then
                .iter()
                .map(|p| {
                    let key = Some(p.key.to_string());
                    let (write, remove) = if p.value.is_some() {
                        (key, None)
                    } else {
                        (None, key)
                    };
                    ThenWire {
                        write,
                        remove,
                        value: p.value.as_deref(),
                        lease_id: p.lease_id,
                    }
                })
                .collect(),
        };
        serde_json::to_vec(&wire).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct ItemWire<'a> {
    #[serde(rename = "key", borrow)]
    key: std::borrow::Cow<'a, str>,
    #[serde(rename = "value", borrow)]
    value: &'a RawValue,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Deserialize)]
struct PageWire<'a> {
    #[serde(rename = "items", borrow)]
    items: Vec<ItemWire<'a>>,
    #[serde(rename = "more", default)]
    more: bool,
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct LogWire<'a> {
    #[serde(rename = "write", borrow, default)]
    write: Option<std::borrow::Cow<'a, str>>,
    #[serde(rename = "remove", borrow, default)]
    remove: Option<std::borrow::Cow<'a, str>>,
    #[serde(rename = "value", borrow, default)]
    value: Option<&'a RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Deserialize)]
struct ChangesWire<'a> {
    #[serde(rename = "epoch")]
    revision: u64,
    #[serde(rename = "log", borrow)]
    log: Vec<LogWire<'a>>,
}

#[derive(Deserialize)]
struct ValueWire<'a> {
    #[serde(rename = "value", borrow)]
    value: &'a RawValue,
}

#[derive(Deserialize)]
struct EpochWire {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct ClashWire {
    #[serde(rename = "failed", default)]
    failed: Vec<String>,
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Default, Deserialize)]
struct ErrorWire {
    #[serde(rename = "error", default)]
    error: String,
}

#[derive(Deserialize)]
struct LeaseWire {
    #[serde(rename = "permit")]
    lease_id: u64,
}

/// Reads the content of a key; `None` if either is not this project's.
pub fn decode(key: &Key, value: &RawValue) -> Option<Content> {
    let text = value.get();
    Some(match key {
        Key::Meta => Content::Meta(serde_json::from_str(text).ok()?),
        Key::Types => Content::Types(serde_json::from_str(text).ok()?),
        Key::Fleet => Content::Fleet(serde_json::from_str(text).ok()?),
        Key::Node(_) => Content::Node(serde_json::from_str(text).ok()?),
        Key::ShardLeader(_) => Content::ShardLeader(serde_json::from_str(text).ok()?),
        Key::Group(..) => Content::Group(serde_json::from_str(text).ok()?),
        Key::Usage(_) => Content::Usage(serde_json::from_str(text).ok()?),
        Key::Job(_) => Content::Job(serde_json::from_str(text).ok()?),
        Key::Chunk(..) => Content::Chunk(serde_json::from_str(text).ok()?),
        // What is not understood is still known to be there.
        Key::Rules(_) => Content::Rules(serde_json::from_str(text).ok().map(std::sync::Arc::new)),
        Key::Final(_) => return None,
    })
}

fn change(key: &str, value: Option<&RawValue>, mod_revision: u64) -> Option<Change> {
    let key = Key::parse(key)?;
    let content = match value {
        Some(v) => Some(decode(&key, v)?),
        None => None,
    };
    Some(Change {
        key,
        content,
        mod_revision,
    })
}

/// Where the last change of each group stands in a log.
///
/// A group that changes again within the same answer is read once: a copy is used only with all changes of an answer in,
/// and of a group nothing but its newest content tells anything. (Of a job it does: that it was cancelled before its
/// record went says how it ended.) After an absence groups are nearly all that an answer holds, each many times.
fn last_of_groups<'a>(log: &'a [LogWire<'_>]) -> HashMap<&'a str, usize> {
    let keys = log
        .iter()
        .enumerate()
        .filter_map(|(i, l)| Some((l.write.as_deref().or(l.remove.as_deref())?, i)));
    keys.filter(|(key, _)| {
        key.strip_prefix(LIVE)
            .is_some_and(|k| k.starts_with("group/"))
    })
    .collect()
}

/// Reads a response.
pub fn parse(request: &StateRequest, status: u16, body: &[u8]) -> Result<StateReply, CallError> {
    match status {
        503 => return Err(CallError::Unavailable),
        429 => return Err(CallError::TooMany),
        _ => {}
    }
    let bad = |_: serde_json::Error| CallError::Unknown;
    match (request, status) {
        (StateRequest::Get(_), 200) => {
            let w: ValueWire = serde_json::from_slice(body).map_err(bad)?;
            Ok(StateReply::Value(Some(w.value.to_owned())))
        }
        (StateRequest::Get(_), 404) => Ok(StateReply::Value(None)),
        (StateRequest::List { .. }, 200) => {
            let w: PageWire = serde_json::from_slice(body).map_err(bad)?;
            let next = w.items.last().filter(|_| w.more).map(|i| i.key.to_string());
            let items = w
                .items
                .iter()
                .filter_map(|i| change(&i.key, Some(i.value), i.mod_revision));
            Ok(StateReply::Page {
                items: items.collect(),
                next,
                revision: w.revision,
            })
        }
        (StateRequest::Txn(_), 200) => {
            let w: EpochWire = serde_json::from_slice(body).map_err(bad)?;
            Ok(StateReply::Applied(w.revision))
        }
        (StateRequest::Txn(_), 409) => {
            let w: ClashWire = serde_json::from_slice(body).map_err(bad)?;
            let keys = w.failed.iter().filter_map(|k| Key::parse(k)).collect();
            Ok(StateReply::Clash(keys, w.revision))
        }
        // Not every refusal of a write with a lease means that the lease is gone.
        (StateRequest::Txn(t), 400) if t.then.iter().any(|p| p.lease_id.is_some()) => {
            let w: ErrorWire = serde_json::from_slice(body).unwrap_or_default();
            if w.error.contains("lease") {
                Ok(StateReply::NoLease)
            } else {
                Err(CallError::Refused)
            }
        }
        (StateRequest::LeaseGrant(_), 200) => {
            let w: LeaseWire = serde_json::from_slice(body).map_err(bad)?;
            Ok(StateReply::Lease(w.lease_id))
        }
        (StateRequest::LeaseKeepAlive(_), 200) => Ok(StateReply::LeaseKeptAlive),
        (StateRequest::LeaseKeepAlive(_), 404) => Ok(StateReply::NoLease),
        (StateRequest::Changes { .. }, 200) => {
            let w: ChangesWire = serde_json::from_slice(body).map_err(bad)?;
            let last = last_of_groups(&w.log);
            let outdone = |i: usize, key: &str| last.get(key).is_some_and(|l| *l > i);
            let log = w
                .log
                .iter()
                .enumerate()
                .filter(|(i, l)| l.write.as_ref().is_none_or(|key| !outdone(*i, key)));
            let changes = log.filter_map(|(_, l)| match (&l.write, &l.remove) {
                (Some(key), _) => change(key, l.value, l.mod_revision),
                (None, Some(key)) => change(key, None, l.mod_revision),
                _ => None,
            });
            Ok(StateReply::Changes(changes.collect(), w.revision))
        }
        (StateRequest::Changes { .. }, 410) => Ok(StateReply::TooOld),
        (_, 400) => Err(CallError::Refused),
        _ => Err(CallError::Unknown),
    }
}

#[cfg(test)]
mod tests;
