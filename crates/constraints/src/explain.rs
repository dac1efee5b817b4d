//! Explanation of why a machine may or may not run a job, rule by rule and clause by clause.

use super::evaluation::{MachineState, Traits};
use super::expr::Expr;
use super::rules::{Rule, RuleKind};
use serde::Serialize;

/// A part of a rule. The rule holds if all its clauses hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Clause {
    /// The clause's text.
    pub text: String,
    /// Whether the clause holds.
    pub met: bool,
}

/// Result of one rule for a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The rule's name.
    pub rule: String,
    /// Whether it is a hard rule.
    pub hard: bool,
    /// Whether the rule holds.
    pub met: bool,
    /// Its weight, if it is a preference.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Its clauses.
    pub clauses: Vec<Clause>,
}

/// Result of all rules for a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Whether every hard rule holds.
    pub allowed: bool,
    /// Total weight of the preferences that hold.
    #[serde(rename = "worth")]
    pub total_weight: u32,
    /// The result of each rule.
    pub findings: Vec<Finding>,
}

/// Evaluates rules for a machine and explains the result.
pub fn explain<'a>(
    rules: impl Iterator<Item = &'a Rule>,
    traits: &Traits,
    state: &dyn MachineState,
) -> Explanation {
    let findings: Vec<Finding> = rules.map(|rule| Finding::of(rule, traits, state)).collect();
    let total_weight = findings
        .iter()
        .filter(|finding| finding.met)
        .filter_map(|finding| finding.weight)
        .sum();
    Explanation {
        allowed: findings.iter().all(|finding| finding.met || !finding.hard),
        total_weight,
        findings,
    }
}

impl Finding {
    fn of(rule: &Rule, traits: &Traits, state: &dyn MachineState) -> Finding {
        let parts = match &rule.expr {
            Expr::And(parts) => &parts[..],
            whole => std::slice::from_ref(whole),
        };
        let clauses: Vec<Clause> = parts
            .iter()
            .map(|part| Clause {
                text: part.to_string(),
                met: part.holds(traits, state),
            })
            .collect();
        let weight = match rule.kind {
            RuleKind::Require => None,
            RuleKind::Prefer { weight, .. } => Some(weight),
        };
        Finding {
            rule: rule.name.clone(),
            hard: rule.is_hard(),
            met: clauses.iter().all(|clause| clause.met),
            weight,
            clauses,
        }
    }
}
