//! The receipts of the present connection: which of them are obsolete and can be acknowledged.

#[cfg(test)]
mod tests;

use crate::message::MessageKey;
use crate::state_machine::DeliveryTag;
use std::collections::BTreeSet;

/// A delivered receipt.
#[derive(Debug)]
struct Receipt {
    tag: DeliveryTag,
    /// Messages that are not recorded as answered in the log yet.
    needed_for: BTreeSet<MessageKey>,
}

/// A connection's own receipts.
#[derive(Debug, Default)]
pub(super) struct OwnReceipts {
    receipts: Vec<Receipt>,
    /// Messages whose receipts became obsolete before they were delivered.
    obsolete_early: BTreeSet<MessageKey>,
}

impl OwnReceipts {
    /// Adds a delivered receipt for these messages.
    pub fn add(&mut self, tag: DeliveryTag, keys: Vec<MessageKey>) {
        let needed = keys
            .into_iter()
            .filter(|key| !self.obsolete_early.remove(key));
        let needed_for = needed.collect();
        self.receipts.push(Receipt { tag, needed_for });
    }

    /// Removes messages that need no receipt any more, and returns the receipts' deliveries to acknowledge.
    pub fn remove_obsolete(&mut self, keys: &[MessageKey]) -> Vec<DeliveryTag> {
        for key in keys {
            let mut receipts = self.receipts.iter_mut();
            if !receipts.any(|receipt| receipt.needed_for.remove(key)) {
                self.obsolete_early.insert(*key);
            }
        }
        let obsolete = self
            .receipts
            .extract_if(.., |receipt| receipt.needed_for.is_empty());
        obsolete.map(|receipt| receipt.tag).collect()
    }
}
