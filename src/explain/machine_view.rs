//! A listed machine as the rules of one job see it.

use super::input::{Machine, Resident};
use cometlead_constraints::expr::{Field, Words};
use cometlead_constraints::{Expr, MachineState, Rule, RuleSet, Subject, Traits};

/// A job by name, and its properties.
#[derive(Clone, Copy)]
pub(super) struct NamedJob<'a> {
    pub(super) name: &'a str,
    pub(super) subject: Subject<'a>,
}

impl<'a> NamedJob<'a> {
    fn of(resident: &'a Resident) -> NamedJob<'a> {
        NamedJob {
            name: &resident.name_id,
            subject: resident.subject(),
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

/// A machine as the rules of one job see it.
pub(super) struct MachineView<'a> {
    machine: &'a Machine,
    /// The image of the job.
    image: &'a str,
    /// The other jobs there.
    colocated: Vec<NamedJob<'a>>,
}

impl<'a> MachineView<'a> {
    /// The machine as the rules of a job see it that is to be placed there.
    pub(super) fn for_newcomer(machine: &'a Machine, job: NamedJob<'a>) -> MachineView<'a> {
        MachineView {
            machine,
            image: job.subject.image,
            colocated: machine
                .jobs
                .iter()
                .filter(|resident| resident.name_id != job.name)
                .map(NamedJob::of)
                .collect(),
        }
    }

    /// The machine as the rules of a job there see it, by its index, once a newcomer is placed there.
    fn for_resident(
        machine: &'a Machine,
        resident: usize,
        newcomer: NamedJob<'a>,
    ) -> MachineView<'a> {
        let others = machine
            .jobs
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != resident)
            .map(|(_, other)| NamedJob::of(other));
        MachineView {
            machine,
            image: &machine.jobs[resident].image,
            colocated: others.chain([newcomer]).collect(),
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

/// The rules of jobs on a machine that exclude a newcomer, each with the name of its job.
pub(super) fn excluding_rules(
    machine: &Machine,
    rules: &RuleSet,
    newcomer: NamedJob<'_>,
    traits: &Traits,
) -> Vec<String> {
    let mut excluding = Vec::new();
    for (index, resident) in machine.jobs.iter().enumerate() {
        let view = MachineView::for_resident(machine, index, newcomer);
        let subject = resident.subject();
        let violated = rules
            .concerning(&subject)
            .filter(|rule| rule.is_hard() && tests_job(rule, newcomer))
            .filter(|rule| !rule.expr.holds(traits, &view));
        excluding.extend(violated.map(|rule| format!("{} of {}", rule.name, resident.name_id)));
    }
    excluding
}

/// Whether a test of a rule selects a job among the colocated ones.
fn tests_job(rule: &Rule, job: NamedJob<'_>) -> bool {
    let mut any = false;
    rule.expr.tests(&mut |test| {
        any |= matches!(test, Expr::Colocated(field, words) if job.matches(*field, words));
    });
    any
}
