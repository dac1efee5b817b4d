//! What users send and get.

use crate::storage::ids::JobId;
use crate::storage::job::{JobSpec, Priority};
use crate::storage::resources::{Amount, taken};
use crate::time::Micros;
use cometlead_constraints::rules::{BadRules, RuleText, read_own};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// Largest request body.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks of one job.
pub const TASK_COUNT_LIMIT: u64 = 100_000;
const NAME_LIMIT: usize = 256;
const AMOUNT_LIMIT: f64 = 1e9;

/// A submission that is malformed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BadSubmission {
    /// Not a JSON object of the right types.
    #[error("{0}")]
    Malformed(String),
    /// A field's value is not allowed.
    #[error("{0}: invalid")]
    Field(&'static str),
    /// The rules that it brings.
    #[error("rules: {0}")]
    Rules(#[from] BadRules),
}

#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    name_id: String,
    #[serde(rename = "lane")]
    job_class: String,
    #[serde(rename = "crew")]
    team: String,
    #[serde(rename = "shape")]
    shape: String,
    #[serde(rename = "urgency")]
    priority: String,
    #[serde(rename = "pieces")]
    task_count: u64,
    #[serde(rename = "cores")]
    cores: f64,
    #[serde(rename = "accelerators")]
    accelerators: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "builds")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard")]
    zone: Option<String>,
    #[serde(rename = "oneZone")]
    single_zone: bool,
    #[serde(rename = "apart")]
    anti_affinity: bool,
    #[serde(rename = "loaners")]
    spot_allowed: bool,
    #[serde(rename = "bundle")]
    image: String,
    #[serde(rename = "sizeGb")]
    size_gb: f64,
    #[serde(rename = "guessS")]
    guess_s: f64,
    #[serde(rename = "bookmarkS")]
    bookmark_s: f64,
    #[serde(rename = "stashS")]
    stash_s: f64,
    #[serde(rename = "dueS")]
    deadline: Option<f64>,
    #[serde(rename = "awaits")]
    dependencies: Option<Vec<String>>,
    #[serde(rename = "rules")]
    rules: Option<Vec<RuleText>>,
}

/// Reads a submission strictly.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), BadSubmission> {
    // A JSON array would pass for the fields in order.
    if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
        return Err(BadSubmission::Malformed("not a JSON object".to_owned()));
    }
    let s: Submission =
        serde_json::from_slice(body).map_err(|e| BadSubmission::Malformed(e.to_string()))?;
    let id = s
        .name_id
        .parse()
        .map_err(|_| BadSubmission::Field("nameId"))?;
    let text = |field, t: String| {
        let ok = !t.is_empty() && t.len() <= NAME_LIMIT;
        if ok {
            Ok(t)
        } else {
            Err(BadSubmission::Field(field))
        }
    };
    let number = |field, n: f64| {
        let ok = n.is_finite() && (0.0..=AMOUNT_LIMIT).contains(&n);
        if ok {
            Ok(n)
        } else {
            Err(BadSubmission::Field(field))
        }
    };
    let span = |field, n: f64| number(field, n).map(Micros::from_secs_f64);
    if s.task_count == 0 || s.task_count > TASK_COUNT_LIMIT {
        return Err(BadSubmission::Field("pieces"));
    }
    let dependencies = s
        .dependencies
        .unwrap_or_default()
        .iter()
        .map(|n| n.parse())
        .collect::<Result<BTreeSet<JobId>, _>>();
    let dependencies = dependencies
        .map_err(|_| BadSubmission::Field("awaits"))?
        .into_iter()
        .collect();
    let spec = JobSpec {
        dependencies,
        rules: read_own(&s.rules.unwrap_or_default())?,
        job_class: text("lane", s.job_class)?,
        team: text("crew", s.team)?,
        service: match s.shape.as_str() {
            "sweep" | "group" => false,
            "standing" => true,
            _ => return Err(BadSubmission::Field("shape")),
        },
        gang: s.shape == "group",
        priority: match s.priority.as_str() {
            "critical" => Priority::Critical,
            "high" => Priority::High,
            "standard" => Priority::Standard,
            "low" => Priority::Low,
            _ => return Err(BadSubmission::Field("urgency")),
        },
        task_count: s.task_count as u32,
        need: Amount {
            cores: taken(number("cores", s.cores)?),
            accelerators: taken(number("accelerators", s.accelerators)?),
            memory: taken(number("memGb", s.mem_gb)?),
        },
        machine_types: s.machine_types,
        zone: s.zone,
        single_zone: s.single_zone,
        anti_affinity: s.anti_affinity,
        spot_allowed: s.spot_allowed,
        image: text("bundle", s.image)?,
        size: taken(number("sizeGb", s.size_gb)?),
        estimated_runtime: span("guessS", s.guess_s)?,
        checkpoint_interval: span("bookmarkS", s.bookmark_s)?,
        checkpoint_duration: span("stashS", s.stash_s)?,
        deadline: s.deadline.map(|d| span("dueS", d)).transpose()?,
    };
    Ok((id, spec))
}

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobStatus {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// An answer about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatusResponse {
    /// The job.
    pub id: JobId,
    /// Its state.
    pub status: JobStatus,
    /// Finished tasks.
    pub done: u32,
    /// Booked tasks.
    pub running: u32,
    /// Why it waits, if that is for rules of where it may run.
    pub reason: Option<Arc<str>>,
}

#[derive(Serialize)]
struct Answer {
    #[serde(rename = "nameId")]
    name_id: String,
    #[serde(rename = "status")]
    status: JobStatus,
    #[serde(rename = "done")]
    done: u32,
    #[serde(rename = "running")]
    running: u32,
    #[serde(rename = "reason", skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl JobStatusResponse {
    /// The body.
    pub fn body(&self) -> Vec<u8> {
        let answer = Answer {
            name_id: self.id.to_string(),
            status: self.status,
            done: self.done,
            running: self.running,
            reason: self.reason.as_deref().map(str::to_owned),
        };
        serde_json::to_vec(&answer).unwrap_or_default()
    }
}

/// What a user asks for.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// `POST /work`.
    Submit(JobId, Box<JobSpec>),
    /// `GET /work/{id}`.
    Query(JobId),
    /// `POST /work/{id}/abort`.
    Abort(JobId),
}

impl UserRequest {
    /// The job it is about.
    pub fn job(&self) -> JobId {
        match self {
            UserRequest::Submit(id, _) | UserRequest::Query(id) | UserRequest::Abort(id) => *id,
        }
    }
}

/// The answer to a user's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UserResponse {
    /// 201.
    Accepted(JobStatusResponse),
    /// 200.
    Is(JobStatusResponse),
    /// 404.
    Unknown,
    /// 422, and why.
    Never(Cow<'static, str>),
    /// 400, and why.
    Bad(Cow<'static, str>),
    /// 503: cannot be decided here and now; come back after that many seconds.
    RetryAfter(u32),
}

#[cfg(test)]
mod tests;
