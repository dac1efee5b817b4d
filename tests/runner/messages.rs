//! Messages between the parties, and the faults that delay, drop or duplicate them on their way.

use super::deploy_file::zone_of;
use super::script::{Mode, Party};
use super::{SimEvent, World};
use cometlead::coordination::CallId;
use cometlead::protocol::cloud as cloud_wire;
use cometlead::protocol::state::StateRequest;

/// A controller's call to the state service, the cloud or a worker.
#[derive(Clone, Debug)]
pub(super) enum Outbound {
    State(StateRequest),
    Cloud(cloud_wire::CloudRequest),
    PushCommand(u64, Vec<u8>),
}

#[derive(Clone, Debug)]
pub(super) enum Message {
    /// A controller's request arrives at its callee.
    Request {
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
    },
    /// The response arrives at the controller; `None` is a timeout or a reset connection.
    Response {
        node: usize,
        incarnation: u64,
        call: CallId,
        outbound: Outbound,
        response: Option<(u16, Vec<u8>)>,
    },
    /// A worker's heartbeat arrives at a controller.
    Heartbeat {
        machine: u64,
        node: usize,
        sent: u64,
        body: Vec<u8>,
    },
    /// The response to a heartbeat arrives at the worker.
    HeartbeatReply {
        machine: u64,
        sent: u64,
        incarnation: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A user's request arrives at a controller.
    UserRequest { node: usize, user: usize },
    /// The response arrives at the user.
    UserReply {
        user: usize,
        attempt: u32,
        status: u16,
        state: Option<String>,
    },
    Hint {
        node: usize,
        hint: cometlead::protocol::peer::PeerHint,
    },
}

impl World {
    /// Sends a message, subject to the faults that are active between the two parties.
    pub(super) fn send(&mut self, from: Party, to: Party, is_response: bool, message: Message) {
        let now = self.now;
        if matches!(to, Party::Machine(m) if self.inbound_dropped_until.get(&m).is_some_and(|until| now < *until))
        {
            return;
        }
        if let (Party::Machine(m), Message::Heartbeat { .. }) = (&from, &message)
            && self
                .heartbeats_dropped_until
                .get(m)
                .is_some_and(|until| now < *until)
        {
            return;
        }
        let mut at = now + 500 + (self.random_fraction() * 3_000.0) as u64;
        if self.random_fraction() < 0.01 {
            at += (self.random_fraction() * 300_000.0) as u64;
        }
        let (mut is_duplicated, mut is_slow) = (false, false);
        let is_command = matches!(
            message,
            Message::Request {
                outbound: Outbound::PushCommand(..),
                ..
            }
        );
        for f in &self.faults {
            let affects_message = match (&f.a, &f.b) {
                (Party::Zone(z), Party::Outside) => self.is_in(&from, z) != self.is_in(&to, z),
                (a, b) => a.covers(&from) && b.covers(&to) || a.covers(&to) && b.covers(&from),
            };
            if !affects_message || now < f.from || now >= f.until {
                continue;
            }
            match f.mode {
                Mode::Drop => return,
                Mode::DropResponses if is_response => return,
                Mode::DropResponses => {}
                Mode::Reset => return self.reset(message),
                Mode::Hold => at = at.max(f.until + 1_000 + at - now),
                Mode::Repeat => is_duplicated = !is_command,
                Mode::LateCommands if is_command => at = at.max(f.until + 1_000),
                Mode::LateCommands => {}
                Mode::Slow => is_slow = true,
            }
        }
        if is_slow {
            at += (self.random_fraction() * 2e6) as u64;
        }
        if is_duplicated {
            let later = at + (self.random_fraction() * 8e6) as u64;
            self.schedule(later, SimEvent::Deliver(Box::new(message.clone())));
        }
        self.schedule(at, SimEvent::Deliver(Box::new(message)));
    }

    /// Whether a party is in a zone. Only controllers and machines are; users, the cloud and the state service are in none.
    pub(super) fn is_in(&self, party: &Party, zone: &str) -> bool {
        match party {
            Party::Node(n) => zone_of(&self.script, *n) == zone,
            Party::Machine(m) => self.cloud.hosts.get(m).is_some_and(|h| h.zone == zone),
            _ => false,
        }
    }

    /// Resets a connection: the party that waits for the response learns so at once, whether the request or the response was lost.
    fn reset(&mut self, message: Message) {
        let soon = self.now + 2_000;
        match message {
            Message::Request {
                node,
                incarnation,
                call,
                outbound,
            }
            | Message::Response {
                node,
                incarnation,
                call,
                outbound,
                ..
            } => {
                let reset = Message::Response {
                    node,
                    incarnation,
                    call,
                    outbound,
                    response: None,
                };
                self.schedule(soon, SimEvent::Deliver(Box::new(reset)));
            }
            Message::Heartbeat { machine, sent, .. }
            | Message::HeartbeatReply { machine, sent, .. } => {
                self.schedule(soon, SimEvent::WorkerTimeout(machine, sent));
            }
            _ => {}
        }
    }
}
