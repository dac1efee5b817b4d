//! Changes of the log, and their outcomes.

use crate::message::MessageKey;
use crate::progress::{ConsumerId, ConsumerState, ProgressEntry, VersionedEntry};
use std::collections::BTreeMap;

/// A compare-and-swap of one message's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EntryChange {
    pub key: MessageKey,
    /// The version that the entry must have; 0 if there must be none.
    pub expected_version: u16,
    pub entry: ProgressEntry,
}

impl EntryChange {
    pub fn resulting_entry(&self) -> VersionedEntry {
        VersionedEntry {
            entry: self.entry,
            version: self.expected_version.saturating_add(1),
        }
    }
}

/// A compare-and-swap of one consumer's state. `None` stands for a consumer that is not registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConsumerChange {
    pub consumer: ConsumerId,
    pub from: Option<ConsumerState>,
    pub to: Option<ConsumerState>,
}

impl ConsumerChange {
    /// Applies the change to a table of consumers.
    pub fn apply(&self, consumers: &mut BTreeMap<ConsumerId, ConsumerState>) {
        match self.to {
            Some(state) => consumers.insert(self.consumer, state),
            None => consumers.remove(&self.consumer),
        };
    }
}

/// A change that waits to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Entry(EntryChange),
    Consumer(ConsumerChange),
}

impl Change {
    /// Whether the change deregisters a consumer.
    pub fn is_deregistration(&self) -> bool {
        matches!(self, Change::Consumer(ConsumerChange { to: None, .. }))
    }
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// A change of a message's entry.
    Entry {
        /// The message.
        key: MessageKey,
        /// The version that was written; `None` if the log has another entry.
        written_version: Option<u16>,
    },
    /// A change of a consumer's state.
    Consumer {
        /// The consumer.
        consumer: ConsumerId,
        /// Whether the consumer has the wanted state now.
        succeeded: bool,
    },
}
