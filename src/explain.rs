//! Explanation of why machines may or may not run a job, as `cometlead rules explain` shows it.
//!
//! It only needs files: a submission as `POST /work` accepts it, a rules file, and a file with the machines to evaluate
//! and the cloud's catalog.

mod input;
mod machine_view;

use crate::protocol::user::InvalidSubmission;
use crate::scheduler::constraints::{
    self, ClassTraits, JobConstraints, rule_subject, smallest_conflict,
};
use crate::storage::ids::MachineId;
use crate::storage::machine_classes::{Class, Classes};
use cometlead_constraints::explain::{Explanation, explain};
use cometlead_constraints::{RuleSet, RulesError, Traits};
use input::{Input, Machine};
use machine_view::{MachineView, NamedJob, excluding_rules};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// Why there is no explanation. The message is one line, which names the file.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// The rules file is invalid.
    #[error("rules: {0}")]
    Rules(#[source] RulesError),
    /// The submission is invalid.
    #[error("job: {0}")]
    Job(#[source] InvalidSubmission),
    /// A rule of the submission tests an unknown trait, or one of another sort.
    #[error("job: {0}")]
    JobRule(#[source] RulesError),
    /// The machines file is not JSON of the right form.
    #[error("machines: {0}")]
    Machines(#[source] serde_json::Error),
    /// The catalog in the machines file is not a valid response of the cloud.
    #[error("machines: catalog: not a valid response of the cloud")]
    Catalog,
}

/// Explanation for one machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MachineReport {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub host: String,
    /// Whether the machine may run the job in its current state.
    #[serde(rename = "allowed")]
    pub allowed: bool,
    /// Fields of the submission that exclude the machine, and rules of jobs on it that exclude the job.
    #[serde(rename = "against")]
    pub exclusions: Vec<String>,
    /// Results of the rules.
    #[serde(rename = "verdict")]
    pub explanation: Explanation,
}

/// Explanation for all machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether some machine that is listed or that the catalog offers could run the job.
    #[serde(rename = "possible")]
    pub possible: bool,
    /// The smallest set of conflicting rules, if no machine could run the job.
    #[serde(rename = "clash")]
    pub conflicting_rules: Vec<String>,
    /// The explanation for each machine.
    #[serde(rename = "machines")]
    pub machines: Vec<MachineReport>,
}

/// Explains for every machine of the machines file whether it may run the job.
///
/// # Errors
/// [`ExplainError`] for the first file that is invalid.
pub fn report(rules: &[u8], job: &[u8], machines: &[u8]) -> Result<Report, ExplainError> {
    let input = Input::parse(rules, job, machines)?;
    let explainer = Explainer::new(&input);
    let machines = input
        .machines
        .iter()
        .map(|machine| explainer.explain_machine(machine))
        .collect();
    let conflicting = explainer.conflicting_rules();
    Ok(Report {
        possible: conflicting.is_none(),
        conflicting_rules: conflicting.unwrap_or_default(),
        machines,
    })
}

/// Explains the rules of one job.
struct Explainer<'a> {
    input: &'a Input,
    job_name: String,
    rule_sets: [Arc<RuleSet>; 1],
    /// Machines that the rules file labels by name.
    labelled_machines: BTreeSet<MachineId>,
}

impl<'a> Explainer<'a> {
    fn new(input: &'a Input) -> Explainer<'a> {
        let rule_sets = [Arc::clone(&input.rules)];
        Explainer {
            input,
            job_name: input.job.to_string(),
            labelled_machines: constraints::labelled_machines(&rule_sets),
            rule_sets,
        }
    }

    fn explain_machine(&self, machine: &Machine) -> MachineReport {
        let Input { rules, spec, .. } = self.input;
        let job = NamedJob {
            name: &self.job_name,
            subject: rule_subject(spec),
        };
        let class = self.class(machine);
        let traits = self
            .class_traits(&class)
            .map(|mut by_rule_set| by_rule_set.remove(0));
        let explanation = explain(
            rules.concerning(&job.subject).chain(&spec.rules),
            traits.as_ref().unwrap_or(&Traits::new()),
            &MachineView::for_candidate(machine, job),
        );
        let mut exclusions = self.excluding_fields(&class);
        if let Some(traits) = &traits {
            exclusions.extend(excluding_rules(machine, rules, job, traits));
        }
        MachineReport {
            host: machine.host.clone(),
            allowed: explanation.allowed && exclusions.is_empty(),
            exclusions,
            explanation,
        }
    }

    fn class(&self, machine: &Machine) -> Class {
        let id = machine.host.parse().ok();
        Class {
            machine_type: machine.machine_type.as_str().into(),
            zone: machine.zone.as_str().into(),
            spot: machine.spot,
            machine: id.filter(|id| self.labelled_machines.contains(id)),
        }
    }

    fn class_traits(&self, class: &Class) -> ClassTraits {
        constraints::traits(class, &self.rule_sets, &self.input.catalog)
    }

    /// Names of the fields of the submission that exclude a class.
    fn excluding_fields(&self, class: &Class) -> Vec<String> {
        let catalog = &self.input.catalog;
        let mut fields = constraints::excluding_field_names(&self.input.spec, class, catalog);
        if catalog.get(&class.machine_type).is_none() {
            // The last of the fields is the size, which counts as too small if the type is unknown.
            fields.pop();
            fields.push("its type is not in the catalogue");
        }
        fields.into_iter().map(str::to_owned).collect()
    }

    /// The smallest set of rules that exclude the job from every machine; `None` if some machine could run it.
    fn conflicting_rules(&self) -> Option<Vec<String>> {
        let Input { spec, catalog, .. } = self.input;
        let classes = self.classes();
        let traits: Vec<ClassTraits> = classes
            .all()
            .iter()
            .map(|class| self.class_traits(class))
            .collect();
        let constraints = JobConstraints::of(spec, &self.rule_sets, &traits).unwrap_or_default();
        smallest_conflict(spec, &constraints, &self.rule_sets, &classes, catalog)
    }

    /// The classes of the machines that are listed or that the catalog offers.
    fn classes(&self) -> Classes {
        let mut classes = Classes::default();
        classes.set_labelled_machines(self.labelled_machines.clone(), std::iter::empty());
        classes.set_catalog(&self.input.catalog);
        for machine in &self.input.machines {
            if let Ok(id) = machine.host.parse() {
                classes.add_to_class(id, self.class(machine));
            }
        }
        classes
    }
}
