//! Delivery of messages to controllers, workers and users, and the effects that controllers answer with.

use super::messages::{Message, Outbound};
use super::script::Party;
use super::{SimEvent, World};
use cometlead::coordination::{CallId, Effect, Event};
use cometlead::protocol::cloud as cloud_wire;
use cometlead::protocol::state as state_wire;
use cometlead::protocol::state::CallError;
use cometlead::protocol::user::{JobStatusResponse, UserRequest, UserResponse, parse_submission};
use cometlead::protocol::worker::{
    Heartbeat, HeartbeatResponse, heartbeat_response_body, not_leader_body,
};
use serde_json::Value;

impl World {
    /// Hands an event to a controller and carries out the effects. Returns the response to a heartbeat.
    pub(super) fn handle_event(&mut self, n: usize, event: Event) -> Option<HeartbeatResponse> {
        let now = self.time(n);
        let node = self.nodes[n].as_mut()?;
        let before = node.controller.counters().failovers;
        let effects = node.controller.handle(now, event);
        for effect in &effects {
            self.decisions.add(self.now, n, effect);
        }
        let took_over = node.controller.counters().failovers > before;
        let incarnation = node.incarnation;
        let wake = node.controller.wake().0;
        let wake = wake.max(self.now + 100);
        if wake < node.wake_at || node.wake_at <= self.now {
            node.wake_at = wake;
            self.schedule(wake, SimEvent::Wake(n));
        }
        if took_over {
            self.deliver_heartbeat_copies(n);
        }
        let mut heartbeat_response = None;
        for e in effects {
            match e {
                Effect::State(call, request, limit) => {
                    self.call_out(n, incarnation, call, Outbound::State(request), limit);
                }
                Effect::Cloud(call, request, limit) => {
                    self.call_out(n, incarnation, call, Outbound::Cloud(request), limit);
                }
                Effect::PushCommand {
                    call,
                    endpoint,
                    body,
                    timeout: limit,
                } => {
                    let machine = endpoint
                        .split(['.', ':'])
                        .nth(3)
                        .and_then(|m| m.parse().ok())
                        .expect("endpoint");
                    self.call_out(
                        n,
                        incarnation,
                        call,
                        Outbound::PushCommand(machine, body),
                        limit,
                    );
                }
                Effect::Heartbeat(_, response) => heartbeat_response = Some(response),
                Effect::User(call, response) => self.send_user_reply(n, call, response),
                Effect::Peers(hint) => {
                    for o in 0..self.script.nodes {
                        if o != n {
                            let m = Message::Hint {
                                node: o,
                                hint: hint.clone(),
                            };
                            self.send(Party::Node(n), Party::Node(o), false, m);
                        }
                    }
                }
            }
        }
        heartbeat_response
    }

    /// Sends a controller's response to the user who waits for it.
    fn send_user_reply(&mut self, n: usize, call: CallId, response: UserResponse) {
        let wait = self.nodes[n]
            .as_mut()
            .and_then(|x| x.open_user_calls.remove(&call));
        if let Some((user, attempt)) = wait {
            let job = self.users[user].job;
            if let UserResponse::Unsatisfiable(why) = &response {
                self.checker.refusals.insert(job, why.to_string());
            }
            if let UserResponse::Status(JobStatusResponse {
                reason: Some(why), ..
            }) = &response
            {
                self.checker
                    .reasons
                    .entry(job)
                    .or_default()
                    .insert(why.to_string());
            }
            let (status, state) = match response {
                UserResponse::Accepted(a) => (201, Some(a)),
                UserResponse::Status(a) => (200, Some(a)),
                UserResponse::NotFound => (404, None),
                UserResponse::Unsatisfiable(_) => (422, None),
                UserResponse::Invalid(_) => (400, None),
                UserResponse::RetryAfter(_) => (503, None),
            };
            let state = state.map(|a| {
                let v: Value = serde_json::from_slice(&a.body()).expect("a response");
                v["status"].as_str().unwrap_or_default().to_owned()
            });
            // Partitions never affect users.
            let m = Message::UserReply {
                user,
                attempt,
                status,
                state,
            };
            self.schedule(self.now + 1_000, SimEvent::Deliver(Box::new(m)));
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        // A controller that hangs handles nothing until it continues.
        let to_node = match &message {
            Message::Response { node, .. } | Message::Heartbeat { node, .. } => Some(*node),
            Message::UserRequest { node, .. } | Message::Hint { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = to_node.and_then(|n| self.nodes[n].as_mut())
            && self.now < node.stalled_until
        {
            node.deferred_messages.push(message);
            return;
        }
        // A call is copied once its callee has answered it.
        if !matches!(message, Message::Request { .. }) {
            self.copy_late(&message);
        }
        match message {
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            } => self.receive_call(node, incarnation, call, outbound),
            Message::Response {
                node,
                incarnation,
                call,
                outbound,
                response,
            } => self.receive_response((node, incarnation), call, outbound, response),
            Message::Heartbeat {
                machine,
                node,
                sent,
                body,
            } => self.receive_heartbeat(machine, node, sent, body),
            Message::HeartbeatReply {
                machine,
                sent,
                incarnation,
                status,
                body,
            } => self.handle_heartbeat_reply(machine, sent, incarnation, status, &body),
            Message::UserRequest { node, user } => {
                self.receive_user_request(node, user, Some(self.users[user].attempt));
            }
            Message::UserReply {
                user,
                attempt,
                status,
                state,
            } => {
                if self.users[user].attempt == attempt && self.users[user].awaiting_response {
                    self.handle_user_reply(user, status, state.as_deref());
                }
            }
            Message::Hint { node, hint } => {
                self.handle_event(node, Event::Peer(hint));
            }
        }
    }

    /// The response to a call has arrived at the controller; `None` is a timeout or a reset connection.
    fn receive_response(
        &mut self,
        (node, incarnation): (usize, u64),
        call: CallId,
        outbound: Outbound,
        response: Option<(u16, Vec<u8>)>,
    ) {
        if self.nodes[node]
            .as_ref()
            .is_none_or(|n| n.incarnation != incarnation)
        {
            return;
        }
        let no_response = || Err(CallError::OutcomeUnknown);
        let max_response_bytes = (self.script.max_response_kb * 1024.0) as usize;
        let event = match outbound {
            Outbound::State(_)
                if response
                    .as_ref()
                    .is_some_and(|(_, b)| b.len() > max_response_bytes) =>
            {
                Event::State(call, Err(CallError::ResponseTooLarge))
            }
            Outbound::State(r) => Event::State(
                call,
                response.map_or_else(no_response, |(s, b)| state_wire::parse(&r, s, &b)),
            ),
            Outbound::Cloud(r) => Event::Cloud(
                call,
                response.map_or(Err(CallError::OutcomeUnknown), |(s, b)| {
                    cloud_wire::parse(&r, s, &b)
                }),
            ),
            Outbound::PushCommand(..) => Event::AgentResponse(
                call,
                response.and_then(|(s, b)| Some((s == 200, Heartbeat::parse(&b)?))),
            ),
        };
        self.handle_event(node, event);
    }

    /// A worker's heartbeat has arrived at a controller.
    fn receive_heartbeat(&mut self, machine: u64, node: usize, sent: u64, body: Vec<u8>) {
        let heartbeat = Heartbeat::parse(&body).expect("a heartbeat");
        let incarnation = heartbeat.incarnation();
        let Some(response) = self.handle_event(node, Event::Heartbeat(CallId(0), heartbeat)) else {
            return;
        };
        let (status, body) = match response {
            HeartbeatResponse::Commands {
                fencing_token,
                commands,
            } => (200, heartbeat_response_body(fencing_token, &commands)),
            HeartbeatResponse::NotLeader(owner) => (421, not_leader_body(owner.as_deref())),
            HeartbeatResponse::Unavailable => (503, Vec::new()),
            HeartbeatResponse::Malformed => panic!("a well-formed heartbeat was refused"),
        };
        let reply = Message::HeartbeatReply {
            machine,
            sent,
            incarnation,
            status,
            body,
        };
        self.send(Party::Node(node), Party::Machine(machine), true, reply);
    }

    /// A user's request has arrived at a controller. `attempt` is the one that waits for the response; `None` if nobody does.
    pub(super) fn receive_user_request(&mut self, node: usize, user: usize, attempt: Option<u32>) {
        let u = &self.users[user];
        let (kind, job) = (u.kind, u.job);
        let body = u.body.clone();
        let Some(n) = self.nodes[node].as_mut() else {
            return;
        };
        let call = CallId(n.next_user_call);
        n.next_user_call += 1;
        if let Some(attempt) = attempt {
            n.open_user_calls.insert(call, (user, attempt));
        }
        let id = cometlead::storage::ids::JobId(job);
        let event = match kind {
            "abort" => Event::User(call, UserRequest::Cancel(id)),
            "query" => Event::User(call, UserRequest::Query(id)),
            _ => match parse_submission(&body) {
                Ok((id, spec)) => Event::User(call, UserRequest::Submit(id, Box::new(spec))),
                // Like the server, which then reads only the job's name.
                Err(_) => Event::InvalidSubmission(call, id, "body".into()),
            },
        };
        self.handle_event(node, event);
    }
}
