//! Rounds: what is proven and what is planned is committed in one transaction at a time, conditional
//! on the revisions of the records that it changes.

mod assignment;
pub(super) mod budget;
mod candidates;
mod compaction_round;
mod fair_shares;
mod job_order;
pub(super) mod limits;
mod ordering;
mod partial_sets;
mod pending;
mod placement_requests;
mod preemption;
mod price;
mod result;
mod round;
mod set_reservation;
mod starvation;
mod suspicion;
pub(super) mod transaction;
mod urgent_round;
mod waiting_sets;

pub use pending::Rounds;

use crate::coordination::commit::transaction::{PlannedTransaction, TransactionLimits};
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::StateRequest;
use crate::scheduler::placement::Claim;
use crate::storage::cell_state::Change;
use crate::storage::ids::{Attempt, JobId, TaskId};
use crate::storage::job::FinalRecord;
use crate::time::Micros;
use pending::BarrierRead;

/// An assignment of a round.
#[derive(Clone, Copy, Debug)]
struct PlannedAssignment {
    claim: Claim,
    /// Number of the task's attempt.
    attempt_number: u64,
}

impl PlannedAssignment {
    fn attempt(&self) -> Attempt {
        Attempt {
            task: TaskId {
                job: self.claim.job,
                index: self.claim.index,
            },
            number: self.attempt_number,
        }
    }
}

/// What a round may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundScope {
    All,
    /// Only work that must start at once.
    UrgentOnly,
}

/// A round that was sent to the state store.
#[derive(Debug)]
pub struct InFlight {
    changes: Vec<Change>,
    ended: Vec<(JobId, FinalRecord)>,
    assigned: Vec<PlannedAssignment>,
    /// How many assignments it releases.
    released: usize,
}

/// A round that is ready to be sent.
struct PlannedRound {
    commit: PlannedTransaction,
    assigned: Vec<PlannedAssignment>,
    /// How many assignments it releases.
    released: usize,
}

impl Controller {
    /// How long small rounds are gathered while a peer has more to write than its share.
    const BATCH_WINDOW: Micros = Micros::millis(800);

    /// Most claims of one round.
    const MAX_CLAIMS: usize = 256;

    /// Most machines on which one round preempts tasks.
    const MAX_PREEMPTIONS: usize = 4;

    /// Conditions of a transaction for each change that it may have.
    const CONDITIONS_PER_CHANGE: usize = 4;

    /// Changes that the end of a job takes besides those of the release that causes it.
    const JOB_END_CHANGES: usize = 2;

    /// Plans and sends the next round if it is due.
    pub(super) fn drive_rounds(&mut self) {
        if !self.is_round_due() {
            return;
        }
        self.refresh_unschedulable_jobs();
        let Some(scope) = self.admit_round() else {
            return;
        };
        if !self.read_before_round() {
            return;
        }
        let limits = self.transaction_limits();
        let round_interval = Micros::millis(self.operator_settings.round_ms);
        self.rounds.delay_until(self.now.steady + round_interval);
        match self.plan_round(limits, scope) {
            Some(planned) => self.send_round(planned, limits),
            None => self.rounds.on_nothing_planned(scope),
        }
    }

    fn is_round_due(&mut self) -> bool {
        let now = self.now.steady;
        if !self.rounds.is_due() || !self.replica.is_ready() {
            return false;
        }
        if now < self.rounds.not_before() {
            self.wake_at(self.rounds.not_before());
            return false;
        }
        if self.cell.types.value.is_none() || self.cell.shards() == 0 {
            return false;
        }
        let batch_end = self.rounds.last_sent_at() + Self::BATCH_WINDOW;
        if now < batch_end && self.should_batch() {
            self.wake_at(batch_end);
            return false;
        }
        true
    }

    /// What the budget admits; nothing before it is asked again. A large round of work that has time
    /// must not hold up what must start at once: that may overdraw.
    fn admit_round(&mut self) -> Option<RoundScope> {
        let now = self.now.steady;
        let Err(retry_at) = self.budget.admit_round(now) else {
            return Some(RoundScope::All);
        };
        if !self.rounds.last_was_urgent()
            && self.budget.admit_urgent_round(now).is_ok()
            && self.has_urgent_work()
        {
            return Some(RoundScope::UrgentOnly);
        }
        self.wake_at(retry_at);
        None
    }

    fn transaction_limits(&self) -> TransactionLimits {
        let changes = self.limits.max_changes();
        TransactionLimits {
            changes,
            conditions: changes * Self::CONDITIONS_PER_CHANGE,
            value_bytes: self.limits.value_bytes(),
            stored_value_bytes: self.limits.stored_value_bytes(),
            oversized_may_grow: !self.cell.uses_compact_encoding(),
            group_bytes: self.part_bytes(),
        }
    }

    fn send_round(&mut self, planned: PlannedRound, limits: TransactionLimits) {
        let PlannedRound {
            commit,
            assigned,
            released,
        } = planned;
        let now = self.now.steady;
        let changes = commit.txn.changes.len();
        self.budget.charge(now, changes);
        // A job's end has no room where fewer changes are left, so a full round may be a little short.
        let unusable_changes = (limits.changes / 6).min(Self::JOB_END_CHANGES);
        let full = changes + unusable_changes >= limits.changes;
        self.rounds.on_sent(now, full);
        let in_flight = InFlight {
            changes: commit.changes,
            ended: commit.ended,
            assigned,
            released,
        };
        self.ask_state(
            Purpose::Round(Box::new(in_flight)),
            StateRequest::Transaction(commit.txn),
        );
    }

    /// Whether the replica is fresh enough for a round, or a read has made it so. The watch pauses
    /// after each answer; a plan on what others have changed in that time would only conflict.
    fn read_before_round(&mut self) -> bool {
        const READ_TIMEOUT: Micros = Micros::millis(100);
        let now = self.now.steady;
        if let Some(read) = self.rounds.barrier_read() {
            let timeout_at = read.requested_at + READ_TIMEOUT;
            if !self.replica.has_read_since(read.after_call) && now < timeout_at {
                self.wake_at(timeout_at);
                return false;
            }
            self.rounds.set_barrier_read(None);
            return true;
        }
        if self.replica.is_fresh(now)
            || self.settings.others.is_empty()
            || !self.budget.has_requests(now)
        {
            return true;
        }
        self.rounds.set_barrier_read(Some(BarrierRead {
            after_call: self.next_call - 1,
            requested_at: now,
        }));
        self.replica.request_barrier();
        self.wake_at(now + READ_TIMEOUT);
        false
    }

    /// Whether small rounds should be gathered into larger ones: a peer has more to write than its
    /// share of the rate, this controller has not, and nothing here must start at once.
    fn should_batch(&self) -> bool {
        const HINT_VALID_FOR: Micros = Micros::secs(3);
        let now = self.now.steady;
        let is_recent = |received: Micros| now.since(received) < HINT_VALID_FOR;
        !self.rounds.is_saturated(now)
            && self
                .peers
                .values()
                .any(|(received, hint)| hint.saturated && is_recent(*received))
            && !self.has_urgent_work()
    }
}
