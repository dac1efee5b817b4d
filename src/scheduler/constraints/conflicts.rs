//! Explanation of conflicts: the smallest sets of rules that exclude a job from all machines.

use super::evaluation::JobConstraints;
use super::machine_context::{JobRef, MachineContext, PlacementContext};
use super::traits::traits;
use crate::storage::catalog::Catalog;
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::{Class, Classes};
use cometlead_constraints::RuleSet;
use cometlead_constraints::conflict::{self, RuleMask};
use cometlead_constraints::rules::LabelTable;
use std::sync::Arc;

/// Names of the fields of a submission that restrict where its tasks may run. In a [`RuleMask`] they are the lowest
/// bits, followed by the hard rules of the job.
const FIELDS: [&str; 4] = [
    "submission: builds",
    "submission: yard",
    "submission: loaners",
    "submission: size of a task",
];

/// For each field of [`FIELDS`]: whether it excludes a class.
fn excluding_fields(spec: &JobSpec, class: &Class, catalog: &Catalog) -> [bool; FIELDS.len()] {
    let type_excluded = spec
        .machine_types
        .as_ref()
        .is_some_and(|types| !types.iter().any(|name| **name == *class.machine_type));
    let zone_excluded = spec.zone.as_ref().is_some_and(|zone| **zone != *class.zone);
    let spot_excluded = class.spot && !spec.spot_allowed;
    let too_small = catalog
        .get(&class.machine_type)
        .is_none_or(|entry| !spec.need.fits(&entry.capacity));
    [type_excluded, zone_excluded, spot_excluded, too_small]
}

/// Names of the fields of a submission that exclude a class.
pub fn excluding_field_names(
    spec: &JobSpec,
    class: &Class,
    catalog: &Catalog,
) -> Vec<&'static str> {
    let failing = excluding_fields(spec, class, catalog);
    FIELDS
        .into_iter()
        .zip(failing)
        .filter(|(_, fails)| *fails)
        .map(|(name, _)| name)
        .collect()
}

/// The smallest set of rules, by name, that excludes a job from every machine that is up or could be provisioned;
/// `None` if some machine could run it.
pub fn smallest_conflict(
    spec: &JobSpec,
    constraints: &JobConstraints,
    sets: &[Arc<RuleSet>],
    classes: &Classes,
    catalog: &Catalog,
) -> Option<Vec<String>> {
    let mut failing_by_class = Vec::new();
    for (id, class) in possible_classes(classes) {
        let failing = excluding_fields(spec, class, catalog)
            .into_iter()
            .chain(requirements_excluding(constraints, id));
        failing_by_class.push(rule_mask(failing)?);
    }
    for class in labelled_offers(sets, classes) {
        let class_traits = traits(&class, sets, catalog);
        let constraints = JobConstraints::of(spec, sets, &[class_traits]).unwrap_or_default();
        let failing = excluding_fields(spec, &class, catalog)
            .into_iter()
            .chain(requirements_excluding(&constraints, 0));
        failing_by_class.push(rule_mask(failing)?);
    }
    let conflict = conflict::smallest_conflict(&failing_by_class)?;
    let fields = FIELDS.into_iter();
    Some(rule_names(
        conflict,
        fields.chain(requirement_names(constraints)),
    ))
}

/// Classes of machines that are up or could be provisioned.
fn possible_classes(classes: &Classes) -> impl Iterator<Item = (usize, &Class)> {
    classes
        .all()
        .iter()
        .enumerate()
        .filter(|(id, _)| classes.is_possible(*id))
}

/// The classes of labelled machines that have not come up yet; such a machine may be of any type that is offered. Of
/// several machines with equal labels, only one is considered.
fn labelled_offers<'a>(
    sets: &'a [Arc<RuleSet>],
    classes: &'a Classes,
) -> impl Iterator<Item = Class> + 'a {
    let mut seen_labels: Vec<Vec<Option<&LabelTable>>> = Vec::new();
    let distinct = classes.labelled_not_up().filter(move |machine| {
        let name = machine.to_string();
        let labels = sets
            .iter()
            .map(|set| set.file.labels.machines.get(&name))
            .collect();
        let is_new = !seen_labels.contains(&labels);
        if is_new {
            seen_labels.push(labels);
        }
        is_new
    });
    distinct.flat_map(move |machine| {
        possible_classes(classes)
            .filter(|(_, class)| class.machine.is_none())
            .map(move |(_, class)| Class {
                machine: Some(machine),
                ..class.clone()
            })
    })
}

fn requirements_excluding(
    constraints: &JobConstraints,
    class: usize,
) -> impl Iterator<Item = bool> {
    constraints
        .requirements()
        .iter()
        .map(move |requirement| requirement.excludes_class(class))
}

fn requirement_names(constraints: &JobConstraints) -> impl Iterator<Item = &str> {
    constraints
        .requirements()
        .iter()
        .map(|requirement| requirement.name.as_str())
}

/// The rules that fail, as bits; `None` if none does. Rules beyond the width of the mask are ignored.
fn rule_mask(failing: impl Iterator<Item = bool>) -> Option<RuleMask> {
    let mask = failing
        .take(RuleMask::BITS as usize)
        .enumerate()
        .fold(0, |mask, (bit, fails)| mask | RuleMask::from(fails) << bit);
    (mask != 0).then_some(mask)
}

/// Names of the rules in a mask. Two versions of a rule that are in force at the same time share one name.
fn rule_names<'a>(conflict: RuleMask, all: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for (bit, name) in all.take(RuleMask::BITS as usize).enumerate() {
        if conflict >> bit & 1 == 1 && !names.iter().any(|known| known == name) {
            names.push(name.to_owned());
        }
    }
    names
}

impl PlacementContext<'_> {
    /// The smallest set of a job's hard rules, by name, that excludes it from every one of these machines in their
    /// current state; `None` if some machine meets all of them and rules of the jobs there exclude it.
    pub fn blocking_rules<'m>(
        &self,
        job: JobRef<'_>,
        constraints: &JobConstraints,
        machines: impl Iterator<Item = MachineContext<'m>>,
    ) -> Option<Vec<String>> {
        let failing_by_machine: Vec<RuleMask> = machines
            .map(|machine| {
                let view = self.machine_view(job, machine);
                let violated = constraints
                    .requirements()
                    .iter()
                    .map(|requirement| !requirement.holds(machine.class, &view));
                rule_mask(violated).unwrap_or(0)
            })
            .collect();
        let conflict = conflict::smallest_conflict(&failing_by_machine)?;
        Some(rule_names(conflict, requirement_names(constraints)))
    }
}
