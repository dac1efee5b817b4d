//! Claims of shard leadership: when they are considered, which shards are claimed and why, and the transactions.

use super::shard_distribution::ShardDistribution;
use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{
    CallError, KeyChange, StateRequest, StateResponse, Transaction, encode,
};
use crate::storage::ids::ShardId;
use crate::storage::records::Key;
use crate::time::Micros;

/// Time until the next check unless something requires an earlier one.
const CHECK_INTERVAL: Micros = Micros::millis(1_000);

/// Time until the next check while other controllers are starting.
const STARTUP_CHECK_INTERVAL: Micros = Micros::millis(100);

/// Time from the response to a claim until the next check.
const CHECK_DELAY_AFTER_CLAIM: Micros = Micros::millis(200);

/// Maximum wait for the other controllers if no shard has ever had a leader.
const FIRST_START_WAIT: Micros = Micros::secs(2);

/// For this time after its replica is first ready, a controller claims no more than its even share while other
/// controllers are missing.
const EVEN_SHARE_PERIOD: Micros = Micros::millis(400);

/// For this time after its replica is first ready, a controller claims no shards from live leaders.
const REBALANCE_DELAY: Micros = Micros::secs(2);

/// Minimum time between two claims of shards that have live leaders.
const REBALANCE_INTERVAL: Micros = Micros::millis(2_500);

/// A live leader's shard is claimed only if the leader has at least this many shards more than the claiming controller.
const MIN_REBALANCE_DIFFERENCE: usize = 2;

/// An assignment must be unsettled for longer than this before a new term is claimed to settle it.
const NEW_TERM_DELAY: Micros = Micros::secs(3);

/// When claims are considered, and the state that the decision depends on.
#[derive(Debug, Default)]
pub(super) struct ShardClaimSchedule {
    claim_in_flight: bool,
    next_check: Micros,
    next_rebalance: Micros,
    /// When the replica was first complete and consistent.
    replica_ready_since: Option<Micros>,
    /// Shards led by this process that need a new term.
    new_terms: Vec<ShardId>,
}

impl ShardClaimSchedule {
    pub(super) fn schedule(&mut self, at: Micros) {
        self.next_check = at;
    }

    pub(super) fn on_replica_ready(&mut self, now: Micros) {
        self.replica_ready_since.get_or_insert(now);
    }

    pub(super) fn request_new_term(
        &mut self,
        shard: ShardId,
        unsettled_since: Micros,
        now: Micros,
    ) {
        let overdue = now.since(unsettled_since) > NEW_TERM_DELAY;
        if overdue && !self.new_terms.contains(&shard) {
            self.new_terms.push(shard);
        }
    }

    fn is_due(&self, now: Micros) -> bool {
        now >= self.next_check && !self.claim_in_flight
    }

    /// Time since the replica was first ready.
    fn time_since_replica_ready(&self, now: Micros) -> Micros {
        now.since(self.replica_ready_since.unwrap_or(now))
    }
}

/// Shards to claim in one transaction.
#[derive(Debug)]
struct ShardClaim {
    shards: Vec<ShardId>,
    reason: ShardClaimReason,
}

/// Why shards are claimed.
#[derive(Clone, Copy, Debug)]
enum ShardClaimReason {
    /// Some assignments have no response from the agent and can be settled only under a new term.
    UnsettledAssignments,
    /// The leader record names this process, but its leadership was interrupted.
    InterruptedTerm,
    /// No live leader. All controllers are starting, and each claims its even share.
    EvenShare,
    /// No live leader.
    NoLiveLeader,
    /// Another controller leads more shards.
    Rebalance,
}

impl ShardClaimReason {
    fn as_str(self) -> &'static str {
        match self {
            ShardClaimReason::UnsettledAssignments => "unsettled assignments",
            ShardClaimReason::InterruptedTerm => "interrupted term",
            ShardClaimReason::EvenShare => "no live leader, even share",
            ShardClaimReason::NoLiveLeader => "no live leader",
            ShardClaimReason::Rebalance => "rebalance",
        }
    }
}

impl Controller {
    /// Claims shards if a check is due.
    pub(super) fn drive_shard_claims(&mut self) {
        let now = self.now.monotonic;
        if self.leadership.claims.is_due(now) {
            self.check_shard_claims();
        }
        // While a claim is in flight, the check may be overdue: the response to the claim wakes the controller.
        let next_check = self.leadership.claims.next_check;
        self.wake_at(next_check.max(now + Micros::millis(1)));
    }

    fn check_shard_claims(&mut self) {
        let now = self.now.monotonic;
        self.leadership.claims.schedule(now + CHECK_INTERVAL);
        if self.stall.is_recovering() || !self.is_registered() || self.connectivity.is_withdrawn() {
            return;
        }
        if self.is_first_start() {
            let next_check = now + STARTUP_CHECK_INTERVAL;
            self.leadership.claims.schedule(next_check);
            return;
        }
        let Some(mut claim) = self.shards_to_claim() else {
            return;
        };
        self.schedule_after(claim.reason);
        claim.shards.truncate(self.limits.max_changes());
        if !claim.shards.is_empty() {
            self.send_shard_claim(claim);
        }
    }

    /// Whether no shard has ever had a leader and the other controllers are expected to register soon.
    fn is_first_start(&self) -> bool {
        let none_led = self
            .cell
            .leaders
            .iter()
            .all(|leader| leader.value.is_none());
        none_led
            && self.cell.nodes.len() < self.settings.controller_count()
            && self
                .leadership
                .claims
                .time_since_replica_ready(self.now.monotonic)
                < FIRST_START_WAIT
    }

    fn schedule_after(&mut self, reason: ShardClaimReason) {
        let now = self.now.monotonic;
        let claims = &mut self.leadership.claims;
        match reason {
            ShardClaimReason::EvenShare => claims.next_check = now + STARTUP_CHECK_INTERVAL,
            ShardClaimReason::Rebalance => claims.next_rebalance = now + REBALANCE_INTERVAL,
            _ => {}
        }
    }

    /// Sends the claim. It is conditional on the node's own record, so the claim fails if that record was removed because
    /// the node's lease expired.
    fn send_shard_claim(&mut self, claim: ShardClaim) {
        let node = self.node_key();
        let leader_record = self.leader_record();
        let mut transaction = Transaction {
            conditions: vec![(node.clone(), self.cell.mod_revision(&node))],
            changes: Vec::new(),
        };
        for shard in &claim.shards {
            let key = Key::ShardLeader(*shard);
            let revision = self.cell.leaders[*shard].mod_revision;
            transaction.conditions.push((key.clone(), revision));
            transaction.changes.push(KeyChange {
                key,
                value: encode(&leader_record),
                lease_id: None,
            });
        }
        let shards = claim.shards;
        tracing::info!(?shards, reason = claim.reason.as_str(), "claiming shards");
        self.leadership.claims.claim_in_flight = true;
        self.budget.charge(self.now.monotonic, shards.len());
        self.send_state_request(
            Purpose::ShardClaim(shards),
            StateRequest::Transaction(transaction),
        );
    }

    pub(in crate::coordination) fn on_shard_claim_answered(
        &mut self,
        shards: &[ShardId],
        result: Result<StateResponse, CallError>,
    ) {
        let claims = &mut self.leadership.claims;
        claims.claim_in_flight = false;
        claims.schedule(self.now.monotonic + CHECK_DELAY_AFTER_CLAIM);
        // The replica learns of the claim by a read, so that it also contains all changes before the claim.
        self.replica.request_barrier();
        if !matches!(result, Ok(StateResponse::Applied(_))) {
            tracing::info!(?shards, ?result, "shard claim failed");
        }
    }

    /// Shards that this process should claim now, for the first reason that applies.
    fn shards_to_claim(&mut self) -> Option<ShardClaim> {
        if let Some(claim) = self.claim_for_new_terms() {
            return Some(claim);
        }
        self.update_unstable_controllers();
        let mut distribution = ShardDistribution::of(&self.cell, |controller| {
            !self.leadership.unstable_controllers.contains(controller)
        });
        if let Some(claim) = self.claim_for_interrupted_terms(&distribution) {
            return Some(claim);
        }
        if self.are_others_starting() {
            return self.claim_even_share(distribution);
        }
        self.claim_shards_without_leader(&mut distribution)
            .or_else(|| self.claim_for_rebalance(&distribution))
    }

    fn claim_for_new_terms(&mut self) -> Option<ShardClaim> {
        let mut shards = std::mem::take(&mut self.leadership.claims.new_terms);
        shards.retain(|shard| self.leads(*shard));
        (!shards.is_empty()).then_some(ShardClaim {
            shards,
            reason: ShardClaimReason::UnsettledAssignments,
        })
    }

    /// Claims the shards whose leader record names this process although it does not lead them, if a claim would begin a
    /// term now.
    fn claim_for_interrupted_terms(&self, distribution: &ShardDistribution) -> Option<ShardClaim> {
        let terms = &self.leadership.terms;
        let interrupted = |shard: &ShardId| {
            !self.leads(*shard) && self.cell.revision >= terms.ignored_up_to(*shard)
        };
        let shards: Vec<ShardId> = distribution
            .led_by(&self.settings.node)
            .filter(interrupted)
            .collect();
        (!shards.is_empty()).then_some(ShardClaim {
            shards,
            reason: ShardClaimReason::InterruptedTerm,
        })
    }

    /// Whether this process has just started and other controllers are missing.
    fn are_others_starting(&self) -> bool {
        self.leadership
            .claims
            .time_since_replica_ready(self.now.monotonic)
            < EVEN_SHARE_PERIOD
            && self.cell.nodes.len() < self.settings.controller_count()
    }

    /// Claims this controller's even share of the shards without a live leader. When all controllers start at once, the
    /// others are about to claim their shares too. If the first one claimed all shards, it would have to respond to every
    /// agent at first and would then hand shards over again.
    fn claim_even_share(&self, distribution: ShardDistribution) -> Option<ShardClaim> {
        let node = &self.settings.node;
        if !distribution.may_claim(node) {
            return None;
        }
        let others = self.settings.peers.iter();
        let position = others.filter(|other| other.node < *node).count();
        let mut shards = distribution.without_leader;
        shards.retain(|shard| shard % self.settings.controller_count() == position);
        Some(ShardClaim {
            shards,
            reason: ShardClaimReason::EvenShare,
        })
    }

    /// Claims the shards without a live leader that an even distribution assigns to this controller.
    fn claim_shards_without_leader(
        &self,
        distribution: &mut ShardDistribution,
    ) -> Option<ShardClaim> {
        let mut shards = Vec::new();
        for shard in std::mem::take(&mut distribution.without_leader) {
            let Some(controller) = distribution.add_to_least_loaded() else {
                break;
            };
            if controller == self.settings.node {
                shards.push(shard);
            }
        }
        (!shards.is_empty()).then_some(ShardClaim {
            shards,
            reason: ShardClaimReason::NoLiveLeader,
        })
    }

    /// Claims a shard of the controller with the most shards if this controller has the fewest. Only one controller claims
    /// at a time, and only one shard: otherwise several controllers would claim the same shard, and a controller that
    /// leads some shards would get more before another one has any.
    fn claim_for_rebalance(&self, distribution: &ShardDistribution) -> Option<ShardClaim> {
        let now = self.now.monotonic;
        let claims = &self.leadership.claims;
        let most = distribution.most_loaded()?;
        let fewest = distribution.least_loaded()?;
        if fewest.controller != self.settings.node
            || most.shards < fewest.shards + MIN_REBALANCE_DIFFERENCE
            || now < claims.next_rebalance
            || claims.time_since_replica_ready(now) <= REBALANCE_DELAY
        {
            return None;
        }
        // The last shard is claimed first: the leader of shard 0 runs the autoscaler, whose state would be lost.
        let shard = (0..self.cell.shards()).rev().find(|shard| {
            let leader = self.cell.leaders[*shard].value.as_ref();
            leader.is_some_and(|leader| leader.node == most.controller)
        })?;
        Some(ShardClaim {
            shards: vec![shard],
            reason: ShardClaimReason::Rebalance,
        })
    }
}
