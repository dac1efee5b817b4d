//! How marks are written: one record that is open, and closed ones that never change.

use crate::mark::{BadHolder, Holder, LinkState, Mark};
use crate::message::Key;
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form that this version writes and reads.
pub(crate) const FORM: u32 = 1;
/// Bytes of one entry before they are written as text: key, version, holder, time.
const ENTRY: usize = 16 + 2 + 1 + 4;
/// Stands for an answered message in the place of its holder.
const ANSWERED: u8 = u8::MAX;
/// Most holders of one record.
pub(crate) const MOST_HOLDERS: usize = ANSWERED as usize;

/// One mark with its version: how often the message's mark was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub key: Key,
    pub version: u16,
    pub mark: Mark,
}

/// Why a record could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRecord {
    /// Not a record of this form at all.
    #[error("{0}")]
    Malformed(String),
    /// Written by a version that this one does not know.
    #[error("form {0}, and only form {FORM} is known here")]
    Form(u32),
    /// Its entries make no sense.
    #[error("entries cut short, or of no holder")]
    Entries,
}

#[derive(Debug, Serialize, Deserialize)]
struct Wire {
    #[serde(rename = "v")]
    v: u32,
    /// The first closed record that is kept, and the number that the open one will have: only in the open one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "span")]
    span: Option<(u64, u64)>,
    /// Connections on record, and how they stand: only in the open one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "links")]
    links: Option<BTreeMap<String, LinkState>>,
    /// Holders that the entries name by their place.
    #[serde(rename = "h")]
    h: Vec<String>,
    /// The entries, one after the other.
    #[serde(rename = "e")]
    e: String,
}

/// What a record says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Record {
    pub first: u64,
    pub seq: u64,
    pub links: BTreeMap<Holder, LinkState>,
    pub entries: Vec<Entry>,
}

impl Record {
    /// Bytes that its text takes, at most.
    pub fn size(links: usize, holders: usize, entries: usize) -> usize {
        const FIXED: usize = 100;
        // A holder: sixteen digits, a dash, up to twenty digits, quotes and a comma; a link has its state besides.
        const NAME: usize = 16 + 1 + 20 + 3;
        FIXED + links * (NAME + 6) + holders * NAME + (entries * ENTRY * 4).div_ceil(3) + 4
    }

    /// Its text, as the open record or as a closed one.
    pub fn encode(&self, open: bool) -> String {
        let mut holders: Vec<Holder> = Vec::new();
        let mut bytes = Vec::with_capacity(self.entries.len() * ENTRY);
        for entry in &self.entries {
            let who = match entry.mark {
                Mark::Answered(_) => ANSWERED,
                Mark::Sealed(holder, _) => {
                    let place = holders
                        .iter()
                        .position(|h| *h == holder)
                        .unwrap_or_else(|| {
                            holders.push(holder);
                            holders.len() - 1
                        });
                    // The ledger puts no more holders into one record than there are places.
                    u8::try_from(place).unwrap_or(ANSWERED - 1)
                }
            };
            bytes.extend(entry.key.0.to_be_bytes());
            bytes.extend(entry.version.to_be_bytes());
            bytes.push(who);
            bytes.extend(
                u32::try_from(entry.mark.at())
                    .unwrap_or(u32::MAX)
                    .to_be_bytes(),
            );
        }
        let wire = Wire {
            v: FORM,
            span: open.then_some((self.first, self.seq)),
            links: open.then(|| {
                self.links
                    .iter()
                    .map(|(h, state)| (h.to_string(), *state))
                    .collect()
            }),
            h: holders.iter().map(Holder::to_string).collect(),
            e: STANDARD_NO_PAD.encode(bytes),
        };
        serde_json::to_string(&wire).unwrap_or_default()
    }

    /// Reads a text.
    pub fn decode(text: &str) -> Result<Record, BadRecord> {
        #[derive(Deserialize)]
        struct Form {
            #[serde(rename = "v")]
            v: u32,
        }
        let malformed = |e: serde_json::Error| BadRecord::Malformed(e.to_string());
        let Form { v } = serde_json::from_str(text).map_err(malformed)?;
        if v != FORM {
            return Err(BadRecord::Form(v));
        }
        let wire: Wire = serde_json::from_str(text).map_err(malformed)?;
        let holder = |_: BadHolder| BadRecord::Entries;
        let holders: Vec<Holder> = wire
            .h
            .iter()
            .map(|h| h.parse())
            .collect::<Result<_, _>>()
            .map_err(holder)?;
        let bytes = STANDARD_NO_PAD
            .decode(&wire.e)
            .map_err(|_| BadRecord::Entries)?;
        if bytes.len() % ENTRY != 0 {
            return Err(BadRecord::Entries);
        }
        let entries = bytes.chunks_exact(ENTRY).map(|e| {
            let number = |at: std::ops::Range<usize>| {
                e[at].iter().fold(0u128, |n, b| n << 8 | u128::from(*b))
            };
            let at = number(19..23) as u64;
            let mark = match e[18] {
                ANSWERED => Mark::Answered(at),
                place => Mark::Sealed(
                    *holders.get(usize::from(place)).ok_or(BadRecord::Entries)?,
                    at,
                ),
            };
            Ok(Entry {
                key: Key(number(0..16)),
                version: number(16..18) as u16,
                mark,
            })
        });
        let links = wire
            .links
            .unwrap_or_default()
            .into_iter()
            .map(|(h, state)| Ok((h.parse()?, state)));
        let (first, seq) = wire.span.unwrap_or_default();
        Ok(Record {
            first,
            seq,
            links: links.collect::<Result<_, _>>().map_err(holder)?,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}
