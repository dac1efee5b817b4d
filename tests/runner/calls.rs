//! Calls of controllers to the state service, the cloud and workers: how they are sent, and how they are carried out.

use super::messages::{Message, Outbound};
use super::script::Party;
use super::{SimEvent, World};
use cometlead::coordination::CallId;
use cometlead::protocol::cloud as cloud_wire;
use cometlead::protocol::state as state_wire;
use cometlead::protocol::state::StateRequest;
use cometlead::time::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

impl World {
    pub(super) fn callee(outbound: &Outbound) -> Party {
        match outbound {
            Outbound::State(_) => Party::State,
            Outbound::Cloud(_) => Party::Cloud,
            Outbound::PushCommand(m, _) => Party::Machine(*m),
        }
    }

    pub(super) fn call_out(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
        timeout: Micros,
    ) {
        let to = Self::callee(&outbound);
        let timeout_response = Message::Response {
            node,
            incarnation,
            call,
            outbound: outbound.clone(),
            response: None,
        };
        self.schedule(
            self.now + timeout.0,
            SimEvent::Deliver(Box::new(timeout_response)),
        );
        self.send(
            Party::Node(node),
            to,
            false,
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            },
        );
    }

    /// A controller's request has arrived at its callee.
    pub(super) fn receive_call(
        &mut self,
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
    ) {
        let now = self.now;
        let response = match &outbound {
            Outbound::State(request) => {
                let (method, path, body) = state_wire::http(request);
                let late = matches!(request, StateRequest::Transaction(_))
                    && self.draws_fault(|w| &w.late_writes);
                if self.is_affected(&self.refused_nodes, node) {
                    Some((503, json!({})))
                } else if late {
                    let after = 2_000_000 + (self.random_fraction() * 1e7) as u64;
                    self.schedule(
                        now + after,
                        SimEvent::DelayedTransaction(Box::new(request.clone())),
                    );
                    return;
                } else if self.is_affected(&self.throttled_nodes, node) {
                    self.throttled_requests += 1;
                    Some((429, json!({})))
                } else if self.loses_response(request) {
                    self.carry_out_state_request(request);
                    return;
                } else {
                    // Each watch needs an id of its own, by which its response is found later.
                    self.last_id += 1;
                    let id = self.last_id;
                    let response = self.state.request(now, id, method, &path, &body);
                    if response.is_none() {
                        let waiting_call = Message::Response {
                            node,
                            incarnation,
                            call,
                            outbound: outbound.clone(),
                            response: None,
                        };
                        self.scheduled_events
                            .insert(id, SimEvent::Deliver(Box::new(waiting_call)));
                    }
                    self.state_tick();
                    response
                }
            }
            Outbound::Cloud(request) => Some(self.carry_out_cloud_request(request)),
            Outbound::PushCommand(machine, body) => {
                let mut task_events = Vec::new();
                let response = self.deliver_command(*machine, body, &mut task_events);
                self.record_task_events(*machine, task_events);
                response
            }
        };
        if let Some((status, body)) = response {
            self.copy_late(&Message::Request {
                node,
                incarnation,
                call,
                outbound: outbound.clone(),
            });
            let from = Self::callee(&outbound);
            let response = Some((status, body.to_string().into_bytes()));
            self.send(
                from,
                Party::Node(node),
                true,
                Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    response,
                },
            );
        }
    }

    pub(super) fn carry_out_cloud_request(
        &mut self,
        request: &cloud_wire::CloudRequest,
    ) -> (u16, Value) {
        let (method, path, body) = cloud_wire::http(request);
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        let before: Vec<u64> = self.cloud.hosts.keys().copied().collect();
        let response = self
            .cloud
            .request(self.now, method, &path, &body, &mut || rng.random::<f64>());
        self.apply_cloud_changes(&before);
        response
    }

    /// Carries out a request to the state service whose response nobody gets.
    pub(super) fn carry_out_state_request(&mut self, request: &StateRequest) {
        let (method, path, body) = state_wire::http(request);
        self.last_id += 1;
        self.state
            .request(self.now, self.last_id, method, &path, &body);
        self.state_tick();
    }
}
