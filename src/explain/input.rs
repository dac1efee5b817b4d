//! The files that `cometlead rules explain` reads.

use super::ExplainError;
use crate::protocol::cloud::{self, CloudReply, CloudRequest};
use crate::protocol::user::parse_submission;
use crate::storage::catalog::Catalog;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use cometlead_constraints::{RuleSet, Subject};
use serde::Deserialize;
use std::sync::Arc;

/// A job with tasks on a machine, with the properties that rules test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ColocatedJob {
    /// Its name.
    #[serde(rename = "nameId", default)]
    pub(super) name_id: String,
    /// Its class.
    #[serde(rename = "lane")]
    pub(super) job_class: String,
    /// Its team.
    #[serde(rename = "crew")]
    pub(super) team: String,
    /// Its image.
    #[serde(rename = "bundle")]
    pub(super) image: String,
    /// Its priority.
    #[serde(rename = "urgency")]
    pub(super) priority: String,
}

impl ColocatedJob {
    pub(super) fn subject(&self) -> Subject<'_> {
        Subject {
            job_class: &self.job_class,
            team: &self.team,
            image: &self.image,
            priority: &self.priority,
        }
    }
}

/// A machine to evaluate the rules for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Machine {
    /// Its name.
    #[serde(rename = "host")]
    pub(super) host: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub(super) machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub(super) zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub(super) spot: bool,
    /// Images that the machine has in its cache or downloads.
    #[serde(rename = "images", default)]
    pub(super) images: Vec<String>,
    /// Jobs with tasks on the machine.
    #[serde(rename = "jobs", default)]
    pub(super) jobs: Vec<ColocatedJob>,
}

/// The machines file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MachinesFile {
    /// The cloud's response to `GET /catalog`.
    #[serde(rename = "catalog")]
    catalog: serde_json::Value,
    #[serde(rename = "machines")]
    machines: Vec<Machine>,
}

/// The parsed files that an explanation is based on.
pub(super) struct Input {
    pub(super) rules: Arc<RuleSet>,
    pub(super) job: JobId,
    pub(super) spec: JobSpec,
    pub(super) catalog: Catalog,
    pub(super) machines: Vec<Machine>,
}

impl Input {
    /// Parses and validates the files.
    pub(super) fn parse(rules: &[u8], job: &[u8], machines: &[u8]) -> Result<Input, ExplainError> {
        let rules = RuleSet::parse(rules).map_err(ExplainError::Rules)?;
        let (job, spec) = parse_submission(job).map_err(ExplainError::Job)?;
        let file: MachinesFile =
            serde_json::from_slice(machines).map_err(ExplainError::Machines)?;
        let catalog = parse_catalog(&file.catalog)?;
        for rule in &spec.rules {
            rule.check(&rules.vocabulary)
                .map_err(ExplainError::JobRule)?;
        }
        Ok(Input {
            rules: Arc::new(rules),
            job,
            spec,
            catalog,
            machines: file.machines,
        })
    }
}

fn parse_catalog(response: &serde_json::Value) -> Result<Catalog, ExplainError> {
    const STATUS_OK: u16 = 200;
    let body = response.to_string().into_bytes();
    match cloud::parse(&CloudRequest::Catalog, STATUS_OK, &body) {
        Ok(CloudReply::Catalog(catalog)) => Ok(catalog),
        _ => Err(ExplainError::Catalog),
    }
}
