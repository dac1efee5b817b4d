//! What a front has counted since it started.

/// Counters; none of them ever falls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Deliveries.
    pub received: u64,
    /// Deliveries that the broker calls repeated.
    pub redelivered: u64,
    /// Deliveries of a message that was in hand, or marked as answered: held back.
    pub held_back: u64,
    /// Jobs that the controllers accepted, cancellations included.
    pub accepted: u64,
    /// Messages refused for good.
    pub refused: u64,
    /// Times that the controllers asked to come back later.
    pub delayed: u64,
    /// Requests to the controllers without an answer.
    pub unanswered: u64,
    /// Polls.
    pub polls: u64,
    /// Answers given, dead letters included.
    pub answered: u64,
    /// Answers that may have been given before.
    pub repeated: u64,
    /// Transactions with the broker.
    pub commits: u64,
    /// Seals of connections that are gone, settled by their receipts.
    pub settled: u64,
}
