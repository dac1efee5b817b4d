//! What workers send and get.

use crate::bookkeeping::ids::{Attempt, MachineId};
use crate::bookkeeping::time::Micros;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct ReportWire {
    #[serde(rename = "host")]
    host: String,
    #[serde(rename = "endpoint")]
    endpoint: String,
    #[serde(rename = "build")]
    build: String,
    #[serde(rename = "yard")]
    yard: String,
    #[serde(rename = "loaners", default)]
    loaners: bool,
    #[serde(rename = "shift")]
    shift: u64,
    #[serde(rename = "tally")]
    tally: u64,
    #[serde(rename = "baton", default)]
    baton: u64,
    #[serde(rename = "recallS", default)]
    recall_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pieces: Vec<PieceWire>,
}

#[derive(Deserialize)]
struct PieceWire {
    #[serde(rename = "piece")]
    piece: String,
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

/// A worker's report.
#[derive(Clone, Debug)]
pub struct Report {
    /// Machine.
    pub machine: MachineId,
    /// Address for direct commands.
    pub endpoint: String,
    /// Type.
    pub build: String,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub spot: bool,
    /// Session and message number: the larger pair is the newer message.
    pub order: (u64, u64),
    /// Highest token the worker has seen.
    pub baton: u64,
    /// Time until the cloud takes the machine.
    pub recall: Option<Micros>,
    /// Tasks on the machine.
    pub tasks: Vec<(Attempt, TaskState)>,
}

impl Report {
    /// The session.
    pub fn session(&self) -> u64 {
        self.order.0
    }

    /// Reads a report; `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<Report> {
        let w: ReportWire = serde_json::from_slice(body).ok()?;
        let tasks = w
            .pieces
            .into_iter()
            .map(|p| {
                let attempt = Attempt {
                    task: p.piece.parse().ok()?,
                    number: p.number,
                };
                Some((attempt, task_state(&p.status, p.cause.as_deref())))
            })
            .collect::<Option<Vec<_>>>()?;
        Some(Report {
            machine: w.host.parse().ok()?,
            endpoint: w.endpoint,
            build: w.build,
            yard: w.yard,
            spot: w.loaners,
            order: (w.shift, w.tally),
            baton: w.baton,
            // Rounded down: the machine may go a little sooner than said, never later.
            recall: w.recall_s.map(|s| Micros((s * 1e6).max(0.0) as u64)),
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
pub enum Order {
    /// Start an attempt.
    Launch(Attempt),
    /// Stop it, with this much time to save.
    Stop(Attempt, Micros),
    /// Drop an ended attempt.
    Forget(Attempt),
}

#[derive(Serialize)]
struct OrderWire {
    #[serde(rename = "verb")]
    verb: &'static str,
    #[serde(rename = "piece")]
    piece: String,
    #[serde(rename = "try")]
    number: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    leeway: Option<f64>,
}

impl Order {
    fn wire(&self) -> OrderWire {
        let (verb, attempt, leeway) = match self {
            Order::Launch(a) => ("launch", a, None),
            Order::Stop(a, t) => ("stop", a, Some(t.as_secs_f64())),
            Order::Forget(a) => ("forget", a, None),
        };
        OrderWire {
            verb,
            piece: attempt.task.to_string(),
            number: attempt.number,
            leeway,
        }
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// 200: the lease is renewed, and the orders are to be carried out.
    Orders {
        /// The owner's term.
        baton: u64,
        /// Commands.
        orders: Vec<Order>,
    },
    /// 421, with the owner if it is known.
    Elsewhere(Option<String>),
    /// 503.
    Unavailable,
    /// 400.
    Malformed,
}

#[derive(Serialize)]
struct OrdersWire {
    #[serde(rename = "baton")]
    baton: u64,
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    shift: Option<u64>,
    #[serde(rename = "orders")]
    orders: Vec<OrderWire>,
}

/// The body of a 200 to a report.
pub fn orders_body(baton: u64, orders: &[Order]) -> Vec<u8> {
    commands(baton, None, orders)
}

/// The body of a direct command.
pub fn direct_body(baton: u64, session: u64, orders: &[Order]) -> Vec<u8> {
    commands(baton, Some(session), orders)
}

fn commands(baton: u64, shift: Option<u64>, orders: &[Order]) -> Vec<u8> {
    let wire = OrdersWire {
        baton,
        shift,
        orders: orders.iter().map(Order::wire).collect(),
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
