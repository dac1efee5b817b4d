//! A stand-in of broker, marks and controllers around several fronts, in simulated time.

use cometlead_queues::front::{
    Answer, Call, Effect, Event, Front, Limits, Marked, Micros, Outcome, Receipts, Reply, Tag,
};
use cometlead_queues::{Holder, Key, Mark, Message};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

pub const SECOND: Micros = 1_000_000;

/// What a day may have.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub messages: u64,
    pub fronts: usize,
    /// Connections dropped, processes killed, processes that hang, copies made, restarts of the broker.
    pub drops: u64,
    pub kills: u64,
    pub hangs: u64,
    pub copies: u64,
    pub restarts: u64,
    /// Restarts lose what was delivered and not acknowledged.
    pub loses: bool,
    /// Marks and controllers are out for a while, and writes of marks may come late.
    pub outages: bool,
    /// Connections end in the moment in which a commit is on its way.
    pub at_commits: f64,
}

/// What a front sends to the broker.
#[derive(Clone, Debug)]
enum Frame {
    Commit(Option<Answer>, Option<Key>, Vec<Tag>, Vec<Key>),
    Read(Holder),
    Clear(Holder),
}

#[derive(Clone, Debug)]
enum Happening {
    Publish(Message),
    Copy,
    Restart,
    Kill(usize),
    Hang(usize),
    Drop(usize),
    Start(usize),
    Wake(usize),
    /// A frame reaches the broker over a connection.
    Frame(u64, Frame),
    /// The broker notices that a connection is gone.
    Close(u64),
    /// Something reaches a front: of a connection, or of one of its lives.
    Tell(usize, u64, Option<u64>, Event),
    Write(Key, u64, Mark),
}

struct Conn {
    front: usize,
    holder: Holder,
    unacked: BTreeMap<Tag, (u64, Message)>,
    next: Tag,
}

struct Process {
    front: Front,
    life: u64,
    conn: Option<u64>,
    hung: Micros,
    held: VecDeque<Happening>,
    last_frame: Micros,
}

pub struct World {
    day: Day,
    rng: StdRng,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Happening>,
    fronts: Vec<Option<Process>>,
    lives: u64,
    conns: BTreeMap<u64, Conn>,
    ready: VecDeque<(u64, Message)>,
    copies: u64,
    /// Every message that was ever in the queue, by copy.
    seen: Vec<Message>,
    pub answers: Vec<Answer>,
    receipts: BTreeMap<Holder, BTreeSet<Key>>,
    readers: BTreeMap<Holder, u64>,
    marks: BTreeMap<Key, (Mark, u64)>,
    stamp: u64,
    jobs: BTreeMap<String, (Micros, Option<Micros>)>,
    lost: BTreeSet<Key>,
    pub published: BTreeSet<Key>,
    out: (Micros, Micros),
}

const END: Micros = 400 * SECOND;

impl World {
    pub fn new(seed: u64, day: Day) -> World {
        let mut w = World {
            day,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            fronts: (0..day.fronts).map(|_| None).collect(),
            lives: 0,
            conns: BTreeMap::new(),
            ready: VecDeque::new(),
            copies: 0,
            seen: Vec::new(),
            answers: Vec::new(),
            receipts: BTreeMap::new(),
            readers: BTreeMap::new(),
            marks: BTreeMap::new(),
            stamp: 0,
            jobs: BTreeMap::new(),
            lost: BTreeSet::new(),
            published: BTreeSet::new(),
            out: (0, 0),
        };
        for f in 0..day.fronts {
            w.at(0, Happening::Start(f));
        }
        for i in 0..day.messages {
            let at = w.pick(100 * SECOND);
            // Two messages may name one job, one may name none, and some are no submissions.
            let body = match w.pick(8) {
                0 => format!(r#"{{"nameId":"req-{:06}","lane":"a"}}"#, w.pick(4)),
                1 => "[1]".to_owned(),
                _ => format!(r#"{{"lane":"a","n":{i}}}"#),
            };
            let message = Message {
                queue: "work".to_owned(),
                id: (i % 3 > 0).then(|| format!("m{i}")),
                reply_to: Some("answers".to_owned()),
                correlation: Some(format!("c{i}")),
                cancel: w.pick(12) == 0,
                body: body.into_bytes(),
                ..Message::default()
            };
            w.at(at, Happening::Publish(message));
        }
        let spread = |w: &mut World, n: u64, what: &dyn Fn(usize) -> Happening| {
            for _ in 0..n {
                let (at, f) = (w.pick(150 * SECOND), w.pick(day.fronts as u64) as usize);
                w.at(at, what(f));
            }
        };
        spread(&mut w, day.drops, &Happening::Drop);
        spread(&mut w, day.kills, &Happening::Kill);
        spread(&mut w, day.hangs, &Happening::Hang);
        spread(&mut w, day.copies, &|_| Happening::Copy);
        spread(&mut w, day.restarts, &|_| Happening::Restart);
        if day.outages {
            let from = w.pick(100 * SECOND);
            w.out = (from, from + w.pick(40 * SECOND));
        }
        w
    }

    fn pick(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    fn chance(&mut self, p: f64) -> bool {
        self.rng.random::<f64>() < p
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at.max(self.now), self.order)));
        self.what.insert(self.order, what);
    }

    fn soon(&mut self, most: Micros) -> Micros {
        self.now + 200 + self.pick(most)
    }

    fn out_now(&self) -> bool {
        (self.out.0..self.out.1).contains(&self.now)
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            let Some(what) = self.what.remove(&id) else { continue };
            self.happen(what);
            self.deliver();
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Publish(m) => {
                self.published.insert(m.key());
                self.enqueue(m);
            }
            Happening::Copy => {
                if let Some(m) = (!self.seen.is_empty()).then(|| self.pick(self.seen.len() as u64) as usize) {
                    let m = self.seen[m].clone();
                    self.enqueue(m);
                }
            }
            Happening::Restart => {
                for c in self.conns.keys().copied().collect::<Vec<_>>() {
                    if self.day.loses {
                        let lost: Vec<Key> = self.conns[&c].unacked.values().map(|(_, m)| m.key()).collect();
                        self.lost.extend(lost);
                        if let Some(conn) = self.conns.get_mut(&c) {
                            conn.unacked.clear();
                        }
                    }
                    let front = self.conns[&c].front;
                    self.close(c);
                    self.unlink(front, c);
                }
            }
            Happening::Start(f) => self.start(f),
            Happening::Kill(f) => {
                if let Some(p) = self.fronts[f].take() {
                    if let Some(c) = p.conn {
                        let at = self.soon(2 * SECOND);
                        self.at(at, Happening::Close(c));
                    }
                    let at = self.soon(5 * SECOND);
                    self.at(at, Happening::Start(f));
                }
            }
            Happening::Hang(f) => {
                let span = 1 + self.pick(15 * SECOND);
                let now = self.now;
                if let Some(p) = self.fronts[f].as_mut() {
                    p.hung = now + span;
                    let conn = p.conn;
                    self.at(now + span, Happening::Wake(f));
                    // The broker misses its heartbeats.
                    if let Some(c) = conn.filter(|_| span > 4 * SECOND) {
                        self.at(now + 4 * SECOND, Happening::Close(c));
                        self.at(now + 4 * SECOND, Happening::Drop(f));
                    }
                }
            }
            Happening::Drop(f) => {
                if let Some(c) = self.fronts[f].as_ref().and_then(|p| p.conn) {
                    self.drop_link(f, c);
                }
            }
            Happening::Close(c) => self.close(c),
            Happening::Frame(c, frame) => self.frame(c, frame),
            Happening::Write(key, stamp, mark) => {
                self.write(key, stamp, mark);
            }
            Happening::Wake(f) => {
                let now = self.now;
                let Some(p) = self.fronts[f].as_mut().filter(|p| p.hung <= now) else { return };
                let held = std::mem::take(&mut p.held);
                for h in held {
                    self.happen(h);
                }
                self.event(f, Event::Tick);
            }
            Happening::Tell(f, life, conn, event) => {
                let now = self.now;
                let Some(p) = self.fronts[f].as_mut().filter(|p| p.life == life) else { return };
                if p.hung > now {
                    p.held.push_back(Happening::Tell(f, life, conn, event));
                    return;
                }
                if conn.is_some() && conn != p.conn {
                    return;
                }
                if matches!(event, Event::Unlinked) {
                    p.conn = None;
                    self.event(f, event);
                    let at = self.soon(3 * SECOND);
                    self.link(f, life, at);
                    return;
                }
                self.event(f, event);
            }
        }
    }

    fn enqueue(&mut self, m: Message) {
        self.seen.push(m.clone());
        self.copies += 1;
        self.ready.push_back((self.copies, m));
    }

    fn start(&mut self, f: usize) {
        if self.fronts[f].is_some() {
            return;
        }
        self.lives += 1;
        let run = self.rng.random();
        let limits = Limits { calls: 4, poll: 2 * SECOND };
        let front = Front::new(run, limits);
        let life = self.lives;
        self.fronts[f] = Some(Process { front, life, conn: None, hung: 0, held: VecDeque::new(), last_frame: 0 });
        let at = self.soon(SECOND);
        self.link(f, life, at);
    }

    /// The connection is up at once; the front hears of it a little later.
    fn link(&mut self, f: usize, life: u64, at: Micros) {
        self.order += 1;
        let c = self.order;
        let Some(p) = self.fronts[f].as_mut() else { return };
        // The shell names the connection as the front is about to.
        let holder = Holder { run: p.front.holder().run, link: p.front.holder().link + 1 };
        p.conn = Some(c);
        p.last_frame = at;
        self.conns.insert(c, Conn { front: f, holder, unacked: BTreeMap::new(), next: 1 });
        self.receipts.entry(holder).or_default();
        self.readers.insert(holder, c);
        self.at(at, Happening::Tell(f, life, Some(c), Event::Linked));
    }

    fn unlink(&mut self, f: usize, c: u64) {
        if let Some(life) = self.fronts[f].as_ref().filter(|p| p.conn == Some(c)).map(|p| p.life) {
            let at = self.soon(1_000);
            self.at(at, Happening::Tell(f, life, Some(c), Event::Unlinked));
        }
    }

    /// The front loses its connection; the broker may notice later, and takes what is on its way until then.
    fn drop_link(&mut self, f: usize, c: u64) {
        self.unlink(f, c);
        let at = self.soon(2 * SECOND);
        self.at(at, Happening::Close(c));
    }

    fn close(&mut self, c: u64) {
        let Some(conn) = self.conns.remove(&c) else { return };
        // Its consumers go, and what they had comes back, in one step.
        self.readers.retain(|_, by| *by != c);
        for m in conn.unacked.into_values().rev() {
            self.ready.push_front(m);
        }
        self.unlink(conn.front, c);
    }

    fn deliver(&mut self) {
        const PREFETCH: usize = 6;
        let open: Vec<u64> = self.conns.iter().filter(|(_, c)| c.unacked.len() < PREFETCH).map(|(c, _)| *c).collect();
        if open.is_empty() {
            return;
        }
        while let Some((copy, m)) = self.ready.pop_front() {
            let c = open[self.pick(open.len() as u64) as usize];
            let Some(conn) = self.conns.get_mut(&c).filter(|c| c.unacked.len() < PREFETCH) else {
                self.ready.push_front((copy, m));
                return;
            };
            let tag = conn.next;
            conn.next += 1;
            conn.unacked.insert(tag, (copy, m.clone()));
            let f = conn.front;
            let Some((life, linked)) = self.fronts[f].as_ref().map(|p| (p.life, p.last_frame)) else { continue };
            // Not before the front knows of its connection.
            let at = self.soon(5_000).max(linked + 1);
            self.at(at, Happening::Tell(f, life, Some(c), Event::Delivered(tag, m)));
        }
    }

    fn frame(&mut self, c: u64, frame: Frame) {
        let Some(conn) = self.conns.get_mut(&c) else { return };
        let (f, holder) = (conn.front, conn.holder);
        let told = match frame {
            Frame::Commit(answer, receipt, acks, forget) => {
                acks.iter().for_each(|t| {
                    conn.unacked.remove(t);
                });
                self.answers.extend(answer);
                let mine = self.receipts.entry(holder).or_default();
                mine.extend(receipt);
                forget.iter().for_each(|k| {
                    mine.remove(k);
                });
                Event::Committed
            }
            Frame::Read(of) => {
                if self.readers.get(&of).is_some_and(|by| *by != c) {
                    Event::Receipts(of, Receipts::Busy)
                } else {
                    self.readers.insert(of, c);
                    Event::Receipts(of, Receipts::All(self.receipts.get(&of).cloned().unwrap_or_default()))
                }
            }
            Frame::Clear(of) => {
                self.receipts.remove(&of);
                self.readers.remove(&of);
                return;
            }
        };
        if let Some(life) = self.fronts[f].as_ref().map(|p| p.life) {
            let at = self.soon(5_000);
            self.at(at, Happening::Tell(f, life, Some(c), told));
        }
    }

    fn write(&mut self, key: Key, expected: u64, mark: Mark) -> Marked {
        if self.marks.get(&key).map_or(0, |(_, s)| *s) != expected {
            return Marked::Clash;
        }
        self.stamp += 1;
        self.marks.insert(key, (mark, self.stamp));
        Marked::Written(self.stamp)
    }

    fn event(&mut self, f: usize, event: Event) {
        let now = self.now;
        let Some(p) = self.fronts[f].as_mut() else { return };
        let effects = p.front.handle(now, event);
        let (life, wake) = (p.life, p.front.wake());
        if wake < Micros::MAX {
            self.at(wake.max(now + 1_000), Happening::Wake(f));
        }
        for e in effects {
            self.effect(f, life, e);
        }
    }

    fn effect(&mut self, f: usize, life: u64, effect: Effect) {
        let conn = self.fronts[f].as_ref().and_then(|p| p.conn);
        let send = |w: &mut World, frame: Frame| {
            let Some(c) = conn else { return };
            let at = w.soon(5_000);
            let Some(p) = w.fronts[f].as_mut() else { return };
            p.last_frame = at.max(p.last_frame + 1);
            let at = p.last_frame;
            w.at(at, Happening::Frame(c, frame));
        };
        match effect {
            Effect::Commit { answer, receipt, acks, forget } => {
                send(self, Frame::Commit(answer, receipt, acks, forget));
                if self.chance(self.day.at_commits)
                    && let Some(c) = conn
                {
                    self.drop_link(f, c);
                }
            }
            Effect::ReadReceipts(of) => send(self, Frame::Read(of)),
            Effect::ClearReceipts(of) => send(self, Frame::Clear(of)),
            Effect::Write(call, key, stamp, mark) => {
                let told = if self.out_now() {
                    Marked::Unknown
                } else if self.day.outages && self.chance(0.05) {
                    // Carried out later, and nobody is told.
                    let at = self.soon(20 * SECOND);
                    self.at(at, Happening::Write(key, stamp, mark));
                    Marked::Unknown
                } else {
                    let done = self.write(key, stamp, mark);
                    if self.chance(0.03) { Marked::Unknown } else { done }
                };
                let at = self.soon(30_000);
                self.at(at, Happening::Tell(f, life, None, Event::Marked(call, told)));
            }
            Effect::Read(call, key) => {
                let told =
                    if self.out_now() || self.chance(0.03) { Err(()) } else { Ok(self.marks.get(&key).copied()) };
                let at = self.soon(30_000);
                self.at(at, Happening::Tell(f, life, None, Event::MarkIs(call, told)));
            }
            Effect::Submit(call, body) => self.serve(f, life, call, &body),
            Effect::Ask(call, job) => {
                let reply = self.state(&job);
                self.reply(f, life, call, reply);
            }
            Effect::Cancel(call, job) => {
                let now = self.now;
                let reply = match self.jobs.get_mut(&job) {
                    None => Reply::Over(Outcome::Refused("no such job".to_owned())),
                    Some((done, cancelled)) => {
                        if *done > now {
                            cancelled.get_or_insert(now);
                        }
                        self.state(&job)
                    }
                };
                self.reply(f, life, call, reply);
            }
        }
    }

    fn state(&self, job: &str) -> Reply {
        match self.jobs.get(job) {
            Some((_, Some(_))) => Reply::Over(Outcome::Cancelled),
            Some((done, None)) if *done <= self.now => Reply::Over(Outcome::Done),
            Some(_) => Reply::Live,
            None => Reply::None,
        }
    }

    fn serve(&mut self, f: usize, life: u64, call: Call, body: &[u8]) {
        let body: serde_json::Value = serde_json::from_slice(body).expect("a submission");
        let job = body["nameId"].as_str().expect("a name").to_owned();
        if self.out_now() || self.chance(0.1) {
            return self.reply(f, life, call, Reply::Later(SECOND));
        }
        let done = self.now + SECOND + self.pick(20 * SECOND);
        self.jobs.entry(job.clone()).or_insert((done, None));
        let reply = self.state(&job);
        self.reply(f, life, call, reply);
    }

    fn reply(&mut self, f: usize, life: u64, call: Call, reply: Reply) {
        let reply = if self.out_now() || self.chance(0.03) { Reply::None } else { reply };
        let at = self.soon(50_000);
        self.at(at, Happening::Tell(f, life, None, Event::Service(call, reply)));
    }

    /// What a client would complain of.
    pub fn verdict(&self) -> Vec<String> {
        let mut bad = Vec::new();
        for key in &self.published {
            let answers: Vec<&Answer> = self.answers.iter().filter(|a| a.of == *key).collect();
            let least = usize::from(!self.lost.contains(key));
            if answers.len() > 1 || answers.len() < least {
                bad.push(format!("{key}: {} answers, {:?}", answers.len(), self.marks.get(key)));
            }
            let message = self.seen.iter().find(|m| m.key() == *key);
            for a in answers {
                if Some(&a.correlation) != message.map(|m| &m.correlation) {
                    bad.push(format!("{key}: another message's answer"));
                }
            }
        }
        bad
    }

    pub fn in_hand(&self) -> usize {
        self.fronts.iter().flatten().map(|p| p.front.in_hand()).sum()
    }
}
