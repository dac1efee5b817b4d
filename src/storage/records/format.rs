//! Versions of the format of the live records.
//!
//! A deployment starts with the initial format. A later one is used once all of its controllers can read it, so that
//! they can be upgraded one at a time. The format in use is stored in [`MetaRecord::record_format`](super::MetaRecord::layout)
//! as its number, and each controller stores the newest one that it can read in its own record. Both may be of a
//! version that this one does not know, so they are kept as numbers.

/// A version of the format of the live records. A new one is added whenever they change in a way that an earlier
/// version would misread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u32)]
pub enum RecordFormat {
    /// The oldest format that this version reads.
    Initial = 2,
    /// Jobs may depend on others; machine groups and completion bitmaps have compact encodings.
    Compact = 3,
    /// Adds rules: sets of them have records, and jobs bring their own. Only used where the operators turned rules on
    /// at every controller.
    CompactRules = 4,
    /// A shard's usage record is written by the shard's leader alone: the machine groups say what is assigned, and ends
    /// of tasks are recorded by the shard of their machines. Without rules.
    Fenced = 5,
    /// The same with rules.
    FencedRules = 6,
}

impl RecordFormat {
    /// All formats, oldest first.
    const ALL: [RecordFormat; 5] = [
        RecordFormat::Initial,
        RecordFormat::Compact,
        RecordFormat::CompactRules,
        RecordFormat::Fenced,
        RecordFormat::FencedRules,
    ];

    /// The number that stands for it in the stored records.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The format of this number; `None` if this version does not know it.
    pub fn from_number(number: u32) -> Option<RecordFormat> {
        RecordFormat::ALL
            .into_iter()
            .find(|format| format.number() == number)
    }

    /// The newest known format whose number is at most this one, or else the initial one: what is known of a format
    /// that may be newer than this version.
    pub fn newest_up_to(number: u32) -> RecordFormat {
        RecordFormat::ALL
            .into_iter()
            .rev()
            .find(|format| format.number() <= number)
            .unwrap_or(RecordFormat::Initial)
    }

    /// Whether machine groups and completion bitmaps may be written in their compact encodings.
    pub fn has_compact_encoding(self) -> bool {
        self >= RecordFormat::Compact
    }

    /// Whether jobs may depend on others.
    pub fn has_dependencies(self) -> bool {
        self >= RecordFormat::Compact
    }

    /// Whether there may be rules.
    pub fn has_rules(self) -> bool {
        matches!(self, RecordFormat::CompactRules | RecordFormat::FencedRules)
    }

    /// Whether only the shard's leader writes the shard's usage record; see [`RecordFormat::Fenced`].
    pub fn is_fenced(self) -> bool {
        self >= RecordFormat::Fenced
    }
}

/// Number of the newest format that this version reads.
pub const LATEST_FORMAT: u32 = RecordFormat::FencedRules.number();

/// Number of the first format in which jobs may depend on others.
pub const DEPENDENCIES_FORMAT: u32 = RecordFormat::Compact.number();

/// Number of the first fenced format, which is without rules.
pub const FENCED_FORMAT: u32 = RecordFormat::Fenced.number();

/// Number of the first fenced format with rules.
pub const FENCED_RULES_FORMAT: u32 = RecordFormat::FencedRules.number();

/// Number of the first format with compact encodings.
pub const COMPACT_FORMAT: u32 = RecordFormat::Compact.number();

/// Number of the format that a deployment starts with.
pub const INITIAL_FORMAT: u32 = RecordFormat::Initial.number();

/// Whether records of the format of this number may have rules; false for a format that is not known.
pub fn format_has_rules(record_format: u32) -> bool {
    RecordFormat::from_number(record_format).is_some_and(RecordFormat::has_rules)
}

#[cfg(test)]
mod tests;
