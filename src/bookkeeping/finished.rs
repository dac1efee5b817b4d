//! The set of finished tasks of a job, in fixed chunks so that no value outgrows the store.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Tasks covered by one chunk: 8,192 bits are 2 KiB in hexadecimal.
pub const CHUNK: u32 = 8_192;

/// A bitmap over the tasks of one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    words: Vec<u64>,
    count: u32,
}

impl Finished {
    /// Whether no task is in it.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// How many tasks are in it.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// How many bytes it takes as written.
    pub fn bytes(&self) -> usize {
        self.words.len() * 16
    }

    /// Whether the task with this number within the chunk is in it.
    pub fn has(&self, bit: u32) -> bool {
        let word = self.words.get(bit as usize / 64).copied().unwrap_or(0);
        word >> (bit % 64) & 1 == 1
    }

    /// How many tasks are in either.
    pub fn count_with(&self, other: &Finished) -> u32 {
        let longest = self.words.len().max(other.words.len());
        let word = |set: &Finished, i: usize| set.words.get(i).copied().unwrap_or(0);
        (0..longest).map(|i| (word(self, i) | word(other, i)).count_ones()).sum()
    }

    /// Adds all tasks of the other.
    pub fn merge(&mut self, other: &Finished) {
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

impl Serialize for Finished {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let text: Vec<String> = self.words.iter().map(|w| format!("{w:016x}")).collect();
        s.serialize_str(&text.concat())
    }
}

impl<'de> Deserialize<'de> for Finished {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let bad = || serde::de::Error::custom("not a bitmap");
        if !text.is_ascii() || text.len() % 16 != 0 {
            return Err(bad());
        }
        let words = (0..text.len() / 16)
            .map(|i| u64::from_str_radix(&text[i * 16..i * 16 + 16], 16))
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| bad())?;
        let count = words.iter().map(|w| w.count_ones()).sum();
        Ok(Finished { words, count })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn survives_the_store() {
        let mut set = Finished::default();
        assert!(set.insert(3) && set.insert(8_191) && !set.insert(3));
        let text = serde_json::to_string(&set).unwrap();
        assert!(text.len() < 2_100);
        let back: Finished = serde_json::from_str(&text).unwrap();
        assert_eq!(back, set);
        assert_eq!(back.count(), 2);
        assert!(serde_json::from_str::<Finished>("\"zz\"").is_err());
    }
}
