//! The protocol of users: submissions, queries, cancellations and their responses.

use crate::storage::ids::JobId;
use crate::storage::job::{JobSpec, Priority};
use crate::storage::resources::{Amount, thousandths_rounded_up};
use crate::time::Micros;
use cometlead_constraints::rules::{RuleText, RulesError, parse_job_rules};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// Largest size of a request's body, in bytes.
pub const BODY_BYTES_LIMIT: usize = 64 * 1024;
/// Largest number of tasks of one job.
pub const TASK_COUNT_LIMIT: u64 = 100_000;
/// Largest size of a text field, in bytes.
const TEXT_BYTES_LIMIT: usize = 256;
/// Largest value of a numeric field, in the unit of the field.
const AMOUNT_LIMIT: f64 = 1e9;

/// Why a submission is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum InvalidSubmission {
    /// The body is not a JSON object, or a field is missing or of the wrong type.
    #[error("{0}")]
    Malformed(String),
    /// The value of the field of this name is out of range.
    #[error("{0}: invalid")]
    Field(&'static str),
    /// The job's placement rules are invalid.
    #[error("rules: {0}")]
    Rules(#[from] RulesError),
}

#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    id: String,
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
    memory_gb: f64,
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
    image_size_gb: f64,
    #[serde(rename = "guessS")]
    estimated_runtime_s: f64,
    #[serde(rename = "bookmarkS")]
    checkpoint_interval_s: f64,
    #[serde(rename = "stashS")]
    checkpoint_duration_s: f64,
    #[serde(rename = "dueS")]
    deadline_s: Option<f64>,
    #[serde(rename = "awaits")]
    dependencies: Option<Vec<String>>,
    #[serde(rename = "rules")]
    rules: Option<Vec<RuleText>>,
}

/// Parses the body of a submission. Every field must be present, of the right type and in range.
///
/// # Errors
/// [`InvalidSubmission`] with the first field that is invalid.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), InvalidSubmission> {
    if !starts_json_object(body) {
        return Err(InvalidSubmission::Malformed("not a JSON object".to_owned()));
    }
    let submission: Submission = serde_json::from_slice(body)
        .map_err(|error| InvalidSubmission::Malformed(error.to_string()))?;
    let id = submission
        .id
        .parse()
        .map_err(|_| InvalidSubmission::Field("nameId"))?;
    Ok((id, submission.into_spec()?))
}

/// Whether the body starts like a JSON object. Without this check, serde would also accept a JSON array that has the
/// fields in their order.
fn starts_json_object(body: &[u8]) -> bool {
    body.iter().find(|byte| !byte.is_ascii_whitespace()) == Some(&b'{')
}

impl Submission {
    /// Validates the fields. Their order here decides which of several invalid fields is reported.
    fn into_spec(self) -> Result<JobSpec, InvalidSubmission> {
        let task_count = parse_task_count(self.task_count)?;
        let dependencies = parse_dependencies(&self.dependencies.unwrap_or_default())?;
        let rules = parse_job_rules(&self.rules.unwrap_or_default())?;
        let job_class = parse_text("lane", self.job_class)?;
        let team = parse_text("crew", self.team)?;
        let shape = Shape::parse(&self.shape)?;
        Ok(JobSpec {
            dependencies,
            rules,
            job_class,
            team,
            service: shape == Shape::Service,
            gang: shape == Shape::Gang,
            priority: parse_priority(&self.priority)?,
            task_count,
            need: Amount {
                cores: parse_amount("cores", self.cores)?,
                accelerators: parse_amount("accelerators", self.accelerators)?,
                memory: parse_amount("memGb", self.memory_gb)?,
            },
            machine_types: self.machine_types,
            zone: self.zone,
            single_zone: self.single_zone,
            anti_affinity: self.anti_affinity,
            spot_allowed: self.spot_allowed,
            image: parse_text("bundle", self.image)?,
            image_size: parse_amount("sizeGb", self.image_size_gb)?,
            estimated_runtime: parse_duration("guessS", self.estimated_runtime_s)?,
            checkpoint_interval: parse_duration("bookmarkS", self.checkpoint_interval_s)?,
            checkpoint_duration: parse_duration("stashS", self.checkpoint_duration_s)?,
            deadline: self
                .deadline_s
                .map(|seconds| parse_duration("dueS", seconds))
                .transpose()?,
        })
    }
}

/// How the tasks of a job are started and how they end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// Tasks that run independently.
    Array,
    /// Tasks that start together or not at all.
    Gang,
    /// Tasks that run until they are cancelled.
    Service,
}

impl Shape {
    fn parse(text: &str) -> Result<Shape, InvalidSubmission> {
        match text {
            "sweep" => Ok(Shape::Array),
            "group" => Ok(Shape::Gang),
            "standing" => Ok(Shape::Service),
            _ => Err(InvalidSubmission::Field("shape")),
        }
    }
}

fn parse_priority(text: &str) -> Result<Priority, InvalidSubmission> {
    match text {
        "critical" => Ok(Priority::Critical),
        "high" => Ok(Priority::High),
        "standard" => Ok(Priority::Standard),
        "low" => Ok(Priority::Low),
        _ => Err(InvalidSubmission::Field("urgency")),
    }
}

fn parse_task_count(count: u64) -> Result<u32, InvalidSubmission> {
    if (1..=TASK_COUNT_LIMIT).contains(&count) {
        Ok(count as u32)
    } else {
        Err(InvalidSubmission::Field("pieces"))
    }
}

/// The jobs that the job waits for, sorted and without duplicates.
fn parse_dependencies(names: &[String]) -> Result<Vec<JobId>, InvalidSubmission> {
    let dependencies: BTreeSet<JobId> = names
        .iter()
        .map(|name| name.parse())
        .collect::<Result<_, _>>()
        .map_err(|_| InvalidSubmission::Field("awaits"))?;
    Ok(dependencies.into_iter().collect())
}

fn parse_text(field: &'static str, text: String) -> Result<String, InvalidSubmission> {
    if (1..=TEXT_BYTES_LIMIT).contains(&text.len()) {
        Ok(text)
    } else {
        Err(InvalidSubmission::Field(field))
    }
}

fn parse_number(field: &'static str, number: f64) -> Result<f64, InvalidSubmission> {
    if (0.0..=AMOUNT_LIMIT).contains(&number) {
        Ok(number)
    } else {
        Err(InvalidSubmission::Field(field))
    }
}

/// The amount of a resource that a task needs, in thousandths.
fn parse_amount(field: &'static str, number: f64) -> Result<u64, InvalidSubmission> {
    parse_number(field, number).map(thousandths_rounded_up)
}

fn parse_duration(field: &'static str, seconds: f64) -> Result<Micros, InvalidSubmission> {
    parse_number(field, seconds).map(Micros::from_secs_f64)
}

/// A job's state as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobStatus {
    /// No task is assigned to a machine.
    #[serde(rename = "queued")]
    Queued,
    /// Some task is assigned to a machine.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job is cancelled.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// A job's status as shown to users.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobStatusResponse {
    /// The job.
    pub id: JobId,
    /// The job's state.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that are assigned to machines.
    pub running: u32,
    /// Why the job waits; only set if its placement rules are the reason.
    pub reason: Option<Arc<str>>,
}

#[derive(Serialize)]
struct JobStatusWire<'a> {
    #[serde(rename = "nameId")]
    id: String,
    #[serde(rename = "status")]
    status: JobStatus,
    #[serde(rename = "done")]
    done: u32,
    #[serde(rename = "running")]
    running: u32,
    #[serde(rename = "reason", skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
}

impl JobStatusResponse {
    /// The body of the response.
    pub fn body(&self) -> Vec<u8> {
        let wire = JobStatusWire {
            id: self.id.to_string(),
            status: self.status,
            done: self.done,
            running: self.running,
            reason: self.reason.as_deref(),
        };
        serde_json::to_vec(&wire).unwrap_or_default()
    }
}

/// A user's request.
#[derive(Clone, Debug)]
pub enum UserRequest {
    /// `POST /work`: submits a job.
    Submit(JobId, Box<JobSpec>),
    /// `GET /work/{id}`: queries a job's status.
    Query(JobId),
    /// `POST /work/{id}/abort`: cancels a job.
    Cancel(JobId),
}

impl UserRequest {
    /// The job that the request names.
    pub fn job(&self) -> JobId {
        match self {
            UserRequest::Submit(id, _) | UserRequest::Query(id) | UserRequest::Cancel(id) => *id,
        }
    }
}

/// The response to a user's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UserResponse {
    /// 201: the job is accepted.
    Accepted(JobStatusResponse),
    /// 200: the status of a job that was accepted before.
    Status(JobStatusResponse),
    /// 404: no job of this name was ever accepted.
    NotFound,
    /// 422: the job can never run, with the reason.
    Unsatisfiable(Cow<'static, str>),
    /// 400: the submission is invalid, with the reason.
    Invalid(Cow<'static, str>),
    /// 503: not decided; the user should retry after this many seconds.
    RetryAfter(u32),
}

#[cfg(test)]
mod tests;
