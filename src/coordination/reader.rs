//! The watch that keeps the private copy, and read barriers.

use super::{CallId, Controller, Purpose};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Change, Touched};
use crate::protocol::state::{CallError, StateReply, StateRequest};

/// How the copy is kept.
#[derive(Debug, Default)]
pub struct Reader {
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

impl Reader {
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

    pub(super) fn pump_reader(&mut self) {
        let now = self.now.steady;
        match self.reader.phase {
            Phase::Empty => {
                if now < self.reader.retry {
                    self.wake_at(self.reader.retry);
                    return;
                }
                self.view.clear();
                self.rules.look();
                self.users.forget_absent();
                self.reader.phase = Phase::Listing;
                self.budget.force(now, 0);
                self.ask_state(
                    Purpose::Page { first: None },
                    StateRequest::List { after: None },
                );
            }
            Phase::Listing => {}
            Phase::Listed | Phase::Ready => {
                self.pump_barrier();
                self.pump_watch();
            }
        }
    }

    fn pump_watch(&mut self) {
        let now = self.now.steady;
        let behind = self.is_far_behind(now);
        if self.reader.watching.is_some() || behind && self.reader.barrier.is_some() {
            return;
        }
        if now < self.reader.next_watch {
            self.wake_at(self.reader.next_watch);
            return;
        }
        if let Err(at) = self.budget.spend(now, 0, 0.1) {
            self.wake_at(at);
            return;
        }
        let wait = if self.reader.ready() && !behind {
            Self::WATCH_WAIT
        } else {
            Micros::ZERO
        };
        let after = self.view.revision;
        self.reader.watching = Some(now);
        self.ask_state(Purpose::Watch, StateRequest::Changes { after, wait });
    }

    fn pump_barrier(&mut self) {
        let now = self.now.steady;
        let urgent = self.reader.wanted;
        if !urgent && !self.reader.wanted_soon
            || self.reader.barrier.is_some()
            || !self.reader.ready()
        {
            return;
        }
        if self.is_far_behind(now)
            && self
                .reader
                .watching
                .is_some_and(|sent| self.is_far_behind(sent))
        {
            return;
        }
        let at = if urgent {
            self.reader.next_barrier
        } else {
            self.reader.next_poll_read.max(self.reader.next_barrier)
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
        self.reader.wanted = false;
        self.reader.wanted_soon = false;
        self.reader.next_barrier = now + Self::BARRIER_SPACING;
        self.reader.next_poll_read = now + Self::POLL_SPACING;
        let request = StateRequest::Changes {
            after: self.view.revision,
            wait: Micros::ZERO,
        };
        let id = self.ask_state(Purpose::Barrier, request);
        self.reader.barrier = Some(id);
    }

    pub(super) fn on_page(&mut self, first: Option<u64>, result: Result<StateReply, CallError>) {
        let Ok(StateReply::Page {
            items,
            next,
            revision,
        }) = result
        else {
            self.reader.phase = Phase::Empty;
            self.reader.retry = self.now.steady + Micros::millis(300);
            return;
        };
        let mut touched = Touched::default();
        self.view.apply(items, &mut touched);
        if self.view.foreign(self.layout) {
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
        self.view.advance(first);
        self.reader.whole_at = revision;
        self.reader.phase = Phase::Listed;
        self.reader.next_watch = self.now.steady;
    }

    /// Records of another layout would be misread: they are left alone, and the node stays out of
    /// service.
    fn refuse_layout(&mut self) {
        if self
            .reader
            .refused
            .is_none_or(|at| self.now.steady.since(at) > Micros::secs(60))
        {
            self.reader.refused = Some(self.now.steady);
            let found = self.view.meta.value.as_ref().map_or(0, |m| m.layout);
            tracing::error!(
                found,
                understood = self.layout,
                "the state service holds records of another layout, not in service"
            );
        }
        self.reader.phase = Phase::Empty;
        self.reader.retry = self.now.steady + Micros::secs(5);
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
            self.reader.watching = None;
            self.reader.next_watch = now + Self::WATCH_SPACING;
        } else if self.reader.barrier == Some(id) {
            self.reader.barrier = None;
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
                    self.reader.next_watch = now + Micros::millis(250);
                } else {
                    self.reader.wanted = true;
                    self.reader.next_barrier = now + Micros::millis(250);
                    self.users_without_contact();
                }
                tracing::debug!(?other, watch, "a read brought nothing");
            }
        }
    }

    /// The copy can't be brought forward: it is read anew in pages, from now on and with no tenure meanwhile.
    fn read_anew(&mut self, why: &'static str) {
        // Several reads may have been under way, and the first answer of them was enough.
        if matches!(self.reader.phase, Phase::Empty | Phase::Listing) {
            return;
        }
        tracing::info!(
            revision = self.view.revision,
            why,
            "the copy is too old, reading everything anew"
        );
        self.lose_all_tenures();
        self.reader.phase = Phase::Empty;
    }

    /// Whether the copy is so far behind that an answer with all changes since may be large: then there is one read at
    /// a time, for each would bring the same.
    fn is_far_behind(&self, at: Micros) -> bool {
        self.reader.phase == Phase::Ready && at.since(self.reader.contact) > Self::FAR_BEHIND
    }

    fn take_changes(&mut self, id: CallId, sent: Micros, changes: Vec<Change>, revision: u64) {
        if matches!(self.reader.phase, Phase::Empty | Phase::Listing) {
            return;
        }
        let mut touched = Touched::default();
        self.view.apply(changes, &mut touched);
        self.view.advance(revision);
        if self.view.foreign(self.layout) {
            // Also when others raise it beyond this version while it runs.
            self.lose_all_tenures();
            return self.refuse_layout();
        }
        self.reader.before = self.reader.contact;
        self.reader.contact = self.reader.contact.max(sent);
        self.reader.answered = self.now.steady;
        self.reader.read = self.reader.read.max(id.0);
        self.end_doubt();
        if self.reader.phase == Phase::Listed {
            if revision < self.reader.whole_at {
                return;
            }
            self.reader.phase = Phase::Ready;
            tracing::info!(
                revision,
                jobs = self.view.jobs.len(),
                machines = self.view.machines().count(),
                "the copy is complete"
            );
            touched.own = (0..self.view.own.len()).collect();
            touched.nodes = true;
            touched.jobs = self.view.jobs.keys().copied().collect();
        }
        self.on_touched_view(&touched);
        self.rounds.on_read(revision, self.reader.read);
        self.users_after_read();
    }
}
