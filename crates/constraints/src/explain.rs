//! Why a machine may or may not run a job, rule by rule and clause by clause.

use super::expr::Expr;
use super::judge::{Now, Traits};
use super::rules::{Kind, Rule};
use serde::Serialize;

/// A part of a rule that must hold by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Clause {
    /// What it says.
    pub text: String,
    /// Whether it holds.
    pub met: bool,
}

/// What a rule says to a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The rule's name.
    pub rule: String,
    /// Whether it must hold.
    pub hard: bool,
    /// Whether it holds.
    pub met: bool,
    /// What it counts if it is a preference.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Its parts.
    pub clauses: Vec<Clause>,
}

/// What all rules say to a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Whether every hard rule holds.
    pub allowed: bool,
    /// The weights of the preferences that hold, added up.
    pub worth: u32,
    /// Rule by rule.
    pub findings: Vec<Finding>,
}

/// Judges a machine by rules.
pub fn explain<'a>(
    rules: impl Iterator<Item = &'a Rule>,
    traits: &Traits,
    now: &dyn Now,
) -> Verdict {
    let findings: Vec<Finding> = rules
        .map(|r| {
            let parts = match &r.expr {
                Expr::And(all) => &all[..],
                one => std::slice::from_ref(one),
            };
            let clauses: Vec<Clause> = parts
                .iter()
                .map(|e| Clause {
                    text: e.to_string(),
                    met: e.holds(traits, now),
                })
                .collect();
            let weight = match r.kind {
                Kind::Require => None,
                Kind::Prefer { weight, .. } => Some(weight),
            };
            let met = clauses.iter().all(|c| c.met);
            Finding {
                rule: r.name.clone(),
                hard: r.is_hard(),
                met,
                weight,
                clauses,
            }
        })
        .collect();
    let worth = findings
        .iter()
        .filter(|f| f.met)
        .filter_map(|f| f.weight)
        .sum();
    Verdict {
        allowed: findings.iter().all(|f| f.met || !f.hard),
        worth,
        findings,
    }
}
