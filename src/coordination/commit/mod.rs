//! Commit rounds: what is proven (such as ends of tasks and the health of machines) and what is planned
//! is committed by one transaction at a time, conditional on the revisions of the records that it
//! changes.

mod assignment;
pub(super) mod budget;
mod candidates;
mod compaction_round;
mod fair_shares;
mod full_groups;
mod gang_reservation;
mod job_order;
mod latest_start;
pub(super) mod limits;
mod partial_gangs;
mod pending;
mod placement_requests;
mod preemption;
mod price;
mod result;
mod round;
mod starvation;
mod suspect_jobs;
pub(super) mod transaction;
mod urgent_round;
mod waiting_gangs;

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

/// What a round may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundScope {
    All,
    /// Only work that must start at once.
    UrgentOnly,
}

/// A round that was sent to the state store.
#[derive(Debug)]
pub struct InFlightRound {
    changes: Vec<Change>,
    ended: Vec<(JobId, FinalRecord)>,
    assigned: Vec<PlannedAssignment>,
    /// How many assignments it releases.
    released: usize,
}

/// A round that is ready to be sent.
struct PlannedRound {
    transaction: PlannedTransaction,
    assigned: Vec<PlannedAssignment>,
    /// How many assignments it releases.
    released: usize,
}

impl Controller {
    /// How long changes are batched into one round while a peer has more to write than its share.
    const BATCH_WINDOW: Micros = Micros::millis(800);

    /// Most claims of one round.
    const MAX_CLAIMS_PER_ROUND: usize = 256;

    /// Most machines on which one round preempts tasks.
    const MAX_PREEMPTION_MACHINES_PER_ROUND: usize = 4;

    /// Changes that the end of a job takes in addition to those of the release that causes it.
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
        if !self.ensure_fresh_replica() {
            return;
        }
        let limits = self.transaction_limits();
        let round_interval = Micros::millis(self.operator_settings.round_ms);
        self.rounds.delay_until(self.now.monotonic + round_interval);
        match self.plan_round(limits, scope) {
            Some(planned) => self.send_round(planned, limits),
            None => self.rounds.on_nothing_planned(scope),
        }
    }

    fn is_round_due(&mut self) -> bool {
        let now = self.now.monotonic;
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

    /// The scope of the round that the budget admits now; none if the round has to wait. An urgent-only
    /// round may overdraw the budget, since work that must start at once must not wait until the budget
    /// has recovered from a large round of less urgent work.
    fn admit_round(&mut self) -> Option<RoundScope> {
        let now = self.now.monotonic;
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

    pub(super) fn transaction_limits(&self) -> TransactionLimits {
        TransactionLimits {
            changes: self.limits.max_changes(),
            conditions: self.limits.max_conditions(),
            value_bytes: self.limits.value_bytes(),
            stored_value_bytes: self.limits.stored_value_bytes(),
            oversized_may_grow: !self.cell.uses_compact_encoding(),
            group_bytes: self.target_group_bytes(),
        }
    }

    fn send_round(&mut self, planned: PlannedRound, limits: TransactionLimits) {
        let PlannedRound {
            transaction,
            assigned,
            released,
        } = planned;
        let now = self.now.monotonic;
        let changes = transaction.txn.changes.len();
        self.budget.charge(now, changes);
        // The end of a job does not fit if fewer changes than it takes are left, so a round counts as
        // full even if it leaves these changes unused.
        let unusable_changes = (limits.changes / 6).min(Self::JOB_END_CHANGES);
        let full = changes + unusable_changes >= limits.changes;
        self.rounds.on_sent(now, full);
        let in_flight = InFlightRound {
            changes: transaction.changes,
            ended: transaction.ended,
            assigned,
            released,
        };
        self.send_state_request(
            Purpose::Round(Box::new(in_flight)),
            StateRequest::Transaction(transaction.txn),
        );
    }

    /// Makes sure that the replica is fresh enough for a round; false while a read for that is under
    /// way. The watch pauses after each response, and a plan on records that other controllers have
    /// changed during the pause would only conflict.
    fn ensure_fresh_replica(&mut self) -> bool {
        const READ_TIMEOUT: Micros = Micros::millis(100);
        let now = self.now.monotonic;
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
            || self.settings.peers.is_empty()
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

    /// Whether changes should be batched into larger rounds: a peer has more to write than its share of
    /// the rate, this controller has not, and no work of this controller must start at once.
    fn should_batch(&self) -> bool {
        const HINT_VALID_FOR: Micros = Micros::secs(3);
        let now = self.now.monotonic;
        let is_recent = |received: Micros| now.since(received) < HINT_VALID_FOR;
        !self.rounds.is_saturated(now)
            && self
                .peers
                .values()
                .any(|(received, hint)| hint.saturated && is_recent(*received))
            && !self.has_urgent_work()
    }
}
