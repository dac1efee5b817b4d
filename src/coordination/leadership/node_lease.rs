//! The lease in the state store that the node's own record is attached to.

use crate::coordination::{Controller, Purpose};
use crate::protocol::state::{CallError, StateRequest, StateResponse};
use crate::time::Micros;

/// Delay after a failed lease request.
const RETRY_DELAY: Micros = Micros::millis(300);

/// How often a lease is renewed within its time to live.
const RENEWALS_PER_LIFETIME: u64 = 3;

/// The node's lease: its id once granted, and when the next request for it is due.
#[derive(Debug, Default)]
pub(super) struct NodeLease {
    id: Option<u64>,
    request_in_flight: bool,
    next_request: Micros,
}

impl NodeLease {
    /// The lease's id; `None` if no lease is granted or the lease is known to have expired.
    pub(super) fn id(&self) -> Option<u64> {
        self.id
    }

    /// The lease has expired in the state store: a new one is requested at once.
    pub(super) fn on_expired(&mut self, now: Micros) {
        self.id = None;
        self.next_request = now;
    }

    fn on_granted(&mut self, id: u64, next_renewal: Micros) {
        self.id = Some(id);
        self.next_request = next_renewal;
    }
}

impl Controller {
    fn lease_time_to_live(&self) -> Micros {
        Micros::millis(self.operator_settings.node_lease_ms)
    }

    fn lease_renewal_interval(&self) -> Micros {
        Micros(self.lease_time_to_live().0 / RENEWALS_PER_LIFETIME)
    }

    /// Requests or renews the lease if that is due.
    pub(super) fn drive_node_lease(&mut self) {
        let now = self.now.monotonic;
        let lease = &mut self.leadership.lease;
        if lease.request_in_flight {
            return;
        }
        if now < lease.next_request {
            let due = lease.next_request;
            self.wake_at(due);
            return;
        }
        lease.request_in_flight = true;
        let id = lease.id;
        self.budget.charge(now, 0);
        match id {
            None => {
                let time_to_live = self.lease_time_to_live();
                self.send_state_request(
                    Purpose::LeaseGrant,
                    StateRequest::LeaseGrant(time_to_live),
                );
            }
            Some(id) => {
                self.send_state_request(Purpose::LeaseKeepAlive, StateRequest::LeaseKeepAlive(id));
            }
        }
    }

    pub(in crate::coordination) fn on_lease_grant_answered(
        &mut self,
        result: Result<StateResponse, CallError>,
    ) {
        let now = self.now.monotonic;
        let next_renewal = now + self.lease_renewal_interval();
        self.leadership.node_record.schedule(now);
        let lease = &mut self.leadership.lease;
        lease.request_in_flight = false;
        match result {
            Ok(StateResponse::Lease(id)) => lease.on_granted(id, next_renewal),
            _ => lease.next_request = now + RETRY_DELAY,
        }
    }

    /// `sent`: when the renewal was sent; the lease runs from then at the earliest.
    pub(in crate::coordination) fn on_lease_keep_alive_answered(
        &mut self,
        sent: Micros,
        result: Result<StateResponse, CallError>,
    ) {
        let now = self.now.monotonic;
        let next_renewal = sent + self.lease_renewal_interval();
        let lease = &mut self.leadership.lease;
        lease.request_in_flight = false;
        match result {
            Ok(StateResponse::LeaseKeptAlive) => lease.next_request = next_renewal,
            Ok(StateResponse::LeaseExpired) => {
                tracing::info!("node lease expired");
                lease.on_expired(now);
            }
            _ => lease.next_request = now + RETRY_DELAY,
        }
    }
}
