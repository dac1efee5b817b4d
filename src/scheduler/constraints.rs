//! Evaluation of placement rules for jobs.
//!
//! Rules are evaluated once for each class of equal machines. What a class leaves open depends on the current state
//! of a machine (its images and the jobs colocated there) and is evaluated machine by machine. Colocation rules hold
//! in both directions. Nothing here is stored: everything follows from the rule sets and the cell state.

mod conflicts;
mod evaluation;
mod machine_context;
mod traits;

pub use conflicts::{clash, fields_against};
pub use evaluation::{JobConstraints, Preference, RequiredPreferences, has_hard, subject};
pub use machine_context::{JobRef, MachineContext, PlacementContext};
pub use traits::{ClassTraits, labelled, traits};
