//! The decoding of the state store's responses.

use super::{CallError, StateRequest, StateResponse};
use crate::storage::cell_state::{Change, Content};
use crate::storage::records::{Key, LIVE_PREFIX};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// Prefix of the keys of machine groups, after [`LIVE_PREFIX`].
const GROUP_PREFIX: &str = "group/";

#[derive(Deserialize)]
struct ItemWire<'a> {
    #[serde(rename = "key", borrow)]
    key: Cow<'a, str>,
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
struct LogEntryWire<'a> {
    #[serde(rename = "write", borrow, default)]
    write: Option<Cow<'a, str>>,
    #[serde(rename = "remove", borrow, default)]
    remove: Option<Cow<'a, str>>,
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
    log: Vec<LogEntryWire<'a>>,
}

#[derive(Deserialize)]
struct ValueWire<'a> {
    #[serde(rename = "value", borrow)]
    value: &'a RawValue,
}

#[derive(Deserialize)]
struct AppliedWire {
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictWire {
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

/// Parses the response to a request.
///
/// # Errors
/// [`CallError`] says whether the request may have taken effect.
pub fn parse(request: &StateRequest, status: u16, body: &[u8]) -> Result<StateResponse, CallError> {
    match (request, status) {
        (_, 503) => Err(CallError::Unavailable),
        (_, 429) => Err(CallError::RateLimited),
        (StateRequest::Get(_), 200) => parse_value(body),
        (StateRequest::Get(_), 404) => Ok(StateResponse::Value(None)),
        (StateRequest::List { .. }, 200) => parse_page(body),
        (StateRequest::Transaction(_), 200) => parse_applied(body),
        (StateRequest::Transaction(_), 409) => parse_conflict(body),
        (StateRequest::Transaction(txn), 400)
            if txn.changes.iter().any(|put| put.lease_id.is_some()) =>
        {
            parse_rejected_lease(body)
        }
        (StateRequest::LeaseGrant(_), 200) => parse_lease(body),
        (StateRequest::LeaseKeepAlive(_), 200) => Ok(StateResponse::LeaseKeptAlive),
        (StateRequest::LeaseKeepAlive(_), 404) => Ok(StateResponse::LeaseExpired),
        (StateRequest::Changes { .. }, 200) => parse_changes(body),
        (StateRequest::Changes { .. }, 410) => Ok(StateResponse::Compacted),
        (_, 400) => Err(CallError::Rejected),
        _ => Err(CallError::OutcomeUnknown),
    }
}

fn from_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::OutcomeUnknown)
}

fn parse_value(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: ValueWire = from_json(body)?;
    Ok(StateResponse::Value(Some(wire.value.to_owned())))
}

fn parse_page(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: PageWire = from_json(body)?;
    let last = wire.items.last().filter(|_| wire.more);
    let items = wire
        .items
        .iter()
        .filter_map(|item| change(&item.key, Some(item.value), item.mod_revision));
    Ok(StateResponse::Page {
        items: items.collect(),
        next: last.map(|item| item.key.to_string()),
        revision: wire.revision,
    })
}

fn parse_applied(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: AppliedWire = from_json(body)?;
    Ok(StateResponse::Applied(wire.revision))
}

fn parse_conflict(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: ConflictWire = from_json(body)?;
    let keys = wire.failed.iter().filter_map(|key| Key::parse(key));
    Ok(StateResponse::Conflict(keys.collect(), wire.revision))
}

/// Distinguishes an expired lease from other reasons to reject a transaction with a lease. The status is the same; only
/// the error's text differs.
fn parse_rejected_lease(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: ErrorWire = serde_json::from_slice(body).unwrap_or_default();
    if wire.error.contains("lease") {
        Ok(StateResponse::LeaseExpired)
    } else {
        Err(CallError::Rejected)
    }
}

fn parse_lease(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: LeaseWire = from_json(body)?;
    Ok(StateResponse::Lease(wire.lease_id))
}

fn parse_changes(body: &[u8]) -> Result<StateResponse, CallError> {
    let wire: ChangesWire = from_json(body)?;
    let last = last_group_changes(&wire.log);
    let is_superseded =
        |index: usize, key: &str| last.get(key).is_some_and(|last_index| *last_index > index);
    let changes = wire
        .log
        .iter()
        .enumerate()
        .filter(|(index, entry)| match &entry.write {
            Some(key) => !is_superseded(*index, key),
            None => true,
        })
        .filter_map(|(_, entry)| entry.change());
    Ok(StateResponse::Changes(changes.collect(), wire.revision))
}

/// Index in the log of the last change of each machine group.
///
/// Earlier changes of a group need no decoding: the replica applies a response as a whole, and only a group's newest
/// value has an effect. After a long disconnection nearly all entries are changes of groups, many for each group. For
/// jobs every change is needed: a record that is marked as cancelled, before its removal, tells how the job ended.
fn last_group_changes<'a>(log: &'a [LogEntryWire<'_>]) -> HashMap<&'a str, usize> {
    log.iter()
        .enumerate()
        .filter_map(|(index, entry)| Some((entry.key()?, index)))
        .filter(|(key, _)| is_group(key))
        .collect()
}

fn is_group(key: &str) -> bool {
    key.strip_prefix(LIVE_PREFIX)
        .is_some_and(|rest| rest.starts_with(GROUP_PREFIX))
}

impl LogEntryWire<'_> {
    fn key(&self) -> Option<&str> {
        self.write.as_deref().or(self.remove.as_deref())
    }

    /// The change; `None` if its key is not one of cometlead's or its value is malformed.
    fn change(&self) -> Option<Change> {
        let value = self.write.as_ref().and(self.value);
        change(self.key()?, value, self.mod_revision)
    }
}

/// A change of a key, with its value or without one if the key was removed.
fn change(key: &str, value: Option<&RawValue>, mod_revision: u64) -> Option<Change> {
    let key = Key::parse(key)?;
    let content = match value {
        Some(value) => Some(decode(&key, value)?),
        None => None,
    };
    Some(Change {
        key,
        content,
        mod_revision,
    })
}

/// Decodes the value of a key; `None` if the key holds no live record or the value is malformed.
pub fn decode(key: &Key, value: &RawValue) -> Option<Content> {
    Some(match key {
        Key::Meta => Content::Meta(record(value)?),
        Key::Types | Key::TypesPart(_) => Content::Types(record(value)?),
        Key::Fleet => Content::Fleet(record(value)?),
        Key::Node(_) => Content::Node(record(value)?),
        Key::ShardLeader(_) => Content::ShardLeader(record(value)?),
        Key::Group(..) => Content::Group(record(value)?),
        Key::Usage(_) => Content::Usage(record(value)?),
        Key::Job(_) => Content::Job(record(value)?),
        Key::Chunk(..) => Content::Chunk(record(value)?),
        // A key with malformed rules still exists: its content is `None`, so that the rules do not count as absent.
        Key::Rules(_) => Content::Rules(record(value).map(Arc::new)),
        Key::Final(_) => return None,
    })
}

fn record<T: DeserializeOwned>(value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}
