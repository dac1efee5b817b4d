//! Launches that were sent to an agent, and the pushed command that is in flight to it.
//!
//! A launch is settled once no pushed command can deliver it for the first time any more: the command got a response, or the agent
//! would refuse the launch because it has a higher fencing token or a newer incarnation. Only the latter proves that no copy is executed.

use crate::coordination::CallId;
use crate::protocol::worker::Heartbeat;
use crate::storage::ids::Attempt;
use crate::time::Micros;
use std::collections::BTreeSet;

/// A pushed command that is waiting for its response.
#[derive(Debug)]
pub(super) struct PushedCommand {
    pub call: CallId,
    pub fencing_token: u64,
    pub incarnation: u64,
    pub launches: Vec<Attempt>,
}

/// A pushed launch that got no response: the network may delay it and deliver it much later.
#[derive(Debug)]
struct UnsettledLaunch {
    attempt: Attempt,
    fencing_token: u64,
    incarnation: u64,
}

impl UnsettledLaunch {
    /// Whether the agent that sent this heartbeat would still accept the launch.
    fn may_be_accepted_after(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.fencing_token <= self.fencing_token && heartbeat.incarnation() <= self.incarnation
    }
}

/// The launches of one agent.
#[derive(Debug, Default)]
pub(super) struct Launches {
    /// Launches sent to the current incarnation, in a heartbeat response or by a pushed command.
    sent: BTreeSet<Attempt>,
    /// The command that is in flight; there is at most one at a time.
    pushed: Option<PushedCommand>,
    /// The machine is to be considered for another pushed command once the one in flight has ended.
    push_again: bool,
    unsettled: Vec<UnsettledLaunch>,
    /// When `unsettled` last became non-empty.
    unsettled_since: Micros,
    /// The highest fencing token under which a launch was pushed; 0 if none was.
    last_push_token: u64,
}

impl Launches {
    pub(super) fn begin_push(&mut self, command: PushedCommand) {
        if !command.launches.is_empty() {
            self.last_push_token = self.last_push_token.max(command.fencing_token);
        }
        self.pushed = Some(command);
    }

    /// Whether an agent that has this fencing token refuses every copy of the launches that were pushed so far.
    pub(super) fn are_refused_with(&self, fencing_token: u64) -> bool {
        self.last_push_token < fencing_token
    }

    /// Whether a command is in flight; if so, the machine is considered again once that command has ended.
    pub(super) fn defer_push(&mut self) -> bool {
        if self.pushed.is_some() {
            self.push_again = true;
        }
        self.pushed.is_some()
    }

    /// Ends the command of this call and returns it. There is none if the agent was registered anew after the call was made.
    pub(super) fn end_push(&mut self, call: CallId) -> Option<PushedCommand> {
        self.pushed.take_if(|command| command.call == call)
    }

    /// Whether the machine is to be considered for another pushed command; clears the flag.
    pub(super) fn take_push_again(&mut self) -> bool {
        std::mem::take(&mut self.push_again)
    }

    /// Handles a pushed command that got no response: its launches may be delivered much later.
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

    /// Since when there have been unsettled launches; if there are none, when the last such period began.
    pub(super) fn unsettled_since(&self) -> Micros {
        self.unsettled_since
    }

    /// Launches that pushed commands may still deliver.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        let pushed = self.pushed.iter().flat_map(|command| &command.launches);
        pushed.chain(self.unsettled.iter().map(|launch| &launch.attempt))
    }

    /// Handles a restart of the agent: the new incarnation knows nothing of launches in earlier responses.
    pub(super) fn on_new_incarnation(&mut self) {
        self.sent.clear();
    }

    /// Settles the launches that the agent that sent this newer heartbeat would no longer accept.
    pub(super) fn settle(&mut self, heartbeat: &Heartbeat) {
        self.unsettled
            .retain(|launch| launch.may_be_accepted_after(heartbeat));
    }

    pub(super) fn is_push_in_flight(&self) -> bool {
        self.pushed.is_some()
    }

    /// Sent launches that are still assigned.
    pub(super) fn sent(&self) -> impl Iterator<Item = &Attempt> {
        self.sent.iter()
    }

    /// Whether no pushed command can still deliver a launch of the attempt for the first time.
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

    /// Records that a launch is sent; false if one was sent before.
    pub(super) fn note_sent(&mut self, attempt: Attempt) -> bool {
        self.sent.insert(attempt)
    }

    /// Removes a launch that was not sent after all, or that the agent did not execute.
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
