//! Limits of a transaction and of the values that it writes.

/// Bytes that the values of a transaction may take together.
const MAX_VALUES_BYTES: usize = 56 * 1024;

/// Bytes that the state store accepts in a transaction, its keys included.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Bytes of a transaction without conditions and changes.
const EMPTY_TRANSACTION_BYTES: usize = 32;

/// Most bytes of a key that a commit round names.
const MAX_KEY_BYTES: usize = 40;

/// Most bytes that a condition takes in a transaction.
const MAX_CONDITION_BYTES: usize = MAX_KEY_BYTES + 40;

/// Most bytes that a change takes in a transaction, without its value.
const MAX_CHANGE_BYTES: usize = MAX_KEY_BYTES + 24;

/// Bytes that the values of a transaction with this many changes and conditions may take together.
pub(super) fn max_values_bytes(changes: usize, conditions: usize) -> usize {
    let keys = changes * MAX_CHANGE_BYTES + conditions * MAX_CONDITION_BYTES;
    MAX_TRANSACTION_BYTES
        .saturating_sub(EMPTY_TRANSACTION_BYTES + keys)
        .min(MAX_VALUES_BYTES)
}

/// Bytes kept free in a record for health changes of machines, which must not wait. In a small record
/// less is kept free.
pub(super) const SPARE_BYTES: usize = 256;

/// Images that a record keeps for each machine if it would have no room for more assignments otherwise.
pub(super) const IMAGES_KEPT_BY_PRUNING: usize = 2;

/// Most tasks of a job whose completions go into the usage record of a shard. Larger jobs have many
/// completions at a time, so one write of their own record carries many of them.
pub(super) const MAX_JOB_TASKS_IN_USAGE: u32 = 256;

/// Bytes that one more job adds to a usage record, in addition to its bitmap.
pub(super) const USAGE_ENTRY_BYTES: usize = 26;

/// Limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Most changes.
    pub changes: usize,
    /// Most conditions.
    pub conditions: usize,
    /// Bytes that a value may grow to.
    pub value_bytes: usize,
    /// Bytes of the largest value that the state store accepts. A value that is larger than
    /// `value_bytes` may be written up to this size, but must not grow.
    pub stored_value_bytes: usize,
    /// Whether values that are larger than `value_bytes` may grow nevertheless: controllers of the
    /// previous version let them grow, too.
    pub oversized_may_grow: bool,
    /// Most bytes that a machine group should have once its machines are full. The same limit applies to
    /// usage records when completions are added.
    pub group_bytes: usize,
}

impl TransactionLimits {
    /// Bytes that a value may grow to that has `bytes` bytes now.
    pub(super) fn max_bytes(&self, bytes: usize) -> usize {
        if bytes <= self.value_bytes {
            self.value_bytes
        } else if self.oversized_may_grow {
            self.stored_value_bytes
        } else {
            bytes
        }
    }
}

#[cfg(test)]
mod tests;
