//! Launches that were sent to an agent, and the command that is being pushed to it.

use crate::coordination::CallId;
use crate::protocol::worker::Heartbeat;
use crate::storage::ids::Attempt;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A pushed command that has not been answered yet.
#[derive(Debug)]
pub(super) struct PushedCommand {
    pub call: CallId,
    pub fencing_token: u64,
    pub incarnation: u64,
    pub launches: Vec<Attempt>,
}

/// A pushed launch without an answer: the network may hold it and deliver it much later.
#[derive(Debug)]
struct UnsettledLaunch {
    attempt: Attempt,
    fencing_token: u64,
    incarnation: u64,
}

impl UnsettledLaunch {
    /// Whether an agent that sends this heartbeat still accepts the launch.
    fn may_be_accepted_after(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.fencing_token <= self.fencing_token && heartbeat.incarnation() <= self.incarnation
    }
}

/// The launches of one agent.
#[derive(Debug, Default)]
pub(super) struct Launches {
    /// Sent to the present incarnation, in an answer or by a pushed command.
    sent: BTreeSet<Attempt>,
    /// The command that is in flight. There is one at a time.
    pushed: Option<PushedCommand>,
    /// The machine has to be considered for a pushed command again, once the present one is over.
    push_again: bool,
    unsettled: Vec<UnsettledLaunch>,
    unsettled_since: Micros,
}

impl Launches {
    pub(super) fn begin_push(&mut self, command: PushedCommand) {
        self.pushed = Some(command);
    }

    /// Whether a command is on its way; if so, the machine is considered again once that is over.
    pub(super) fn defer_push(&mut self) -> bool {
        if self.pushed.is_some() {
            self.push_again = true;
        }
        self.pushed.is_some()
    }

    /// The command of this call ends. An agent that is new since then does not know the call.
    pub(super) fn end_push(&mut self, call: CallId) -> Option<PushedCommand> {
        self.pushed.take_if(|command| command.call == call)
    }

    /// Whether the machine has to be considered for a pushed command again.
    pub(super) fn take_push_again(&mut self) -> bool {
        std::mem::take(&mut self.push_again)
    }

    /// A pushed command had no answer: its launches may be delivered much later.
    pub(super) fn on_push_lost(&mut self, now: Micros, command: PushedCommand) {
        if self.unsettled.is_empty() {
            self.unsettled_since = now;
        }
        for attempt in command.launches {
            self.sent.remove(&attempt);
            self.unsettled.push(UnsettledLaunch {
                attempt,
                fencing_token: command.fencing_token,
                incarnation: command.incarnation,
            });
        }
    }

    pub(super) fn has_unsettled(&self) -> bool {
        !self.unsettled.is_empty()
    }

    /// Since when there have been unsettled launches; if there are none, since when there last were.
    pub(super) fn unsettled_since(&self) -> Micros {
        self.unsettled_since
    }

    /// Launches that may still be on their way by pushed commands.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        let pushed = self.pushed.iter().flat_map(|command| &command.launches);
        pushed.chain(self.unsettled.iter().map(|launch| &launch.attempt))
    }

    /// The agent was restarted: it knows nothing of earlier launches in answers.
    pub(super) fn on_new_incarnation(&mut self) {
        self.sent.clear();
    }

    /// A newer heartbeat settles the launches that its agent no longer accepts.
    pub(super) fn settle(&mut self, heartbeat: &Heartbeat) {
        self.unsettled
            .retain(|launch| launch.may_be_accepted_after(heartbeat));
    }

    pub(super) fn is_push_in_flight(&self) -> bool {
        self.pushed.is_some()
    }

    /// Launches that were sent and are still assigned.
    pub(super) fn sent(&self) -> impl Iterator<Item = &Attempt> {
        self.sent.iter()
    }

    /// Whether no launch of the attempt can still be on its way by a pushed command.
    pub(super) fn is_settled(&self, attempt: &Attempt) -> bool {
        !self
            .unsettled
            .iter()
            .any(|launch| launch.attempt == *attempt)
            && self
                .pushed
                .as_ref()
                .is_none_or(|command| !command.launches.contains(attempt))
    }

    /// Notes that a launch is sent; false if one was sent before.
    pub(super) fn note_sent(&mut self, attempt: Attempt) -> bool {
        self.sent.insert(attempt)
    }

    /// A launch was not sent, or not carried out.
    pub(super) fn drop_sent(&mut self, attempt: &Attempt) {
        self.sent.remove(attempt);
    }

    pub(super) fn was_sent(&self, attempt: &Attempt) -> bool {
        self.sent.contains(attempt)
    }

    pub(super) fn retain_sent(&mut self, keep: impl FnMut(&Attempt) -> bool) {
        self.sent.retain(keep);
    }
}

#[cfg(test)]
mod tests;
