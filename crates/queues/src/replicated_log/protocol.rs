//! Requests to the state service and its responses.

/// A closed segment as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedSegment {
    /// Its number. Numbers are consecutive.
    pub number: u64,
    /// Its encoded text.
    pub text: String,
}

/// The open segment as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenSegment {
    /// Its encoded text.
    pub text: String,
    /// Revision at which it was written.
    pub revision: u64,
}

/// Writes the open segment on condition that nobody else has written it since it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompareAndSwap {
    /// The revision that the open segment must have; 0 if there must be none.
    pub expected_revision: u64,
    /// New text of the open segment.
    pub open: String,
    /// The segment that is closed in the same transaction.
    pub close: Option<ClosedSegment>,
    /// Number of a closed segment that is removed in the same transaction.
    pub remove: Option<u64>,
}

/// A request to the state service. At most one is in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateRequest {
    /// Read the open segment.
    ReadOpenSegment,
    /// Read a page of closed segments.
    ReadClosedSegments {
        /// Number of the first one.
        from: u64,
    },
    /// Write a batch of changes.
    CompareAndSwap(CompareAndSwap),
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateResponse {
    /// The open segment, if there is one.
    OpenSegment(Option<OpenSegment>),
    /// A page of closed segments in the order of their numbers.
    ClosedSegments {
        /// The segments.
        segments: Vec<ClosedSegment>,
        /// Whether more follow.
        has_more: bool,
    },
    /// The batch was written.
    Applied {
        /// The new revision of the open segment.
        revision: u64,
    },
    /// The batch was not written: the open segment has another revision.
    Conflict,
    /// No usable response. A batch may have been written, or may still be.
    NoResponse,
}
