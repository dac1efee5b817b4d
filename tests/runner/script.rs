//! Scenario files: one statement a line, refused with its line number where it is not understood.

pub use cometlead_emulator::standins::cloud::TypeSpec;
use std::collections::BTreeMap;

/// A party that a fault can name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Node(usize),
    Machine(u64),
    Nodes,
    Machines,
    State,
    Cloud,
    /// All machines and controllers of a zone.
    Zone(String),
    /// Whatever is not in the zone that a cut names.
    Outside,
}

impl Party {
    fn parse(text: &str) -> Option<Party> {
        Some(match text {
            "state" => Party::State,
            "cloud" => Party::Cloud,
            "nodes" => Party::Nodes,
            "machines" => Party::Machines,
            "outside" => Party::Outside,
            _ if text.starts_with("zone-") => Party::Zone(text[5..].to_owned()),
            _ => match (text.strip_prefix('n'), text.strip_prefix("i-")) {
                (_, Some(m)) => Party::Machine(m.parse().ok()?),
                (Some(n), _) => Party::Node(n.parse().ok()?),
                _ => return None,
            },
        })
    }

    /// Whether a fault on `self` concerns `one`.
    pub fn covers(&self, one: &Party) -> bool {
        self == one
            || matches!(
                (self, one),
                (Party::Nodes, Party::Node(_)) | (Party::Machines, Party::Machine(_))
            )
    }
}

/// What a cut does to messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Drop,
    Hold,
    /// Every message arrives twice, the second time late. Direct commands excepted: TCP delivers
    /// a request once, and one that was answered is over.
    Repeat,
    /// Direct commands arrive when it is over, everything else at once.
    LateCommands,
    /// Every message takes up to two seconds, each on its own.
    Slow,
    /// Only answers are lost.
    Deaf,
    /// Connections are reset: nothing arrives, and who sends learns so at once.
    Reset,
}

/// Where copies of reports go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiesTo {
    /// Where the report went.
    Same,
    /// To the controller that next takes slices over.
    Next,
    /// Just then to every controller.
    All,
}

#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        job: u64,
        fields: BTreeMap<String, String>,
        node: Option<usize>,
    },
    Abort {
        job: u64,
        node: Option<usize>,
    },
    Query {
        job: u64,
        node: Option<usize>,
    },
    Crash {
        node: Option<usize>,
        down: u64,
    },
    Cut {
        a: Party,
        b: Party,
        mode: Mode,
        span: u64,
    },
    Outage {
        party: Party,
        span: u64,
    },
    Refuse {
        node: usize,
        span: u64,
    },
    /// The state service refuses one controller for its rate.
    Throttle {
        node: usize,
        span: u64,
    },
    Hang {
        party: Party,
        span: u64,
    },
    /// This share of transactions, of one kind or of all, gets no answer. It is carried out 2 to 12 s later, after newer
    /// ones; or at once, so that only the answer is lost.
    LateWrites {
        share: f64,
        span: u64,
        at_once: bool,
        of: Option<String>,
    },
    /// Of this share of the reports a copy arrives again: from 2 s to two and a half leases later, or just as a controller
    /// takes slices over, there or at every controller.
    LateReports {
        share: f64,
        span: u64,
        to: CopiesTo,
    },
    /// Machines by number from this one on reach no controller; direct commands to them arrive and are answered.
    Mute {
        machine: u64,
        count: u64,
        span: u64,
    },
    /// Users call off so many jobs that run, within a fifth of a second; up to eight of their machines hang so long.
    CancelNow {
        count: usize,
        hang: u64,
    },
    /// Of the jobs that end this share is called off at the moment of the end.
    CancelAtEnd {
        share: f64,
        span: u64,
    },
    /// Users ask at all nodes and submit again within milliseconds after a job was accepted, ended or cancelled; this share
    /// of them cancels.
    CloseLooks {
        aborts: f64,
        span: u64,
    },
    /// Users repeat submissions, cancel what is done, and send what can never run or lacks a field.
    OddRequests {
        span: u64,
    },
    /// Machines by number from this one on are deaf: their reports arrive, answers and commands to them are lost.
    Deaf {
        machine: u64,
        count: u64,
        span: u64,
    },
    /// A zone loses its power: its machines are gone, its controllers come back later.
    Die {
        zone: String,
        down: u64,
    },
    /// Machines are taken back, by number from this one on.
    Take {
        machine: u64,
        count: u64,
        notice: u64,
    },
    Faulty {
        machine: u64,
    },
    /// The state service has its next limits from now on.
    Limits,
    /// A controller ends, and comes back with this version or the one before.
    Change {
        node: usize,
        down: u64,
        new: bool,
    },
    /// What is rented takes so many times as long to come up.
    Boots {
        factor: f64,
        span: u64,
    },
    /// Users ask about these jobs, so often a second, each time once.
    Polls {
        job: u64,
        count: u64,
        rate: f64,
        span: u64,
    },
    /// A controller ends, and comes back with these rules, or none.
    Rules {
        node: usize,
        name: Option<String>,
        down: u64,
    },
    /// A later deploy file has this team; controllers that start from now on read it.
    Team {
        name: String,
        cores: f64,
        most: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    Done(u64),
    Cancelled(u64),
    Unknown(u64),
    AllDone,
    Clashes,
    Takeovers(u64),
    FewTakeovers(u64),
    LostLeases(u64),
    FewerMachines(u64),
    /// Some slice had at least so many group records at once.
    Groups(u64),
    /// Every machine that is up at the end has a record.
    AllRecorded,
    /// The state service refused requests for their rate.
    Throttled,
    /// Of the tasks of a lane, this share started within the time of its submission.
    Started {
        lane: String,
        within: u64,
        share: f64,
    },
    /// The job's tasks were started at most so often.
    Starts(u64, u64),
    /// The user was told by then that the job is done.
    DoneBy(u64, u64),
    /// The state service was sent at most so many requests, or changes.
    Requests(u64),
    Changes(u64),
    /// The state service refused at most so many requests as wrong.
    FewRefused(u64),
    /// No value is larger than the next limits allow.
    AllSmall,
    /// The records have this layout at the end.
    Layout(u64),
    /// A job that awaits others started within this time of the last of them.
    Follows(u64, u64),
    /// A job's first task started before any of another's.
    Before(u64, u64),
    /// It was refused as impossible, and the answer names this.
    Refused(u64, String),
    /// Some answer said that it waits, and named this.
    Reason(u64, String),
    /// So many of its tasks, as a share, started in this zone or on this type of machine.
    Ran {
        job: u64,
        place: String,
        share: f64,
    },
    /// Its first task started after this time.
    StartsAfter(u64, u64),
    /// Its first task started by this time.
    StartsBy(u64, u64),
    /// So many rounds clashed, at least.
    ManyClashes(u64),
    /// So many controllers own slices at the end.
    Owners(usize),
    /// So many times some controller did not run for a while.
    Absences(u64),
    /// At most so many machines of a zone were returned while it was cut off.
    FewReturned(String, u64),
    /// At most so many were hired there while it was cut off or dead.
    FewHired(String, u64),
    /// At least so many machines were marked as lost with their zones.
    LostWithZones(u64),
    /// At most so many were; with 0 no zone was lost.
    FewLostWithZones(u64),
    /// At least so many machines of a zone are there at the end.
    Machines(String, u64),
    /// Sessions that were declared over for silence, and machines to be returned for want of work, at most.
    FewSilenced(u64),
    FewUnneeded(u64),
    /// Of a class's or team's jobs, this share was done within the time of their submission.
    Throughput {
        name: String,
        within: u64,
        share: f64,
    },
    /// Of the polls, this share was answered with a state, or that there is no such job.
    Polled(f64),
    /// At least half of each class, of each team and of each class's largest jobs was done, and the largest jobs
    /// began within four minutes.
    Fair,
    /// Every task of a cancelled job was gone at least so long before its time was over.
    Margin(u64),
    /// At most so many machines got a record when they were gone already.
    FewGhosts(u64),
    /// At most so many tasks started after their users were told that their jobs are cancelled.
    FewLateStarts(u64),
    /// So many jobs were told to be cancelled, at least.
    ManyCancelled(usize),
    /// Something was played so often, at least: answers lost, copies delivered, looks, jobs called off, odd requests.
    Played(String, u64),
}

#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub nodes: usize,
    /// Zones of the controllers, in turn.
    pub zones: Vec<String>,
    pub end: u64,
    pub lease: f64,
    pub report: f64,
    pub cancel: f64,
    pub lag: f64,
    pub value_kb: f64,
    /// Largest answer that controllers read, in KiB.
    pub body_kb: f64,
    pub slices: Option<usize>,
    /// Requests and changes a second that the state service takes.
    pub rates: (f64, f64),
    /// Limits that the state service will have: changes a second, KiB of a value, changes of a transaction.
    pub next: Option<(f64, f64, usize)>,
    /// All controllers begin with the version before.
    pub old: bool,
    /// Records that are there before anything runs: a file of `tests/production`.
    pub records: Option<String>,
    pub chaos: u32,
    pub load: u32,
    pub teams: Vec<(String, f64, f64)>,
    pub types: Vec<TypeSpec>,
    /// Rules files, and rules that jobs bring, by name.
    pub rules: BTreeMap<String, serde_json::Value>,
    pub own: BTreeMap<String, serde_json::Value>,
    /// Rules that all controllers begin with.
    pub with: Option<String>,
    /// For how long after a change of rules starts are judged by neither.
    pub grace: f64,
    pub steps: Vec<(u64, Step)>,
    pub expects: Vec<Expect>,
}

fn micros(text: &str) -> Option<u64> {
    let s: f64 = text.parse().ok()?;
    (s >= 0.0).then_some((s * 1e6) as u64)
}

fn job(text: &str) -> Option<u64> {
    text.strip_prefix("req-")?.parse().ok()
}

struct Words<'a> {
    plain: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Words<'a> {
        let (named, plain): (Vec<&str>, Vec<&str>) =
            line.split_whitespace().partition(|w| w.contains('='));
        Words {
            plain,
            named: named
                .into_iter()
                .filter_map(|w| w.split_once('='))
                .collect(),
        }
    }

    fn take<T>(
        &mut self,
        key: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, String> {
        match self.named.remove(key) {
            None => Ok(None),
            Some(v) => parse(v)
                .map(Some)
                .ok_or(format!("{key}={v} is not understood")),
        }
    }

    fn need<T>(&mut self, key: &str, parse: impl Fn(&str) -> Option<T>) -> Result<T, String> {
        self.take(key, parse)?.ok_or(format!("{key}= is missing"))
    }

    fn word<T>(&self, at: usize, parse: impl Fn(&str) -> Option<T>) -> Result<T, String> {
        let text = self.plain.get(at).ok_or("a word is missing".to_owned())?;
        parse(text).ok_or(format!("{text} is not understood"))
    }

    fn finish(self, plain: usize) -> Result<(), String> {
        match (self.named.keys().next(), self.plain.get(plain)) {
            (Some(k), _) => Err(format!("unknown key {k}")),
            (_, Some(w)) => Err(format!("{w} is one word too many")),
            _ => Ok(()),
        }
    }
}

const JOB_FIELDS: [&str; 22] = [
    "awaits", "rules", "pieces", "cores", "mem", "run", "guess", "team", "urgency", "due", "spot",
    "builds", "yard", "one_zone", "apart", "image", "size", "shape", "fails", "lane", "bookmark",
    "stash",
];

impl Step {
    /// For how long it is a trouble.
    fn span(&self) -> Option<u64> {
        Some(match self {
            Step::Cut { span, .. }
            | Step::Outage { span, .. }
            | Step::Refuse { span, .. }
            | Step::Throttle { span, .. }
            | Step::Hang { span, .. }
            | Step::LateWrites { span, .. }
            | Step::LateReports { span, .. }
            | Step::Deaf { span, .. }
            | Step::Mute { span, .. }
            | Step::CancelNow { hang: span, .. }
            | Step::CancelAtEnd { span, .. }
            | Step::CloseLooks { span, .. }
            | Step::OddRequests { span }
            | Step::Boots { span, .. }
            | Step::Polls { span, .. } => *span,
            Step::Crash { down, .. } | Step::Die { down, .. } => *down,
            Step::Change { down, .. } | Step::Rules { down, .. } => *down,
            Step::Take { notice, .. } => *notice,
            Step::Faulty { .. } | Step::Limits | Step::Team { .. } => 0,
            Step::Submit { .. } | Step::Abort { .. } | Step::Query { .. } => return None,
        })
    }
}

impl Script {
    /// When the last trouble is over.
    pub fn calm(&self) -> u64 {
        self.steps
            .iter()
            .filter_map(|(at, step)| Some(at + step.span()?))
            .max()
            .unwrap_or(0)
    }

    pub fn parse(text: &str) -> Result<Script, String> {
        let mut s = Script {
            seed: 1,
            nodes: 3,
            zones: vec!["a".to_owned()],
            end: 120_000_000,
            lease: 10.0,
            report: 1.0,
            cancel: 35.0,
            lag: 4.0,
            value_kb: 16.0,
            body_kb: 6144.0,
            slices: None,
            rates: (120.0, 60.0),
            next: None,
            old: false,
            records: None,
            chaos: 0,
            load: 0,
            teams: Vec::new(),
            types: Vec::new(),
            rules: BTreeMap::new(),
            own: BTreeMap::new(),
            with: None,
            grace: 8.0,
            steps: Vec::new(),
            expects: Vec::new(),
        };
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                s.line(line).map_err(|e| format!("line {}: {e}", n + 1))?;
            }
        }
        if s.types.is_empty() {
            s.line("type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=8 spot=8")?;
        }
        s.steps.sort_by_key(|(at, _)| *at);
        Ok(s)
    }

    fn line(&mut self, line: &str) -> Result<(), String> {
        // These two go on with JSON.
        for (word, table) in [("rules ", &mut self.rules), ("own ", &mut self.own)] {
            if let Some((name, json)) = line
                .strip_prefix(word)
                .and_then(|rest| rest.split_once(' '))
            {
                let json = serde_json::from_str(json).map_err(|e| e.to_string())?;
                table.insert(name.to_owned(), json);
                return Ok(());
            }
        }
        let mut w = Words::of(line);
        let real = |t: &str| t.parse::<f64>().ok().filter(|v| *v >= 0.0);
        let whole = |t: &str| t.parse::<u64>().ok();
        let mut plain = 2;
        match *w.plain.first().ok_or("a word is missing")? {
            "seed" => self.seed = w.word(1, whole)?,
            "nodes" => self.nodes = w.word(1, whole)? as usize,
            "zones" => {
                self.zones = w.word(1, |t| Some(t.split(',').map(str::to_owned).collect()))?;
            }
            "end" => self.end = w.word(1, micros)?,
            "lease" => self.lease = w.word(1, real)?,
            "report" => self.report = w.word(1, real)?,
            "cancel" => self.cancel = w.word(1, real)?,
            "grace" => self.grace = w.word(1, real)?,
            "with" => self.with = Some(w.word(1, |t| Some(t.to_owned()))?),
            "lag" => self.lag = w.word(1, real)?,
            "body_kb" => self.body_kb = w.word(1, real)?,
            "value_kb" => self.value_kb = w.word(1, real)?,
            "slices" => self.slices = Some(w.word(1, whole)? as usize),
            "rates" => {
                self.rates = (w.need("requests", real)?, w.need("changes", real)?);
                plain = 1;
            }
            "next" => {
                let rate = w.take("changes", real)?.unwrap_or(self.rates.1);
                let size = w.take("value_kb", real)?.unwrap_or(self.value_kb);
                self.next = Some((rate, size, w.take("txn_ops", whole)?.unwrap_or(12) as usize));
                plain = 1;
            }
            "old" => {
                self.old = true;
                plain = 1;
            }
            "records" => self.records = Some(w.word(1, |t| Some(t.to_owned()))?),
            "chaos" => self.chaos = w.word(1, whole)? as u32,
            "load" => self.load = w.word(1, whole)? as u32,
            "team" => {
                let name = w.word(1, |t| Some(t.to_owned()))?;
                let guarantee = w.take("cores", real)?.unwrap_or(0.0);
                let limit = w.take("most", real)?.unwrap_or(0.0);
                self.teams.push((name, guarantee, limit));
            }
            "type" => {
                let t = TypeSpec {
                    name: w.word(1, |t| Some(t.to_owned()))?,
                    cores: w.need("cores", real)?,
                    mem: w.need("mem", real)?,
                    boot: w.need("boot", real)?,
                    price: w.need("price", real)?,
                    spot_price: w.need("spot_price", real)?,
                    count: w.need("count", whole)? as u32,
                    spot: w.need("spot", whole)? as u32,
                    stuck: w.take("stuck", real)?.unwrap_or(0.0),
                    zones: w
                        .take("zones", |t| Some(t.split(',').map(str::to_owned).collect()))?
                        .unwrap_or_else(|| vec!["a".to_owned()]),
                };
                self.types.push(t);
            }
            "expect" => {
                plain = 3;
                let e = match *w.plain.get(1).ok_or("a word is missing")? {
                    "done" => Expect::Done(w.word(2, job)?),
                    "refused-at-most" => Expect::FewRefused(w.word(2, whole)?),
                    "all-small" => Expect::AllSmall,
                    "layout" => Expect::Layout(w.word(2, whole)?),
                    "follows" => Expect::Follows(w.word(2, job)?, w.need("within", micros)?),
                    "before" => {
                        plain = 4;
                        Expect::Before(w.word(2, job)?, w.word(3, job)?)
                    }
                    "refused" => {
                        Expect::Refused(w.word(2, job)?, w.need("naming", |t| Some(t.to_owned()))?)
                    }
                    "reason" => {
                        Expect::Reason(w.word(2, job)?, w.need("naming", |t| Some(t.to_owned()))?)
                    }
                    "ran" => Expect::Ran {
                        job: w.word(2, job)?,
                        place: w.need("on", |t| Some(t.to_owned()))?,
                        share: w.need("share", real)?,
                    },
                    "starts-by" => Expect::StartsBy(w.word(2, job)?, w.need("at", micros)?),
                    "starts-after" => Expect::StartsAfter(w.word(2, job)?, w.need("at", micros)?),
                    "clashes-at-least" => Expect::ManyClashes(w.word(2, whole)?),
                    "cancelled" => Expect::Cancelled(w.word(2, job)?),
                    "unknown" => Expect::Unknown(w.word(2, job)?),
                    "all-done" => Expect::AllDone,
                    "clashes" => Expect::Clashes,
                    "takeovers-at-most" => Expect::FewTakeovers(w.word(2, whole)?),
                    "takeovers" => Expect::Takeovers(w.word(2, whole)?),
                    "lost-leases" => Expect::LostLeases(w.word(2, whole)?),
                    "groups" => Expect::Groups(w.word(2, whole)?),
                    "all-recorded" => Expect::AllRecorded,
                    "throttled" => Expect::Throttled,
                    "started" => Expect::Started {
                        lane: w.word(2, |t| Some(t.to_owned()))?,
                        within: w.need("within", micros)?,
                        share: w.need("share", real)?,
                    },
                    "owners" => Expect::Owners(w.word(2, whole)? as usize),
                    "returned-at-most" => Expect::FewReturned(
                        w.need("zone", |t| Some(t.to_owned()))?,
                        w.word(2, whole)?,
                    ),
                    "machines-at-least" => {
                        Expect::Machines(w.need("zone", |t| Some(t.to_owned()))?, w.word(2, whole)?)
                    }
                    "lost-with-zones" => Expect::LostWithZones(w.word(2, whole)?),
                    "lost-with-zones-at-most" => Expect::FewLostWithZones(w.word(2, whole)?),
                    "hired-at-most" => {
                        Expect::FewHired(w.need("zone", |t| Some(t.to_owned()))?, w.word(2, whole)?)
                    }
                    "absences" => Expect::Absences(w.word(2, whole)?),
                    "silenced-at-most" => Expect::FewSilenced(w.word(2, whole)?),
                    "unneeded-at-most" => Expect::FewUnneeded(w.word(2, whole)?),
                    "served" => Expect::Throughput {
                        name: w.word(2, |t| Some(t.to_owned()))?,
                        within: w.need("within", micros)?,
                        share: w.need("share", real)?,
                    },
                    "starts-at-most" => Expect::Starts(w.word(2, job)?, w.need("count", whole)?),
                    "done-by" => Expect::DoneBy(w.word(2, job)?, w.need("at", micros)?),
                    "requests-at-most" => Expect::Requests(w.word(2, whole)?),
                    "changes-at-most" => Expect::Changes(w.word(2, whole)?),
                    "polls-answered" => Expect::Polled(w.word(2, real)?),
                    "fair" => {
                        plain = 2;
                        Expect::Fair
                    }
                    "late-starts-at-most" => Expect::FewLateStarts(w.word(2, whole)?),
                    "cancelled-at-least" => Expect::ManyCancelled(w.word(2, whole)? as usize),
                    "played" => {
                        plain = 4;
                        Expect::Played(w.word(2, |t| Some(t.to_owned()))?, w.word(3, whole)?)
                    }
                    "ghosts-at-most" => Expect::FewGhosts(w.word(2, whole)?),
                    "margin" => Expect::Margin(w.word(2, micros)?),
                    "machines-at-most" => Expect::FewerMachines(w.word(2, whole)?),
                    other => return Err(format!("unknown expectation {other}")),
                };
                self.expects.push(e);
            }
            "at" => {
                let at = w.word(1, micros)?;
                let times = w.take("times", whole)?.unwrap_or(1);
                let every = w.take("every", micros)?.unwrap_or(0);
                let stride = w.take("stride", whole)?.unwrap_or(1);
                let (step, words) = step(&mut w)?;
                plain = words;
                for i in 0..times {
                    let mut step = step.clone();
                    match &mut step {
                        Step::Submit { job, .. } | Step::Abort { job, .. } => *job += i * stride,
                        Step::Crash { .. } | Step::CancelNow { .. } => {}
                        _ if times > 1 => {
                            return Err(
                                "only submissions, cancellations and crashes come several times"
                                    .to_owned(),
                            );
                        }
                        _ => {}
                    }
                    self.steps.push((at + i * every, step));
                }
            }
            other => return Err(format!("unknown statement {other}")),
        }
        w.finish(plain)
    }
}

fn step(w: &mut Words<'_>) -> Result<(Step, usize), String> {
    let node = |t: &str| match Party::parse(t)? {
        Party::Node(n) => Some(n),
        _ => None,
    };
    let machine = |t: &str| match Party::parse(t)? {
        Party::Machine(m) => Some(m),
        _ => None,
    };
    let mode = |t: &str| {
        Some(match t {
            "drop" => Mode::Drop,
            "hold" => Mode::Hold,
            "repeat" => Mode::Repeat,
            "slow" => Mode::Slow,
            "late-commands" => Mode::LateCommands,
            "deaf" => Mode::Deaf,
            "reset" => Mode::Reset,
            _ => return None,
        })
    };
    let share = |t: &str| t.parse::<f64>().ok().filter(|s| (0.0..=1.0).contains(s));
    let yes = |t: &str| match t {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    };
    let kind = *w.plain.get(2).ok_or("a fault is missing")?;
    Ok(match kind {
        "submit" => {
            let to = w.take("node", node)?;
            let mut fields = BTreeMap::new();
            for f in JOB_FIELDS {
                if let Some(v) = w.named.remove(f) {
                    fields.insert(f.to_owned(), v.to_owned());
                }
            }
            let job = w.word(3, job)?;
            (
                Step::Submit {
                    job,
                    fields,
                    node: to,
                },
                4,
            )
        }
        "abort" => (
            Step::Abort {
                job: w.word(3, job)?,
                node: w.take("node", node)?,
            },
            4,
        ),
        "query" => (
            Step::Query {
                job: w.word(3, job)?,
                node: w.take("node", node)?,
            },
            4,
        ),
        "crash" => {
            let which = match w.word(3, Party::parse)? {
                Party::Node(n) => Some(n),
                Party::Nodes => None,
                other => return Err(format!("{other:?} cannot crash")),
            };
            (
                Step::Crash {
                    node: which,
                    down: w.need("for", micros)?,
                },
                4,
            )
        }
        "cut" => {
            let step = Step::Cut {
                a: w.word(3, Party::parse)?,
                b: w.word(4, Party::parse)?,
                mode: w.need("mode", mode)?,
                span: w.need("for", micros)?,
            };
            (step, 5)
        }
        "die" => {
            let zone = w.word(3, |t| t.strip_prefix("zone-").map(str::to_owned))?;
            (
                Step::Die {
                    zone,
                    down: w.need("for", micros)?,
                },
                4,
            )
        }
        "outage" => (
            Step::Outage {
                party: w.word(3, Party::parse)?,
                span: w.need("for", micros)?,
            },
            4,
        ),
        "refuse" => (
            Step::Refuse {
                node: w.word(3, node)?,
                span: w.need("for", micros)?,
            },
            4,
        ),
        "throttle" => (
            Step::Throttle {
                node: w.word(3, node)?,
                span: w.need("for", micros)?,
            },
            4,
        ),
        "late-writes" | "late-reports" => {
            let share = w.need("share", share)?;
            let span = w.need("for", micros)?;
            let step = if kind == "late-writes" {
                let of = w.take("of", |t| Some(t.to_owned()))?;
                Step::LateWrites {
                    share,
                    span,
                    at_once: w.take("at_once", yes)?.unwrap_or(false),
                    of,
                }
            } else {
                let to = |t: &str| match t {
                    "next" => Some(CopiesTo::Next),
                    "all" => Some(CopiesTo::All),
                    _ => None,
                };
                Step::LateReports {
                    share,
                    span,
                    to: w.take("to", to)?.unwrap_or(CopiesTo::Same),
                }
            };
            (step, 3)
        }
        "deaf" | "mute" => {
            let count = w.take("count", |t| t.parse().ok())?.unwrap_or(1);
            let (machine, span) = (w.word(3, machine)?, w.need("for", micros)?);
            let deaf = kind == "deaf";
            (
                if deaf {
                    Step::Deaf {
                        machine,
                        count,
                        span,
                    }
                } else {
                    Step::Mute {
                        machine,
                        count,
                        span,
                    }
                },
                4,
            )
        }
        "cancel-now" => {
            let count = w.need("count", |t| t.parse().ok())?;
            (
                Step::CancelNow {
                    count,
                    hang: w.take("hang", micros)?.unwrap_or(0),
                },
                3,
            )
        }
        "cancel-at-end" => (
            Step::CancelAtEnd {
                share: w.need("share", share)?,
                span: w.need("for", micros)?,
            },
            3,
        ),
        "close-looks" => {
            let aborts = w.take("aborts", share)?.unwrap_or(0.0);
            (
                Step::CloseLooks {
                    aborts,
                    span: w.need("for", micros)?,
                },
                3,
            )
        }
        "odd-requests" => (
            Step::OddRequests {
                span: w.need("for", micros)?,
            },
            3,
        ),
        "hang" => (
            Step::Hang {
                party: w.word(3, Party::parse)?,
                span: w.need("for", micros)?,
            },
            4,
        ),
        "take" => {
            let notice = w.take("notice", micros)?.unwrap_or(0);
            let count = w.take("count", |t| t.parse().ok())?.unwrap_or(1);
            (
                Step::Take {
                    machine: w.word(3, machine)?,
                    count,
                    notice,
                },
                4,
            )
        }
        "boots" => {
            let factor = w.need("factor", |t| t.parse::<f64>().ok().filter(|f| *f >= 0.0))?;
            (
                Step::Boots {
                    factor,
                    span: w.need("for", micros)?,
                },
                3,
            )
        }
        "polls" => {
            let whole = |t: &str| t.parse::<u64>().ok();
            let step = Step::Polls {
                job: w.word(3, job)?,
                count: w.take("count", whole)?.unwrap_or(1),
                rate: w.need("rate", |t| t.parse::<f64>().ok().filter(|r| *r > 0.0))?,
                span: w.need("for", micros)?,
            };
            (step, 4)
        }
        "team" => {
            let real = |t: &str| t.parse::<f64>().ok().filter(|v| *v >= 0.0);
            let step = Step::Team {
                name: w.word(3, |t| Some(t.to_owned()))?,
                cores: w.take("cores", real)?.unwrap_or(0.0),
                most: w.take("most", real)?.unwrap_or(0.0),
            };
            (step, 4)
        }
        "limits" => (Step::Limits, 3),
        "upgrade" | "downgrade" => {
            let down = w.need("for", micros)?;
            (
                Step::Change {
                    node: w.word(3, node)?,
                    down,
                    new: kind == "upgrade",
                },
                4,
            )
        }
        "rules" => {
            let name = w.word(4, |t| Some(t.to_owned()))?;
            let name = Some(name).filter(|n| n != "none");
            (
                Step::Rules {
                    node: w.word(3, node)?,
                    name,
                    down: w.need("for", micros)?,
                },
                5,
            )
        }
        "faulty" => (
            Step::Faulty {
                machine: w.word(3, machine)?,
            },
            4,
        ),
        other => return Err(format!("unknown fault {other}")),
    })
}
