//! Scenario files: one statement per line. A line that cannot be parsed is an error with its line number.

mod expectation;
mod step;
mod words;

use super::late_copies::LateCopies;
pub use cometlead_emulator::fakes::cloud::TypeSpec;
use expectation::expectation;
use std::collections::BTreeMap;
use step::step;
use words::{StatementWords, micros, parse_amount, parse_count, parse_text};

/// A party that a fault can affect.
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
    /// Everything outside the zone that a cut names.
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

    /// Whether a fault on `self` affects `party`.
    pub fn covers(&self, party: &Party) -> bool {
        self == party
            || matches!(
                (self, party),
                (Party::Nodes, Party::Node(_)) | (Party::Machines, Party::Machine(_))
            )
    }
}

/// What a cut does to the messages between two parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Drop,
    Hold,
    /// Every message but pushed commands arrives twice, the second time late. [`Step::LateCopies`] copies pushed commands too.
    Repeat,
    /// Pushed commands arrive when the fault is over, everything else at once.
    LateCommands,
    /// Every message is delayed by up to two seconds, independently of the others.
    Slow,
    /// Only responses are lost.
    DropResponses,
    /// Connections are reset: nothing arrives, and the sender learns so at once.
    Reset,
}

/// Where copies of heartbeats go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopiesTo {
    /// To the controller that the heartbeat went to.
    Same,
    /// To the controller that next becomes leader of shards in a failover.
    Next,
    /// At the next failover, to every controller.
    All,
}

#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        job: u64,
        fields: BTreeMap<String, String>,
        node: Option<usize>,
    },
    Cancel {
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
    LinkFault {
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
    /// The state service refuses the requests of one controller because of their rate.
    Throttle {
        node: usize,
        span: u64,
    },
    Hang {
        party: Party,
        span: u64,
    },
    /// This fraction of transactions, of one kind or of all, gets no response. They are carried out 2 to 12 s later, after
    /// newer ones; or at once, so that only the response is lost.
    LateWrites {
        share: f64,
        span: u64,
        at_once: bool,
        of: Option<String>,
    },
    /// This fraction of the heartbeats arrives a second time: from 2 s to two and a half lease durations later, or at the
    /// next failover, at the new shard leader or at every controller.
    DuplicateHeartbeats {
        share: f64,
        span: u64,
        to: CopiesTo,
    },
    /// Requests that were carried out arrive once more, later, up to several times and in any order with the others.
    LateCopies {
        copies: LateCopies,
        span: u64,
    },
    /// One-way partition of `count` machines with consecutive numbers: their heartbeats are lost; pushed commands arrive and
    /// are answered.
    DropHeartbeats {
        machine: u64,
        count: u64,
        span: u64,
    },
    /// Users cancel `count` running jobs within a fifth of a second; up to eight of these jobs' machines hang for `hang`.
    CancelNow {
        count: usize,
        hang: u64,
    },
    /// This fraction of jobs is cancelled just as their last task ends.
    CancelAtEnd {
        share: f64,
        span: u64,
    },
    /// Users query all controllers and submit again within milliseconds after a job was accepted, ended or cancelled; this
    /// fraction of them cancels.
    QueryBursts {
        aborts: f64,
        span: u64,
    },
    /// Users repeat submissions, cancel jobs that are done, and submit jobs that can never run or lack a field.
    OddRequests {
        span: u64,
    },
    /// One-way partition of `count` machines with consecutive numbers: their heartbeats arrive, but responses and commands to
    /// them are lost.
    DropInbound {
        machine: u64,
        count: u64,
        span: u64,
    },
    /// A zone loses its power: its machines are terminated, its controllers restart after `down`.
    FailZone {
        zone: String,
        down: u64,
    },
    /// The cloud takes back `count` machines with consecutive numbers, with a preemption notice if `notice` is above zero.
    ReclaimMachines {
        machine: u64,
        count: u64,
        notice: u64,
    },
    FailAllTasks {
        machine: u64,
    },
    /// The settings of controllers that start from now on announce the next limits of the state service.
    AnnounceNextLimits,
    /// The next limits of the state service take effect.
    ApplyNextLimits,
    /// A controller stops and restarts with this version or the previous one.
    ChangeVersion {
        node: usize,
        down: u64,
        new: bool,
    },
    /// Boot times of provisioned machines are multiplied by this factor.
    ScaleBootTimes {
        factor: f64,
        span: u64,
    },
    /// Users send `rate` status queries a second about these jobs, without retries.
    Polls {
        job: u64,
        count: u64,
        rate: f64,
        span: u64,
    },
    /// A controller stops and restarts with this rules file, or with none.
    ChangeRules {
        node: usize,
        name: Option<String>,
        down: u64,
    },
    /// A newer deploy file has this team; controllers that start from now on read it.
    ChangeTeam {
        name: String,
        cores: f64,
        limit: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
    Done(u64),
    Cancelled(u64),
    NotAccepted(u64),
    AllDone,
    AnyConflict,
    FailoversAtLeast(u64),
    FailoversAtMost(u64),
    LostLeasesAtMost(u64),
    MachinesAtMost(u64),
    /// Some shard had at least this many machine group records at once.
    MachineGroupsAtLeast(u64),
    /// Every machine that is up at the end has a record, except those that have just booted.
    AllMachinesRecorded,
    /// The state service refused requests because of their rate.
    Throttled,
    /// This fraction of the tasks of a job class started within this time after submission.
    StartedWithin {
        job_class: String,
        within: u64,
        share: f64,
    },
    /// The job's tasks were started at most this many times in total.
    StartsAtMost(u64, u64),
    /// Every submission of the job, repeated ones too, was answered within this time.
    SubmissionsAnsweredWithin(u64, u64),
    /// A response reported by then that the job is done.
    DoneBy(u64, u64),
    /// The state service received at most this many requests, or changes.
    StateRequestsAtMost(u64),
    StateChangesAtMost(u64),
    /// The state service refused at most this many requests as invalid.
    RefusedAtMost(u64),
    /// No value is larger than the announced next limits allow.
    ValuesWithinNextLimits,
    /// The records have this format at the end.
    RecordFormat(u64),
    /// A job with dependencies started within this time after the last of them ended.
    StartsAfterDependenciesWithin(u64, u64),
    /// A job's first task started before any task of another job.
    StartsBefore(u64, u64),
    /// The job was refused as unsatisfiable, and the response contains this text.
    RefusedNaming(u64, String),
    /// Some response said that the job waits, and its reason contains this text.
    ReasonNaming(u64, String),
    /// This fraction of the job's task starts was in this zone or on this machine type.
    RanOn {
        job: u64,
        place: String,
        share: f64,
    },
    /// The job's first task started after this time.
    StartsAfter(u64, u64),
    /// The job's first task started by this time.
    StartsBy(u64, u64),
    /// At least this many commit rounds failed in a conflict.
    ConflictsAtLeast(u64),
    /// At least this many controllers lead shards at the end.
    ShardLeadersAtLeast(usize),
    /// Controllers stalled at least this many times.
    StallsAtLeast(u64),
    /// At most this many machines of a zone were released while it was cut off.
    ReleasedWhileCutOffAtMost(String, u64),
    /// At most this many machines were provisioned in a zone while it was cut off or without power.
    ProvisionedWhileCutOffAtMost(String, u64),
    /// At least this many machines were marked unreachable together with their zones.
    UnreachableWithZonesAtLeast(u64),
    /// At most this many machines were marked unreachable together with their zones; with 0 no zone was.
    UnreachableWithZonesAtMost(u64),
    /// At least this many machines of a zone are up at the end.
    MachinesAtLeast(String, u64),
    /// At most this many worker incarnations were declared over because their lease expired.
    ExpiredLeasesAtMost(u64),
    /// At most this many machines were selected for scale-in because they had no work.
    SurplusMachinesAtMost(u64),
    /// This fraction of the jobs of a job class or team was done within this time after submission.
    DoneWithin {
        name: String,
        within: u64,
        share: f64,
    },
    /// This fraction of the polls was answered with a state, or with 404 for an unknown job.
    PollsAnswered(f64),
    /// At least half of the jobs of each job class, of each team and of each class's largest jobs were done, and the largest
    /// jobs started within four minutes.
    Fair,
    /// Every task of a cancelled job had ended at least this long before the cancellation deadline.
    CancelMarginAtLeast(u64),
    /// No heartbeat was larger than this, in bytes.
    HeartbeatBytesAtMost(u64),
    /// At most this many machines got a record after they were terminated.
    LateMachineRecordsAtMost(u64),
    /// At most this many tasks started after a response reported their jobs as cancelled.
    StartsAfterCancellationAtMost(u64),
    /// At least this many jobs were reported as cancelled.
    CancelledAtLeast(usize),
    /// A kind of fault was injected at least this often: lost responses, delivered copies, bursts of queries, cancellations,
    /// unusual requests.
    InjectedAtLeast(String, u64),
}

#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub nodes: usize,
    /// Zones of the controllers, assigned round-robin.
    pub zones: Vec<String>,
    pub end: u64,
    pub lease_s: f64,
    pub report_interval_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    pub value_kb: f64,
    /// Largest response that controllers read, in KiB.
    pub max_response_kb: f64,
    pub shards: Option<usize>,
    /// Requests and changes per second that the state service accepts.
    pub state_rates: (f64, f64),
    /// Announced limits of the state service: changes per second, KiB per value, changes per transaction.
    pub next_limits: Option<(f64, f64, usize)>,
    /// Values of parameters in the deploy file, each with its path, which replace those that follow from the rest.
    pub parameters: Vec<(String, f64)>,
    /// Whether the settings announce the next limits.
    pub limits_announced: bool,
    /// All controllers start with the previous version.
    pub starts_on_previous_version: bool,
    /// Records that exist before the run: a file in `tests/production`.
    pub records_file: Option<String>,
    pub chaos: u32,
    pub load: u32,
    pub teams: Vec<(String, f64, f64)>,
    pub types: Vec<TypeSpec>,
    /// Rules files by name.
    pub rules: BTreeMap<String, serde_json::Value>,
    /// Rules of single jobs by name.
    pub job_rules: BTreeMap<String, serde_json::Value>,
    /// Name of the rules file that all controllers start with.
    pub initial_rules: Option<String>,
    /// For how many seconds after a change of rules starts are checked against neither the old nor the new ones.
    pub rules_grace_s: f64,
    pub steps: Vec<(u64, Step)>,
    pub expects: Vec<Expect>,
}

impl Step {
    /// How long the step's fault lasts; `None` if the step is no fault.
    fn span(&self) -> Option<u64> {
        Some(match self {
            Step::LinkFault { span, .. }
            | Step::Outage { span, .. }
            | Step::Refuse { span, .. }
            | Step::Throttle { span, .. }
            | Step::Hang { span, .. }
            | Step::LateWrites { span, .. }
            | Step::DuplicateHeartbeats { span, .. }
            | Step::DropInbound { span, .. }
            | Step::DropHeartbeats { span, .. }
            | Step::CancelNow { hang: span, .. }
            | Step::CancelAtEnd { span, .. }
            | Step::QueryBursts { span, .. }
            | Step::OddRequests { span }
            | Step::ScaleBootTimes { span, .. }
            | Step::Polls { span, .. } => *span,
            Step::LateCopies { copies, span } => span + copies.max_delay(),
            Step::Crash { down, .. } | Step::FailZone { down, .. } => *down,
            Step::ChangeVersion { down, .. } | Step::ChangeRules { down, .. } => *down,
            Step::ReclaimMachines { notice, .. } => *notice,
            Step::FailAllTasks { .. }
            | Step::AnnounceNextLimits
            | Step::ApplyNextLimits
            | Step::ChangeTeam { .. } => 0,
            Step::Submit { .. } | Step::Cancel { .. } | Step::Query { .. } => return None,
        })
    }
}

impl Script {
    /// When the last fault is over.
    pub fn last_fault_end(&self) -> u64 {
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
            lease_s: 10.0,
            report_interval_s: 1.0,
            cancel_s: 35.0,
            list_lag_s: 4.0,
            value_kb: 16.0,
            max_response_kb: 6144.0,
            shards: None,
            state_rates: (120.0, 60.0),
            next_limits: None,
            parameters: Vec::new(),
            limits_announced: true,
            starts_on_previous_version: false,
            records_file: None,
            chaos: 0,
            load: 0,
            teams: Vec::new(),
            types: Vec::new(),
            rules: BTreeMap::new(),
            job_rules: BTreeMap::new(),
            initial_rules: None,
            rules_grace_s: 8.0,
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
        // The rest of these two statements is JSON.
        for (word, table) in [("rules ", &mut self.rules), ("own ", &mut self.job_rules)] {
            if let Some((name, json)) = line
                .strip_prefix(word)
                .and_then(|rest| rest.split_once(' '))
            {
                let json = serde_json::from_str(json).map_err(|e| e.to_string())?;
                table.insert(name.to_owned(), json);
                return Ok(());
            }
        }
        let mut w = StatementWords::parse(line);
        let mut positional_count = 2;
        match *w.positional.first().ok_or("a word is missing")? {
            "seed" => self.seed = w.positional(1, parse_count)?,
            "nodes" => self.nodes = w.positional(1, parse_count)? as usize,
            "zones" => {
                self.zones =
                    w.positional(1, |t| Some(t.split(',').map(str::to_owned).collect()))?;
            }
            "end" => self.end = w.positional(1, micros)?,
            "lease" => self.lease_s = w.positional(1, parse_amount)?,
            "report" => self.report_interval_s = w.positional(1, parse_amount)?,
            "cancel" => self.cancel_s = w.positional(1, parse_amount)?,
            "grace" => self.rules_grace_s = w.positional(1, parse_amount)?,
            "with" => self.initial_rules = Some(w.positional(1, parse_text)?),
            "lag" => self.list_lag_s = w.positional(1, parse_amount)?,
            "body_kb" => self.max_response_kb = w.positional(1, parse_amount)?,
            "value_kb" => self.value_kb = w.positional(1, parse_amount)?,
            "slices" => self.shards = Some(w.positional(1, parse_count)? as usize),
            "rates" => {
                self.state_rates = (
                    w.required("requests", parse_amount)?,
                    w.required("changes", parse_amount)?,
                );
                positional_count = 1;
            }
            "next" => {
                let rate = w
                    .optional("changes", parse_amount)?
                    .unwrap_or(self.state_rates.1);
                let size = w
                    .optional("value_kb", parse_amount)?
                    .unwrap_or(self.value_kb);
                self.next_limits = Some((
                    rate,
                    size,
                    w.optional("txn_ops", parse_count)?.unwrap_or(12) as usize,
                ));
                positional_count = 1;
            }
            "old" => {
                self.starts_on_previous_version = true;
                positional_count = 1;
            }
            "records" => self.records_file = Some(w.positional(1, parse_text)?),
            "chaos" => self.chaos = w.positional(1, parse_count)? as u32,
            "load" => self.load = w.positional(1, parse_count)? as u32,
            "setting" => {
                let path = w.positional(1, |t| Some(t.replace('.', "/")))?;
                let value = w.positional(2, |t| t.parse().ok())?;
                self.parameters.push((path, value));
                positional_count = 3;
            }
            "team" => {
                let name = w.positional(1, parse_text)?;
                let guarantee = w.optional("cores", parse_amount)?.unwrap_or(0.0);
                let limit = w.optional("most", parse_amount)?.unwrap_or(0.0);
                self.teams.push((name, guarantee, limit));
            }
            "type" => self.types.push(machine_type(&mut w)?),
            "expect" => {
                let (expected, words) = expectation(&mut w)?;
                positional_count = words;
                self.expects.push(expected);
            }
            "at" => {
                let at = w.positional(1, micros)?;
                let times = w.optional("times", parse_count)?.unwrap_or(1);
                let every = w.optional("every", micros)?.unwrap_or(0);
                let stride = w.optional("stride", parse_count)?.unwrap_or(1);
                let (step, words) = step(&mut w)?;
                positional_count = words;
                self.limits_announced &= !matches!(step, Step::AnnounceNextLimits);
                for i in 0..times {
                    let mut step = step.clone();
                    match &mut step {
                        Step::Submit { job, .. } | Step::Cancel { job, .. } => *job += i * stride,
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
        w.finish(positional_count)
    }
}

/// Reads a machine type.
fn machine_type(w: &mut StatementWords<'_>) -> Result<TypeSpec, String> {
    Ok(TypeSpec {
        name: w.positional(1, parse_text)?,
        cores: w.required("cores", parse_amount)?,
        memory_gb: w.required("mem", parse_amount)?,
        accelerators: w.optional("accelerators", parse_amount)?.unwrap_or(0.0),
        cache_gb: w.optional("cache", parse_amount)?.unwrap_or(50.0),
        fetch_gb_per_s: w.optional("fetch", parse_amount)?.unwrap_or(1.0),
        boot_s: w.required("boot", parse_amount)?,
        price: w.required("price", parse_amount)?,
        spot_price: w.required("spot_price", parse_amount)?,
        on_demand_per_zone: w.required("count", parse_count)? as u32,
        spot_per_zone: w.required("spot", parse_count)? as u32,
        stuck_boot_fraction: w.optional("stuck", parse_amount)?.unwrap_or(0.0),
        zones: w
            .optional("zones", |t| Some(t.split(',').map(str::to_owned).collect()))?
            .unwrap_or_else(|| vec!["a".to_owned()]),
    })
}
