//! Limits of a transaction and of the values that it writes.

/// Bytes that a transaction may take; the state store allows a little more.
pub(super) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

/// Bytes kept free in a record for changes that must not wait: health changes of machines. In a small
/// record less is kept free.
pub(super) const SPARE_BYTES: usize = 256;

/// Images that are remembered of each machine where a record has no room for more assignments otherwise.
pub(super) const PRUNED_IMAGES: usize = 2;

/// Tasks of the largest job whose completions go into its shard's usage record. The completions of
/// larger jobs come in numbers, so one write of their own record carries many.
pub(super) const MAX_TASKS_IN_USAGE: u32 = 256;

/// Bytes that one more job adds to a usage record, beside its bitmap.
pub(super) const USAGE_ENTRY_BYTES: usize = 26;

/// What a transaction may take.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Most changes.
    pub changes: usize,
    /// Most conditions.
    pub conditions: usize,
    /// Bytes that a value may grow to.
    pub value_bytes: usize,
    /// Bytes of the largest value that the state store takes: a value that is larger than
    /// `value_bytes` must not grow, but may be written.
    pub stored_value_bytes: usize,
    /// Values that are larger than `value_bytes` may grow all the same: controllers of the version
    /// before let them grow, too.
    pub oversized_may_grow: bool,
    /// Bytes that a group should have at most once its machines are full, and the bound of what
    /// a usage record keeps of completed tasks.
    pub group_bytes: usize,
}

impl TransactionLimits {
    /// Bytes that a value may grow to that has so many bytes now.
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
