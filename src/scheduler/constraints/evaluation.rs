//! Evaluation of the rules that concern a job, for each machine class.

use super::traits::ClassTraits;
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::ClassId;
use crate::time::Micros;
use cometlead_constraints::evaluation::EmptyMachine;
use cometlead_constraints::expr::{Field, Words};
use cometlead_constraints::{
    Evaluation, Expr, MachineState, Rule, RuleKind, RuleSet, Subject, Traits,
};
use std::ops::Range;
use std::sync::Arc;

/// A set of preferences: bit `n` stands for the preference at index `n` of [`JobConstraints::preferences`].
pub type RequiredPreferences = u64;

/// A hard rule.
#[derive(Clone, Debug)]
pub(super) struct Requirement {
    pub(super) name: String,
    /// The tests of colocated jobs in the rule.
    colocation_tests: Vec<(Field, Words)>,
    by_class: Vec<Evaluation>,
}

impl Requirement {
    fn new(rule: &Rule, by_class: Vec<Evaluation>) -> Requirement {
        let mut colocation_tests = Vec::new();
        rule.expr.visit_tests(&mut |test| {
            if let Expr::Colocated(field, words) = test {
                colocation_tests.push((*field, words.clone()));
            }
        });
        Requirement {
            name: rule.name.clone(),
            colocation_tests,
            by_class,
        }
    }

    /// Whether no machine of the class can meet the rule.
    pub(super) fn excludes_class(&self, class: ClassId) -> bool {
        excludes(&self.by_class, class)
    }

    /// Whether a machine of the class meets the rule in its current state.
    pub(super) fn holds(&self, class: ClassId, state: &dyn MachineState) -> bool {
        holds(&self.by_class, class, state)
    }

    /// Whether one of the rule's tests of colocated jobs applies to a job. `matches`: whether the job has one of these
    /// values in the field.
    pub(super) fn tests_job(&self, matches: impl Fn(Field, &Words) -> bool) -> bool {
        self.colocation_tests
            .iter()
            .any(|(field, words)| matches(*field, words))
    }
}

/// A soft rule.
#[derive(Clone, Debug)]
pub struct Preference {
    /// Its name.
    pub name: String,
    /// Its weight in the score of a machine.
    pub weight: u32,
    /// How long a job waits for a machine that meets it.
    pub wait: Micros,
    by_class: Vec<Evaluation>,
}

impl Preference {
    /// Whether machines of the class may meet it.
    pub fn may_meet(&self, class: ClassId) -> bool {
        !excludes(&self.by_class, class)
    }
}

/// The rules that concern a job, evaluated for each machine class.
#[derive(Clone, Debug, Default)]
pub struct JobConstraints {
    requirements: Vec<Requirement>,
    /// Conjunction of all requirements, by class.
    conjunction: Vec<Evaluation>,
    /// By descending weight, then by name: the same order at every controller.
    preferences: Vec<Preference>,
}

impl JobConstraints {
    /// Evaluates the rules that concern a job; `None` if there is none. If several rule sets are in force, the hard
    /// rules of all of them apply, but only the preferences of the last set. `classes`: the traits of every class.
    pub fn of(
        spec: &JobSpec,
        sets: &[Arc<RuleSet>],
        classes: &[ClassTraits],
    ) -> Option<JobConstraints> {
        let rules = rules_concerning(spec, sets);
        if rules.is_empty() {
            return None;
        }
        let last_set = sets.len().max(1) - 1;
        let mut constraints = JobConstraints {
            conjunction: vec![Evaluation::Always; classes.len()],
            ..JobConstraints::default()
        };
        for RuleInSets { rule, sets } in rules {
            match rule.kind {
                RuleKind::Require => {
                    constraints.add_requirement(rule, evaluate(rule, &sets, classes));
                }
                RuleKind::Prefer { weight, wait } if sets.end > last_set => {
                    let last_only = sets.start.max(last_set)..sets.end;
                    constraints.preferences.push(Preference {
                        name: rule.name.clone(),
                        weight,
                        wait: Micros(wait),
                        by_class: evaluate(rule, &last_only, classes),
                    });
                }
                RuleKind::Prefer { .. } => {}
            }
        }
        constraints.order_preferences();
        Some(constraints)
    }

    fn add_requirement(&mut self, rule: &Rule, by_class: Vec<Evaluation>) {
        for (combined, evaluation) in self.conjunction.iter_mut().zip(&by_class) {
            *combined = conjunction(
                std::mem::replace(combined, Evaluation::Always),
                evaluation.clone(),
            );
        }
        self.requirements.push(Requirement::new(rule, by_class));
    }

    fn order_preferences(&mut self) {
        self.preferences
            .sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        self.preferences
            .truncate(RequiredPreferences::BITS as usize);
    }

    pub(super) fn requirements(&self) -> &[Requirement] {
        &self.requirements
    }

    /// The preferences, by descending weight.
    pub fn preferences(&self) -> &[Preference] {
        &self.preferences
    }

    /// The preferences of a set.
    pub fn preferences_in(
        &self,
        required_preferences: RequiredPreferences,
    ) -> impl Iterator<Item = &Preference> {
        self.preferences
            .iter()
            .enumerate()
            .filter(move |(index, _)| required_preferences >> index & 1 == 1)
            .map(|(_, preference)| preference)
    }

    /// Whether machines of the class may run the job, in some state of the machine.
    pub fn may_run_on(&self, class: ClassId, required_preferences: RequiredPreferences) -> bool {
        !excludes(&self.conjunction, class)
            && self
                .preferences_in(required_preferences)
                .all(|preference| preference.may_meet(class))
    }

    /// Whether a new machine of the class, without images and jobs, may run the job.
    pub fn may_run_on_new(
        &self,
        class: ClassId,
        required_preferences: RequiredPreferences,
    ) -> bool {
        self.holds(class, required_preferences, &EmptyMachine)
    }

    /// Whether a machine of the class may run the job in its current state.
    pub(super) fn holds(
        &self,
        class: ClassId,
        required_preferences: RequiredPreferences,
        state: &dyn MachineState,
    ) -> bool {
        holds(&self.conjunction, class, state)
            && self
                .preferences_in(required_preferences)
                .all(|preference| holds(&preference.by_class, class, state))
    }

    /// Total weight of the preferences that a new machine of the class meets.
    pub fn score_when_new(&self, class: ClassId) -> u32 {
        self.score(class, &EmptyMachine)
    }

    /// Total weight of the preferences that a machine of the class meets in its current state.
    pub(super) fn score(&self, class: ClassId, state: &dyn MachineState) -> u32 {
        self.preferences
            .iter()
            .filter(|preference| holds(&preference.by_class, class, state))
            .map(|preference| preference.weight)
            .sum()
    }

    /// Whether the requirements depend on the current state of each machine of the class.
    pub fn depends_on_state(&self, class: ClassId) -> bool {
        matches!(self.conjunction.get(class), Some(Evaluation::Depends(_)))
    }

    /// Whether a requirement tests which jobs are colocated.
    pub fn tests_colocation(&self) -> bool {
        self.requirements
            .iter()
            .any(|requirement| !requirement.colocation_tests.is_empty())
    }

    /// Whether the job waits for any of its preferences.
    pub fn waits_for_preferences(&self) -> bool {
        self.preferences
            .iter()
            .any(|preference| preference.wait > Micros::ZERO)
    }

    /// The preferences that the job still waits for: by descending weight, each that some class could meet together
    /// with the requirements and the preferences before it.
    ///
    /// `possible`: the classes to consider. `is_waiting`: whether a preference with this wait is still waited for.
    /// `in_time`: whether a machine of a class is up, or would be within this wait if it were provisioned.
    pub fn required_preferences(
        &self,
        possible: &[ClassId],
        is_waiting: &dyn Fn(Micros) -> bool,
        in_time: &dyn Fn(ClassId, Micros) -> bool,
    ) -> RequiredPreferences {
        let mut required = 0;
        for (index, preference) in self.preferences.iter().enumerate() {
            let wait = preference.wait;
            let extended = required | 1 << index;
            let is_possible = || {
                possible
                    .iter()
                    .any(|class| self.may_run_on(*class, extended) && in_time(*class, wait))
            };
            if wait > Micros::ZERO && is_waiting(wait) && is_possible() {
                required = extended;
            }
        }
        required
    }
}

/// A rule, and the indexes of the rule sets under whose labels it is evaluated.
struct RuleInSets<'a> {
    rule: &'a Rule,
    sets: Range<usize>,
}

/// The rules that concern a job: its own rules, evaluated under all rule sets, and those of each set, evaluated under
/// that set.
fn rules_concerning<'a>(spec: &'a JobSpec, sets: &'a [Arc<RuleSet>]) -> Vec<RuleInSets<'a>> {
    let subject = rule_subject(spec);
    let own_rules = spec.rules.iter().map(|rule| RuleInSets {
        rule,
        sets: 0..sets.len().max(1),
    });
    let rules_of_sets = sets.iter().enumerate().flat_map(|(index, set)| {
        set.rules.iter().map(move |rule| RuleInSets {
            rule,
            sets: index..index + 1,
        })
    });
    own_rules
        .chain(rules_of_sets.filter(|rule_in_sets| rule_in_sets.rule.concerns(&subject)))
        .collect()
}

/// Whether any hard rule concerns a job.
pub fn has_hard_rule(spec: &JobSpec, sets: &[Arc<RuleSet>]) -> bool {
    rules_concerning(spec, sets)
        .iter()
        .any(|rule_in_sets| rule_in_sets.rule.is_hard())
}

/// The properties of a job that select the rules which concern it.
pub fn rule_subject(spec: &JobSpec) -> Subject<'_> {
    Subject {
        job_class: &spec.job_class,
        team: &spec.team,
        image: &spec.image,
        priority: spec.priority.name(),
    }
}

/// Evaluates a rule for every class, under some of the rule sets.
fn evaluate(rule: &Rule, sets: &Range<usize>, classes: &[ClassTraits]) -> Vec<Evaluation> {
    let evaluate_under_sets = |traits: &Vec<Traits>| {
        traits[sets.clone()]
            .iter()
            .map(|traits| rule.expr.reduce(traits))
            .fold(Evaluation::Always, conjunction)
    };
    classes
        .iter()
        .map(|traits| {
            traits
                .as_ref()
                .map_or(Evaluation::Never, evaluate_under_sets)
        })
        .collect()
}

/// The conjunction of two results.
fn conjunction(first: Evaluation, second: Evaluation) -> Evaluation {
    match (first, second) {
        (Evaluation::Never, _) | (_, Evaluation::Never) => Evaluation::Never,
        (Evaluation::Always, other) | (other, Evaluation::Always) => other,
        (Evaluation::Depends(first), Evaluation::Depends(second)) if first == second => {
            Evaluation::Depends(first)
        }
        (Evaluation::Depends(first), Evaluation::Depends(second)) => {
            Evaluation::Depends(Expr::And(vec![first, second]))
        }
    }
}

/// Whether no machine of the class can meet the rule. A class that is not evaluated yet is excluded.
fn excludes(by_class: &[Evaluation], class: ClassId) -> bool {
    by_class
        .get(class)
        .is_none_or(|evaluation| *evaluation == Evaluation::Never)
}

/// Whether a machine of the class meets the rule in its current state.
fn holds(by_class: &[Evaluation], class: ClassId, state: &dyn MachineState) -> bool {
    by_class
        .get(class)
        .is_some_and(|evaluation| evaluation.holds(state))
}
