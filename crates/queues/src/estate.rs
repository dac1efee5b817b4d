//! Connections that are gone, and what their receipts tell.

use crate::front::Micros;
use crate::mark::{Holder, LinkState};
use crate::message::Key;
use std::collections::{BTreeMap, BTreeSet};

/// A dead connection whose receipts are in hand.
#[derive(Clone, Debug)]
struct Estate {
    /// Which of its transactions were carried out, as far as the marks do not say so yet.
    left: BTreeSet<Key>,
    /// How it stood before its receipts were read: one that has gone on since may have left more.
    from: LinkState,
    /// The refreshment of the ledger that has to come before the marks are looked at.
    waits: Option<u64>,
    /// The broker has lost them: nothing tells which were.
    lost: bool,
    /// It is being put on record that all is told.
    closing: bool,
}

/// Messages that a connection has sealed, and of which it is not known whether it has answered them.
#[derive(Clone, Debug, Default)]
struct Doubts {
    /// Not to be asked about before this time.
    at: Micros,
    keys: BTreeSet<Key>,
}

/// All connections that are, or may be, gone.
#[derive(Debug, Default)]
pub(crate) struct Estates {
    /// With how they stood when they were asked about.
    asking: BTreeMap<Holder, LinkState>,
    known: BTreeMap<Holder, Estate>,
    doubts: BTreeMap<Holder, Doubts>,
}

impl Estates {
    /// Whether its receipts are to be asked for: not if they are there or on their way.
    pub fn ask(&mut self, holder: Holder, state: LinkState) -> bool {
        let new = !self.is_known(holder);
        if new {
            self.asking.insert(holder, state);
        }
        new
    }

    pub fn is_known(&self, holder: Holder) -> bool {
        self.known.contains_key(&holder) || self.asking.contains_key(&holder)
    }

    /// A message that it has sealed waits for what its receipts tell.
    pub fn doubt(&mut self, holder: Holder, key: Key) {
        self.doubts.entry(holder).or_default().keys.insert(key);
    }

    /// Takes out the doubts that are none any more.
    pub fn cleared(&mut self, is_doubt: impl Fn(Holder, Key) -> bool) -> Vec<Key> {
        let mut cleared = Vec::new();
        for (holder, doubts) in &mut self.doubts {
            let (left, gone): (BTreeSet<Key>, BTreeSet<Key>) = std::mem::take(&mut doubts.keys)
                .into_iter()
                .partition(|key| is_doubt(*holder, *key));
            doubts.keys = left;
            cleared.extend(gone);
        }
        self.doubts.retain(|_, d| !d.keys.is_empty());
        cleared
    }

    /// Connections whose receipts are wanted now.
    pub fn wanted(&self, now: Micros) -> Vec<Holder> {
        let due = self
            .doubts
            .iter()
            .filter(|(h, d)| d.at <= now && !self.is_known(**h));
        due.map(|(h, _)| *h).collect()
    }

    /// It may still commit.
    pub fn busy(&mut self, holder: Holder, again: Micros) {
        self.asking.remove(&holder);
        if let Some(doubts) = self.doubts.get_mut(&holder) {
            doubts.at = again;
        }
    }

    /// Its receipts. The marks are looked at once the ledger has been refreshed so often.
    pub fn add(&mut self, holder: Holder, left: BTreeSet<Key>, lost: bool, waits: u64) {
        // An answer to what was not asked tells nothing.
        if let Some(from) = self.asking.remove(&holder) {
            self.known.insert(
                holder,
                Estate {
                    left,
                    from,
                    waits: Some(waits),
                    lost,
                    closing: false,
                },
            );
        }
    }

    /// Receipts whose marks can be looked at now, each once.
    pub fn readable(&mut self, is_fresh: impl Fn(u64) -> bool) -> Vec<(Holder, Key)> {
        let mut readable = Vec::new();
        for (holder, estate) in &mut self.known {
            if estate.waits.is_some_and(&is_fresh) {
                estate.waits = None;
                readable.extend(estate.left.iter().map(|key| (*holder, *key)));
            }
        }
        readable
    }

    /// A receipt's mark was written, or is not there any more: whose receipts hold it?
    pub fn holders_of(&self, key: Key) -> Vec<Holder> {
        self.known
            .iter()
            .filter(|(_, e)| e.left.contains(&key))
            .map(|(h, _)| *h)
            .collect()
    }

    pub fn settled(&mut self, holder: Holder, key: Key) {
        if let Some(estate) = self.known.get_mut(&holder) {
            estate.left.remove(&key);
        }
    }

    /// Connections of which the marks tell everything, how they stood before, and whether their receipts were lost; each once.
    pub fn told(&mut self) -> Vec<(Holder, LinkState, bool)> {
        let told = self
            .known
            .iter_mut()
            .filter(|(_, e)| e.left.is_empty() && e.waits.is_none() && !e.closing);
        told.map(|(h, e)| {
            e.closing = true;
            (*h, e.from, e.lost)
        })
        .collect()
    }

    /// It is on record that all is told; what waited for that.
    pub fn close(&mut self, holder: Holder) -> BTreeSet<Key> {
        self.known.remove(&holder);
        self.doubts.remove(&holder).unwrap_or_default().keys
    }

    pub fn clear(&mut self) {
        *self = Estates::default();
    }

    pub fn wake(&self) -> Micros {
        let due = self.doubts.iter().filter(|(h, _)| !self.is_known(**h));
        due.map(|(_, d)| d.at).min().unwrap_or(Micros::MAX)
    }
}
