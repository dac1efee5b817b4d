//! Late copies: requests that were carried out and answered arrive once more, after fractions of a second to minutes, up to
//! several times, in any order with the others, and whether or not their sender still runs.

use super::messages::{Message, Outbound};
use super::{SimEvent, World};
use cometlead::protocol::cloud::CloudRequest;
use cometlead::protocol::state::StateRequest;
use cometlead_emulator::fakes::late_copies::CopySchedule;

/// A kind of request, by which a scenario chooses what is copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Commands that a controller pushes to a worker.
    Command,
    /// Transactions of controllers.
    Transaction,
    /// Requests of controllers that begin or renew a lease.
    Lease,
    /// Requests of controllers that provision or release machines.
    Cloud,
    /// Hints from one controller to another.
    Hint,
    /// Heartbeats of workers.
    Heartbeat,
    /// Submissions and cancellations of users.
    User,
}

impl RequestKind {
    /// The kind that scenario files call by this name.
    pub fn parse(name: &str) -> Option<RequestKind> {
        Some(match name {
            "commands" => RequestKind::Command,
            "transactions" => RequestKind::Transaction,
            "leases" => RequestKind::Lease,
            "cloud" => RequestKind::Cloud,
            "hints" => RequestKind::Hint,
            "heartbeats" => RequestKind::Heartbeat,
            "users" => RequestKind::User,
            _ => return None,
        })
    }

    /// The name under which delivered copies are counted.
    fn counter(self) -> &'static str {
        match self {
            RequestKind::Command => "copied-commands",
            RequestKind::Transaction => "copied-transactions",
            RequestKind::Lease => "copied-leases",
            RequestKind::Cloud => "copied-cloud",
            RequestKind::Hint => "copied-hints",
            RequestKind::Heartbeat => "copied-heartbeats",
            RequestKind::User => "copied-users",
        }
    }
}

/// Which requests are copied.
#[derive(Clone, Copy, Debug)]
pub struct LateCopies {
    /// The kind that is copied; `None` for all kinds.
    pub of: Option<RequestKind>,
    /// How often, and when the copies arrive.
    pub schedule: CopySchedule,
}

impl LateCopies {
    /// The longest delay, in microseconds.
    pub fn max_delay(&self) -> u64 {
        (self.schedule.max_delay_s * 1e6) as u64
    }
}

impl World {
    /// Schedules copies of a request that has just been carried out, if a fault asks for them.
    pub(super) fn copy_late(&mut self, message: &Message) {
        if self.late_copies.is_empty() {
            return;
        }
        let Some(kind) = self.copied_kind(message) else {
            return;
        };
        let now = self.now;
        let active: Vec<LateCopies> = self
            .late_copies
            .iter()
            .filter(|(copies, until)| now < *until && copies.of.is_none_or(|of| of == kind))
            .map(|(copies, _)| *copies)
            .collect();
        for copies in active {
            for delay in copies.schedule.draw_delays(|| self.random_fraction()) {
                let copy = SimEvent::LateCopy(Box::new(message.clone()));
                self.schedule(now + delay, copy);
            }
        }
    }

    /// The kind of a request; `None` for responses, and for requests that only read.
    fn copied_kind(&self, message: &Message) -> Option<RequestKind> {
        Some(match message {
            Message::Request { outbound, .. } => match outbound {
                Outbound::PushCommand(..) => RequestKind::Command,
                Outbound::State(StateRequest::Transaction(_)) => RequestKind::Transaction,
                Outbound::State(StateRequest::LeaseGrant(_) | StateRequest::LeaseKeepAlive(_)) => {
                    RequestKind::Lease
                }
                Outbound::State(_) => return None,
                Outbound::Cloud(CloudRequest::Provision { .. } | CloudRequest::Release(_)) => {
                    RequestKind::Cloud
                }
                Outbound::Cloud(_) => return None,
            },
            Message::Hint { .. } => RequestKind::Hint,
            Message::Heartbeat { .. } => RequestKind::Heartbeat,
            Message::UserRequest { user, .. } if self.users[*user].kind != "query" => {
                RequestKind::User
            }
            _ => return None,
        })
    }

    /// Delivers a copy. Nobody waits for its response.
    pub(super) fn deliver_late_copy(&mut self, message: Message) {
        if let Some(until) = self.machine_stalled_until(&message) {
            return self.schedule(until + 2_000, SimEvent::LateCopy(Box::new(message)));
        }
        if let Some(kind) = self.copied_kind(&message) {
            self.count_fault(kind.counter());
        }
        match message {
            Message::Request { outbound, .. } => self.carry_out_again(outbound),
            Message::Heartbeat {
                machine,
                node,
                body,
                ..
            } => {
                // No report is sent at this time, so the worker takes the response for no report's.
                let sent = u64::MAX;
                let copy = Message::Heartbeat {
                    machine,
                    node,
                    sent,
                    body,
                };
                self.deliver_uncopied(copy);
            }
            Message::UserRequest { node, user } => self.receive_user_request(node, user, None),
            other => self.deliver_uncopied(other),
        }
    }

    /// Delivers a message of which no further copies are made.
    fn deliver_uncopied(&mut self, message: Message) {
        let late_copies = std::mem::take(&mut self.late_copies);
        self.deliver(message);
        self.late_copies = late_copies;
    }

    fn carry_out_again(&mut self, outbound: Outbound) {
        match outbound {
            Outbound::State(request) => self.carry_out_state_request(&request),
            Outbound::Cloud(request) => {
                self.carry_out_cloud_request(&request);
            }
            Outbound::PushCommand(machine, body) => self.carry_out_command_again(machine, &body),
        }
    }

    /// Delivers a copy of a pushed command, and checks that it starts nothing.
    fn carry_out_command_again(&mut self, machine: u64, body: &[u8]) {
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let mut task_events = Vec::new();
        let outcome = worker.handle_command_copy(self.now, body, &self.jobs, &mut task_events);
        let next = worker.next_deadline();
        self.schedule(next, SimEvent::WorkerDeadline(machine));
        self.count_fault(if outcome.accepted {
            "copies-accepted"
        } else {
            "copies-refused"
        });
        self.record_task_events(machine, task_events);
        for (task, attempt) in outcome.started {
            self.checker
                .record_start_by_copy(self.now, machine, task, attempt);
        }
    }

    /// When a hanging machine continues to which this message goes.
    fn machine_stalled_until(&self, message: &Message) -> Option<u64> {
        let Message::Request {
            outbound: Outbound::PushCommand(machine, _),
            ..
        } = message
        else {
            return None;
        };
        let stalled_until = self.workers.get(machine)?.stalled_until;
        (self.now < stalled_until).then_some(stalled_until)
    }
}
