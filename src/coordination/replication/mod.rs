//! The watch that keeps the private copy, and read barriers.

use crate::coordination::{CallId, Controller, Purpose};
use crate::protocol::state::{CallError, StateReply, StateRequest};
use crate::storage::cell_state::{CellChanges, Change};
use crate::time::Micros;

/// How the copy is kept.
#[derive(Debug, Default)]
pub struct Replica {
    phase: Phase,
    contact: Micros,
    /// Contact before the read that was applied last: what that read brought had not happened by then.
    before: Micros,
    /// When the watch under way was sent.
    watching: Option<Micros>,
    /// When a read was last answered.
    answered: Micros,
    next_watch: Micros,
    barrier: Option<CallId>,
    wanted: bool,
    /// A read is wanted by polls alone: it may wait a little for others to share it, or for the watch.
    wanted_soon: bool,
    next_barrier: Micros,
    next_poll_read: Micros,
    /// Every changes read up to this call has been answered or outdone by a later one.
    read: u64,
    retry: Micros,
    /// Revision of the newest page: reads that end before it leave the copy inconsistent.
    whole_at: u64,
    /// When it was last said that the records are of another layout.
    refused: Option<Micros>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Empty,
    Listing,
    /// Listed; the first changes will make the copy consistent.
    Listed,
    Ready,
}

impl Replica {
    /// Whether the copy is complete and consistent.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// When the last completed read was sent.
    pub fn contact(&self) -> Micros {
        self.contact
    }

    /// What the read that was applied last brought happened after this.
    pub fn before(&self) -> Micros {
        self.before
    }

    /// Asks for a read that begins now or later.
    pub fn want_barrier(&mut self) {
        self.wanted = true;
    }

    /// Asks for a read that begins now or later, for those who only ask.
    pub fn want_read(&mut self) {
        self.wanted_soon = true;
    }

    /// Whether the copy is as new as can be: a watch is under way, which would have told of anything that changed
    /// since it was sent, or a read was answered just now.
    pub fn is_fresh(&self, now: Micros) -> bool {
        const JUST_NOW: Micros = Micros::millis(8);
        self.watching.is_some_and(|t| now.since(t) >= JUST_NOW)
            || now.since(self.answered) < JUST_NOW
    }

    /// Whether a read that began after this call has completed.
    pub fn passed(&self, call: u64) -> bool {
        self.read > call
    }
}

impl Controller {
    /// Shortest time between two reads. The watch would otherwise answer each single change.
    const WATCH_SPACING: Micros = Micros::millis(90);
    const BARRIER_SPACING: Micros = Micros::millis(60);
    /// The same for polls, whose users wait for up to two seconds.
    const POLL_SPACING: Micros = Micros::millis(180);
    /// Longer than a watch that is answered in its time can make contact look.
    const FAR_BEHIND: Micros = Micros::secs(4);
    /// How long a watch waits. Short enough that contact never looks old in quiet times.
    const WATCH_WAIT: Micros = Micros::millis(2_000);

    pub(super) fn drive_replica(&mut self) {
        let now = self.now.steady;
        match self.replica.phase {
            Phase::Empty => {
                if now < self.replica.retry {
                    self.wake_at(self.replica.retry);
                    return;
                }
                self.cell.clear();
                self.rules.schedule_check();
                self.users.forget_absent();
                self.replica.phase = Phase::Listing;
                self.budget.force(now, 0);
                self.ask_state(
                    Purpose::Page { first: None },
                    StateRequest::List { after: None },
                );
            }
            Phase::Listing => {}
            Phase::Listed | Phase::Ready => {
                self.drive_barrier();
                self.drive_watch();
            }
        }
    }

    fn drive_watch(&mut self) {
        let now = self.now.steady;
        let starved_classes_and_teams = self.is_far_behind(now);
        if self.replica.watching.is_some()
            || starved_classes_and_teams && self.replica.barrier.is_some()
        {
            return;
        }
        if now < self.replica.next_watch {
            self.wake_at(self.replica.next_watch);
            return;
        }
        if let Err(at) = self.budget.spend(now, 0, 0.1) {
            self.wake_at(at);
            return;
        }
        let wait = if self.replica.ready() && !starved_classes_and_teams {
            Self::WATCH_WAIT
        } else {
            Micros::ZERO
        };
        let after = self.cell.revision;
        self.replica.watching = Some(now);
        self.ask_state(Purpose::Watch, StateRequest::Changes { after, wait });
    }

    fn drive_barrier(&mut self) {
        let now = self.now.steady;
        let urgent = self.replica.wanted;
        if !urgent && !self.replica.wanted_soon
            || self.replica.barrier.is_some()
            || !self.replica.ready()
        {
            return;
        }
        if self.is_far_behind(now)
            && self
                .replica
                .watching
                .is_some_and(|sent| self.is_far_behind(sent))
        {
            return;
        }
        let at = if urgent {
            self.replica.next_barrier
        } else {
            self.replica.next_poll_read.max(self.replica.next_barrier)
        };
        if now < at {
            self.wake_at(at);
            return;
        }
        // A poll that has waited for long is answered all the same.
        let patient = !urgent
            && self
                .users
                .oldest_read(now)
                .is_none_or(|t| t < Micros::millis(700));
        if let Err(at) = self
            .budget
            .spend(now, 0, if patient { Self::POLLS } else { 0.0 })
        {
            self.wake_at(at);
            return;
        }
        self.replica.wanted = false;
        self.replica.wanted_soon = false;
        self.replica.next_barrier = now + Self::BARRIER_SPACING;
        self.replica.next_poll_read = now + Self::POLL_SPACING;
        let request = StateRequest::Changes {
            after: self.cell.revision,
            wait: Micros::ZERO,
        };
        let id = self.ask_state(Purpose::Barrier, request);
        self.replica.barrier = Some(id);
    }

    pub(super) fn on_page(&mut self, first: Option<u64>, result: Result<StateReply, CallError>) {
        let Ok(StateReply::Page {
            items,
            next,
            revision,
        }) = result
        else {
            self.replica.phase = Phase::Empty;
            self.replica.retry = self.now.steady + Micros::millis(300);
            return;
        };
        let mut changes_seen = CellChanges::default();
        self.cell.apply(items, &mut changes_seen);
        if self.cell.foreign(self.layout) {
            return self.refuse_layout();
        }
        let first = first.unwrap_or(revision);
        if next.is_some() {
            self.budget.force(self.now.steady, 0);
            self.ask_state(
                Purpose::Page { first: Some(first) },
                StateRequest::List { after: next },
            );
            return;
        }
        // Later pages may be newer than the first: only the changes since then make it one whole.
        self.cell.advance(first);
        self.replica.whole_at = revision;
        self.replica.phase = Phase::Listed;
        self.replica.next_watch = self.now.steady;
    }

    /// Records of another layout would be misread: they are left alone, and the node stays out of
    /// service.
    fn refuse_layout(&mut self) {
        if self
            .replica
            .refused
            .is_none_or(|at| self.now.steady.since(at) > Micros::secs(60))
        {
            self.replica.refused = Some(self.now.steady);
            let found = self.cell.meta.value.as_ref().map_or(0, |m| m.layout);
            tracing::error!(
                found,
                understood = self.layout,
                "the state service holds records of another layout, not in service"
            );
        }
        self.replica.phase = Phase::Empty;
        self.replica.retry = self.now.steady + Micros::secs(5);
    }

    pub(super) fn on_changes(
        &mut self,
        id: CallId,
        sent: Micros,
        watch: bool,
        result: Result<StateReply, CallError>,
    ) {
        let now = self.now.steady;
        if watch {
            self.replica.watching = None;
            self.replica.next_watch = now + Self::WATCH_SPACING;
        } else if self.replica.barrier == Some(id) {
            self.replica.barrier = None;
        }
        match result {
            Ok(StateReply::Changes(changes, revision)) => {
                self.take_changes(id, sent, changes, revision)
            }
            Ok(StateReply::TooOld) => self.read_anew("the service has dropped the changes since"),
            // Asked for again it would only be larger: all changes come at once, however many there are.
            Err(CallError::TooLarge) => {
                self.read_anew("the changes since are more than is read at once")
            }
            other => {
                if watch {
                    self.replica.next_watch = now + Micros::millis(250);
                } else {
                    self.replica.wanted = true;
                    self.replica.next_barrier = now + Micros::millis(250);
                    self.users_without_contact();
                }
                tracing::debug!(?other, watch, "a read brought nothing");
            }
        }
    }

    /// The copy can't be brought forward: it is read anew in pages, from now on and with no tenure meanwhile.
    fn read_anew(&mut self, why: &'static str) {
        // Several reads may have been under way, and the first answer of them was enough.
        if matches!(self.replica.phase, Phase::Empty | Phase::Listing) {
            return;
        }
        tracing::info!(
            revision = self.cell.revision,
            why,
            "the copy is too old, reading everything anew"
        );
        self.step_down_everywhere();
        self.replica.phase = Phase::Empty;
    }

    /// Whether the copy is so far behind that an answer with all changes since may be large: then there is one read at
    /// a time, for each would bring the same.
    fn is_far_behind(&self, at: Micros) -> bool {
        self.replica.phase == Phase::Ready && at.since(self.replica.contact) > Self::FAR_BEHIND
    }

    fn take_changes(&mut self, id: CallId, sent: Micros, changes: Vec<Change>, revision: u64) {
        if matches!(self.replica.phase, Phase::Empty | Phase::Listing) {
            return;
        }
        let mut changes_seen = CellChanges::default();
        self.cell.apply(changes, &mut changes_seen);
        self.cell.advance(revision);
        if self.cell.foreign(self.layout) {
            // Also when others raise it beyond this version while it runs.
            self.step_down_everywhere();
            return self.refuse_layout();
        }
        self.replica.before = self.replica.contact;
        self.replica.contact = self.replica.contact.max(sent);
        self.replica.answered = self.now.steady;
        self.replica.read = self.replica.read.max(id.0);
        self.end_stall_recovery();
        if self.replica.phase == Phase::Listed {
            if revision < self.replica.whole_at {
                return;
            }
            self.replica.phase = Phase::Ready;
            tracing::info!(
                revision,
                jobs = self.cell.jobs.len(),
                machines = self.cell.machines().count(),
                "the copy is complete"
            );
            changes_seen.leaders = (0..self.cell.leaders.len()).collect();
            changes_seen.nodes = true;
            changes_seen.jobs = self.cell.jobs.keys().copied().collect();
        }
        self.on_cell_changed(&changes_seen);
        self.rounds.on_read(revision, self.replica.read);
        self.users_after_read();
    }
}
