//! Calls that wait for a response, and the routing of the state store's responses to the components that sent the
//! requests.

use super::events::{CallId, Effect};
use super::{Controller, api, autoscaler, commit};
use crate::protocol::state::{CallError, StateRequest, StateResponse, TransactionSize};
use crate::storage::catalog::Catalog;
use crate::storage::ids::{JobId, MachineId, ShardId};
use crate::storage::records::{FleetRecord, ProvisionRecord};
use crate::time::Micros;

/// How long the state store may take to respond, in addition to the wait time that a watch specifies.
const STATE_TIMEOUT: Micros = Micros::millis(1_500);

/// Why a request was sent: decides which component handles its response.
#[derive(Debug)]
pub(super) enum Purpose {
    /// A long poll for changes of the cell's records.
    Watch,
    /// A read that must begin after some request arrived.
    Barrier,
    /// A page of a full read; `first` is the revision of the first page.
    Page {
        first: Option<u64>,
    },
    LeaseGrant,
    LeaseKeepAlive,
    /// A write of this controller's own record.
    Node,
    /// A write of the cell's metadata record: shards, teams and the record format.
    Meta,
    /// A claim of the leadership of these shards.
    ShardClaim(Vec<ShardId>),
    /// A transaction of submissions.
    Submit(Vec<api::PendingRequest>),
    /// A cancellation.
    Cancel(api::PendingRequest),
    /// A read of how a job ended, for a user.
    FinalLookup(api::PendingRequest, JobId),
    /// A read of how a dependency ended.
    DependencyLookup(JobId),
    /// A commit round.
    Round(Box<commit::InFlightRound>),
    /// A write of the machine types, in these parts.
    Catalog(Vec<Catalog>),
    /// A write of a rule set.
    Rules,
    /// A write of the fleet record, with the provision requests that it adds.
    Fleet(Box<(FleetRecord, Vec<ProvisionRecord>)>),
    Cloud(autoscaler::CloudPurpose),
    /// A command pushed to the agent of this machine.
    PushCommand(MachineId),
    /// A check whether an agent can be reached at all.
    Probe,
}

/// A call that waits for its response.
pub(super) struct Call {
    pub(super) purpose: Purpose,
    sent: Micros,
    /// Set for transactions. If one is refused, its size can show that the state store's announced lower limits are in
    /// force.
    size: Option<TransactionSize>,
}

impl Controller {
    /// Registers a call and returns its id.
    pub(super) fn register_call(&mut self, purpose: Purpose) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let call = Call {
            purpose,
            sent: self.now.monotonic,
            size: None,
        };
        self.calls.insert(id, call);
        id
    }

    /// Sends a request to the state store. The caller has charged it to the rate budget.
    pub(super) fn send_state_request(&mut self, purpose: Purpose, request: StateRequest) -> CallId {
        let timeout = match &request {
            StateRequest::Changes { wait, .. } => *wait + STATE_TIMEOUT,
            _ => STATE_TIMEOUT,
        };
        let id = self.register_call(purpose);
        if let (StateRequest::Transaction(txn), Some(call)) = (&request, self.calls.get_mut(&id)) {
            call.size = Some(txn.size());
        }
        self.effects.push(Effect::State(id, request, timeout));
        id
    }

    /// Handles the state store's response to a call.
    pub(super) fn on_state(&mut self, id: CallId, result: Result<StateResponse, CallError>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match &result {
            Err(CallError::RateLimited) => self.on_state_rate_limited(),
            Err(CallError::Rejected) => self.on_state_rejected(&call),
            _ => {}
        }
        self.route_state_reply(id, call, result);
    }

    /// Passes a response on to the component that sent the request.
    fn route_state_reply(
        &mut self,
        id: CallId,
        call: Call,
        result: Result<StateResponse, CallError>,
    ) {
        match call.purpose {
            Purpose::Watch => self.on_watch_answered(id, call.sent, result),
            Purpose::Barrier => self.on_barrier_answered(id, call.sent, result),
            Purpose::Page { first } => self.on_page(first, result),
            Purpose::LeaseGrant => self.on_lease_grant_answered(result),
            Purpose::LeaseKeepAlive => self.on_lease_keep_alive_answered(call.sent, result),
            Purpose::Node => self.on_node_record_written(result),
            Purpose::Meta => self.replica.request_barrier(),
            Purpose::ShardClaim(shards) => self.on_shard_claim_answered(&shards, result),
            Purpose::Submit(batch) => self.on_submissions_result(batch, result),
            Purpose::Cancel(request) => self.on_cancellation_result(request, result),
            Purpose::FinalLookup(request, job) => self.on_final_lookup(request, job, result),
            Purpose::DependencyLookup(job) => self.on_dependency_lookup(job, result),
            Purpose::Round(round) => self.on_round_result(*round, result),
            Purpose::Rules => self.on_rules_written(),
            Purpose::Catalog(parts) => self.on_types_written(parts, result),
            Purpose::Fleet(record) => self.on_fleet_written(*record, result),
            Purpose::Cloud(_) | Purpose::PushCommand(_) | Purpose::Probe => {}
        }
    }

    /// The state store refused a request because of its rate.
    fn on_state_rate_limited(&mut self) {
        self.counters.refused += 1;
        self.budget.on_refused(self.now.monotonic);
        if self.limits.on_throttled(self.now.monotonic) {
            self.on_limits_lowered("rate refused");
        }
    }

    /// The state store refused a request as invalid. If it was a transaction, the store's limits may be lower than
    /// expected.
    fn on_state_rejected(&mut self, call: &Call) {
        let size = call.size.unwrap_or_default();
        if self.limits.on_refused(&size) {
            self.on_limits_lowered("transaction refused");
        } else {
            let TransactionSize {
                changes,
                conditions,
                largest_value_bytes: largest_value,
            } = size;
            tracing::info!(purpose = ?call.purpose, changes, conditions, largest_value, "state request refused as invalid");
        }
    }

    /// The state store's announced lower limits are in force: adapts the write rate and plans again.
    fn on_limits_lowered(&mut self, reason: &'static str) {
        let rate = self.limits.writes_per_second();
        tracing::info!(
            reason,
            changes = self.limits.max_changes(),
            conditions = self.limits.max_conditions(),
            bytes = self.limits.stored_value_bytes(),
            rate,
            "state store limits lowered"
        );
        self.budget
            .set_write_rate(rate / self.settings.controller_count() as f64);
        self.rounds.request();
    }
}
