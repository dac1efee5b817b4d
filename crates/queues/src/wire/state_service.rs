//! The state service's HTTP interface: key names, paths, compare-and-swap requests and responses.

use crate::replicated_log::{ClosedSegment, CompareAndSwap, OpenSegment};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Closed segments per page.
const SEGMENTS_PER_PAGE: u32 = 200;
/// Path for compare-and-swap transactions.
pub const TRANSACTION_PATH: &str = "/txn";

/// Why a response or request could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum StateWireError {
    /// A response is not the JSON that the service documents.
    #[error("malformed response from the state service to {request}")]
    MalformedResponse {
        /// The request that was sent.
        request: &'static str,
        /// The parser's error.
        #[source]
        source: serde_json::Error,
    },
    /// A request cannot be written as JSON.
    #[error("cannot encode the value of key {key}")]
    UnencodableValue {
        /// The key that was to be written.
        key: String,
        /// The encoder's error.
        #[source]
        source: serde_json::Error,
    },
}

/// Names of the log's keys below a common prefix.
#[derive(Clone, Debug)]
pub struct LogKeys {
    prefix: String,
}

impl LogKeys {
    /// Keys below `prefix`, which ends with a slash.
    pub fn new(prefix: impl Into<String>) -> LogKeys {
        LogKeys {
            prefix: prefix.into(),
        }
    }

    /// Key of the open segment.
    pub fn open(&self) -> String {
        format!("{}open", self.prefix)
    }

    /// Key of a closed segment. Zero padding makes lexical order numeric order.
    pub fn closed(&self, segment: u64) -> String {
        format!("{}closed/{segment:020}", self.prefix)
    }

    /// Path that reads the open segment.
    pub fn open_segment_path(&self) -> String {
        format!("/kv/{}", self.open())
    }

    /// Path that reads a page of closed segments, starting with segment `from`.
    pub fn closed_segments_page_path(&self, from: u64) -> String {
        let after = from
            .checked_sub(1)
            .map(|segment| format!("&after={}", self.closed(segment)))
            .unwrap_or_default();
        format!(
            "/kv?prefix={}closed/{after}&most={SEGMENTS_PER_PAGE}",
            self.prefix
        )
    }
}

#[derive(Serialize)]
struct Condition {
    #[serde(rename = "key")]
    key: String,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Change {
    Write {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "value")]
        value: Box<RawValue>,
    },
    Remove {
        #[serde(rename = "remove")]
        key: String,
    },
}

#[derive(Serialize)]
struct Transaction {
    #[serde(rename = "when")]
    conditions: Vec<Condition>,
    #[serde(rename = "then")]
    changes: Vec<Change>,
}

/// Encodes a compare-and-swap of the open segment.
///
/// # Errors
///
/// If a segment has no JSON form.
pub fn compare_and_swap_body(
    keys: &LogKeys,
    request: &CompareAndSwap,
) -> Result<Vec<u8>, StateWireError> {
    let mut changes = vec![write(keys.open(), &request.open)?];
    if let Some(closed) = &request.close {
        changes.push(write(keys.closed(closed.number), &closed.text)?);
    }
    changes.extend(request.remove.map(|segment| Change::Remove {
        key: keys.closed(segment),
    }));
    let transaction = Transaction {
        conditions: vec![Condition {
            key: keys.open(),
            revision: request.expected_revision,
        }],
        changes,
    };
    serde_json::to_vec(&transaction).map_err(|source| StateWireError::UnencodableValue {
        key: keys.open(),
        source,
    })
}

fn write(key: String, text: &str) -> Result<Change, StateWireError> {
    match RawValue::from_string(text.to_owned()) {
        Ok(value) => Ok(Change::Write { key, value }),
        Err(source) => Err(StateWireError::UnencodableValue { key, source }),
    }
}

#[derive(Deserialize)]
struct KeyBody<'a> {
    #[serde(borrow, rename = "value")]
    value: &'a RawValue,
    #[serde(rename = "stamp")]
    revision: u64,
}

#[derive(Deserialize)]
struct PageItem<'a> {
    #[serde(rename = "key")]
    key: String,
    #[serde(borrow, rename = "value")]
    value: &'a RawValue,
}

#[derive(Deserialize)]
struct PageBody<'a> {
    #[serde(borrow, rename = "items")]
    items: Vec<PageItem<'a>>,
    #[serde(default, rename = "more")]
    more: bool,
}

#[derive(Deserialize)]
struct TransactionBody {
    #[serde(rename = "epoch")]
    revision: u64,
}

fn malformed(request: &'static str) -> impl Fn(serde_json::Error) -> StateWireError {
    move |source| StateWireError::MalformedResponse { request, source }
}

/// A page of closed segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentPage {
    /// The segments in the order of their numbers.
    pub segments: Vec<ClosedSegment>,
    /// Whether more follow.
    pub has_more: bool,
}

/// Reads the open segment.
///
/// # Errors
///
/// If the body is not a response with a segment.
pub fn decode_open_segment(body: &[u8]) -> Result<OpenSegment, StateWireError> {
    let key: KeyBody =
        serde_json::from_slice(body).map_err(malformed("a read of the open segment"))?;
    Ok(OpenSegment {
        text: key.value.get().to_owned(),
        revision: key.revision,
    })
}

/// Reads a page of closed segments. Keys without a number are skipped.
///
/// # Errors
///
/// If the body is not a page of segments.
pub fn decode_closed_segments_page(body: &[u8]) -> Result<SegmentPage, StateWireError> {
    let page: PageBody =
        serde_json::from_slice(body).map_err(malformed("a read of closed segments"))?;
    let segment = |item: &PageItem| {
        let (_, number) = item.key.rsplit_once('/')?;
        Some(ClosedSegment {
            number: number.parse().ok()?,
            text: item.value.get().to_owned(),
        })
    };
    Ok(SegmentPage {
        segments: page.items.iter().filter_map(segment).collect(),
        has_more: page.more,
    })
}

/// Reads the revision at which a transaction was carried out.
///
/// # Errors
///
/// If the body has no revision.
pub fn decode_applied_revision(body: &[u8]) -> Result<u64, StateWireError> {
    let body: TransactionBody = serde_json::from_slice(body).map_err(malformed("a transaction"))?;
    Ok(body.revision)
}
