//! Versions of the format of the live records.
//!
//! A deployment starts with the initial format. It changes to a later one once all of its controllers can read that
//! one, so that controllers can be upgraded one at a time. The number of the format in use is stored in
//! [`MetaRecord::record_format`](super::MetaRecord::record_format), and each controller stores the number of the newest
//! format that it can read in its own record. Either may be a format that this version of the software does not know,
//! so the records hold numbers.

/// A version of the format of the live records. A new format is added whenever the records change in a way that earlier
/// versions of the software would misread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u32)]
pub enum RecordFormat {
    /// The oldest format that this version of the software reads.
    Initial = 2,
    /// Jobs may depend on others; machine groups and completion bitmaps have compact encodings.
    Compact = 3,
    /// Adds placement rules: rule sets have records, and jobs may have rules of their own. Only used where the
    /// operators turned rules on at every controller.
    CompactRules = 4,
    /// A shard's usage record is written by the shard's leader alone: the machine groups say what is assigned, and the
    /// end of a task is recorded by the shard of its machine. Without rules.
    Fenced = 5,
    /// The same as [`RecordFormat::Fenced`], with rules.
    FencedRules = 6,
    /// The first chunk of a job's completion bitmap may have a record of its own, like the further chunks. Without rules.
    DetachedChunk = 7,
    /// The same as [`RecordFormat::DetachedChunk`], with rules.
    DetachedChunkRules = 8,
}

impl RecordFormat {
    /// All formats, oldest first.
    const ALL: [RecordFormat; 7] = [
        RecordFormat::Initial,
        RecordFormat::Compact,
        RecordFormat::CompactRules,
        RecordFormat::Fenced,
        RecordFormat::FencedRules,
        RecordFormat::DetachedChunk,
        RecordFormat::DetachedChunkRules,
    ];

    /// The number that stands for this format in the stored records.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The format with this number; `None` if this version of the software does not know it.
    pub fn from_number(number: u32) -> Option<RecordFormat> {
        RecordFormat::ALL
            .into_iter()
            .find(|format| format.number() == number)
    }

    /// The newest known format whose number is at most `number`, or else the initial one. For a format that is newer
    /// than this version of the software, this says which features it has at least.
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

    /// Whether records may have rules.
    pub fn has_rules(self) -> bool {
        matches!(
            self,
            RecordFormat::CompactRules
                | RecordFormat::FencedRules
                | RecordFormat::DetachedChunkRules
        )
    }

    /// Whether only the shard's leader writes the shard's usage record; see [`RecordFormat::Fenced`].
    pub fn is_fenced(self) -> bool {
        self >= RecordFormat::Fenced
    }

    /// Whether the first chunk of a completion bitmap may have a record of its own.
    pub fn has_detached_chunk(self) -> bool {
        self >= RecordFormat::DetachedChunk
    }
}

/// Number of the newest format that this version of the software reads.
pub const LATEST_FORMAT: u32 = RecordFormat::DetachedChunkRules.number();

/// Number of the first format in which jobs may depend on others.
pub const DEPENDENCIES_FORMAT: u32 = RecordFormat::Compact.number();

/// Number of the first fenced format; it has no rules.
pub const FENCED_FORMAT: u32 = RecordFormat::Fenced.number();

/// Number of the newest format without rules.
pub const LATEST_FORMAT_WITHOUT_RULES: u32 = RecordFormat::DetachedChunk.number();

/// Number of the first format with compact encodings.
pub const COMPACT_FORMAT: u32 = RecordFormat::Compact.number();

/// Number of the format that a deployment starts with.
pub const INITIAL_FORMAT: u32 = RecordFormat::Initial.number();

/// Whether records of the format with this number may have rules; false for a format that is not known.
pub fn format_has_rules(record_format: u32) -> bool {
    RecordFormat::from_number(record_format).is_some_and(RecordFormat::has_rules)
}

#[cfg(test)]
mod tests;
