//! Counters of what a controller does, logged at a fixed interval.

use super::Controller;
use crate::time::Micros;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Committed rounds.
    pub commits: u64,
    /// Rounds that failed because a record had changed since it was read.
    pub conflicts: u64,
    /// Rounds whose outcome is unknown because no response arrived.
    pub unknown_outcomes: u64,
    /// Claims that were dropped because of a conflict and planned again.
    pub dropped_claims: u64,
    /// Claims committed as assignments.
    pub assigned: u64,
    /// Assignments released.
    pub released: u64,
    /// Requests that the state store refused because of their rate.
    pub refused: u64,
    /// Shards whose leadership was acquired.
    pub failovers: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Pushed commands that agents refused because of their fencing token or incarnation.
    pub pushes_refused: u64,
    /// Agent incarnations declared over because their lease expired.
    pub expired_agents: u64,
    /// Machines selected for scale-in because they had no work.
    pub idle_machines_scaled_in: u64,
    /// Machines marked unreachable together with their zones.
    pub unreachable_with_zones: u64,
    /// Assignments of jobs with preferences, and the number of those whose machine meets the preference with the largest
    /// weight.
    pub preferences: (u64, u64),
    /// Changes of records in committed rounds.
    pub changes: ChangeCounters,
}

/// Committed changes by kind of record.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeCounters {
    /// Machine groups.
    pub groups: u64,
    /// Usage records of teams.
    pub usage: u64,
    /// Job records, and further chunks of their completion bitmaps.
    pub jobs: u64,
    /// Final records of ended jobs.
    pub ends: u64,
}

impl Controller {
    /// Time between two lines of counters in the log.
    const COUNTER_INTERVAL: Micros = Micros::secs(30);

    /// Logs the counters when they are due.
    pub(super) fn tick_counters(&mut self) {
        if self.now.monotonic < self.next_counter_log {
            return;
        }
        self.next_counter_log = self.now.monotonic + Self::COUNTER_INTERVAL;
        self.log_counters();
        self.log_throughput();
    }

    fn log_counters(&self) {
        let counters = self.counters;
        let queries = self.users.query_counts();
        tracing::info!(
            commits = counters.commits,
            clashes = counters.conflicts,
            unknown = counters.unknown_outcomes,
            dropped = counters.dropped_claims,
            assigned = counters.assigned,
            released = counters.released,
            refused = counters.refused,
            stalls = counters.stalls,
            pushes_refused = counters.pushes_refused,
            silenced = counters.expired_agents,
            unneeded = counters.idle_machines_scaled_in,
            lost_with_zones = counters.unreachable_with_zones,
            groups = counters.changes.groups,
            usage = counters.changes.usage,
            jobs = counters.changes.jobs,
            ends = counters.changes.ends,
            preferences = counters.preferences.0,
            preferences_met = counters.preferences.1,
            waiting = self.rounds.pending_releases(),
            polls = queries.answered,
            polls_delayed = queries.delayed,
            polls_refused = queries.refused,
            "counters"
        );
    }
}
