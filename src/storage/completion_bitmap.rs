//! The set of finished tasks of a job, in fixed chunks so that no value outgrows the store.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;

/// Tasks covered by one chunk: 8,192 bits are 2 KiB in hexadecimal, 1.3 KiB in the terser form.
pub const CHUNK: u32 = 8_192;

/// What the terser form begins with; no hexadecimal does.
const TERSE: char = '=';

/// A bitmap over the tasks of one chunk.
#[derive(Clone, Debug, Default)]
pub struct CompletionBitmap {
    words: Vec<u64>,
    count: u32,
    terse: bool,
}

impl PartialEq for CompletionBitmap {
    fn eq(&self, other: &CompletionBitmap) -> bool {
        self.words == other.words
    }
}

impl Eq for CompletionBitmap {}

impl CompletionBitmap {
    fn of(words: Vec<u64>) -> CompletionBitmap {
        let count = words.iter().map(|w| w.count_ones()).sum();
        CompletionBitmap {
            words,
            count,
            terse: false,
        }
    }

    /// Whether no task is in it.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// How many tasks are in it.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Most bytes that it takes as written, in either form.
    pub fn bytes(&self) -> usize {
        self.words.len() * 16
    }

    /// Whether it is to be written in the terser form: only where every reader understands it.
    pub fn terse(&mut self, terse: bool) {
        self.terse = terse;
    }

    /// Whether all tasks of the other are in it.
    pub fn covers(&self, other: &CompletionBitmap) -> bool {
        self.count_with(other) == self.count
    }

    /// Whether the task with this number within the chunk is in it.
    pub fn has(&self, bit: u32) -> bool {
        let word = self.words.get(bit as usize / 64).copied().unwrap_or(0);
        word >> (bit % 64) & 1 == 1
    }

    /// How many tasks are in either.
    pub fn count_with(&self, other: &CompletionBitmap) -> u32 {
        let longest = self.words.len().max(other.words.len());
        let word = |set: &CompletionBitmap, i: usize| set.words.get(i).copied().unwrap_or(0);
        (0..longest)
            .map(|i| (word(self, i) | word(other, i)).count_ones())
            .sum()
    }

    /// Adds all tasks of the other.
    pub fn merge(&mut self, other: &CompletionBitmap) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine |= theirs;
        }
        self.count = self.words.iter().map(|w| w.count_ones()).sum();
    }

    /// Adds a task; false if it was in already.
    pub fn insert(&mut self, bit: u32) -> bool {
        if self.has(bit) {
            return false;
        }
        let at = bit as usize / 64;
        if self.words.len() <= at {
            self.words.resize(at + 1, 0);
        }
        self.words[at] |= 1 << (bit % 64);
        self.count += 1;
        true
    }
}

impl Serialize for CompletionBitmap {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if self.terse {
            let mut bytes: Vec<u8> = self.words.iter().flat_map(|w| w.to_le_bytes()).collect();
            bytes.truncate(
                bytes
                    .iter()
                    .rposition(|b| *b != 0)
                    .map_or(0, |last| last + 1),
            );
            let mut text = String::from(TERSE);
            URL_SAFE_NO_PAD.encode_string(bytes, &mut text);
            return s.serialize_str(&text);
        }
        let text: Vec<String> = self.words.iter().map(|w| format!("{w:016x}")).collect();
        s.serialize_str(&text.concat())
    }
}

impl<'de> Deserialize<'de> for CompletionBitmap {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(d)?;
        let bad = || serde::de::Error::custom("not a bitmap");
        if let Some(terse) = text.strip_prefix(TERSE) {
            let bytes = URL_SAFE_NO_PAD.decode(terse).map_err(|_| bad())?;
            let word = |b: &[u8]| b.iter().rev().fold(0, |w, b| w << 8 | u64::from(*b));
            return Ok(CompletionBitmap {
                terse: true,
                ..CompletionBitmap::of(bytes.chunks(8).map(word).collect())
            });
        }
        if !text.is_ascii() || text.len() % 16 != 0 {
            return Err(bad());
        }
        let words = (0..text.len() / 16)
            .map(|i| u64::from_str_radix(&text[i * 16..i * 16 + 16], 16))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| bad())?;
        Ok(CompletionBitmap::of(words))
    }
}

#[cfg(test)]
mod tests;
