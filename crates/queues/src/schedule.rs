//! When the controllers are asked, and about which job first.
//!
//! Whatever waits in the queues, there are never more than so many requests under way, nor more submissions and
//! polls a second than the settings allow. Submissions go by the rank of their queue; polls by the end that is
//! expected, so that the jobs that are probably over are looked at first. Where the controllers ask for patience,
//! the rate of submissions falls at once and comes back slowly.

use crate::front::Micros;
use crate::message::Key;
use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;

/// Lets so many pass a second, and a second's worth at once.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    step: Micros,
    least: Micros,
    free: Micros,
    slowed: Micros,
}

impl Bucket {
    /// Longest time between two that pass, however much patience is asked for.
    const MOST: Micros = 4 * SECOND;

    /// So many a second, at least 1 and at most a million.
    pub fn new(per_s: u32) -> Bucket {
        let step = SECOND / Micros::from(per_s.clamp(1, 1_000_000));
        Bucket {
            step,
            least: step,
            free: 0,
            slowed: 0,
        }
    }

    /// Whether one may pass now.
    pub fn is_free(&self, now: Micros) -> bool {
        self.at() <= now
    }

    /// When the next may pass.
    pub fn at(&self) -> Micros {
        self.free.saturating_sub(SECOND.saturating_sub(self.step))
    }

    /// One passes.
    pub fn pass(&mut self, now: Micros) {
        self.free = self.free.max(now) + self.step;
    }

    /// Patience is asked for: half the rate, once a second, since what was under way tells the same again.
    pub fn slower(&mut self, now: Micros) {
        if now < self.slowed + SECOND {
            return;
        }
        self.slowed = now;
        self.step = (self.step * 2).clamp(self.least, Self::MOST.max(self.least));
        self.free = self.free.max(now + SECOND);
    }

    /// One was taken: a little more.
    pub fn faster(&mut self) {
        self.step = (self.step - self.step / 8).max(self.least);
    }
}

/// What is to be asked about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// Its submission or cancellation: by the rank of its queue, then in the order of arrival.
    Submit(u8, u64),
    /// How its job is: by the end that is expected.
    Poll(Micros),
}

/// All that waits to be asked.
#[derive(Debug)]
pub struct Schedule {
    resting: BTreeSet<(Micros, Turn, Key)>,
    ready: BTreeSet<(Turn, Key)>,
    /// The rate of submissions.
    pub submits: Bucket,
    polls: Bucket,
}

impl Schedule {
    /// Nothing waits. Rates are per second.
    pub fn new(submits: u32, polls: u32) -> Schedule {
        Schedule {
            resting: BTreeSet::new(),
            ready: BTreeSet::new(),
            submits: Bucket::new(submits),
            polls: Bucket::new(polls),
        }
    }

    /// Forgets what waits; the rates stay as they are.
    pub fn clear(&mut self) {
        self.resting.clear();
        self.ready.clear();
    }

    /// Something to be asked, not before `at`.
    pub fn put(&mut self, at: Micros, turn: Turn, key: Key) {
        self.resting.insert((at, turn, key));
    }

    /// Takes what is to be asked now, at most so much.
    pub fn take(&mut self, now: Micros, most: usize) -> Vec<Key> {
        while let Some((at, turn, key)) =
            self.resting.first().copied().filter(|(at, ..)| *at <= now)
        {
            self.resting.remove(&(at, turn, key));
            self.ready.insert((turn, key));
        }
        let mut taken = Vec::new();
        // Polls come after all submissions in their order, and have a rate of their own.
        let (mut submit, mut poll) = (true, true);
        while taken.len() < most && (submit || poll) {
            submit &= self.submits.is_free(now);
            poll &= self.polls.is_free(now);
            let first_poll = (Turn::Poll(0), Key(0));
            // They take turns where both may go: neither waits for the other's end.
            let next = match (submit, poll) {
                (true, true) if taken.len() % 2 == 0 => self
                    .ready
                    .first()
                    .or_else(|| self.ready.range(first_poll..).next()),
                (true, true) => self
                    .ready
                    .range(first_poll..)
                    .next()
                    .or_else(|| self.ready.first()),
                (true, false) => self.ready.range(..first_poll).next(),
                (false, true) => self.ready.range(first_poll..).next(),
                (false, false) => None,
            };
            let Some((turn, key)) = next.copied() else {
                break;
            };
            self.ready.remove(&(turn, key));
            match turn {
                Turn::Submit(..) => self.submits.pass(now),
                Turn::Poll(_) => self.polls.pass(now),
            }
            taken.push(key);
        }
        taken
    }

    /// When something may have to be asked next.
    pub fn wake(&self) -> Micros {
        let resting = self.resting.first().map_or(Micros::MAX, |(at, ..)| *at);
        let first_poll = (Turn::Poll(0), Key(0));
        let submits = self
            .ready
            .range(..first_poll)
            .next()
            .map_or(Micros::MAX, |_| self.submits.at());
        let polls = self
            .ready
            .range(first_poll..)
            .next()
            .map_or(Micros::MAX, |_| self.polls.at());
        resting.min(submits).min(polls)
    }
}
