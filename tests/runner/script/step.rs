//! Steps of a scenario: requests of users, and faults.

use super::words::{StatementWords, job, micros, parse_amount, parse_count};
use super::{CopiesTo, Mode, Party, Step};
use crate::runner::late_copies::{LateCopies, RequestKind};
use cometlead_emulator::fakes::late_copies::CopySchedule;
use std::collections::BTreeMap;

/// Fields of a submission that a scenario may set.
const JOB_FIELDS: [&str; 22] = [
    "awaits", "rules", "pieces", "cores", "mem", "run", "guess", "team", "urgency", "due", "spot",
    "builds", "yard", "one_zone", "apart", "image", "size", "shape", "fails", "lane", "bookmark",
    "stash",
];

/// Reads a step; also returns how many words without a key it takes.
pub(super) fn step(w: &mut StatementWords<'_>) -> Result<(Step, usize), String> {
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
            "deaf" => Mode::DropResponses,
            "reset" => Mode::Reset,
            _ => return None,
        })
    };
    let share = |t: &str| t.parse::<f64>().ok().filter(|s| (0.0..=1.0).contains(s));
    let positive = |t: &str| parse_amount(t).filter(|amount| *amount > 0.0);
    let parse_yes_no = |t: &str| match t {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    };
    let kind = *w.positional.get(2).ok_or("a fault is missing")?;
    Ok(match kind {
        "submit" => {
            let to = w.optional("node", node)?;
            let mut fields = BTreeMap::new();
            for f in JOB_FIELDS {
                if let Some(v) = w.named.remove(f) {
                    fields.insert(f.to_owned(), v.to_owned());
                }
            }
            let job = w.positional(3, job)?;
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
            Step::Cancel {
                job: w.positional(3, job)?,
                node: w.optional("node", node)?,
            },
            4,
        ),
        "query" => (
            Step::Query {
                job: w.positional(3, job)?,
                node: w.optional("node", node)?,
            },
            4,
        ),
        "crash" => {
            let which = match w.positional(3, Party::parse)? {
                Party::Node(n) => Some(n),
                Party::Nodes => None,
                other => return Err(format!("{other:?} cannot crash")),
            };
            (
                Step::Crash {
                    node: which,
                    down: w.required("for", micros)?,
                },
                4,
            )
        }
        "cut" => {
            let step = Step::LinkFault {
                a: w.positional(3, Party::parse)?,
                b: w.positional(4, Party::parse)?,
                mode: w.required("mode", mode)?,
                span: w.required("for", micros)?,
            };
            (step, 5)
        }
        "die" => {
            let zone = w.positional(3, |t| t.strip_prefix("zone-").map(str::to_owned))?;
            (
                Step::FailZone {
                    zone,
                    down: w.required("for", micros)?,
                },
                4,
            )
        }
        "outage" => (
            Step::Outage {
                party: w.positional(3, Party::parse)?,
                span: w.required("for", micros)?,
            },
            4,
        ),
        "refuse" => (
            Step::Refuse {
                node: w.positional(3, node)?,
                span: w.required("for", micros)?,
            },
            4,
        ),
        "throttle" => (
            Step::Throttle {
                node: w.positional(3, node)?,
                span: w.required("for", micros)?,
            },
            4,
        ),
        "late-writes" | "late-reports" => {
            let share = w.required("share", share)?;
            let span = w.required("for", micros)?;
            let step = if kind == "late-writes" {
                let of = w.optional("of", |t| Some(t.to_owned()))?;
                Step::LateWrites {
                    share,
                    span,
                    at_once: w.optional("at_once", parse_yes_no)?.unwrap_or(false),
                    of,
                }
            } else {
                let to = |t: &str| match t {
                    "next" => Some(CopiesTo::Next),
                    "all" => Some(CopiesTo::All),
                    _ => None,
                };
                Step::DuplicateHeartbeats {
                    share,
                    span,
                    to: w.optional("to", to)?.unwrap_or(CopiesTo::Same),
                }
            };
            (step, 3)
        }
        "late-copies" => {
            let copies = LateCopies {
                of: w.optional("of", RequestKind::parse)?,
                schedule: CopySchedule {
                    share: w.required("share", share)?,
                    min_delay_s: w.required("min", positive)?,
                    max_delay_s: w.required("max", positive)?,
                    max_copies: w.optional("copies", parse_count)?.unwrap_or(1),
                },
            };
            let span = w.required("for", micros)?;
            (Step::LateCopies { copies, span }, 3)
        }
        "deaf" | "mute" => {
            let count = w.optional("count", |t| t.parse().ok())?.unwrap_or(1);
            let (machine, span) = (w.positional(3, machine)?, w.required("for", micros)?);
            let drops_inbound = kind == "deaf";
            (
                if drops_inbound {
                    Step::DropInbound {
                        machine,
                        count,
                        span,
                    }
                } else {
                    Step::DropHeartbeats {
                        machine,
                        count,
                        span,
                    }
                },
                4,
            )
        }
        "cancel-now" => {
            let count = w.required("count", |t| t.parse().ok())?;
            (
                Step::CancelNow {
                    count,
                    hang: w.optional("hang", micros)?.unwrap_or(0),
                },
                3,
            )
        }
        "cancel-at-end" => (
            Step::CancelAtEnd {
                share: w.required("share", share)?,
                span: w.required("for", micros)?,
            },
            3,
        ),
        "close-looks" => {
            let aborts = w.optional("aborts", share)?.unwrap_or(0.0);
            (
                Step::QueryBursts {
                    aborts,
                    span: w.required("for", micros)?,
                },
                3,
            )
        }
        "odd-requests" => (
            Step::OddRequests {
                span: w.required("for", micros)?,
            },
            3,
        ),
        "hang" => (
            Step::Hang {
                party: w.positional(3, Party::parse)?,
                span: w.required("for", micros)?,
            },
            4,
        ),
        "take" => {
            let notice = w.optional("notice", micros)?.unwrap_or(0);
            let count = w.optional("count", |t| t.parse().ok())?.unwrap_or(1);
            (
                Step::ReclaimMachines {
                    machine: w.positional(3, machine)?,
                    count,
                    notice,
                },
                4,
            )
        }
        "boots" => {
            let factor = w.required("factor", |t| t.parse::<f64>().ok().filter(|f| *f >= 0.0))?;
            (
                Step::ScaleBootTimes {
                    factor,
                    span: w.required("for", micros)?,
                },
                3,
            )
        }
        "polls" => {
            let parse_count = |t: &str| t.parse::<u64>().ok();
            let step = Step::Polls {
                job: w.positional(3, job)?,
                count: w.optional("count", parse_count)?.unwrap_or(1),
                rate: w.required("rate", |t| t.parse::<f64>().ok().filter(|r| *r > 0.0))?,
                span: w.required("for", micros)?,
            };
            (step, 4)
        }
        "team" => {
            let parse_amount = |t: &str| t.parse::<f64>().ok().filter(|v| *v >= 0.0);
            let step = Step::ChangeTeam {
                name: w.positional(3, |t| Some(t.to_owned()))?,
                cores: w.optional("cores", parse_amount)?.unwrap_or(0.0),
                limit: w.optional("most", parse_amount)?.unwrap_or(0.0),
            };
            (step, 4)
        }
        "announce" => (Step::AnnounceNextLimits, 3),
        "limits" => (Step::ApplyNextLimits, 3),
        "upgrade" | "downgrade" => {
            let down = w.required("for", micros)?;
            (
                Step::ChangeVersion {
                    node: w.positional(3, node)?,
                    down,
                    new: kind == "upgrade",
                },
                4,
            )
        }
        "rules" => {
            let name = w.positional(4, |t| Some(t.to_owned()))?;
            let name = Some(name).filter(|n| n != "none");
            (
                Step::ChangeRules {
                    node: w.positional(3, node)?,
                    name,
                    down: w.required("for", micros)?,
                },
                5,
            )
        }
        "faulty" => (
            Step::FailAllTasks {
                machine: w.positional(3, machine)?,
            },
            4,
        ),
        other => return Err(format!("unknown fault {other}")),
    })
}
