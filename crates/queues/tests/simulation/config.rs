//! What happens at random in a simulated day.

use cometlead_queues::time::{Micros, SECOND};

#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub messages: u64,
    pub processes: usize,
    /// Connections that break.
    pub drops: u64,
    /// Processes that are killed.
    pub kills: u64,
    /// Processes that hang for a while.
    pub hangs: u64,
    /// Messages that the broker duplicates.
    pub duplicates: u64,
    /// Restarts of the broker.
    pub restarts: u64,
    /// Restarts lose messages that were delivered and not acknowledged.
    pub restarts_lose_unacked: bool,
    /// Controllers and state service are out for a while, and writes to the log may be carried out late.
    pub outages: bool,
    /// Probability that a connection breaks during a commit.
    pub drop_at_commit: f64,
    /// Processes that are shut down in an orderly way and started again.
    pub shutdowns: u64,
    /// Receipt queues that the broker loses.
    pub lost_receipt_queues: u64,
    /// Largest value at the state service.
    pub max_value_bytes: usize,
    /// When the day ends.
    pub end: Micros,
}

impl Default for SimulationConfig {
    /// A day on which nothing happens.
    fn default() -> SimulationConfig {
        SimulationConfig {
            messages: 0,
            processes: 2,
            drops: 0,
            kills: 0,
            hangs: 0,
            duplicates: 0,
            restarts: 0,
            restarts_lose_unacked: false,
            outages: false,
            drop_at_commit: 0.0,
            shutdowns: 0,
            lost_receipt_queues: 0,
            max_value_bytes: 2_048,
            end: 400 * SECOND,
        }
    }
}
