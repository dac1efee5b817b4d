//! Rules: those of the operators' rules file, and those of a job's submission.

mod file;
mod rule_set;
mod vocabulary;

pub use file::{
    LabelTable, LabelValue, Labels, RuleText, RulesFile, Scope, WAIT_SECONDS_LIMIT, WEIGHT_LIMIT,
};
pub use rule_set::{RULES_PER_FILE_LIMIT, RuleSet};
pub use vocabulary::{BUILT_IN, Vocabulary};

use crate::expr::Expr;
use crate::parse::ParseError;
use crate::value::Sort;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::borrow::Cow;
use std::collections::BTreeSet;
use thiserror::Error;

/// Largest number of rules in one job's submission.
pub const RULES_PER_JOB_LIMIT: usize = 12;

/// Why rules are rejected. The message is one line, which names the rule or label.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RulesError {
    /// The text is not JSON of the right form, or has an unknown key; the message of the JSON parser.
    #[error("{0}")]
    Malformed(String),
    /// A file has more than [`RULES_PER_FILE_LIMIT`] rules.
    #[error("rules: more than {RULES_PER_FILE_LIMIT}")]
    TooManyInFile,
    /// A job has more than [`RULES_PER_JOB_LIMIT`] rules.
    #[error("more than {RULES_PER_JOB_LIMIT} rules")]
    TooManyInJob,
    /// A rule is invalid.
    #[error("rule {rule}: {problem}")]
    Rule {
        /// Name of the rule.
        rule: String,
        /// What is wrong.
        problem: RuleProblem,
    },
    /// The expression of a rule is invalid.
    #[error("rule {rule}: {source}")]
    Expression {
        /// Name of the rule.
        rule: String,
        /// What is wrong, and where.
        source: ParseError,
    },
    /// A label is invalid.
    #[error("label {label}: {problem}")]
    Label {
        /// Name of the label.
        label: String,
        /// What is wrong.
        problem: LabelProblem,
    },
}

/// What is wrong with a rule.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RuleProblem {
    /// Its name is empty or too long, or has characters that are not allowed.
    #[error("a name is 1 to 64 lower-case letters, digits, `-`, `_` and `.`")]
    Name,
    /// Another rule has the same name.
    #[error("the name is used twice")]
    DuplicateName,
    /// Its scope has an unknown priority.
    #[error("for.urgencies: must be critical, high, standard or low")]
    Priority,
    /// It is neither hard nor soft, or it is both.
    #[error("must have either `require` or `prefer`")]
    Kind,
    /// It is hard but has a weight or a wait, which only preferences have.
    #[error("weight and waitS are for `prefer`")]
    PreferenceFields,
    /// Its weight is out of range.
    #[error("weight: must be 1 to 1000")]
    Weight,
    /// Its wait is out of range.
    #[error("waitS: must be 0 to 86400")]
    Wait,
    /// A job's own rule has a scope.
    #[error("`for` is not for a job's own rules")]
    ScopeInJobRule,
}

/// What is wrong with a label.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LabelProblem {
    /// It has the name of a built-in trait.
    #[error("is what machines have by themselves")]
    BuiltIn,
    /// Its name is not a valid name of a trait.
    #[error("a name is lower-case letters, digits, `-` and `_`, and no keyword")]
    Name,
    /// Its number is out of range.
    #[error("must be 0 to 1e9")]
    OutOfRange,
    /// It has an empty word.
    #[error("has an empty word")]
    EmptyWord,
    /// It has values of different sorts.
    #[error("is {} here and {} there", here.description(), there.description())]
    Conflict {
        /// The sort of one value.
        here: Sort,
        /// The sort of an earlier value.
        there: Sort,
    },
}

/// Whether a rule is hard or soft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleKind {
    /// Hard: a machine must meet it.
    Require,
    /// Soft: a machine that meets it is preferred.
    Prefer {
        /// Its weight in the score of a machine.
        weight: u32,
        /// How long a job waits for a machine that meets it, in microseconds.
        wait: u64,
    },
}

/// A parsed rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// The jobs that it concerns.
    pub scope: Scope,
    /// Whether it is hard or soft.
    pub kind: RuleKind,
    /// The expression that a machine has to meet.
    pub expr: Expr,
}

/// The properties of a job that select the rules which concern it.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Its class.
    pub job_class: &'a str,
    /// Its team.
    pub team: &'a str,
    /// Its image.
    pub image: &'a str,
    /// Its priority, as it was submitted.
    pub priority: &'a str,
}

impl Rule {
    /// Whether the rule is hard.
    pub fn is_hard(&self) -> bool {
        self.kind == RuleKind::Require
    }

    /// Whether the rule concerns a job.
    pub fn concerns(&self, job: &Subject<'_>) -> bool {
        let includes = |list: &Option<BTreeSet<String>>, property: &str| {
            list.as_ref().is_none_or(|list| list.contains(property))
        };
        includes(&self.scope.job_classes, job.job_class)
            && includes(&self.scope.teams, job.team)
            && includes(&self.scope.images, job.image)
            && includes(&self.scope.priorities, job.priority)
    }

    /// Checks that every trait that the rule tests is known and of the right sort.
    ///
    /// # Errors
    /// The first test of an unknown trait, or of a trait of another sort.
    pub fn check(&self, vocabulary: &Vocabulary) -> Result<(), RulesError> {
        let mut first_mismatch = None;
        self.expr.visit_tests(&mut |test| {
            if first_mismatch.is_none() {
                first_mismatch = vocabulary.mismatch(test);
            }
        });
        first_mismatch.map_or(Ok(()), |source| {
            Err(RulesError::Expression {
                rule: self.name.clone(),
                source,
            })
        })
    }
}

/// Parses the rules of a job's submission.
///
/// # Errors
/// The first problem, in one line.
pub fn parse_job_rules(texts: &[RuleText]) -> Result<Vec<Rule>, RulesError> {
    if texts.len() > RULES_PER_JOB_LIMIT {
        return Err(RulesError::TooManyInJob);
    }
    if let Some(text) = texts.iter().find(|text| text.scope.is_limited()) {
        return Err(RulesError::Rule {
            rule: text.name.clone(),
            problem: RuleProblem::ScopeInJobRule,
        });
    }
    let rules = texts
        .iter()
        .map(RuleText::parse)
        .collect::<Result<Vec<_>, _>>()?;
    check_distinct(&rules)?;
    Ok(rules)
}

/// Checks that the names of rules are distinct.
fn check_distinct(rules: &[Rule]) -> Result<(), RulesError> {
    let mut seen = BTreeSet::new();
    match rules.iter().find(|rule| !seen.insert(&rule.name)) {
        Some(rule) => Err(RulesError::Rule {
            rule: rule.name.clone(),
            problem: RuleProblem::DuplicateName,
        }),
        None => Ok(()),
    }
}

/// The stored form of a rule of a job's submission: its name and text, and the weight and wait of a preference.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredRule<'a> {
    Hard(Cow<'a, str>, String),
    Soft(Cow<'a, str>, String, u32, u64),
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (name, text) = (self.name.as_str().into(), self.expr.to_string());
        let stored = match self.kind {
            RuleKind::Require => StoredRule::Hard(name, text),
            RuleKind::Prefer { weight, wait } => StoredRule::Soft(name, text, weight, wait),
        };
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Rule {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Rule, D::Error> {
        let (name, text, kind) = match StoredRule::deserialize(deserializer)? {
            StoredRule::Hard(name, text) => (name, text, RuleKind::Require),
            StoredRule::Soft(name, text, weight, wait) => {
                (name, text, RuleKind::Prefer { weight, wait })
            }
        };
        let expr = text.parse().map_err(serde::de::Error::custom)?;
        Ok(Rule {
            name: name.into_owned(),
            scope: Scope::default(),
            kind,
            expr,
        })
    }
}
