//! What workers send and get.

use crate::storage::ids::{Attempt, MachineId};
use crate::time::Micros;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct HeartbeatWire {
    #[serde(rename = "host")]
    host: String,
    #[serde(rename = "endpoint")]
    endpoint: String,
    #[serde(rename = "build")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: bool,
    #[serde(rename = "shift")]
    incarnation: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(rename = "baton", default)]
    fencing_token: u64,
    #[serde(rename = "recallS", default)]
    preemption_notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pieces: Vec<TaskWire>,
}

#[derive(Deserialize)]
struct TaskWire {
    #[serde(rename = "piece")]
    task_name: String,
    #[serde(rename = "try")]
    number: u64,
    #[serde(rename = "status")]
    status: String,
    #[serde(rename = "cause", default)]
    cause: Option<String>,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Refused: no room.
    Full,
    /// Refused: another attempt is here.
    InUse,
    /// Refused: no such job.
    NoSuch,
    /// A cause that this version does not know.
    Other,
}

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for its image.
    Fetching,
    /// Runs, or is in a state that this version does not know.
    Running,
    /// Was told to stop and is saving.
    Flushing,
    /// Ended.
    Exited(Ended),
}

/// Orders the heartbeats of one agent: the larger one is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The agent's incarnation; 0 before the first heartbeat.
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The id before any heartbeat.
    pub const NONE: HeartbeatId = HeartbeatId {
        incarnation: 0,
        sequence: 0,
    };

    /// The id of the next heartbeat of the same incarnation.
    pub fn next(self) -> HeartbeatId {
        HeartbeatId {
            sequence: self.sequence + 1,
            ..self
        }
    }
}

/// A worker's report.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Machine.
    pub machine: MachineId,
    /// Address for direct commands.
    pub endpoint: String,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// Incarnation and sequence number.
    pub id: HeartbeatId,
    /// Highest token the worker has seen.
    pub fencing_token: u64,
    /// Time until the cloud takes the machine.
    pub preemption_notice: Option<Micros>,
    /// Tasks on the machine.
    pub tasks: Vec<(Attempt, TaskState)>,
}

impl Heartbeat {
    /// The agent's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.id.incarnation
    }

    /// Reads a report; `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let w: HeartbeatWire = serde_json::from_slice(body).ok()?;
        let tasks = w
            .pieces
            .into_iter()
            .map(|p| {
                let attempt = Attempt {
                    task: p.task_name.parse().ok()?,
                    number: p.number,
                };
                Some((attempt, task_state(&p.status, p.cause.as_deref())))
            })
            .collect::<Option<Vec<_>>>()?;
        Some(Heartbeat {
            machine: w.host.parse().ok()?,
            endpoint: w.endpoint,
            machine_type: w.machine_type,
            zone: w.zone,
            spot: w.spot,
            id: HeartbeatId {
                incarnation: w.incarnation,
                sequence: w.sequence,
            },
            fencing_token: w.fencing_token,
            // Rounded down: the machine may go a little sooner than said, never later.
            preemption_notice: w
                .preemption_notice_s
                .map(|s| Micros((s * 1e6).max(0.0) as u64)),
            tasks,
        })
    }
}

fn task_state(status: &str, cause: Option<&str>) -> TaskState {
    match status {
        "fetching" => TaskState::Fetching,
        "flushing" => TaskState::Flushing,
        "exited" => TaskState::Exited(match cause {
            Some("done") => Ended::Done,
            Some("halted") => Ended::Halted,
            Some("error") => Ended::Error,
            Some("full") => Ended::Full,
            Some("in_use") => Ended::InUse,
            Some("no_such") => Ended::NoSuch,
            _ => Ended::Other,
        }),
        _ => TaskState::Running,
    }
}

/// A command to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start an attempt.
    Launch(Attempt),
    /// Stop it, with this much time to save.
    Stop(Attempt, Micros),
    /// Drop an ended attempt.
    Forget(Attempt),
}

#[derive(Serialize)]
struct CommandWire {
    #[serde(rename = "verb")]
    operation: &'static str,
    #[serde(rename = "piece")]
    task_name: String,
    #[serde(rename = "try")]
    number: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    grace_period: Option<f64>,
}

impl Command {
    fn wire(&self) -> CommandWire {
        let (operation, attempt, grace_period) = match self {
            Command::Launch(a) => ("launch", a, None),
            Command::Stop(a, t) => ("stop", a, Some(t.as_secs_f64())),
            Command::Forget(a) => ("forget", a, None),
        };
        CommandWire {
            operation,
            task_name: attempt.task.to_string(),
            number: attempt.number,
            grace_period,
        }
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatResponse {
    /// 200: the lease is renewed, and the orders are to be carried out.
    Commands {
        /// The owner's term.
        fencing_token: u64,
        /// Commands.
        commands: Vec<Command>,
    },
    /// 421, with the owner if it is known.
    Elsewhere(Option<String>),
    /// 503.
    Unavailable,
    /// 400.
    Malformed,
}

#[derive(Serialize)]
struct CommandsWire {
    #[serde(rename = "baton")]
    fencing_token: u64,
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    incarnation: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<CommandWire>,
}

/// The body of a 200 to a report.
pub fn heartbeat_response_body(fencing_token: u64, commands: &[Command]) -> Vec<u8> {
    build_commands_body(fencing_token, None, commands)
}

/// The body of a direct command.
pub fn command_body(fencing_token: u64, incarnation: u64, commands: &[Command]) -> Vec<u8> {
    build_commands_body(fencing_token, Some(incarnation), commands)
}

fn build_commands_body(
    fencing_token: u64,
    incarnation: Option<u64>,
    commands: &[Command],
) -> Vec<u8> {
    let wire = CommandsWire {
        fencing_token,
        incarnation,
        commands: commands.iter().map(Command::wire).collect(),
    };
    serde_json::to_vec(&wire).unwrap_or_default()
}

/// The body of a 421.
pub fn elsewhere_body(node: Option<&str>) -> Vec<u8> {
    match node {
        Some(n) => serde_json::to_vec(&serde_json::json!({ "answerTo": n })).unwrap_or_default(),
        None => b"{}".to_vec(),
    }
}
