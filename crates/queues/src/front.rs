//! The front: from a delivery to its one answer.
//!
//! Nothing that it knows has to outlive it. What was not acknowledged comes again; which messages are answered is
//! in the marks; and of a connection that ended in the moment of a commit its receipts tell which of its
//! transactions were carried out.

use super::mark::{Holder, Mark};
use super::message::{Key, Message, Wish};
use std::collections::{BTreeMap, BTreeSet};

/// Times are whole microseconds since some beginning.
pub type Micros = u64;

/// Names a request that waits for its answer.
pub type Call = u64;

/// A delivery on the present connection.
pub type Tag = u64;

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are done.
    Done,
    /// The job is cancelled.
    Cancelled,
    /// It was refused, and why.
    Refused(String),
}

/// What the controllers say of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is accepted and goes on.
    Live,
    /// It has ended, or is refused for good.
    Over(Outcome),
    /// Come back after so long.
    Later(Micros),
    /// No answer: it may have been carried out.
    None,
}

/// What came of writing a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Marked {
    /// Written, with this revision.
    Written(u64),
    /// It is not as expected.
    Clash,
    /// No answer: it may be written, or be written later.
    Unknown,
}

/// What came of asking for the receipts of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receipts {
    /// The connection may still commit, or another front reads them.
    Busy,
    /// It cannot commit any more, and these are all that its transactions left.
    All(BTreeSet<Key>),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A connection is up, after the one before was said to be gone: its queue of receipts is there and is read by
    /// itself alone.
    Linked,
    /// It is gone.
    Unlinked,
    /// A message.
    Delivered(Tag, Message),
    /// The controllers answered.
    Service(Call, Reply),
    /// A mark was written, or not.
    Marked(Call, Marked),
    /// A mark was read, with its revision; `Err` if there was no answer.
    MarkIs(Call, Result<Option<(Mark, u64)>, ()>),
    /// The transaction was carried out.
    Committed,
    /// Receipts of another connection were asked for.
    Receipts(Holder, Receipts),
}

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The queue.
    pub to: String,
    /// What the client tells it apart by.
    pub correlation: Option<String>,
    /// Which message it answers.
    pub of: Key,
    /// How it ended.
    pub outcome: Outcome,
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
    /// Write a mark where it has this revision, 0 if there is none.
    Write(Call, Key, u64, Mark),
    /// Read a mark.
    Read(Call, Key),
    /// In one transaction: publish the answer, leave a receipt for it, and acknowledge the deliveries.
    Commit {
        /// The answer; none where it is known to be out.
        answer: Option<Answer>,
        /// Whose receipt is left.
        receipt: Option<Key>,
        /// What is acknowledged.
        acks: Vec<Tag>,
        /// Own receipts that are acknowledged: the marks tell what they told.
        forget: Vec<Key>,
    },
    /// Read all receipts of another connection, if it is gone.
    ReadReceipts(Holder),
    /// Acknowledge them all, and remove their queue: the marks tell them now.
    ClearReceipts(Holder),
}

/// What a front may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most requests to the controllers at once.
    pub calls: usize,
    /// Shortest time between two questions about one job.
    pub poll: Micros,
}

/// Where a message stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// It is to be taken up at some time.
    Due(Micros),
    /// The controllers are asked.
    Asked(Call),
    /// It is known how it ended.
    Over,
    /// The right to answer it is being written.
    Sealing(Call),
    /// Its mark is being read.
    Reading(Call),
    /// Another connection has sealed it, with this revision, and it must be known whether that has answered it.
    Doubt(Holder, u64, Micros),
    /// That connection had answered it; the mark is being written.
    Noting(Call),
    /// The right is there; the transaction waits for its turn.
    Sealed(u64),
    /// The transaction is on its way.
    Committing(u64),
    /// It is answered, by this connection; the mark is being written, or is to be.
    Answered(u64, Option<Call>, Micros),
    /// It is answered and marked; only its deliveries are left.
    Marked,
}

#[derive(Clone, Debug)]
struct Item {
    message: Message,
    wish: Wish,
    accepted: bool,
    outcome: Option<Outcome>,
    /// Deliveries that are not acknowledged.
    tags: Vec<Tag>,
    tries: u32,
    stage: Stage,
}

/// A dead connection whose receipts are in hand.
#[derive(Clone, Debug)]
struct Estate {
    receipts: BTreeSet<Key>,
    /// Receipts whose marks are not known to say so yet; with the request under way, and when to try again.
    left: BTreeMap<Key, (Option<Call>, Micros)>,
    cleared: bool,
}

/// One process between a broker and the controllers.
#[derive(Debug)]
pub struct Front {
    me: Holder,
    limits: Limits,
    now: Micros,
    linked: bool,
    calls: Call,
    items: BTreeMap<Key, Item>,
    /// What is being committed: the keys whose answers and acknowledgements it holds.
    committing: Option<Vec<(Key, Vec<Tag>)>>,
    /// Own receipts that are not needed any more.
    forget: Vec<Key>,
    estates: BTreeMap<Holder, Estate>,
    asking: BTreeSet<Holder>,
    out: Vec<Effect>,
}

impl Front {
    const AGAIN: Micros = 500_000;
    const MOST_WAIT: Micros = 30_000_000;

    /// A front that has just started. `run` is drawn at random.
    pub fn new(run: u64, limits: Limits) -> Front {
        Front {
            me: Holder { run, link: 0 },
            limits,
            now: 0,
            linked: false,
            calls: 1,
            items: BTreeMap::new(),
            committing: None,
            forget: Vec::new(),
            estates: BTreeMap::new(),
            asking: BTreeSet::new(),
            out: Vec::new(),
        }
    }

    /// Its present connection.
    pub fn holder(&self) -> Holder {
        self.me
    }

    /// Messages in hand.
    pub fn in_hand(&self) -> usize {
        self.items.len()
    }

    /// Takes an event and returns what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => {}
            Event::Linked => {
                self.me.link += 1;
                self.linked = true;
            }
            Event::Unlinked => {
                self.forget_all();
                self.linked = false;
            }
            Event::Delivered(tag, message) => self.delivered(tag, message),
            Event::Service(call, reply) => self.on_service(call, reply),
            Event::Marked(call, marked) => self.on_marked(call, marked),
            Event::MarkIs(call, mark) => self.on_mark(call, mark),
            Event::Committed => self.on_committed(),
            Event::Receipts(holder, receipts) => self.on_receipts(holder, receipts),
        }
        if self.linked {
            self.pump();
        }
        std::mem::take(&mut self.out)
    }

    /// When it next wants a [`Event::Tick`].
    pub fn wake(&self) -> Micros {
        let items = self.items.values().filter_map(|i| match i.stage {
            Stage::Due(at) | Stage::Doubt(_, _, at) | Stage::Answered(_, None, at) => Some(at),
            _ => None,
        });
        let estates = self.estates.values().flat_map(|e| e.left.values()).filter(|(call, _)| call.is_none());
        items.chain(estates.map(|(_, at)| *at)).min().unwrap_or(Micros::MAX)
    }

    /// Everything that is not acknowledged comes again, and what was being committed is told by its receipt.
    fn forget_all(&mut self) {
        self.items.clear();
        self.committing = None;
        self.forget.clear();
        self.estates.clear();
        self.asking.clear();
    }

    fn call(&mut self) -> Call {
        self.calls += 1;
        self.calls
    }

    fn delivered(&mut self, tag: Tag, message: Message) {
        if !self.linked {
            return;
        }
        let key = message.key();
        // A copy shares the answer of the one that is in hand.
        let item = self.items.entry(key).or_insert_with(|| {
            let wish = message.wish();
            let refused = match &wish {
                Wish::Refuse(why) => Some(Outcome::Refused((*why).to_owned())),
                _ => None,
            };
            let stage = if refused.is_some() { Stage::Over } else { Stage::Due(0) };
            Item { message, wish, accepted: false, outcome: refused, tags: Vec::new(), tries: 0, stage }
        });
        item.tags.push(tag);
    }

    fn item_of(&mut self, wanted: impl Fn(&Stage) -> bool) -> Option<(Key, &mut Item)> {
        self.items.iter_mut().find(|(_, i)| wanted(&i.stage)).map(|(k, i)| (*k, i))
    }

    fn on_service(&mut self, call: Call, reply: Reply) {
        let (now, poll) = (self.now, self.limits.poll);
        let Some((_, item)) = self.item_of(|s| *s == Stage::Asked(call)) else { return };
        match reply {
            Reply::Live => {
                item.accepted = true;
                item.tries = 0;
                item.stage = Stage::Due(now + poll);
            }
            Reply::Over(outcome) => {
                item.outcome = Some(outcome);
                item.stage = Stage::Over;
            }
            Reply::Later(after) => item.stage = Stage::Due(now + after.max(Self::AGAIN)),
            Reply::None => {
                item.tries += 1;
                let wait = Self::AGAIN << item.tries.min(6);
                item.stage = Stage::Due(now + wait.min(Self::MOST_WAIT));
            }
        }
    }

    fn on_marked(&mut self, call: Call, marked: Marked) {
        let now = self.now;
        for estate in self.estates.values_mut() {
            if let Some(key) = estate.left.iter().find(|(_, (c, _))| *c == Some(call)).map(|(k, _)| *k) {
                if matches!(marked, Marked::Written(_)) {
                    estate.left.remove(&key);
                } else {
                    estate.left.insert(key, (None, now + Self::AGAIN));
                }
                return;
            }
        }
        let wanted = |s: &Stage| matches!(s, Stage::Sealing(c) | Stage::Noting(c) | Stage::Answered(_, Some(c), _) if *c == call);
        let Some((key, item)) = self.item_of(wanted) else { return };
        match (&item.stage, marked) {
            (Stage::Sealing(_), Marked::Written(stamp)) => item.stage = Stage::Sealed(stamp),
            (Stage::Noting(_), Marked::Written(_)) => item.stage = Stage::Marked,
            (Stage::Answered(..), Marked::Written(_)) => {
                item.stage = Stage::Marked;
                self.forget.push(key);
            }
            // It is answered whatever the mark says: the next revision is read and written over.
            (Stage::Answered(stamp, ..), _) => item.stage = Stage::Answered(*stamp, None, now + Self::AGAIN),
            // Somebody has it, or this process has without having been told.
            _ => self.read(key),
        }
    }

    fn read(&mut self, key: Key) {
        let call = self.call();
        if let Some(item) = self.items.get_mut(&key) {
            item.stage = Stage::Reading(call);
            self.out.push(Effect::Read(call, key));
        }
    }

    fn on_mark(&mut self, call: Call, mark: Result<Option<(Mark, u64)>, ()>) {
        let (now, me) = (self.now, self.me);
        for (holder, estate) in &mut self.estates {
            let Some(key) = estate.left.iter().find(|(_, (c, _))| *c == Some(call)).map(|(k, _)| *k) else { continue };
            match mark {
                Ok(Some((Mark::Sealed(by), stamp))) if by == *holder => {
                    self.calls += 1;
                    estate.left.insert(key, (Some(self.calls), 0));
                    self.out.push(Effect::Write(self.calls, key, stamp, Mark::Answered));
                }
                // Answered, or forgotten since.
                Ok(_) => {
                    estate.left.remove(&key);
                }
                Err(()) => {
                    estate.left.insert(key, (None, now + Self::AGAIN));
                }
            }
            return;
        }
        let wanted = |s: &Stage| matches!(s, Stage::Reading(c) | Stage::Answered(_, Some(c), _) if *c == call);
        let Some((key, item)) = self.item_of(wanted) else { return };
        if let Stage::Answered(stamp, ..) = item.stage {
            item.stage = match mark {
                Ok(Some((Mark::Sealed(by), stamp))) if by == me => Stage::Answered(stamp, None, 0),
                Ok(_) => Stage::Marked,
                Err(()) => Stage::Answered(stamp, None, now + Self::AGAIN),
            };
            if item.stage == Stage::Marked {
                self.forget.push(key);
            }
            return;
        }
        item.stage = match mark {
            Ok(Some((Mark::Answered, _))) => Stage::Marked,
            // What this connection has committed is kept in hand until it is marked; so this was not.
            Ok(Some((Mark::Sealed(by), stamp))) if by == me => Stage::Sealed(stamp),
            Ok(Some((Mark::Sealed(by), stamp))) => Stage::Doubt(by, stamp, 0),
            Ok(None) => Stage::Over,
            Err(()) => {
                self.read(key);
                return;
            }
        };
    }

    fn on_committed(&mut self) {
        let now = self.now;
        for (key, acked) in self.committing.take().unwrap_or_default() {
            let Some(item) = self.items.get_mut(&key) else { continue };
            item.tags.retain(|t| !acked.contains(t));
            if let Stage::Committing(stamp) = item.stage {
                item.stage = Stage::Answered(stamp, None, now);
                item.tries = 0;
            }
        }
    }

    fn on_receipts(&mut self, holder: Holder, receipts: Receipts) {
        self.asking.remove(&holder);
        let now = self.now;
        match receipts {
            Receipts::Busy => {
                for item in self.items.values_mut() {
                    if let Stage::Doubt(h, _, at) = &mut item.stage
                        && *h == holder
                    {
                        *at = now + Self::AGAIN;
                    }
                }
            }
            Receipts::All(receipts) => {
                let left = receipts.iter().map(|k| (*k, (None, 0))).collect();
                self.estates.insert(holder, Estate { receipts, left, cleared: false });
            }
        }
    }

    fn pump(&mut self) {
        self.pump_service();
        self.pump_doubts();
        self.pump_estates();
        self.pump_seals();
        self.pump_commits();
        // What is marked and has no delivery left is done with; what comes again is found by its mark.
        self.items.retain(|_, i| i.stage != Stage::Marked || !i.tags.is_empty());
    }

    fn pump_service(&mut self) {
        let free = self
            .limits
            .calls
            .saturating_sub(self.items.values().filter(|i| matches!(i.stage, Stage::Asked(_))).count());
        let now = self.now;
        let mut due: Vec<(Micros, Key)> = self
            .items
            .iter()
            .filter_map(|(k, i)| match i.stage {
                Stage::Due(at) if at <= now => Some((at, *k)),
                _ => None,
            })
            .collect();
        due.sort_unstable();
        for (_, key) in due.into_iter().take(free) {
            let call = self.call();
            let Some(item) = self.items.get_mut(&key) else { continue };
            item.stage = Stage::Asked(call);
            self.out.push(match &item.wish {
                Wish::Submit(job, _) if item.accepted => Effect::Ask(call, job.clone()),
                Wish::Submit(_, body) => Effect::Submit(call, body.clone()),
                Wish::Cancel(job) => Effect::Cancel(call, job.clone()),
                Wish::Refuse(_) => continue,
            });
        }
    }

    fn pump_seals(&mut self) {
        let over: Vec<Key> = self.items.iter().filter(|(_, i)| i.stage == Stage::Over).map(|(k, _)| *k).collect();
        for key in over {
            let call = self.call();
            if let Some(item) = self.items.get_mut(&key) {
                item.stage = Stage::Sealing(call);
            }
            self.out.push(Effect::Write(call, key, 0, Mark::Sealed(self.me)));
        }
        let now = self.now;
        let noting = |s: &Stage| matches!(s, Stage::Answered(_, None, at) if *at <= now);
        let answered: Vec<Key> = self.items.iter().filter(|(_, i)| noting(&i.stage)).map(|(k, _)| *k).collect();
        for key in answered {
            let call = self.call();
            let Some(item) = self.items.get_mut(&key) else { continue };
            let Stage::Answered(stamp, ..) = item.stage else { continue };
            item.stage = Stage::Answered(stamp, Some(call), 0);
            // After a refusal the revision may have changed: it is read first then.
            item.tries += 1;
            self.out.push(if item.tries % 2 == 1 {
                Effect::Write(call, key, stamp, Mark::Answered)
            } else {
                Effect::Read(call, key)
            });
        }
    }

    /// Settles what another connection has sealed, once it is known which of its transactions were carried out.
    fn pump_doubts(&mut self) {
        let now = self.now;
        let doubts: Vec<(Key, Holder, u64)> = self
            .items
            .iter()
            .filter_map(|(k, i)| match i.stage {
                Stage::Doubt(holder, stamp, at) if at <= now => Some((*k, holder, stamp)),
                _ => None,
            })
            .collect();
        for (key, holder, stamp) in doubts {
            let Some(estate) = self.estates.get(&holder) else {
                if self.asking.insert(holder) {
                    self.out.push(Effect::ReadReceipts(holder));
                }
                continue;
            };
            let carried_out = estate.receipts.contains(&key);
            let call = self.call();
            let Some(item) = self.items.get_mut(&key) else { continue };
            let mark = if carried_out {
                item.stage = Stage::Noting(call);
                Mark::Answered
            } else {
                item.stage = Stage::Sealing(call);
                Mark::Sealed(self.me)
            };
            self.out.push(Effect::Write(call, key, stamp, mark));
        }
    }

    /// Writes down what the receipts of dead connections tell, and clears these when all of it is.
    fn pump_estates(&mut self) {
        let now = self.now;
        let mut calls = self.calls;
        for (holder, estate) in &mut self.estates {
            for (key, (call, _)) in estate.left.iter_mut().filter(|(_, (call, at))| call.is_none() && *at <= now) {
                calls += 1;
                *call = Some(calls);
                self.out.push(Effect::Read(calls, *key));
            }
            if estate.left.is_empty() && !std::mem::replace(&mut estate.cleared, true) {
                self.out.push(Effect::ClearReceipts(*holder));
            }
        }
        self.calls = calls;
        let wanted = |h: &Holder| self.items.values().any(|i| matches!(i.stage, Stage::Doubt(of, ..) if of == *h));
        self.estates.retain(|h, e| !e.left.is_empty() || wanted(h));
    }

    /// One transaction at a time: an answer with its acknowledgements, or the acknowledgements of what is marked.
    fn pump_commits(&mut self) {
        if self.committing.is_some() {
            return;
        }
        if let Some((key, item)) = self.item_of(|s| matches!(s, Stage::Sealed(_))) {
            let Stage::Sealed(stamp) = item.stage else { return };
            item.stage = Stage::Committing(stamp);
            let acks = item.tags.clone();
            let answer = item.message.reply_to.clone().zip(item.outcome.clone()).map(|(to, outcome)| Answer {
                to,
                correlation: item.message.correlation.clone(),
                of: key,
                outcome,
            });
            self.committing = Some(vec![(key, acks.clone())]);
            let forget = std::mem::take(&mut self.forget);
            self.out.push(Effect::Commit { answer, receipt: Some(key), acks, forget });
            return;
        }
        let marked = |i: &Item| matches!(i.stage, Stage::Marked | Stage::Answered(..)) && !i.tags.is_empty();
        let batch: Vec<(Key, Vec<Tag>)> =
            self.items.iter().filter(|(_, i)| marked(i)).map(|(k, i)| (*k, i.tags.clone())).collect();
        if !batch.is_empty() || !self.forget.is_empty() {
            let forget = std::mem::take(&mut self.forget);
            let acks = batch.iter().flat_map(|(_, tags)| tags.iter().copied()).collect();
            self.committing = Some(batch);
            self.out.push(Effect::Commit { answer: None, receipt: None, acks, forget });
        }
    }
}
