//! Receipts: what a connection leaves, in the same transaction as its answers, in a queue that it alone reads.

use crate::front::Tag;
use crate::message::Key;
use std::collections::BTreeSet;

/// A connection's own receipts.
#[derive(Debug, Default)]
pub struct Own {
    /// Deliveries with what they still have to tell.
    held: Vec<(Tag, BTreeSet<Key>)>,
    /// Marked before their receipts came.
    early: BTreeSet<Key>,
}

impl Own {
    /// A receipt came.
    pub fn add(&mut self, tag: Tag, keys: Vec<Key>) {
        let keys = keys.into_iter().filter(|k| !self.early.remove(k)).collect();
        self.held.push((tag, keys));
    }

    /// These are marked: which deliveries may go?
    pub fn forget(&mut self, keys: &[Key]) -> Vec<Tag> {
        for key in keys {
            if !self.held.iter_mut().any(|(_, of)| of.remove(key)) {
                self.early.insert(*key);
            }
        }
        let gone = self.held.extract_if(.., |(_, of)| of.is_empty());
        gone.map(|(tag, _)| tag).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::receipts::{decode, encode};

    /// A receipt goes once all of its messages are marked, whichever comes first.
    #[test]
    fn receipts_go_when_all_is_marked() {
        let (a, b) = (Key(1), Key(u128::MAX));
        assert_eq!(decode(&encode(&[a, b])), [a, b]);
        let mut own = Own::default();
        own.add(7, vec![a, b]);
        assert!(own.forget(&[a]).is_empty());
        assert_eq!(own.forget(&[b]), [7]);
        assert!(own.forget(&[a]).is_empty());
        own.add(8, vec![a]);
        assert_eq!(own.forget(&[]), [8]);
    }
}
