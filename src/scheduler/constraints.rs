//! Evaluation of placement rules for jobs.
//!
//! Rules are evaluated once for each class of equal machines. The parts of a rule that depend on the current state of a
//! machine (its images and the jobs colocated there) are evaluated for each machine. Colocation rules apply in both
//! directions. Nothing here is part of the stored data: all results follow from the rule sets and the cell state.

mod conflicts;
mod evaluation;
mod machine_context;
mod traits;

pub use conflicts::{excluding_field_names, smallest_conflict};
pub use evaluation::{
    JobConstraints, Preference, RequiredPreferences, has_hard_rule, rule_subject,
};
pub use machine_context::{JobRef, MachineContext, PlacementContext};
pub use traits::{ClassTraits, labelled_machines, traits};
