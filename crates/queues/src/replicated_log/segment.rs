//! Storage format of the log: one open segment, and closed segments that never change.
//!
//! A segment is a JSON object. Its entries are fixed-size binary records in base64, because values at the state
//! service are small and there is an entry for each message. A claim refers to its claimant by the position in a list
//! of consumers, so that each consumer is written once.

use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState, InvalidConsumerId, ProgressEntry};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The format version that is written, and the only one that can be read.
pub(crate) const SEGMENT_VERSION: u32 = 1;

const KEY_BYTES: usize = 16;
const VERSION_BYTES: usize = 2;
const CLAIMANT_BYTES: usize = 1;
const TIME_BYTES: usize = 4;
const ENTRY_BYTES: usize = KEY_BYTES + VERSION_BYTES + CLAIMANT_BYTES + TIME_BYTES;

/// Marks an answered message, in the byte where a claim has the position of its claimant.
const ANSWERED_MARKER: u8 = u8::MAX;
/// Largest number of claimants in one segment.
pub(crate) const MAX_CLAIMANTS: usize = ANSWERED_MARKER as usize - 1;

/// Why a segment cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum SegmentError {
    /// Not the JSON of a segment.
    #[error("not a log segment: {source}")]
    Malformed {
        /// The parser's error.
        #[from]
        source: serde_json::Error,
    },
    /// Written in a format version that this program does not know.
    #[error("segment version {found}; only version {SEGMENT_VERSION} can be read")]
    UnknownVersion {
        /// The version that the segment names.
        found: u32,
    },
    /// A consumer's name is not a consumer id.
    #[error("field {field}: {source}")]
    InvalidConsumer {
        /// The field that lists it.
        field: &'static str,
        /// What is wrong with the name.
        source: InvalidConsumerId,
    },
    /// The entries are not base64.
    #[error("field e: {source}")]
    InvalidBase64 {
        /// The decoder's error.
        #[from]
        source: base64::DecodeError,
    },
    /// The entries are truncated.
    #[error("field e: {found} bytes are not whole entries of {ENTRY_BYTES}")]
    TruncatedEntries {
        /// Their length.
        found: usize,
    },
    /// A claim has a position that the list of claimants does not have.
    #[error("field e: entry {index} names claimant {position}, which field h does not have")]
    UnknownClaimant {
        /// Number of the entry, from 0.
        index: usize,
        /// The position in the list.
        position: u8,
    },
}

/// One entry with the message that it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentEntry {
    pub key: MessageKey,
    pub version: u16,
    pub entry: ProgressEntry,
}

/// Which role a segment has; only the open one lists consumers and the range of segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentRole {
    Open,
    Closed,
}

/// A decoded segment. In a closed one all fields but the entries are empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Number of the first closed segment that is kept.
    pub first_kept: u64,
    /// Number that this segment gets when it is closed.
    pub number: u64,
    pub consumers: BTreeMap<ConsumerId, ConsumerState>,
    pub entries: Vec<SegmentEntry>,
}

#[derive(Debug, Deserialize)]
struct VersionField {
    #[serde(rename = "v")]
    version: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct EncodedSegment {
    #[serde(rename = "v")]
    version: u32,
    /// First kept and own number: only in the open segment.
    #[serde(rename = "span", default, skip_serializing_if = "Option::is_none")]
    range: Option<(u64, u64)>,
    /// Registered consumers: only in the open segment.
    #[serde(rename = "links", default, skip_serializing_if = "Option::is_none")]
    consumers: Option<BTreeMap<String, ConsumerState>>,
    #[serde(rename = "h")]
    claimants: Vec<String>,
    #[serde(rename = "e")]
    entries: String,
}

/// The claimants of a segment, each at its position.
#[derive(Default)]
struct ClaimantTable(Vec<ConsumerId>);

impl ClaimantTable {
    fn position_of(&mut self, claimant: ConsumerId) -> u8 {
        let known = self.0.iter().position(|c| *c == claimant);
        let position = known.unwrap_or_else(|| {
            self.0.push(claimant);
            self.0.len() - 1
        });
        // A batch never puts more claimants into a segment than there are positions, see MAX_CLAIMANTS.
        u8::try_from(position).unwrap_or(ANSWERED_MARKER - 1)
    }
}

impl Segment {
    /// Upper bound on the encoded size in bytes.
    pub fn max_encoded_bytes(consumers: usize, claimants: usize, entries: usize) -> usize {
        const FIXED_BYTES: usize = 100;
        // Sixteen digits, a dash, up to twenty digits, quotes and a comma.
        const CONSUMER_ID_BYTES: usize = 16 + 1 + 20 + 3;
        const CONSUMER_BYTES: usize = CONSUMER_ID_BYTES + 6;
        let entries_base64 = (entries * ENTRY_BYTES * 4).div_ceil(3) + 4;
        FIXED_BYTES + consumers * CONSUMER_BYTES + claimants * CONSUMER_ID_BYTES + entries_base64
    }

    /// Encodes the segment as JSON text.
    pub fn encode(&self, role: SegmentRole) -> String {
        let mut claimants = ClaimantTable::default();
        let mut bytes = Vec::with_capacity(self.entries.len() * ENTRY_BYTES);
        for entry in &self.entries {
            encode_entry(entry, &mut claimants, &mut bytes);
        }
        let is_open = role == SegmentRole::Open;
        let consumers = || {
            let named = |(id, state): (&ConsumerId, &ConsumerState)| (id.to_string(), *state);
            self.consumers.iter().map(named).collect()
        };
        let encoded = EncodedSegment {
            version: SEGMENT_VERSION,
            range: is_open.then_some((self.first_kept, self.number)),
            consumers: is_open.then(consumers),
            claimants: claimants.0.iter().map(ConsumerId::to_string).collect(),
            entries: STANDARD_NO_PAD.encode(bytes),
        };
        // Strings, numbers and maps with text keys can always be encoded.
        serde_json::to_string(&encoded).unwrap_or_default()
    }

    /// Decodes a segment of either role.
    pub fn decode(text: &str) -> Result<Segment, SegmentError> {
        // The version comes first: other versions may have other fields.
        let VersionField { version } = serde_json::from_str(text)?;
        if version != SEGMENT_VERSION {
            return Err(SegmentError::UnknownVersion { found: version });
        }
        let encoded: EncodedSegment = serde_json::from_str(text)?;
        let (first_kept, number) = encoded.range.unwrap_or_default();
        Ok(Segment {
            first_kept,
            number,
            entries: decode_entries(&encoded)?,
            consumers: decode_consumers(encoded.consumers.unwrap_or_default())?,
        })
    }
}

fn encode_entry(entry: &SegmentEntry, claimants: &mut ClaimantTable, bytes: &mut Vec<u8>) {
    let position = match entry.entry {
        ProgressEntry::Answered { .. } => ANSWERED_MARKER,
        ProgressEntry::Claimed { by, .. } => claimants.position_of(by),
    };
    let at_s = u32::try_from(entry.entry.written_at_s()).unwrap_or(u32::MAX);
    bytes.extend(entry.key.0.to_be_bytes());
    bytes.extend(entry.version.to_be_bytes());
    bytes.push(position);
    bytes.extend(at_s.to_be_bytes());
}

fn decode_consumers(
    names: BTreeMap<String, ConsumerState>,
) -> Result<BTreeMap<ConsumerId, ConsumerState>, SegmentError> {
    let invalid = |source| SegmentError::InvalidConsumer {
        field: "links",
        source,
    };
    let decode =
        |(name, state): (String, ConsumerState)| Ok((name.parse().map_err(invalid)?, state));
    names.into_iter().map(decode).collect()
}

fn decode_entries(encoded: &EncodedSegment) -> Result<Vec<SegmentEntry>, SegmentError> {
    let invalid = |source| SegmentError::InvalidConsumer { field: "h", source };
    let parse = |name: &String| name.parse().map_err(invalid);
    let claimants: Vec<ConsumerId> = encoded
        .claimants
        .iter()
        .map(parse)
        .collect::<Result<_, _>>()?;
    let bytes = STANDARD_NO_PAD.decode(&encoded.entries)?;
    let (entries, rest) = bytes.as_chunks::<ENTRY_BYTES>();
    if !rest.is_empty() {
        return Err(SegmentError::TruncatedEntries { found: bytes.len() });
    }
    let decode = |(index, bytes)| decode_entry(index, bytes, &claimants);
    entries.iter().enumerate().map(decode).collect()
}

fn decode_entry(
    index: usize,
    bytes: &[u8; ENTRY_BYTES],
    claimants: &[ConsumerId],
) -> Result<SegmentEntry, SegmentError> {
    let (key, rest) = bytes.split_at(KEY_BYTES);
    let (version, rest) = rest.split_at(VERSION_BYTES);
    let (position, time) = rest.split_at(CLAIMANT_BYTES);
    let (position, at_s) = (position[0], big_endian(time) as u64);
    let entry = match position {
        ANSWERED_MARKER => ProgressEntry::Answered { at_s },
        position => ProgressEntry::Claimed {
            by: *claimants
                .get(usize::from(position))
                .ok_or(SegmentError::UnknownClaimant { index, position })?,
            at_s,
        },
    };
    Ok(SegmentEntry {
        key: MessageKey(big_endian(key)),
        version: big_endian(version) as u16,
        entry,
    })
}

/// Reads up to sixteen bytes as an unsigned number.
fn big_endian(bytes: &[u8]) -> u128 {
    bytes.iter().fold(0, |n, b| n << 8 | u128::from(*b))
}
