//! The language of placement rules: hard requirements and soft preferences over the traits of machines.
//!
//! A rule is an [`Expr`] over what a machine is (its type, zone and labels) and its current state (images, tasks of
//! other jobs). This crate parses and prints the language, evaluates it, finds the smallest set of conflicting rules,
//! and explains results. It does no I/O, reads no clock and does not depend on the scheduler. The scheduler selects
//! the rules of a [`RuleSet`] that concern a job, evaluates them once for each class of equal machines, and for a
//! single machine evaluates only what depends on its current state.
//!
//! ```
//! use cometlead_constraints::evaluation::EmptyMachine;
//! use cometlead_constraints::{RuleSet, RulesError, Subject, Traits, Value};
//!
//! # fn main() -> Result<(), RulesError> {
//! let rules = RuleSet::parse(
//!     br#"{"labels": {"types": {"press-server": {"fonts": ["latin", "oromo"]}}},
//!          "rules": [{"name": "oromo-fonts", "for": {"images": ["oromo-render"]}, "require": "fonts has oromo"}]}"#,
//! )?;
//! let job = Subject {
//!     job_class: "proofs",
//!     team: "press",
//!     image: "oromo-render",
//!     priority: "high",
//! };
//! let machine = Traits::from([("fonts".to_owned(), Value::Words(["latin".to_owned()].into()))]);
//!
//! // The rule concerns the job, and a machine without that font does not meet it.
//! for rule in rules.concerning(&job) {
//!     assert!(rule.is_hard());
//!     assert!(!rule.expr.holds(&machine, &EmptyMachine));
//! }
//! assert_eq!(rules.concerning(&job).count(), 1);
//! # Ok(())
//! # }
//! ```
//!
//! `docs/constraints.md` describes the language.

#![cfg_attr(
    not(test),
    warn(
        clippy::expect_used,
        clippy::panic,
        clippy::too_many_lines,
        clippy::unwrap_used
    )
)]

pub mod conflict;
pub mod evaluation;
pub mod explain;
pub mod expr;
pub mod parse;
pub mod rules;
pub mod value;

pub use evaluation::{Evaluation, MachineState, Traits};
pub use expr::{Expr, Field};
pub use parse::ParseError;
pub use rules::{Rule, RuleKind, RuleSet, RulesError, RulesFile, Subject};
pub use value::{Dimension, Quantity, Value};
