//! The ledger: every front's own full copy of all marks, written in rounds with a revision check.
//!
//! Marks are appended to one open record at the state service, on condition that it is still as this copy knows it;
//! a full one is closed and a new one is opened in the same transaction. Whoever finds the record changed reads
//! what was added, looks at its own writes again, and goes on with those that still stand. So a round costs one write
//! or two whatever it carries, and what is known already is never asked for.
//!
//! A round whose outcome is unknown may still be carried out, but only while the open record stays as it was; the
//! next round depends on the very same revision. So one of the two is carried out, and a write that turns out to be
//! there already is done.

mod wire;

use crate::front::Micros;
use crate::mark::{Holder, LinkState, Mark};
use crate::message::Key;
use crate::schedule::Bucket;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
pub use wire::BadRecord;
use wire::{Entry, MOST_HOLDERS, Record};

/// What the ledger may take.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Largest value at the state service, in bytes.
    pub value_bytes: usize,
    /// Most rounds a second; each is one write, or two where a record is closed, and one more where an old one goes.
    pub rounds_per_s: u32,
    /// How long marks are kept.
    pub keep: Micros,
}

/// A request to the state service. One is under way at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Read the open record.
    Open,
    /// Read closed records, beginning with this number, a page of them.
    Closed(u64),
    /// A round.
    Round {
        /// The revision that the open record must have, 0 if there is none.
        stamp: u64,
        /// The open record's new text.
        open: String,
        /// A record that is closed with it: its number and text.
        close: Option<(u64, String)>,
        /// A closed record that is removed.
        remove: Option<u64>,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The open record with its revision, if there is one.
    Open(Option<(String, u64)>),
    /// Closed records in their order, and whether there are more.
    Closed(Vec<(u64, String)>, bool),
    /// The round was carried out, at this revision.
    Applied(u64),
    /// It was not: the open record is another one.
    Clash,
    /// No answer, or none that says anything.
    Nothing,
}

/// A change that somebody wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// A message's mark, if it has this version.
    Mark(Key, u16, Mark),
    /// A connection on record: from this state to that one.
    Link(Holder, Option<LinkState>, Option<LinkState>),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// The mark is written with this version, or, without one, is not as it was expected.
    Mark(Key, Option<u16>),
    /// The connection is on record as wished, or is not as it was expected.
    Link(Holder, bool),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    version: u16,
    mark: Mark,
    /// The record that holds it.
    seq: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The open record is to be read.
    Behind,
    /// Closed records are to be read, from this number on.
    Catching(u64),
    /// The copy is as new as is known.
    Ready,
}

/// The copy.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    phase: Phase,
    /// A request is under way.
    asked: bool,
    /// No request before this time.
    rest: Micros,
    failures: u32,
    /// How often the open record was asked for; which of these times it was read last, and which one is wanted.
    opens: u64,
    fresh: u64,
    wanted: u64,
    rate: Bucket,
    marks: HashMap<Key, Known>,
    links: BTreeMap<Holder, LinkState>,
    /// Revision of the open record, its number, and the first closed one that is kept.
    stamp: u64,
    seq: u64,
    first: u64,
    /// Closed records before this number are in the copy.
    loaded: u64,
    /// Whose newest marks the open record holds.
    open: BTreeSet<Key>,
    /// When the newest mark of each closed record was written.
    newest: BTreeMap<u64, u64>,
    /// What was read of the open record while closed ones are still missing.
    read: Option<(Record, u64)>,
    waiting: VecDeque<Write>,
    /// The round under way, with what it closes and removes.
    sent: Option<(Vec<Write>, bool, Option<u64>)>,
    /// Nobody waits for it any more.
    orphaned: bool,
    /// The first closed record that was kept when old marks were dropped last.
    dropped: u64,
    swept: Micros,
    done: Vec<Done>,
    clashes: u64,
    rounds: u64,
}

impl Ledger {
    const AGAIN: Micros = 200_000;
    const MOST_WAIT: Micros = 5_000_000;
    /// How often it is looked for records that are old.
    const SWEEP: Micros = 10_000_000;

    /// An empty copy that knows nothing yet.
    pub fn new(limits: LedgerLimits) -> Ledger {
        Ledger {
            limits,
            phase: Phase::Behind,
            asked: false,
            rest: 0,
            failures: 0,
            opens: 0,
            fresh: 0,
            wanted: 0,
            rate: Bucket::new(limits.rounds_per_s),
            marks: HashMap::new(),
            links: BTreeMap::new(),
            stamp: 0,
            seq: 0,
            first: 0,
            loaded: 0,
            open: BTreeSet::new(),
            newest: BTreeMap::new(),
            read: None,
            waiting: VecDeque::new(),
            sent: None,
            orphaned: false,
            dropped: 0,
            swept: 0,
            done: Vec::new(),
            clashes: 0,
            rounds: 0,
        }
    }

    /// A message's mark and its version, as far as this copy knows.
    pub fn mark(&self, key: Key) -> Option<(Mark, u16)> {
        self.marks.get(&key).map(|k| (k.mark, k.version))
    }

    /// Connections on record, and how they stand.
    pub fn links(&self) -> &BTreeMap<Holder, LinkState> {
        &self.links
    }

    /// Whether any mark says that this connection has sealed a message. Looks at all of them.
    pub fn has_seals_of(&self, holder: Holder) -> bool {
        self.marks
            .values()
            .any(|k| holder_of(k.mark) == Some(holder))
    }

    /// Marks that are kept.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Rounds that were carried out, and rounds that clashed.
    pub fn rounds(&self) -> (u64, u64) {
        (self.rounds, self.clashes)
    }

    /// Writes a mark where it has this version, 0 if there is none.
    pub fn write(&mut self, key: Key, version: u16, mark: Mark) {
        self.waiting.push_back(Write::Mark(key, version, mark));
    }

    /// Puts a connection on record, or takes it off.
    pub fn link(&mut self, holder: Holder, from: Option<LinkState>, to: Option<LinkState>) {
        self.waiting.push_back(Write::Link(holder, from, to));
    }

    /// Reads what others have written until now: a copy that writes nothing is not told by any clash. The number says
    /// when that is done, see [`Ledger::is_fresh`].
    pub fn refresh(&mut self) -> u64 {
        // A request that is under way may have been answered before now.
        self.wanted = self.opens + 1;
        self.wanted
    }

    /// Whether the copy holds all that was written before that call of [`Ledger::refresh`].
    pub fn is_fresh(&self, number: u64) -> bool {
        self.phase == Phase::Ready && self.fresh >= number
    }

    /// Forgets what was wanted, except that connections be taken off.
    pub fn forget(&mut self) {
        self.waiting.retain(Self::outlives);
        // The round under way may be carried out, and belongs to the copy then; but it is not sent again.
        self.orphaned = self.sent.is_some();
    }

    fn outlives(write: &Write) -> bool {
        matches!(write, Write::Link(_, _, None))
    }

    /// What became of what was wanted.
    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }

    /// When it next wants to be asked.
    pub fn wake(&self) -> Micros {
        if self.asked {
            return Micros::MAX;
        }
        match self.phase {
            Phase::Ready if self.fresh < self.wanted => self.rest,
            Phase::Ready if self.waiting.is_empty() => {
                self.rest.max(self.rate.at()).max(self.swept + Self::SWEEP)
            }
            Phase::Ready => self.rest.max(self.rate.at()),
            _ => self.rest,
        }
    }

    /// The next request, if there is one to be sent now.
    pub fn ask(&mut self, now: Micros) -> Option<Request> {
        if self.asked || now < self.rest {
            return None;
        }
        let request = match self.phase {
            Phase::Ready if self.fresh >= self.wanted => self.round(now)?,
            Phase::Behind | Phase::Ready => {
                self.opens += 1;
                Request::Open
            }
            Phase::Catching(from) => Request::Closed(from),
        };
        self.asked = true;
        Some(request)
    }

    /// Takes an answer.
    pub fn told(&mut self, now: Micros, told: Told) {
        self.asked = false;
        if told == Told::Nothing {
            self.failures += 1;
            let wait = Self::AGAIN << (self.failures - 1).min(5);
            self.rest = now + wait.min(Self::MOST_WAIT);
        } else {
            self.failures = 0;
        }
        match told {
            Told::Open(None) => self.take_open(Record::default(), 0),
            Told::Open(Some((text, stamp))) => match Record::decode(&text) {
                Ok(record) => self.take_open(record, stamp),
                Err(error) => self.unreadable(now, "open", &error),
            },
            Told::Closed(records, more) => self.take_closed(now, records, more),
            Told::Applied(stamp) => self.applied(stamp),
            Told::Clash => {
                self.clashes += 1;
                self.behind();
            }
            Told::Nothing if self.sent.is_some() => self.behind(),
            Told::Nothing => {}
        }
    }

    /// What another version wrote is not overwritten: it is read again, seldom.
    fn unreadable(&mut self, now: Micros, record: &str, error: &BadRecord) {
        tracing::error!(record, %error, "marks cannot be read");
        self.rest = now + Self::MOST_WAIT;
        self.phase = Phase::Behind;
    }

    /// Somebody else has written, or this copy has without knowing it: all writes under way are looked at again.
    fn behind(&mut self) {
        if let Some((writes, ..)) = self.sent.take() {
            let orphaned = std::mem::take(&mut self.orphaned);
            for write in writes
                .into_iter()
                .rev()
                .filter(|w| !orphaned || Self::outlives(w))
            {
                self.waiting.push_front(write);
            }
        }
        self.phase = Phase::Behind;
    }

    fn take_open(&mut self, record: Record, stamp: u64) {
        let from = self.loaded.max(record.first);
        if from < record.seq {
            self.phase = Phase::Catching(from);
            self.read = Some((record, stamp));
            return;
        }
        self.stamp = stamp;
        self.seq = record.seq;
        self.loaded = record.seq;
        self.first = record.first;
        self.links = record.links;
        self.open.clear();
        for entry in record.entries {
            self.take_entry(entry, record.seq);
        }
        self.drop_old();
        self.fresh = self.opens;
        self.phase = Phase::Ready;
    }

    fn take_entry(&mut self, entry: Entry, seq: u64) {
        let known = Known {
            version: entry.version,
            mark: entry.mark,
            seq,
        };
        let newer = self
            .marks
            .get(&entry.key)
            .is_none_or(|k| k.version <= entry.version);
        if newer {
            self.marks.insert(entry.key, known);
        }
        if seq == self.seq {
            self.open.insert(entry.key);
        }
    }

    fn take_closed(&mut self, now: Micros, records: Vec<(u64, String)>, more: bool) {
        let Phase::Catching(mut next) = self.phase else {
            return;
        };
        let Some((open, stamp)) = self.read.take() else {
            self.phase = Phase::Behind;
            return;
        };
        for (seq, text) in records {
            // One that is missing was removed since: what is kept has to be looked up again.
            if seq != next || seq >= open.seq {
                break;
            }
            match Record::decode(&text) {
                Ok(record) => {
                    let newest = record
                        .entries
                        .iter()
                        .map(|e| e.mark.at())
                        .max()
                        .unwrap_or_default();
                    self.newest.insert(seq, newest);
                    record
                        .entries
                        .into_iter()
                        .for_each(|e| self.take_entry(e, seq));
                }
                Err(error) => {
                    self.unreadable(now, "closed", &error);
                    return;
                }
            }
            next = seq + 1;
            self.loaded = next;
        }
        if next >= open.seq {
            self.take_open(open, stamp);
        } else if more {
            self.phase = Phase::Catching(next);
            self.read = Some((open, stamp));
        } else {
            self.phase = Phase::Behind;
        }
    }

    /// Marks of records that are not kept any more.
    fn drop_old(&mut self) {
        let first = self.first;
        if first > std::mem::replace(&mut self.dropped, first) {
            self.newest.retain(|seq, _| *seq >= first);
            self.marks.retain(|_, k| k.seq >= first);
        }
    }

    /// Looks at a change: whether it still stands, or is settled already.
    fn judge(
        &mut self,
        write: Write,
        links: &BTreeMap<Holder, LinkState>,
        marked: &HashMap<Key, (u16, Mark)>,
    ) -> bool {
        match write {
            Write::Mark(key, version, mark) => {
                let now = marked
                    .get(&key)
                    .copied()
                    .or_else(|| self.mark(key).map(|(m, v)| (v, m)));
                match now {
                    Some((v, m)) if v == version.saturating_add(1) && same(m, mark) => {
                        self.done.push(Done::Mark(key, Some(v)));
                        false
                    }
                    now if now.map_or(0, |(v, _)| v) == version => true,
                    _ => {
                        self.done.push(Done::Mark(key, None));
                        false
                    }
                }
            }
            Write::Link(holder, from, to) => {
                let now = links.get(&holder).copied();
                if now == from && now != to {
                    return true;
                }
                self.done.push(Done::Link(holder, now == to));
                false
            }
        }
    }

    /// Puts together a round of what waits and still stands, as much as one record holds.
    fn round(&mut self, now: Micros) -> Option<Request> {
        if !self.rate.is_free(now) {
            return None;
        }
        let remove = self.old_record(now);
        if self.waiting.is_empty() && remove.is_none() {
            return None;
        }
        let entries: Vec<Entry> = self.open.iter().filter_map(|k| self.entry(*k)).collect();
        let kept: BTreeSet<Holder> = entries.iter().filter_map(|e| holder_of(e.mark)).collect();
        let (mut writes, mut full) = self.gather(&kept, entries.len());
        // What does not fit beside the marks of the open record begins a new one.
        let close = full && !entries.is_empty();
        if close {
            for write in writes.into_iter().rev() {
                self.waiting.push_front(write);
            }
            (writes, full) = self.gather(&BTreeSet::new(), 0);
        }
        if full && writes.is_empty() {
            tracing::error!(
                links = self.links.len(),
                "too many connections on record for one value"
            );
            self.rest = now + Self::MOST_WAIT;
        }
        if writes.is_empty() && remove.is_none() {
            return None;
        }
        let mut record = Record {
            first: remove.map_or(self.first, |r| r + 1),
            seq: self.seq + u64::from(close),
            links: self.links.clone(),
            entries: if close { Vec::new() } else { entries.clone() },
        };
        for write in &writes {
            match *write {
                Write::Mark(key, version, mark) => {
                    record.entries.retain(|e| e.key != key);
                    record.entries.push(Entry {
                        key,
                        version: version.saturating_add(1),
                        mark,
                    });
                }
                Write::Link(holder, _, Some(state)) => {
                    record.links.insert(holder, state);
                }
                Write::Link(holder, _, None) => {
                    record.links.remove(&holder);
                }
            }
        }
        let closed = Record {
            entries,
            ..Record::default()
        };
        let request = Request::Round {
            stamp: self.stamp,
            open: record.encode(true),
            close: close.then(|| (self.seq, closed.encode(false))),
            remove,
        };
        self.rate.pass(now);
        self.sent = Some((writes, close, remove));
        Some(request)
    }

    fn entry(&self, key: Key) -> Option<Entry> {
        self.marks.get(&key).map(|k| Entry {
            key,
            version: k.version,
            mark: k.mark,
        })
    }

    /// Takes what stands of what waits until a record with so much in it is full; and whether it is.
    fn gather(&mut self, kept: &BTreeSet<Holder>, mut entries: usize) -> (Vec<Write>, bool) {
        let (mut holders, mut links) = (kept.clone(), self.links.clone());
        let mut marked = HashMap::new();
        let mut writes = Vec::new();
        while let Some(write) = self.waiting.pop_front() {
            if !self.judge(write, &links, &marked) {
                continue;
            }
            match write {
                Write::Mark(key, version, mark) => {
                    holders.extend(holder_of(mark));
                    marked.insert(key, (version.saturating_add(1), mark));
                    entries += 1;
                }
                Write::Link(holder, _, Some(state)) => {
                    links.insert(holder, state);
                }
                Write::Link(holder, _, None) => {
                    links.remove(&holder);
                }
            }
            let size = Record::size(links.len(), holders.len(), entries);
            let shrinks = matches!(write, Write::Link(_, _, None));
            if !shrinks && (size > self.limits.value_bytes || holders.len() >= MOST_HOLDERS) {
                self.waiting.push_front(write);
                return (writes, true);
            }
            writes.push(write);
        }
        (writes, false)
    }

    /// The oldest closed record, if nothing can come of it any more.
    fn old_record(&mut self, now: Micros) -> Option<u64> {
        if now < self.swept + Self::SWEEP {
            return None;
        }
        self.swept = now;
        let (seq, newest) = self.newest.first_key_value().map(|(s, n)| (*s, *n))?;
        if newest >= now.saturating_sub(self.limits.keep) / 1_000_000 || seq != self.first {
            return None;
        }
        // What a connection on record has sealed may still be told by its receipts.
        let mut of = self.marks.values().filter(|k| k.seq == seq);
        let held = of.any(|k| matches!(k.mark, Mark::Sealed(h, _) if self.links.contains_key(&h)));
        // The next one may be old as well.
        self.swept = if held { now } else { now - Self::SWEEP };
        (!held).then_some(seq)
    }

    fn applied(&mut self, stamp: u64) {
        self.rounds += 1;
        self.orphaned = false;
        let Some((writes, close, remove)) = self.sent.take() else {
            self.phase = Phase::Behind;
            return;
        };
        if close {
            let newest = self
                .open
                .iter()
                .filter_map(|k| self.marks.get(k))
                .map(|k| k.mark.at())
                .max();
            self.newest.insert(self.seq, newest.unwrap_or_default());
            self.open.clear();
            self.seq += 1;
            self.loaded = self.seq;
        }
        self.stamp = stamp;
        for write in writes {
            match write {
                Write::Mark(key, version, mark) => {
                    let version = version.saturating_add(1);
                    self.marks.insert(
                        key,
                        Known {
                            version,
                            mark,
                            seq: self.seq,
                        },
                    );
                    self.open.insert(key);
                    self.done.push(Done::Mark(key, Some(version)));
                }
                Write::Link(holder, _, to) => {
                    match to {
                        Some(state) => self.links.insert(holder, state),
                        None => self.links.remove(&holder),
                    };
                    self.done.push(Done::Link(holder, true));
                }
            }
        }
        if let Some(removed) = remove {
            self.first = removed + 1;
            self.drop_old();
        }
    }
}

fn holder_of(mark: Mark) -> Option<Holder> {
    match mark {
        Mark::Sealed(holder, _) => Some(holder),
        Mark::Answered(_) => None,
    }
}

/// Whether two marks say the same, whenever they were written.
fn same(one: Mark, other: Mark) -> bool {
    match (one, other) {
        (Mark::Sealed(a, _), Mark::Sealed(b, _)) => a == b,
        (Mark::Answered(_), Mark::Answered(_)) => true,
        _ => false,
    }
}
