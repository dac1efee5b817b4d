//! The protocol between agents and controllers: heartbeats, commands and their encodings on the wire.

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
    tasks: Vec<TaskWire>,
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

/// Why a task is no longer running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The task ran to its end.
    Completed,
    /// A command stopped it.
    Stopped,
    /// The task failed.
    Failed,
    /// The launch was refused: the machine has too little capacity left.
    InsufficientCapacity,
    /// The launch was refused: another attempt of the task is on the machine.
    OtherAttemptPresent,
    /// The launch was refused: the agent knows no such job.
    UnknownJob,
    /// A reason that this version does not know.
    Other,
}

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The machine downloads its image.
    Fetching,
    /// The task runs, or is in a state that this version does not know.
    Running,
    /// The task was asked to stop and writes its checkpoint.
    Checkpointing,
    /// The task is no longer running.
    Exited(ExitReason),
}

/// Orders the heartbeats of one agent: a newer heartbeat has a larger id.
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

/// An agent's periodic report of its machine.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The machine that the agent runs on.
    pub machine: MachineId,
    /// Host and port at which the agent accepts pushed commands.
    pub endpoint: String,
    /// Machine type, as named in the catalog.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may preempt the machine.
    pub spot: bool,
    /// Agent incarnation and sequence number.
    pub id: HeartbeatId,
    /// Highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// Time until the cloud preempts the machine, if it has given notice.
    pub preemption_notice: Option<Micros>,
    /// Attempts on the machine, with their states.
    pub tasks: Vec<(Attempt, TaskState)>,
}

impl Heartbeat {
    /// The agent incarnation that sent the heartbeat.
    pub fn incarnation(&self) -> u64 {
        self.id.incarnation
    }

    /// Parses the body of a heartbeat; `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<Heartbeat> {
        let wire: HeartbeatWire = serde_json::from_slice(body).ok()?;
        let tasks = wire
            .tasks
            .iter()
            .map(TaskWire::parse)
            .collect::<Option<Vec<_>>>()?;
        Some(Heartbeat {
            machine: wire.host.parse().ok()?,
            endpoint: wire.endpoint,
            machine_type: wire.machine_type,
            zone: wire.zone,
            spot: wire.spot,
            id: HeartbeatId {
                incarnation: wire.incarnation,
                sequence: wire.sequence,
            },
            fencing_token: wire.fencing_token,
            preemption_notice: wire.preemption_notice_s.map(notice_from_secs),
            tasks,
        })
    }
}

/// Rounds down: a machine that goes sooner than assumed loses less work than one that goes later.
fn notice_from_secs(seconds: f64) -> Micros {
    Micros((seconds * 1e6).max(0.0) as u64)
}

impl TaskWire {
    fn parse(&self) -> Option<(Attempt, TaskState)> {
        let attempt = Attempt {
            task: self.task_name.parse().ok()?,
            number: self.number,
        };
        Some((attempt, self.state()))
    }

    fn state(&self) -> TaskState {
        match self.status.as_str() {
            "fetching" => TaskState::Fetching,
            "flushing" => TaskState::Checkpointing,
            "exited" => TaskState::Exited(exit_reason(self.cause.as_deref())),
            _ => TaskState::Running,
        }
    }
}

fn exit_reason(cause: Option<&str>) -> ExitReason {
    match cause {
        Some("done") => ExitReason::Completed,
        Some("halted") => ExitReason::Stopped,
        Some("error") => ExitReason::Failed,
        Some("full") => ExitReason::InsufficientCapacity,
        Some("in_use") => ExitReason::OtherAttemptPresent,
        Some("no_such") => ExitReason::UnknownJob,
        _ => ExitReason::Other,
    }
}

/// A command to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start an attempt.
    Launch(Attempt),
    /// Stop an attempt, with this grace period to write its checkpoint.
    Stop(Attempt, Micros),
    /// Leave an attempt that has exited out of further heartbeats.
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
    grace_period_s: Option<f64>,
}

impl Command {
    fn wire(&self) -> CommandWire {
        let (operation, attempt, grace_period_s) = match self {
            Command::Launch(attempt) => ("launch", attempt, None),
            Command::Stop(attempt, grace_period) => {
                ("stop", attempt, Some(grace_period.as_secs_f64()))
            }
            Command::Forget(attempt) => ("forget", attempt, None),
        };
        CommandWire {
            operation,
            task_name: attempt.task.to_string(),
            number: attempt.number,
            grace_period_s,
        }
    }
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatResponse {
    /// 200: the agent's lease is renewed, and it carries out the commands.
    Commands {
        /// The fencing token: the term of the shard's leader.
        fencing_token: u64,
        /// Commands in the order in which they are carried out.
        commands: Vec<Command>,
    },
    /// 421: another controller leads the shard; its name, if known.
    NotLeader(Option<String>),
    /// 503: this controller cannot renew leases now.
    Unavailable,
    /// 400: the body is not a valid heartbeat.
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

/// The body of a response with status 200 to a heartbeat.
pub fn heartbeat_response_body(fencing_token: u64, commands: &[Command]) -> Vec<u8> {
    build_commands_body(fencing_token, None, commands)
}

/// The body of a push of commands to an agent; only the given incarnation of the agent carries them out.
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

/// The body of a 421, with the name of the controller to send heartbeats to, if it is known.
pub fn not_leader_body(node: Option<&str>) -> Vec<u8> {
    match node {
        Some(node) => {
            serde_json::to_vec(&serde_json::json!({ "answerTo": node })).unwrap_or_default()
        }
        None => b"{}".to_vec(),
    }
}
