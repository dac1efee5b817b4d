//! Explanation of why machines may or may not run a job, as `cometlead rules explain` shows it.
//!
//! It is made from files alone: a submission as `POST /work` accepts it, a rules file, and the machines to evaluate
//! together with the catalog of the cloud.

mod input;
mod machine_view;

use crate::protocol::user::InvalidSubmission;
use crate::scheduler::constraints::{self, ClassTraits, JobConstraints, clash, subject};
use crate::storage::ids::MachineId;
use crate::storage::machine_classes::{Class, Classes};
use cometlead_constraints::explain::{Verdict, explain};
use cometlead_constraints::{BadRules, RuleSet, Traits};
use input::{Input, Machine};
use machine_view::{MachineView, NamedJob, excluding_rules};
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// Why nothing can be explained. The message is one line, which names the file.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// The rules file is invalid.
    #[error("rules: {0}")]
    Rules(#[source] BadRules),
    /// The submission is invalid.
    #[error("job: {0}")]
    Job(#[source] InvalidSubmission),
    /// A rule of the submission tests an unknown trait, or one of another sort.
    #[error("job: {0}")]
    JobRule(#[source] BadRules),
    /// The file of machines is not JSON of the right form.
    #[error("machines: {0}")]
    Machines(#[source] serde_json::Error),
    /// The catalog in the file of machines is not a response of the cloud.
    #[error("machines: catalog: not as the cloud answers")]
    Catalog,
}

/// Explanation for one machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Judgement {
    /// Name of the machine.
    #[serde(rename = "host")]
    pub host: String,
    /// Whether it may run the job in its current state.
    #[serde(rename = "allowed")]
    pub allowed: bool,
    /// Fields of the submission that exclude it, and rules of jobs there that exclude the job.
    #[serde(rename = "against")]
    pub against: Vec<String>,
    /// Result of each rule.
    #[serde(rename = "verdict")]
    pub verdict: Verdict,
}

/// Explanation for all machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether some machine that is listed or that the catalog offers could run the job.
    #[serde(rename = "possible")]
    pub possible: bool,
    /// The smallest set of rules that clash, if it is not possible.
    #[serde(rename = "clash")]
    pub clash: Vec<String>,
    /// Machine by machine.
    #[serde(rename = "machines")]
    pub machines: Vec<Judgement>,
}

/// Explains for every machine of a file whether it may run a job.
///
/// # Errors
/// The first file that is invalid.
pub fn report(rules: &[u8], job: &[u8], machines: &[u8]) -> Result<Report, ExplainError> {
    let input = Input::parse(rules, job, machines)?;
    let explainer = Explainer::new(&input);
    let machines = input
        .machines
        .iter()
        .map(|machine| explainer.judge(machine))
        .collect();
    let clash = explainer.clash();
    Ok(Report {
        possible: clash.is_none(),
        clash: clash.unwrap_or_default(),
        machines,
    })
}

/// Explains the rules of one job.
struct Explainer<'a> {
    input: &'a Input,
    job_name: String,
    sets: [Arc<RuleSet>; 1],
    /// Machines that the rules file labels by name.
    labelled: BTreeSet<MachineId>,
}

impl<'a> Explainer<'a> {
    fn new(input: &'a Input) -> Explainer<'a> {
        let sets = [Arc::clone(&input.rules)];
        Explainer {
            input,
            job_name: input.job.to_string(),
            labelled: constraints::labelled(&sets),
            sets,
        }
    }

    fn judge(&self, machine: &Machine) -> Judgement {
        let Input { rules, spec, .. } = self.input;
        let job = NamedJob {
            name: &self.job_name,
            subject: subject(spec),
        };
        let class = self.class(machine);
        let traits = self.class_traits(&class).map(|mut by_set| by_set.remove(0));
        let verdict = explain(
            rules.concerning(&job.subject).chain(&spec.rules),
            traits.as_ref().unwrap_or(&Traits::new()),
            &MachineView::for_newcomer(machine, job),
        );
        let mut against = self.fields_against(&class);
        if let Some(traits) = &traits {
            against.extend(excluding_rules(machine, rules, job, traits));
        }
        Judgement {
            host: machine.host.clone(),
            allowed: verdict.allowed && against.is_empty(),
            against,
            verdict,
        }
    }

    fn class(&self, machine: &Machine) -> Class {
        let id = machine.host.parse().ok();
        Class {
            machine_type: machine.machine_type.as_str().into(),
            zone: machine.zone.as_str().into(),
            spot: machine.spot,
            machine: id.filter(|id| self.labelled.contains(id)),
        }
    }

    fn class_traits(&self, class: &Class) -> ClassTraits {
        constraints::traits(class, &self.sets, &self.input.catalog)
    }

    /// Names of the fields of the submission that exclude a class.
    fn fields_against(&self, class: &Class) -> Vec<String> {
        let catalog = &self.input.catalog;
        let mut fields = constraints::fields_against(&self.input.spec, class, catalog);
        if catalog.get(&class.machine_type).is_none() {
            // The size comes last, and counts as too small if the type is unknown.
            fields.pop();
            fields.push("its type is not in the catalogue");
        }
        fields.into_iter().map(str::to_owned).collect()
    }

    /// The smallest set of rules that exclude the job from every machine; `None` if some machine could run it.
    fn clash(&self) -> Option<Vec<String>> {
        let Input { spec, catalog, .. } = self.input;
        let classes = self.classes();
        let traits: Vec<ClassTraits> = classes
            .all()
            .iter()
            .map(|class| self.class_traits(class))
            .collect();
        let constraints = JobConstraints::of(spec, &self.sets, &traits).unwrap_or_default();
        clash(spec, &constraints, &self.sets, &classes, catalog)
    }

    /// The classes of the machines that are listed or that the catalog offers.
    fn classes(&self) -> Classes {
        let mut classes = Classes::default();
        classes.label(self.labelled.clone(), std::iter::empty());
        classes.set_catalog(&self.input.catalog);
        for machine in &self.input.machines {
            if let Ok(id) = machine.host.parse() {
                classes.add_to_class(id, self.class(machine));
            }
        }
        classes
    }
}
