//! Counters of the state machine. The metrics have names of their own, see `runtime::metrics`.

/// Counters since the start of the process; they never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Deliveries.
    pub received: u64,
    /// Deliveries that the broker marks as repeated.
    pub redelivered: u64,
    /// Deliveries of messages that were pending or answered already.
    pub duplicate_deliveries: u64,
    /// Jobs that the controllers accepted, cancellations included.
    pub accepted: u64,
    /// Messages refused permanently.
    pub refused: u64,
    /// Responses of overloaded controllers.
    pub overload_responses: u64,
    /// Requests to the controllers without a usable response.
    pub lost_responses: u64,
    /// Status queries.
    pub status_queries: u64,
    /// Final answers and dead letters.
    pub answered: u64,
    /// Final answers that may be duplicates.
    pub possible_duplicates: u64,
    /// Transactions with the broker.
    pub commits: u64,
    /// Claims of dead consumers that were taken over.
    pub claims_taken_over: u64,
}
