//! Bitmaps of the finished tasks of a job, in chunks of a fixed number of tasks so that no value exceeds the store's
//! size limit.
//!
//! The stored form is a string, in one of two encodings:
//!
//! - Plain: the words of the bitmap in hexadecimal, 16 digits each.
//! - Compact: `=` and the base64 text (URL-safe, without padding) of the words' bytes, least significant byte first,
//!   without the zero bytes at the end.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;

/// Number of tasks in one chunk: 8,192 bits are 2 KiB in the plain encoding, 1.3 KiB in the compact one.
pub const TASKS_PER_CHUNK: u32 = 8_192;

/// Number of the chunk that the job's own record has, unless it is detached.
pub const FIRST_CHUNK: u32 = 0;

/// First character of the compact encoding; it is no hexadecimal digit.
const COMPACT_PREFIX: char = '=';

/// Number of bits in a word, in the type of task numbers.
const WORD_BITS: u32 = u64::BITS;

/// Number of bytes in a word.
const WORD_BYTES: usize = size_of::<u64>();

/// Number of hexadecimal digits of a word.
const WORD_DIGITS: usize = 2 * WORD_BYTES;

/// A bitmap of the finished tasks of one chunk. Two bitmaps are equal if they have the same words; their encodings may
/// differ.
#[derive(Clone, Debug, Default)]
pub struct CompletionBitmap {
    words: Vec<u64>,
    count: u32,
    compact_encoding: bool,
}

impl PartialEq for CompletionBitmap {
    fn eq(&self, other: &CompletionBitmap) -> bool {
        self.words == other.words
    }
}

impl Eq for CompletionBitmap {}

impl CompletionBitmap {
    fn new(words: Vec<u64>, compact_encoding: bool) -> CompletionBitmap {
        CompletionBitmap {
            count: count_ones(&words),
            words,
            compact_encoding,
        }
    }

    /// Whether the bitmap has no task.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Number of tasks in the bitmap.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Upper bound of the size of the stored form, in bytes, in either encoding.
    pub fn max_stored_bytes(&self) -> usize {
        self.words.len() * WORD_DIGITS
    }

    /// Sets whether the bitmap is written in the compact encoding, which every controller must be able to read then.
    pub fn set_compact_encoding(&mut self, compact_encoding: bool) {
        self.compact_encoding = compact_encoding;
    }

    /// Whether the bitmap has all tasks of `other`.
    pub fn covers(&self, other: &CompletionBitmap) -> bool {
        self.union_count(other) == self.count
    }

    /// Whether the bitmap has the task with this number within the chunk.
    pub fn contains(&self, bit: u32) -> bool {
        self.word((bit / WORD_BITS) as usize) >> (bit % WORD_BITS) & 1 == 1
    }

    /// Number of tasks that are in at least one of the two bitmaps.
    pub fn union_count(&self, other: &CompletionBitmap) -> u32 {
        let longest = self.words.len().max(other.words.len());
        (0..longest)
            .map(|word_index| (self.word(word_index) | other.word(word_index)).count_ones())
            .sum()
    }

    /// Adds all tasks of `other`.
    pub fn merge(&mut self, other: &CompletionBitmap) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, other_word) in self.words.iter_mut().zip(&other.words) {
            *word |= other_word;
        }
        self.count = count_ones(&self.words);
    }

    /// Adds the task with this number within the chunk; returns false if the bitmap already had it.
    pub fn insert(&mut self, bit: u32) -> bool {
        if self.contains(bit) {
            return false;
        }
        let word_index = (bit / WORD_BITS) as usize;
        if self.words.len() <= word_index {
            self.words.resize(word_index + 1, 0);
        }
        self.words[word_index] |= 1 << (bit % WORD_BITS);
        self.count += 1;
        true
    }

    fn word(&self, word_index: usize) -> u64 {
        self.words.get(word_index).copied().unwrap_or(0)
    }

    fn plain_text(&self) -> String {
        let words: Vec<String> = self
            .words
            .iter()
            .map(|word| format!("{word:0WORD_DIGITS$x}"))
            .collect();
        words.concat()
    }

    fn compact_text(&self) -> String {
        let mut bytes: Vec<u8> = self
            .words
            .iter()
            .flat_map(|word| word.to_le_bytes())
            .collect();
        let last = bytes.iter().rposition(|byte| *byte != 0);
        bytes.truncate(last.map_or(0, |last| last + 1));
        let mut text = String::from(COMPACT_PREFIX);
        URL_SAFE_NO_PAD.encode_string(bytes, &mut text);
        text
    }

    fn from_plain_text(text: &str) -> Result<CompletionBitmap, BitmapError> {
        if !text.is_ascii() || !text.len().is_multiple_of(WORD_DIGITS) {
            return Err(BitmapError::Length);
        }
        let words = (0..text.len() / WORD_DIGITS)
            .map(|i| u64::from_str_radix(&text[i * WORD_DIGITS..(i + 1) * WORD_DIGITS], 16))
            .collect::<Result<_, _>>()?;
        Ok(CompletionBitmap::new(words, false))
    }

    fn from_compact_text(text: &str) -> Result<CompletionBitmap, BitmapError> {
        let bytes = URL_SAFE_NO_PAD.decode(text)?;
        let words = bytes.chunks(WORD_BYTES).map(word_from_le_bytes).collect();
        Ok(CompletionBitmap::new(words, true))
    }
}

/// Why a stored bitmap cannot be read.
#[derive(Debug, thiserror::Error)]
enum BitmapError {
    #[error("bitmap is not of whole words in hexadecimal")]
    Length,
    #[error("bitmap is not hexadecimal")]
    Hexadecimal(#[from] std::num::ParseIntError),
    #[error("bitmap is not base64 text")]
    Base64(#[from] base64::DecodeError),
}

fn count_ones(words: &[u64]) -> u32 {
    words.iter().map(|word| word.count_ones()).sum()
}

/// Converts at most eight bytes, least significant first, to a word.
fn word_from_le_bytes(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |word, byte| word << 8 | u64::from(*byte))
}

impl Serialize for CompletionBitmap {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let text = if self.compact_encoding {
            self.compact_text()
        } else {
            self.plain_text()
        };
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for CompletionBitmap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        match text.strip_prefix(COMPACT_PREFIX) {
            Some(text) => CompletionBitmap::from_compact_text(text),
            None => CompletionBitmap::from_plain_text(&text),
        }
        .map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
