//! A machine of the machines file, as seen by the rules of one job.

use super::input::{ColocatedJob, Machine};
use cometlead_constraints::expr::{Field, Words};
use cometlead_constraints::{Expr, MachineState, Rule, RuleSet, Subject, Traits};

/// A job's name, and its properties.
#[derive(Clone, Copy)]
pub(super) struct NamedJob<'a> {
    pub(super) name: &'a str,
    pub(super) subject: Subject<'a>,
}

impl<'a> NamedJob<'a> {
    fn of(colocated_job: &'a ColocatedJob) -> NamedJob<'a> {
        NamedJob {
            name: &colocated_job.name_id,
            subject: colocated_job.subject(),
        }
    }

    /// Whether a property of the job is one of these words.
    fn matches(&self, field: Field, words: &Words) -> bool {
        words.contains(match field {
            Field::JobClass => self.subject.job_class,
            Field::Team => self.subject.team,
            Field::Image => self.subject.image,
            Field::Priority => self.subject.priority,
            Field::Job => self.name,
        })
    }
}

/// A machine as seen by the rules of one job.
pub(super) struct MachineView<'a> {
    machine: &'a Machine,
    /// The image of the job.
    image: &'a str,
    /// The other jobs on the machine.
    colocated: Vec<NamedJob<'a>>,
}

impl<'a> MachineView<'a> {
    /// The machine as seen by the rules of a job that is to be placed on it.
    pub(super) fn for_candidate(machine: &'a Machine, job: NamedJob<'a>) -> MachineView<'a> {
        MachineView {
            machine,
            image: job.subject.image,
            colocated: machine
                .jobs
                .iter()
                .filter(|colocated_job| colocated_job.name_id != job.name)
                .map(NamedJob::of)
                .collect(),
        }
    }

    /// The machine as seen by the rules of a job on it, given by its index, once the candidate is placed there too.
    fn for_colocated_job(
        machine: &'a Machine,
        job_index: usize,
        candidate: NamedJob<'a>,
    ) -> MachineView<'a> {
        let others = machine
            .jobs
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != job_index)
            .map(|(_, other)| NamedJob::of(other));
        MachineView {
            machine,
            image: &machine.jobs[job_index].image,
            colocated: others.chain([candidate]).collect(),
        }
    }
}

impl MachineState for MachineView<'_> {
    fn has_own_image(&self) -> bool {
        self.machine.images.iter().any(|image| image == self.image)
    }

    fn has_any_image(&self, images: &Words) -> bool {
        self.machine
            .images
            .iter()
            .any(|image| images.contains(image))
    }

    fn has_colocated(&self, field: Field, words: &Words) -> bool {
        self.colocated.iter().any(|job| job.matches(field, words))
    }
}

/// The rules of jobs on a machine that exclude a candidate job, each with the name of the job that it belongs to.
pub(super) fn excluding_rules(
    machine: &Machine,
    rules: &RuleSet,
    candidate: NamedJob<'_>,
    traits: &Traits,
) -> Vec<String> {
    let mut excluding = Vec::new();
    for (index, colocated_job) in machine.jobs.iter().enumerate() {
        let view = MachineView::for_colocated_job(machine, index, candidate);
        let subject = colocated_job.subject();
        let violated = rules
            .concerning(&subject)
            .filter(|rule| rule.is_hard() && rule_selects_job(rule, candidate))
            .filter(|rule| !rule.expr.holds(traits, &view));
        excluding
            .extend(violated.map(|rule| format!("{} of {}", rule.name, colocated_job.name_id)));
    }
    excluding
}

/// Whether a rule tests for colocated jobs in a way that selects this job.
fn rule_selects_job(rule: &Rule, job: NamedJob<'_>) -> bool {
    let mut selected = false;
    rule.expr.visit_tests(&mut |test| {
        selected |= matches!(test, Expr::Colocated(field, words) if job.matches(*field, words));
    });
    selected
}
