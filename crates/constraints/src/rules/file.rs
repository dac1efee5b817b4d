//! The format of the operators' rules file and of the rules in a job's submission.
//!
//! The doc comments of the types are part of the published JSON schema, so changing them changes the schema.

use super::{LabelProblem, Rule, RuleKind, RuleProblem, RulesError};
use crate::value::{Dimension, Quantity, Value};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Largest weight of a preference.
pub const WEIGHT_LIMIT: u32 = 1_000;
/// Longest wait for a preference, in seconds.
pub const WAIT_SECONDS_LIMIT: f64 = 86_400.0;
/// Longest name of a rule, in bytes.
const NAME_BYTES_LIMIT: usize = 64;
/// Largest number as the value of a label.
const LABEL_NUMBER_LIMIT: f64 = 1e9;
const MICROS_PER_SECOND: f64 = 1e6;
const THOUSANDTHS_PER_UNIT: f64 = 1e3;

/// Names of the priorities in a rules file.
const PRIORITIES: [&str; 4] = ["critical", "high", "standard", "low"];

/// The value of a label.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum LabelValue {
    /// Yes or no.
    Flag(bool),
    /// A plain number, up to a billion, with at most three decimals.
    Number(f64),
    /// One word.
    Word(String),
    /// A set of words.
    Words(BTreeSet<String>),
}

impl LabelValue {
    /// The value that the label gives the trait of its name.
    pub(super) fn value(&self) -> Result<Value, LabelProblem> {
        match self {
            LabelValue::Flag(set) => Ok(Value::Flag(*set)),
            LabelValue::Number(number) if (0.0..=LABEL_NUMBER_LIMIT).contains(number) => {
                let thousandths = (number * THOUSANDTHS_PER_UNIT).round() as u64;
                let quantity = Quantity::thousandths(thousandths, Dimension::Plain);
                Ok(Value::Number(quantity))
            }
            LabelValue::Number(_) => Err(LabelProblem::OutOfRange),
            LabelValue::Word(word) if !word.is_empty() => Ok(Value::Word(word.clone())),
            LabelValue::Words(words) if words.iter().all(|word| !word.is_empty()) => {
                Ok(Value::Words(words.clone()))
            }
            LabelValue::Word(_) | LabelValue::Words(_) => Err(LabelProblem::EmptyWord),
        }
    }
}

/// Labels of one type, zone or machine, by name.
pub type LabelTable = BTreeMap<String, LabelValue>;

/// What operators know of their machines that the cloud's catalogue does not say. Of one label the
/// machine's value counts before its type's, and that before its zone's; sets are put together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Labels {
    /// By machine type.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub types: BTreeMap<String, LabelTable>,
    /// By zone.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<String, LabelTable>,
    /// By machine, for machines that have names of their own.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<String, LabelTable>,
}

/// For which jobs a rule holds: those that each list which is given names. No list: for all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Scope {
    /// Classes of jobs.
    #[serde(rename = "lanes", skip_serializing_if = "Option::is_none")]
    pub job_classes: Option<BTreeSet<String>>,
    /// Teams.
    #[serde(rename = "crews", skip_serializing_if = "Option::is_none")]
    pub teams: Option<BTreeSet<String>>,
    /// Images.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub images: Option<BTreeSet<String>>,
    /// Urgencies: critical, high, standard, low.
    #[serde(rename = "urgencies", skip_serializing_if = "Option::is_none")]
    pub priorities: Option<BTreeSet<String>>,
}

/// A rule as it is written: with `require` it is hard, with `prefer` it is a preference.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RuleText {
    /// Its name, by which answers and logs tell it: lower-case letters, digits, `-`, `_` and `.`.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// For which jobs it holds. Not for rules that a job brings: they are its own.
    #[serde(rename = "for", default, skip_serializing_if = "is_unlimited")]
    pub scope: Scope,
    /// What a machine must meet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub require: Option<String>,
    /// What a machine had better meet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefer: Option<String>,
    /// How much a preference counts, 1 if it is not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000))]
    pub weight: Option<u32>,
    /// How long a preference is worth waiting for, in seconds from when the job could begin; not at all
    /// if it is not given, and never past its latest start.
    #[serde(rename = "waitS", default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub wait_s: Option<f64>,
}

fn is_unlimited(scope: &Scope) -> bool {
    *scope == Scope::default()
}

/// The operators' rules file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RulesFile {
    /// What is known of machines.
    #[serde(skip_serializing_if = "is_unlabelled")]
    pub labels: Labels,
    /// The rules, in the order in which they are named where several would do.
    pub rules: Vec<RuleText>,
}

fn is_unlabelled(labels: &Labels) -> bool {
    *labels == Labels::default()
}

impl Scope {
    /// Whether the scope limits a rule to some jobs.
    pub(super) fn is_limited(&self) -> bool {
        !is_unlimited(self)
    }
}

impl RuleText {
    /// Parses the rule. It does not check whether its traits are known, which [`Rule::check`] does.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn parse(&self) -> Result<Rule, RulesError> {
        let fail = |problem| Err(self.error(problem));
        if !self.has_valid_name() {
            return fail(RuleProblem::Name);
        }
        let is_known = |priority: &String| PRIORITIES.contains(&priority.as_str());
        if !self.scope.priorities.iter().flatten().all(is_known) {
            return fail(RuleProblem::Priority);
        }
        let (text, kind) = match (&self.require, &self.prefer) {
            (Some(text), None) => (text, self.requirement()),
            (None, Some(text)) => (text, self.preference()),
            _ => return fail(RuleProblem::Kind),
        };
        let kind = kind.map_err(|problem| self.error(problem))?;
        let expr = text.parse().map_err(|source| RulesError::Expression {
            rule: self.name.clone(),
            source,
        })?;
        Ok(Rule {
            name: self.name.clone(),
            scope: self.scope.clone(),
            kind,
            expr,
        })
    }

    /// An error about this rule. A name that is too long is truncated.
    pub(super) fn error(&self, problem: RuleProblem) -> RulesError {
        RulesError::Rule {
            rule: self.name.chars().take(NAME_BYTES_LIMIT).collect(),
            problem,
        }
    }

    fn has_valid_name(&self) -> bool {
        let is_allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        (1..=NAME_BYTES_LIMIT).contains(&self.name.len()) && self.name.chars().all(is_allowed)
    }

    fn requirement(&self) -> Result<RuleKind, RuleProblem> {
        if self.weight.is_some() || self.wait_s.is_some() {
            return Err(RuleProblem::PreferenceFields);
        }
        Ok(RuleKind::Require)
    }

    fn preference(&self) -> Result<RuleKind, RuleProblem> {
        let weight = self.weight.unwrap_or(1);
        let wait = self.wait_s.unwrap_or(0.0);
        if !(1..=WEIGHT_LIMIT).contains(&weight) {
            return Err(RuleProblem::Weight);
        }
        if !(0.0..=WAIT_SECONDS_LIMIT).contains(&wait) {
            return Err(RuleProblem::Wait);
        }
        Ok(RuleKind::Prefer {
            weight,
            wait: (wait * MICROS_PER_SECOND) as u64,
        })
    }
}
