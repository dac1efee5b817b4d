//! Hard rules and soft preferences over the traits of machines.
//!
//! A rule is an [`Expr`] over what a machine is (its type, zone and labels) and what is on it now (images,
//! tasks of other jobs). This package reads and prints the language, judges it, finds the smallest set of
//! rules that clash, and explains. It does no I/O, reads no clock, and knows nothing of the scheduler: that
//! asks for a [`RuleSet`]'s rules for a job, has them reduced once for each class of equal machines, and
//! judges for a single machine only what is left then.
//!
//! The language is described in `docs/constraints.md`.

pub mod clash;
pub mod explain;
pub mod expr;
pub mod judge;
pub mod parse;
pub mod rules;
pub mod value;

pub use expr::{Expr, Field};
pub use judge::{Judged, Now, Traits};
pub use parse::ParseError;
pub use rules::{BadRules, Kind, Rule, RuleSet, RulesFile, Subject};
pub use value::{Dimension, Quantity, Value};
