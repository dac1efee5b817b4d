//! Configuration of a simulation: its size, and the random faults that are injected.

use cometlead_queues::time::{Micros, SECOND};

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub messages: u64,
    pub processes: usize,
    /// Number of connections that drop.
    pub connection_drops: u64,
    /// Number of times that a process is killed.
    pub process_kills: u64,
    /// Number of times that a process hangs for a while.
    pub process_hangs: u64,
    /// Number of times that the broker duplicates a message.
    pub duplicate_messages: u64,
    /// Number of restarts of the broker.
    pub broker_restarts: u64,
    /// Whether restarts lose messages that were delivered and not acknowledged.
    pub restarts_lose_unacked: bool,
    /// Whether controllers and state service are unavailable for a while, and writes to the log may be executed late.
    pub has_faulty_services: bool,
    /// Probability that a connection drops during a commit.
    pub drop_probability_at_commit: f64,
    /// Number of times that a process is shut down gracefully and started again.
    pub process_shutdowns: u64,
    /// Number of receipt queues that the broker loses.
    pub lost_receipt_queues: u64,
    /// Maximum size of a value at the state service.
    pub max_value_bytes: usize,
    /// When the simulation ends.
    pub end: Micros,
}

impl Default for SimulationConfig {
    /// No messages and no faults.
    fn default() -> SimulationConfig {
        SimulationConfig {
            messages: 0,
            processes: 2,
            connection_drops: 0,
            process_kills: 0,
            process_hangs: 0,
            duplicate_messages: 0,
            broker_restarts: 0,
            restarts_lose_unacked: false,
            has_faulty_services: false,
            drop_probability_at_commit: 0.0,
            process_shutdowns: 0,
            lost_receipt_queues: 0,
            max_value_bytes: 2_048,
            end: 400 * SECOND,
        }
    }
}
