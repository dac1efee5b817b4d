//! A stand-in of broker, marks and controllers around several fronts, in simulated time.

pub mod broker;
mod script;

pub use script::Script;

use broker::{Broker, ChanId, Refused};
use cometlead_queues::answer::{Answer, Outcome, Post};
use cometlead_queues::front::{
    Call, Commit, Effect, Event, Front, Limits, Micros, Receipts, Reply,
};
use cometlead_queues::ledger::{LedgerLimits, Request, Told};
use cometlead_queues::mark::LinkState;
use cometlead_queues::{Holder, Key, Message};
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
    /// Processes are stopped cleanly, and start again.
    pub stops: u64,
    /// The broker loses queues of receipts.
    pub forgets: u64,
    /// Largest value at the state service.
    pub value_bytes: usize,
    /// When the day ends.
    pub end: Micros,
}

/// What a front sends to the broker.
#[derive(Clone, Debug)]
enum Frame {
    Open(Holder),
    Consume,
    Commit(Commit),
    Read(Holder),
    Clear(Holder, bool),
}

/// What is in the broker's queues.
#[derive(Clone, Debug)]
pub enum Letter {
    Work(Message),
    Receipt(Vec<Key>),
    Answer(Answer),
}

#[derive(Clone, Debug)]
enum Happening {
    Publish(Message),
    Copy,
    Restart,
    Forget,
    Kill(usize),
    Hang(usize, Micros),
    /// The state service and the controllers are away for so long.
    Out(Micros),
    Drop(usize),
    Start(usize),
    Stop(usize),
    Wake(usize),
    /// A frame reaches the broker over a connection.
    Frame(u64, Frame),
    /// The broker notices that a connection is gone.
    Close(u64),
    /// Something reaches a front: of a connection, or of one of its lives.
    Tell(usize, u64, Option<u64>, Event),
    /// A round reaches the state service late.
    Late(Request),
}

struct Conn {
    front: usize,
    holder: Option<Holder>,
    /// Deliveries of own receipts, with what they still tell.
    receipts: Vec<(u64, Vec<Key>)>,
    forgotten: BTreeSet<Key>,
}

struct Process {
    front: Front,
    life: u64,
    links: u64,
    conn: Option<u64>,
    hung: Micros,
    /// When it is woken next.
    wakes: Micros,
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
    pub broker: Broker<Letter>,
    /// Every message that was ever in the queue, by copy.
    seen: Vec<Message>,
    pub answers: Vec<Answer>,
    open: Option<(String, u64)>,
    closed: BTreeMap<u64, String>,
    stamp: u64,
    jobs: BTreeMap<String, (Micros, Option<Micros>)>,
    lost: BTreeSet<Key>,
    pub published: BTreeSet<Key>,
    pub finished: u64,
    out: (Micros, Micros),
}

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
            broker: Broker::new(),
            seen: Vec::new(),
            answers: Vec::new(),
            open: None,
            closed: BTreeMap::new(),
            stamp: 0,
            jobs: BTreeMap::new(),
            lost: BTreeSet::new(),
            published: BTreeSet::new(),
            finished: 0,
            out: (0, 0),
        };
        w.broker.declare("work");
        w.broker.declare("answers");
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
        spread(&mut w, day.hangs, &|f| Happening::Hang(f, 0));
        spread(&mut w, day.copies, &|_| Happening::Copy);
        spread(&mut w, day.restarts, &|_| Happening::Restart);
        spread(&mut w, day.stops, &Happening::Stop);
        spread(&mut w, day.forgets, &|_| Happening::Forget);
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
            if at > self.day.end {
                break;
            }
            self.now = at;
            let Some(what) = self.what.remove(&id) else {
                continue;
            };
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
                if !self.seen.is_empty() {
                    let m = self.pick(self.seen.len() as u64) as usize;
                    let m = self.seen[m].clone();
                    self.enqueue(m);
                }
            }
            Happening::Restart => {
                for c in self.conns.keys().copied().collect::<Vec<_>>() {
                    let front = self.conns[&c].front;
                    for letter in self.close(c, self.day.loses) {
                        if let Letter::Work(m) = letter {
                            self.lost.insert(m.key());
                        }
                    }
                    self.unlink(front, c);
                }
            }
            // A queue of receipts is lost with all that is in it; its connection goes with it.
            Happening::Forget => {
                let holders: Vec<(u64, Holder)> = self
                    .conns
                    .iter()
                    .filter_map(|(c, conn)| Some((*c, conn.holder?)))
                    .collect();
                if !holders.is_empty() {
                    let (c, holder) = holders[self.pick(holders.len() as u64) as usize];
                    let front = self.conns[&c].front;
                    self.close(c, false);
                    self.broker.delete(&queue_of(holder));
                    self.unlink(front, c);
                }
            }
            Happening::Stop(f) => {
                if self.fronts[f].as_ref().is_some_and(|p| p.hung <= self.now) {
                    self.event(f, Event::Stop);
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
            Happening::Out(span) => self.out = (self.now, self.now + span),
            Happening::Hang(f, span) => {
                let span = if span > 0 {
                    span
                } else {
                    1 + self.pick(15 * SECOND)
                };
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
            Happening::Close(c) => {
                self.close(c, false);
            }
            Happening::Frame(c, frame) => self.frame(c, frame),
            Happening::Late(request) => {
                self.state(&request);
            }
            Happening::Wake(f) => {
                let now = self.now;
                let Some(p) = self.fronts[f].as_mut().filter(|p| p.hung <= now) else {
                    return;
                };
                let held = std::mem::take(&mut p.held);
                for h in held {
                    self.happen(h);
                }
                self.event(f, Event::Tick);
            }
            Happening::Tell(f, life, conn, event) => {
                let now = self.now;
                let Some(p) = self.fronts[f].as_mut().filter(|p| p.life == life) else {
                    return;
                };
                if p.hung > now {
                    p.held.push_back(Happening::Tell(f, life, conn, event));
                    return;
                }
                if conn.is_some() && conn != p.conn {
                    return;
                }
                if matches!(event, Event::Down) {
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
        self.broker.enqueue("work", Letter::Work(m));
    }

    fn start(&mut self, f: usize) {
        if self.fronts[f].is_some() {
            return;
        }
        self.lives += 1;
        let run = self.rng.random();
        let ledger = LedgerLimits {
            value_bytes: self.day.value_bytes,
            rounds_per_s: 20,
            keep: 3_600 * SECOND,
        };
        let limits = Limits {
            calls: 4,
            submits_per_s: 20,
            polls_per_s: 20,
            poll: 2 * SECOND,
            ledger,
            queues: BTreeMap::new(),
        };
        let front = Front::new(run, limits);
        let life = self.lives;
        let hung = 0;
        self.fronts[f] = Some(Process {
            front,
            life,
            links: 0,
            conn: None,
            hung,
            wakes: 0,
            held: VecDeque::new(),
            last_frame: 0,
        });
        let at = self.soon(SECOND);
        self.link(f, life, at);
    }

    /// The connection is up at once; the front hears of it a little later.
    fn link(&mut self, f: usize, life: u64, at: Micros) {
        self.order += 1;
        let c = self.order;
        let Some(p) = self.fronts[f].as_mut() else {
            return;
        };
        p.links += 1;
        p.conn = Some(c);
        p.last_frame = at;
        let link = p.links;
        self.conns.insert(
            c,
            Conn {
                front: f,
                holder: None,
                receipts: Vec::new(),
                forgotten: BTreeSet::new(),
            },
        );
        self.broker.open((c, 1));
        self.broker.select((c, 1));
        self.at(at, Happening::Tell(f, life, Some(c), Event::Up(link)));
    }

    fn unlink(&mut self, f: usize, c: u64) {
        if let Some(life) = self.fronts[f]
            .as_ref()
            .filter(|p| p.conn == Some(c))
            .map(|p| p.life)
        {
            let at = self.soon(1_000);
            self.at(at, Happening::Tell(f, life, Some(c), Event::Down));
        }
    }

    /// The front loses its connection; the broker may notice later, and takes what is on its way until then.
    fn drop_link(&mut self, f: usize, c: u64) {
        self.unlink(f, c);
        let at = self.soon(2 * SECOND);
        self.at(at, Happening::Close(c));
    }

    fn close(&mut self, c: u64, lose: bool) -> Vec<Letter> {
        let Some(conn) = self.conns.remove(&c) else {
            return Vec::new();
        };
        // Receipts are durable; only what is on the work queue is lost.
        let own: Vec<Vec<Key>> = conn.receipts.into_iter().map(|(_, keys)| keys).collect();
        let lost = self.broker.close_all(c, lose);
        if let Some(holder) = conn.holder.filter(|_| lose) {
            own.into_iter().for_each(|keys| {
                self.broker
                    .enqueue(&queue_of(holder), Letter::Receipt(keys))
            });
        }
        self.unlink(conn.front, c);
        lost
    }

    fn deliver(&mut self) {
        for d in self.broker.deliver() {
            let (c, _) = d.to;
            let Some(conn) = self.conns.get_mut(&c) else {
                continue;
            };
            match d.message {
                Letter::Work(m) => {
                    let f = conn.front;
                    let Some((life, linked)) =
                        self.fronts[f].as_ref().map(|p| (p.life, p.last_frame))
                    else {
                        continue;
                    };
                    // Not before the front knows of its connection.
                    let at = self.soon(5_000).max(linked + 1);
                    let m = Message {
                        redelivered: d.redelivered,
                        ..m
                    };
                    self.at(
                        at,
                        Happening::Tell(f, life, Some(c), Event::Delivered(d.tag, m)),
                    );
                }
                Letter::Receipt(keys) if conn.holder.is_some_and(|h| queue_of(h) == d.queue) => {
                    conn.receipts.push((d.tag, keys));
                }
                Letter::Receipt(_) | Letter::Answer(_) => {}
            }
        }
        for letter in self.broker.drain("answers") {
            if let Letter::Answer(a) = letter {
                self.answers.push(a);
            }
        }
    }

    fn tell_over(&mut self, c: u64, event: Event) {
        let Some(f) = self.conns.get(&c).map(|c| c.front) else {
            return;
        };
        if let Some(life) = self.fronts[f].as_ref().map(|p| p.life) {
            let at = self.soon(5_000);
            self.at(at, Happening::Tell(f, life, Some(c), event));
        }
    }

    /// The channel on which a connection reads another one's receipts.
    fn inquiry(&mut self, c: u64, of: Holder) -> ChanId {
        (c, 2 + (of.run ^ of.link << 3) as u16 % 60_000)
    }

    fn frame(&mut self, c: u64, frame: Frame) {
        let Some(conn) = self.conns.get_mut(&c) else {
            return;
        };
        let told = match frame {
            Frame::Open(holder) => {
                let queue = queue_of(holder);
                conn.holder = Some(holder);
                self.broker.declare(&queue);
                Event::Opened(
                    self.broker
                        .consume((c, 1), &queue, "receipts", true, 0)
                        .is_ok(),
                )
            }
            Frame::Consume => {
                self.broker
                    .consume((c, 1), "work", "work", false, 6)
                    .expect("a work queue");
                return;
            }
            Frame::Commit(commit) => {
                let keys: Vec<Key> = commit.posts.iter().map(Post::of).collect();
                conn.forgotten.extend(commit.forget);
                let forgotten = &conn.forgotten;
                conn.receipts
                    .iter_mut()
                    .for_each(|(_, keys)| keys.retain(|k| !forgotten.contains(k)));
                let empty: Vec<u64> = conn
                    .receipts
                    .iter()
                    .filter(|(_, keys)| keys.is_empty())
                    .map(|(t, _)| *t)
                    .collect();
                conn.receipts.retain(|(_, keys)| !keys.is_empty());
                let holder = conn.holder.expect("a holder");
                for tag in commit.acks.iter().chain(&empty) {
                    self.broker.ack((c, 1), *tag).expect("a channel");
                }
                for post in commit.posts {
                    if let Post::Answer(a) = post {
                        self.broker
                            .publish((c, 1), &a.to.clone(), Letter::Answer(a));
                    }
                }
                if !keys.is_empty() {
                    self.broker
                        .publish((c, 1), &queue_of(holder), Letter::Receipt(keys));
                }
                self.broker
                    .commit((c, 1))
                    .expect("deliveries that are there");
                Event::Committed
            }
            Frame::Read(of) => {
                let chan = self.inquiry(c, of);
                self.broker.open(chan);
                let told = match self.broker.consume(chan, &queue_of(of), "inquiry", true, 0) {
                    Err(Refused::ReadByAnother) => Receipts::Busy,
                    Err(_) => Receipts::Lost,
                    Ok(()) => {
                        let read = self.broker.deliver().into_iter().filter(|d| d.to == chan);
                        let keys = read.filter_map(|d| match d.message {
                            Letter::Receipt(keys) => Some(keys),
                            _ => None,
                        });
                        Receipts::All(keys.flatten().collect())
                    }
                };
                if !matches!(told, Receipts::All(_)) {
                    self.broker.close(chan, false);
                }
                Event::Receipts(of, told)
            }
            Frame::Clear(of, delete) => {
                let chan = self.inquiry(c, of);
                if delete {
                    self.broker.delete(&queue_of(of));
                }
                self.broker.close(chan, false);
                if !delete {
                    return;
                }
                Event::Cleared(of)
            }
        };
        self.tell_over(c, told);
    }

    /// What the state service does with a request.
    fn state(&mut self, request: &Request) -> Told {
        match request {
            Request::Open => Told::Open(self.open.clone()),
            Request::Closed(from) => {
                let page: Vec<(u64, String)> = self
                    .closed
                    .range(from..)
                    .take(3)
                    .map(|(s, t)| (*s, t.clone()))
                    .collect();
                let more = page
                    .last()
                    .is_some_and(|(s, _)| self.closed.range(s + 1..).next().is_some());
                Told::Closed(page, more)
            }
            Request::Round {
                stamp,
                open,
                close,
                remove,
            } => {
                if self.open.as_ref().map_or(0, |(_, s)| *s) != *stamp {
                    return Told::Clash;
                }
                let most = [Some(open), close.as_ref().map(|(_, t)| t)]
                    .into_iter()
                    .flatten()
                    .map(String::len)
                    .max();
                assert!(
                    most.unwrap_or_default() <= self.day.value_bytes,
                    "a value of {most:?} bytes"
                );
                self.stamp += 1;
                self.open = Some((open.clone(), self.stamp));
                if let Some((seq, text)) = close {
                    assert!(
                        self.closed.insert(*seq, text.clone()).is_none(),
                        "a closed record never changes"
                    );
                }
                if let Some(seq) = remove {
                    self.closed.remove(seq);
                }
                Told::Applied(self.stamp)
            }
        }
    }

    fn event(&mut self, f: usize, event: Event) {
        let now = self.now;
        let Some(p) = self.fronts[f].as_mut() else {
            return;
        };
        let effects = p.front.handle(now, event);
        let (life, wake) = (p.life, p.front.wake());
        let wake = wake.max(now + 1_000);
        if wake < Micros::MAX && (wake < p.wakes || p.wakes <= now) {
            p.wakes = wake;
            self.at(wake, Happening::Wake(f));
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
            let Some(p) = w.fronts[f].as_mut() else {
                return;
            };
            p.last_frame = at.max(p.last_frame + 1);
            let at = p.last_frame;
            w.at(at, Happening::Frame(c, frame));
        };
        match effect {
            Effect::Commit(commit) => {
                send(self, Frame::Commit(commit));
                if self.chance(self.day.at_commits)
                    && let Some(c) = conn
                {
                    self.drop_link(f, c);
                }
            }
            Effect::Open(holder) => send(self, Frame::Open(holder)),
            Effect::Consume => send(self, Frame::Consume),
            Effect::ReadReceipts(of) => send(self, Frame::Read(of)),
            Effect::ClearReceipts(of, delete) => send(self, Frame::Clear(of, delete)),
            Effect::Drop => {
                if let Some(c) = conn {
                    self.drop_link(f, c);
                }
            }
            // The process ends, and its connection with it; another is started.
            Effect::Finished => {
                self.finished += 1;
                let now = self.now;
                self.at(now, Happening::Kill(f));
            }
            Effect::State(request) => {
                let told = if self.out_now() {
                    Told::Nothing
                } else if self.day.outages && self.chance(0.05) {
                    // Carried out later, and nobody is told.
                    let at = self.soon(20 * SECOND);
                    self.at(at, Happening::Late(request));
                    Told::Nothing
                } else {
                    let told = self.state(&request);
                    if self.chance(0.03) {
                        Told::Nothing
                    } else {
                        told
                    }
                };
                let at = self.soon(30_000);
                self.at(at, Happening::Tell(f, life, None, Event::State(told)));
            }
            Effect::Submit(call, body) => self.serve(f, life, call, &body),
            Effect::Ask(call, job) => {
                let reply = self.job(&job);
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
                        self.job(&job)
                    }
                };
                self.reply(f, life, call, reply);
            }
        }
    }

    fn job(&self, job: &str) -> Reply {
        match self.jobs.get(job) {
            Some((_, Some(_))) => Reply::Over(Outcome::Cancelled),
            Some((done, None)) if *done <= self.now => Reply::Over(Outcome::Done),
            Some(_) => Reply::Live,
            None => Reply::Unknown,
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
        let reply = self.job(&job);
        self.reply(f, life, call, reply);
    }

    fn reply(&mut self, f: usize, life: u64, call: Call, reply: Reply) {
        let reply = if self.out_now() || self.chance(0.03) {
            Reply::None
        } else {
            reply
        };
        let at = self.soon(50_000);
        self.at(
            at,
            Happening::Tell(f, life, None, Event::Service(call, reply)),
        );
    }

    /// What a client would complain of. Answers that say that they may be repeated are counted apart.
    pub fn verdict(&self) -> Vec<String> {
        let mut bad = Vec::new();
        for key in &self.published {
            let answers: Vec<&Answer> = self.answers.iter().filter(|a| a.of == *key).collect();
            let most = answers.iter().filter(|a| !a.repeated).count();
            let least = usize::from(!self.lost.contains(key));
            if most > 1 || answers.len() < least || answers.len() > most + self.day.forgets as usize
            {
                bad.push(format!(
                    "{key}: {} answers, {most} of them as if for the first time",
                    answers.len()
                ));
            }
            let message = self.seen.iter().find(|m| m.key() == *key);
            for a in answers {
                if Some(&a.correlation) != message.map(|m| &m.correlation) {
                    bad.push(format!("{key}: another message's answer"));
                }
                // What really ran is what is told.
                let ran = a.job.as_ref().and_then(|job| self.jobs.get(job));
                let agrees = match a.outcome {
                    Outcome::Done => ran.is_some_and(|(_, cancelled)| cancelled.is_none()),
                    Outcome::Cancelled => ran.is_some_and(|(_, cancelled)| cancelled.is_some()),
                    Outcome::Refused(_) => true,
                };
                if !agrees {
                    bad.push(format!("{key}: told {:?}, and it was {ran:?}", a.outcome));
                }
            }
        }
        bad
    }

    pub fn in_hand(&self) -> usize {
        self.fronts
            .iter()
            .flatten()
            .map(|p| p.front.in_hand())
            .sum()
    }

    /// Queues and connections on record that nobody will ever need.
    pub fn left_behind(&self) -> usize {
        let open = self.fronts.iter().flatten().find(|p| p.conn.is_some());
        // Lost ones are remembered for as long as marks name them.
        let left = |p: &Process| {
            p.front
                .ledger()
                .links()
                .values()
                .filter(|s| **s != LinkState::Lost)
                .count()
        };
        open.map_or(0, left).saturating_sub(self.day.fronts)
    }
}

fn queue_of(holder: Holder) -> String {
    format!("receipts.{holder}")
}
