//! The front: from a delivery to its one answer.
//!
//! Nothing that it knows has to outlive it. What was not acknowledged comes again; which messages are answered is
//! in the marks; and of a connection that ended in the moment of a commit its receipts tell which of its
//! transactions were carried out.

use crate::answer::{Notice, Outcome, Post, Progress};
use crate::counters::Counters;
use crate::estate::Estates;
use crate::item::{Item, Stage};
use crate::ledger::{Done, Ledger, LedgerLimits, Request, Told};
use crate::mark::{Holder, LinkState, Mark};
use crate::message::{Key, Message, Wish};
use crate::schedule::{Schedule, Turn};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// Times are whole microseconds since some beginning; of the time of day where marks are to end.
pub type Micros = u64;

/// Names a request that waits for its answer.
pub type Call = u64;

/// A delivery on the present connection.
pub type Tag = u64;

/// What the controllers say of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is accepted and goes on.
    Live,
    /// It has ended, or is refused for good.
    Over(Outcome),
    /// It is not known to them.
    Unknown,
    /// Come back after so long.
    Later(Micros),
    /// No answer: it may have been carried out.
    None,
}

/// What came of asking for the receipts of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipts {
    /// The connection may still commit, or another front reads them.
    Busy,
    /// It cannot commit any more, and these are all that its transactions left.
    All(BTreeSet<Key>),
    /// It cannot commit any more, and the broker has lost what its transactions left.
    Lost,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A connection is there, after the one before was said to be gone. No other attempt of this run had its number.
    Up(u64),
    /// Its queue of receipts is there and is read by itself alone, or could not be had.
    Opened(bool),
    /// It is gone.
    Down,
    /// A message.
    Delivered(Tag, Message),
    /// The controllers answered.
    Service(Call, Reply),
    /// The state service answered.
    State(Told),
    /// The transaction was carried out.
    Committed,
    /// Receipts of another connection were asked for.
    Receipts(Holder, Receipts),
    /// A queue of receipts is not there any more.
    Cleared(Holder),
    /// Nothing new is to be begun any more.
    Stop,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Submit a job.
    Submit(Call, Vec<u8>),
    /// Ask how a job is.
    Ask(Call, String),
    /// Cancel a job.
    Cancel(Call, String),
    /// A request to the state service.
    State(Request),
    /// Have a queue for the connection's receipts, and be its only reader.
    Open(Holder),
    /// Take messages.
    Consume,
    /// Give the connection up, and make a new one.
    Drop,
    /// In one transaction.
    Commit(Commit),
    /// Read all receipts of another connection, if it is gone, and let nobody else read them.
    ReadReceipts(Holder),
    /// Do not read them any longer, and remove their queue if that is due.
    ClearReceipts(Holder, bool),
    /// Everything that was certain is answered, and nothing of this process is left behind.
    Finished,
}

/// A transaction with the broker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// What goes out. A receipt is left for all of them together.
    pub posts: Vec<Post>,
    /// Interim answers.
    pub notices: Vec<Notice>,
    /// Deliveries that are acknowledged.
    pub acks: Vec<Tag>,
    /// Messages whose receipts are not needed any more, since their marks tell the same.
    pub forget: Vec<Key>,
}

/// What becomes of messages that ask for no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, schemars::JsonSchema)]
pub enum WithoutReply {
    /// They are acknowledged once the job is accepted.
    #[serde(rename = "accepted")]
    Accepted,
    /// They are acknowledged once the job is over.
    #[default]
    #[serde(rename = "over")]
    Over,
}

/// How one queue is served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueRule {
    /// Lower ranks are submitted first.
    pub rank: u8,
    /// For messages that ask for no answer.
    pub without_reply: WithoutReply,
    /// Where refused messages go that ask for no answer. Without one they are dropped.
    pub dead_letter: Option<String>,
}

/// What a front may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most requests to the controllers at once.
    pub calls: usize,
    /// Most submissions a second.
    pub submits_per_s: u32,
    /// Most polls a second.
    pub polls_per_s: u32,
    /// Shortest time between two questions about one job.
    pub poll: Micros,
    /// Of the marks.
    pub ledger: LedgerLimits,
    /// The queues.
    pub queues: BTreeMap<String, QueueRule>,
}

/// How far the present connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    /// It is being put on record.
    Begun,
    /// Its queue of receipts is being made.
    Opening,
    /// It is being put on record that it is up.
    Confirming,
    Up,
    /// It is being put on record that nothing is left to be told.
    Leaving,
}

/// One process between a broker and the controllers.
#[derive(Debug)]
pub struct Front {
    me: Holder,
    limits: Limits,
    rng: StdRng,
    now: Micros,
    link: Link,
    stopping: bool,
    finished: bool,
    calls: Call,
    order: u64,
    items: HashMap<Key, Item>,
    schedule: Schedule,
    /// Requests about messages in hand.
    asked: HashMap<Call, Key>,
    /// Requests to the controllers under way, also those whose messages are not in hand any more.
    under_way: HashSet<Call>,
    sealed: VecDeque<Key>,
    /// Messages with deliveries to acknowledge.
    acks: BTreeSet<Key>,
    notices: Vec<Notice>,
    /// What is being committed: the keys whose answers and acknowledgements it holds.
    committing: Option<Vec<(Key, Vec<Tag>)>>,
    /// Own receipts that are not needed any more.
    forget: Vec<Key>,
    ledger: Ledger,
    estates: Estates,
    swept: Micros,
    counters: Counters,
    out: Vec<Effect>,
}

impl Front {
    const AGAIN: Micros = 500_000;
    const MOST_WAIT: Micros = 30_000_000;
    /// Most answers of one transaction.
    const BATCH: usize = 64;
    /// How often it is looked for connections that are gone, and at how many at once.
    const SWEEP: Micros = 15_000_000;
    const ESTATES: usize = 4;

    /// A front that has just started. `run` is drawn at random, and so is all chance in it.
    pub fn new(run: u64, limits: Limits) -> Front {
        Front {
            me: Holder { run, link: 0 },
            rng: StdRng::seed_from_u64(run),
            now: 0,
            link: Link::Down,
            stopping: false,
            finished: false,
            calls: 1,
            order: 0,
            items: HashMap::new(),
            schedule: Schedule::new(limits.submits_per_s, limits.polls_per_s),
            asked: HashMap::new(),
            under_way: HashSet::new(),
            sealed: VecDeque::new(),
            acks: BTreeSet::new(),
            notices: Vec::new(),
            committing: None,
            forget: Vec::new(),
            ledger: Ledger::new(limits.ledger),
            estates: Estates::default(),
            swept: 0,
            counters: Counters::default(),
            out: Vec::new(),
            limits,
        }
    }

    /// Messages in hand.
    pub fn in_hand(&self) -> usize {
        self.items.len()
    }

    /// Since when the oldest of them is in hand.
    pub fn oldest(&self) -> Option<Micros> {
        self.items.values().map(|i| i.since).min()
    }

    /// What it has counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Its copy of the marks.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Takes an event and returns what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Up(link) => {
                self.me.link = link;
                self.link = Link::Begun;
                self.ledger.link(self.me, None, Some(LinkState::Begun));
            }
            Event::Opened(true) if self.link == Link::Opening => {
                self.link = Link::Confirming;
                self.ledger
                    .link(self.me, Some(LinkState::Begun), Some(LinkState::Up));
            }
            Event::Opened(true) => {}
            Event::Opened(false) => self.out.push(Effect::Drop),
            Event::Down => {
                self.forget_all();
                self.link = Link::Down;
            }
            Event::Delivered(tag, message) => self.delivered(tag, message),
            Event::Service(call, reply) => self.on_service(call, reply),
            Event::State(told) => self.on_state(told),
            Event::Committed => self.on_committed(),
            Event::Receipts(holder, receipts) => self.on_receipts(holder, receipts),
            Event::Cleared(holder) => self.ledger.link(holder, Some(LinkState::Told), None),
            Event::Stop => {
                self.stopping = true;
                self.schedule.clear();
            }
        }
        loop {
            if self.link == Link::Up {
                self.pump_service();
                self.pump_estates();
                self.pump_commits();
            }
            if self.stopping {
                self.pump_stop();
            }
            self.out
                .extend(self.ledger.ask(self.now).map(Effect::State));
            // What turned out to be settled while a round was put together is not told by any answer.
            if !self.take_done() {
                return std::mem::take(&mut self.out);
            }
        }
    }

    /// When it next wants a [`Event::Tick`].
    pub fn wake(&self) -> Micros {
        let ledger = self.ledger.wake();
        // Nothing is asked or swept any more once it stops.
        if self.link != Link::Up || self.stopping {
            return ledger;
        }
        let free = self.under_way.len() < self.limits.calls;
        let schedule = if free {
            self.schedule.wake()
        } else {
            Micros::MAX
        };
        ledger
            .min(schedule)
            .min(self.estates.wake())
            .min(self.swept + Self::SWEEP)
    }

    /// Everything that is not acknowledged comes again, and what was being committed is told by its receipt.
    fn forget_all(&mut self) {
        self.items.clear();
        self.schedule.clear();
        self.asked.clear();
        self.sealed.clear();
        self.acks.clear();
        self.notices.clear();
        self.committing = None;
        self.forget.clear();
        self.estates.clear();
        self.ledger.forget();
    }

    /// The time of day in seconds, for marks.
    fn seconds(&self) -> u64 {
        self.now / 1_000_000
    }

    /// A little more than so long, so that not all come at once.
    fn jittered(&mut self, wait: Micros) -> Micros {
        wait + self.rng.random_range(0..=wait / 4)
    }

    fn delivered(&mut self, tag: Tag, mut message: Message) {
        if self.link != Link::Up || self.stopping {
            return;
        }
        self.counters.received += 1;
        self.counters.redelivered += u64::from(message.redelivered);
        let key = message.key();
        // A copy shares the answer of the one that is in hand.
        if let Some(item) = self.items.get_mut(&key) {
            self.counters.held_back += 1;
            item.tags.push(tag);
            if matches!(item.stage, Stage::Settled | Stage::Answered) {
                self.acks.insert(key);
            }
            return;
        }
        self.order += 1;
        let (wish, order) = (message.wish(), self.order);
        let rule = self
            .limits
            .queues
            .get(&message.queue)
            .cloned()
            .unwrap_or_default();
        let turn = Turn::Submit(rule.rank, order);
        // What is submitted is in the wish; the body itself is kept only where it may become a dead letter.
        if message.reply_to.is_some() || rule.dead_letter.is_none() {
            message.body = Vec::new();
        }
        let refused = match &wish {
            Wish::Refuse(why) => Some(Outcome::Refused((*why).to_owned())),
            _ => None,
        };
        let item = Item {
            message,
            rule,
            wish,
            order,
            since: self.now,
            accepted: None,
            outcome: None,
            tags: vec![tag],
            tries: 0,
            repeated: false,
            told: (false, false),
            stage: Stage::Due,
        };
        self.items.insert(key, item);
        if let Some((Mark::Answered(_), _)) = self.ledger.mark(key) {
            self.answered_already(key);
        } else if let Some(refused) = refused {
            self.over(key, refused);
        } else {
            self.schedule.put(self.now, turn, key);
        }
    }

    fn answered_already(&mut self, key: Key) {
        self.counters.held_back += 1;
        tracing::info!(message = %key, "answered already");
        self.settle(key);
    }

    /// It is known how a message ended.
    fn over(&mut self, key: Key, outcome: Outcome) {
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        if let Outcome::Refused(why) = &outcome {
            self.counters.refused += 1;
            tracing::info!(job = item.job(), message = %key, why, "refused");
        }
        item.outcome = Some(outcome);
        if item.is_to_be_told() {
            self.look(key);
            return;
        }
        if matches!(item.outcome, Some(Outcome::Refused(_))) {
            tracing::error!(job = item.job(), message = %key, queue = item.message.queue, "dropped: nobody to tell");
        }
        self.settle(key);
    }

    /// Looks at the mark of a message that is to be answered: whose right that is.
    fn look(&mut self, key: Key) {
        let me = self.me;
        let seal = Mark::Sealed(me, self.seconds());
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        match self.ledger.mark(key) {
            None => {
                item.stage = Stage::Sealing;
                self.ledger.write(key, 0, seal);
            }
            Some((Mark::Answered(_), _)) => self.answered_already(key),
            // What this connection has committed is kept in hand until it is marked; so this was not.
            Some((Mark::Sealed(by, _), _)) if by == me => {
                item.stage = Stage::Sealed;
                self.sealed.push_back(key);
            }
            Some((Mark::Sealed(by, _), version)) => {
                let state = self.ledger.links().get(&by).copied();
                if matches!(state, Some(LinkState::Begun | LinkState::Up)) {
                    item.stage = Stage::Doubt;
                    self.estates.doubt(by, key);
                    return;
                }
                // Its receipts would be marked by now: it has not answered, unless the broker lost them.
                self.counters.settled += 1;
                tracing::info!(job = item.job(), message = %key, of = %by, "sealed anew after a connection that is gone");
                if state == Some(LinkState::Lost) {
                    tracing::error!(job = item.job(), message = %key, "receipts were lost: it may be answered twice");
                    item.repeated = true;
                }
                item.stage = Stage::Sealing;
                self.ledger.write(key, version, seal);
            }
        }
    }

    /// Nothing is left of it but its deliveries, and not even these once they are acknowledged.
    fn settle(&mut self, key: Key) {
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.stage = Stage::Settled;
        if item.tags.is_empty() {
            self.items.remove(&key);
        } else {
            self.acks.insert(key);
        }
    }

    fn on_service(&mut self, call: Call, reply: Reply) {
        self.under_way.remove(&call);
        let Some(key) = self.asked.remove(&call) else {
            return;
        };
        let (now, poll) = (self.now, self.limits.poll);
        let Some(item) = self
            .items
            .get_mut(&key)
            .filter(|i| i.stage == Stage::Asked(call))
        else {
            return;
        };
        item.stage = Stage::Due;
        let submit = Turn::Submit(item.rule.rank, item.order);
        let first = item.accepted.is_none();
        match reply {
            Reply::Live => {
                item.tries = 0;
                let guess = match item.wish {
                    Wish::Submit { guess, .. } => guess,
                    _ => 0,
                };
                let since = *item.accepted.get_or_insert(now);
                // Once it is later than was guessed, it is looked at again after a part of what it took so far.
                let expected = (since + guess).max(now + (now - since) / 8);
                if first {
                    self.counters.accepted += 1;
                    self.schedule.submits.faster();
                    tracing::info!(job = item.job(), message = %key, "accepted");
                    if item.ends_with_acceptance() {
                        self.settle(key);
                        return;
                    }
                    self.notices.extend(item.notice(key, Progress::Accepted));
                }
                if !self.stopping {
                    self.schedule.put(now + poll, Turn::Poll(expected), key);
                }
            }
            Reply::Over(outcome) => {
                if first && !matches!(outcome, Outcome::Refused(_)) {
                    self.counters.accepted += 1;
                    self.schedule.submits.faster();
                }
                self.over(key, outcome);
            }
            Reply::Unknown => {
                item.accepted = None;
                self.again(key, submit, Self::AGAIN);
            }
            Reply::Later(after) => {
                self.counters.delayed += 1;
                let turn = if let Some(since) = item.accepted {
                    Turn::Poll(since)
                } else {
                    self.schedule.submits.slower(now);
                    self.notices
                        .extend(item.notice(key, Progress::Delayed(after)));
                    submit
                };
                self.again(key, turn, after.max(Self::AGAIN));
            }
            Reply::None => {
                self.counters.unanswered += 1;
                let turn = item.accepted.map_or(submit, Turn::Poll);
                self.again(key, turn, Self::AGAIN);
            }
        }
    }

    /// It is asked again, later each time.
    fn again(&mut self, key: Key, turn: Turn, least: Micros) {
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.tries += 1;
        let wait = (least << (item.tries - 1).min(6)).min(Self::MOST_WAIT.max(least));
        tracing::debug!(job = item.job(), message = %key, wait, tries = item.tries, "asked again later");
        let at = self.now + self.jittered(wait);
        if !self.stopping {
            self.schedule.put(at, turn, key);
        }
    }

    fn on_state(&mut self, told: Told) {
        self.ledger.told(self.now, told);
        self.take_done();
        // Somebody took this connection for gone: whatever the reason, it must not answer any more.
        if self.link == Link::Up && self.ledger.links().get(&self.me) != Some(&LinkState::Up) {
            tracing::error!(link = %self.me, "this connection was taken off the record");
            self.out.push(Effect::Drop);
        }
        let ledger = &self.ledger;
        let doubtful = |holder, key| {
            let up = matches!(
                ledger.links().get(&holder),
                Some(LinkState::Begun | LinkState::Up)
            );
            up && matches!(ledger.mark(key), Some((Mark::Sealed(by, _), _)) if by == holder)
        };
        let cleared = self.estates.cleared(doubtful);
        self.look_again(cleared);
    }

    /// Looks anew at messages whose doubt is over.
    fn look_again(&mut self, keys: impl IntoIterator<Item = Key>) {
        for key in keys {
            if self
                .items
                .get(&key)
                .is_some_and(|i| i.stage == Stage::Doubt)
            {
                self.look(key);
            }
        }
    }

    /// What became of changes of marks; whether anything did.
    fn take_done(&mut self) -> bool {
        let all = self.ledger.take_done();
        let any = !all.is_empty();
        for done in all {
            match done {
                Done::Mark(key, _) => self.on_mark(key),
                Done::Link(holder, done) if holder == self.me => self.on_own_link(done),
                Done::Link(holder, done) => self.on_link(holder, done),
            }
        }
        any
    }

    /// A mark was written, or another one stands there.
    fn on_mark(&mut self, key: Key) {
        for holder in self.estates.holders_of(key) {
            self.tell(holder, key);
        }
        match self.items.get(&key).map(|i| &i.stage) {
            Some(Stage::Sealing) => self.look(key),
            Some(Stage::Answered) => self.note(key),
            _ => {}
        }
    }

    /// Writes it down that a connection that is gone has answered a message, until that is known to stand.
    fn tell(&mut self, holder: Holder, key: Key) {
        match self.ledger.mark(key) {
            Some((Mark::Sealed(by, _), version)) if by == holder => {
                self.ledger
                    .write(key, version, Mark::Answered(self.seconds()));
            }
            _ => self.estates.settled(holder, key),
        }
    }

    /// Writes it down that this connection has answered a message, until that is known to stand.
    fn note(&mut self, key: Key) {
        if let Some((Mark::Sealed(..), version)) = self.ledger.mark(key) {
            self.ledger
                .write(key, version, Mark::Answered(self.seconds()));
        } else {
            self.forget.push(key);
            self.settle(key);
        }
    }

    fn on_own_link(&mut self, done: bool) {
        match self.link {
            Link::Begun if done => {
                self.link = Link::Opening;
                self.out.push(Effect::Open(self.me));
            }
            Link::Confirming if done => {
                self.link = Link::Up;
                tracing::info!(link = %self.me, "taking messages");
                self.out.push(Effect::Consume);
            }
            Link::Begun | Link::Confirming => self.out.push(Effect::Drop),
            Link::Leaving => match self.ledger.links().get(&self.me) {
                Some(LinkState::Told) => self.out.push(Effect::ClearReceipts(self.me, true)),
                _ if !std::mem::replace(&mut self.finished, true) => {
                    self.out.push(Effect::Finished)
                }
                _ => {}
            },
            Link::Down | Link::Opening | Link::Up => {}
        }
    }

    /// It is on record that a connection is told or lost, or that it is none any more.
    fn on_link(&mut self, holder: Holder, done: bool) {
        let state = self.ledger.links().get(&holder).copied();
        if self.estates.is_known(holder) {
            let delete = done && matches!(state, Some(LinkState::Told | LinkState::Lost));
            self.out.push(Effect::ClearReceipts(holder, delete));
            let doubted = self.estates.close(holder);
            self.look_again(doubted);
        }
    }

    fn on_committed(&mut self) {
        let now = self.now;
        for (key, acked) in self.committing.take().unwrap_or_default() {
            let Some(item) = self.items.get_mut(&key) else {
                continue;
            };
            item.tags.retain(|t| !acked.contains(t));
            match item.stage {
                Stage::Committing => {
                    self.counters.answered += 1;
                    self.counters.repeated += u64::from(item.repeated);
                    let took_ms = now.saturating_sub(item.since) / 1_000;
                    tracing::info!(job = item.job(), message = %key, outcome = ?item.outcome, took_ms, "answered");
                    item.stage = Stage::Answered;
                    if !item.tags.is_empty() {
                        self.acks.insert(key);
                    }
                    self.note(key);
                }
                Stage::Settled => self.settle(key),
                _ => {}
            }
        }
    }

    fn on_receipts(&mut self, holder: Holder, receipts: Receipts) {
        // What this copy holds may be older than the seals that the receipts are about.
        let fresh = self.ledger.refresh();
        match receipts {
            // It lives, and may have written since what it did.
            Receipts::Busy => {
                let again = self.now + self.jittered(Self::AGAIN);
                self.estates.busy(holder, again);
            }
            Receipts::All(receipts) => self.estates.add(holder, receipts, false, fresh),
            Receipts::Lost => self.estates.add(holder, BTreeSet::new(), true, fresh),
        }
    }

    fn ask_receipts(&mut self, holder: Holder) {
        if let Some(state) = self.ledger.links().get(&holder)
            && self.estates.ask(holder, *state)
        {
            self.out.push(Effect::ReadReceipts(holder));
        }
    }

    fn pump_service(&mut self) {
        let free = self.limits.calls.saturating_sub(self.under_way.len());
        for key in self.schedule.take(self.now, free) {
            self.calls += 1;
            let call = self.calls;
            let Some(item) = self.items.get_mut(&key).filter(|i| i.stage == Stage::Due) else {
                continue;
            };
            let effect = match &item.wish {
                Wish::Submit { job, .. } if item.accepted.is_some() => {
                    self.counters.polls += 1;
                    Effect::Ask(call, job.clone())
                }
                Wish::Submit { body, .. } => Effect::Submit(call, body.clone()),
                Wish::Cancel(job) => Effect::Cancel(call, job.clone()),
                Wish::Refuse(_) => continue,
            };
            item.stage = Stage::Asked(call);
            self.asked.insert(call, key);
            self.under_way.insert(call);
            self.out.push(effect);
        }
    }

    /// Finds out what connections have answered that are gone, and leaves nothing of them behind.
    fn pump_estates(&mut self) {
        if self.stopping {
            return;
        }
        for holder in self.estates.wanted(self.now) {
            self.ask_receipts(holder);
        }
        if self.now >= self.swept + Self::SWEEP {
            self.swept = self.now;
            self.sweep();
        }
        let ledger = &self.ledger;
        for (holder, key) in self.estates.readable(|number| ledger.is_fresh(number)) {
            self.tell(holder, key);
        }
        for (holder, from, lost) in self.estates.told() {
            let state = self.ledger.links().get(&holder).copied();
            // Somebody else was first, and what they found stands; or it had not begun, and has since.
            if state != Some(from) {
                self.on_link(holder, false);
                continue;
            }
            // What has not begun has lost nothing.
            let to = if lost && from == LinkState::Up {
                LinkState::Lost
            } else {
                LinkState::Told
            };
            tracing::info!(link = %holder, ?to, "a connection is gone");
            self.ledger.link(holder, state, Some(to));
        }
    }

    fn sweep(&mut self) {
        let links = self.ledger.links().iter().map(|(h, s)| (*h, *s));
        let mut others: Vec<(Holder, LinkState)> = links
            .filter(|(h, _)| *h != self.me && !self.estates.is_known(*h))
            .collect();
        while others.len() > Self::ESTATES {
            let one = self.rng.random_range(0..others.len());
            others.swap_remove(one);
        }
        for (holder, state) in others {
            match state {
                LinkState::Begun | LinkState::Up => self.ask_receipts(holder),
                LinkState::Told => self.out.push(Effect::ClearReceipts(holder, true)),
                // It is remembered for as long as there are marks that only its receipts could have settled.
                LinkState::Lost if !self.ledger.has_seals_of(holder) => {
                    self.ledger.link(holder, Some(LinkState::Lost), None);
                }
                LinkState::Lost => {}
            }
        }
    }

    /// One transaction at a time: answers with their acknowledgements, and the acknowledgements of what is settled.
    fn pump_commits(&mut self) {
        if self.committing.is_some() {
            return;
        }
        let mut commit = Commit::default();
        let mut batch = Vec::new();
        while commit.posts.len() < Self::BATCH {
            let Some(key) = self.sealed.pop_front() else {
                break;
            };
            let Some(item) = self
                .items
                .get_mut(&key)
                .filter(|i| i.stage == Stage::Sealed)
            else {
                continue;
            };
            item.stage = Stage::Committing;
            commit.posts.extend(item.post(key));
            commit.acks.extend(&item.tags);
            batch.push((key, item.tags.clone()));
        }
        for key in std::mem::take(&mut self.acks) {
            let Some(item) = self.items.get(&key).filter(|i| !i.tags.is_empty()) else {
                continue;
            };
            if matches!(item.stage, Stage::Settled | Stage::Answered) {
                commit.acks.extend(&item.tags);
                batch.push((key, item.tags.clone()));
            }
        }
        commit.notices = std::mem::take(&mut self.notices);
        commit.forget = std::mem::take(&mut self.forget);
        if commit != Commit::default() {
            self.counters.commits += 1;
            self.committing = Some(batch);
            self.out.push(Effect::Commit(commit));
        }
    }

    /// Once everything that is certain is answered, the connection is taken off the record, and its queue removed.
    fn pump_stop(&mut self) {
        let certain = |s: &Stage| {
            matches!(
                s,
                Stage::Asked(_)
                    | Stage::Sealing
                    | Stage::Sealed
                    | Stage::Committing
                    | Stage::Answered
            )
        };
        let busy = self.committing.is_some()
            || !self.forget.is_empty()
            || !self.notices.is_empty()
            || !self.acks.is_empty()
            || self.items.values().any(|i| certain(&i.stage));
        match self.link {
            Link::Up if !busy => {
                self.link = Link::Leaving;
                self.ledger
                    .link(self.me, Some(LinkState::Up), Some(LinkState::Told));
            }
            Link::Up | Link::Leaving => {}
            _ if !std::mem::replace(&mut self.finished, true) => self.out.push(Effect::Finished),
            _ => {}
        }
    }
}
