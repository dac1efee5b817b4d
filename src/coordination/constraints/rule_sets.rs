//! The rule sets in force.

use crate::scheduler::constraints::labelled_machines;
use crate::storage::cell_state::CellState;
use cometlead_constraints::RuleSet;
use std::sync::Arc;

/// The rule sets in force according to the cell state.
#[derive(Debug, Default)]
pub(super) struct RuleSetsInForce {
    /// In the order of their declaration; the controller's own set comes last until it is declared.
    sets: Vec<Arc<RuleSet>>,
    /// Some set is stored in a form that this version does not understand. Then nothing may be placed.
    unreadable: bool,
    /// The sets have to be read again from the cell state.
    stale: bool,
}

impl RuleSetsInForce {
    pub(super) fn sets(&self) -> &[Arc<RuleSet>] {
        &self.sets
    }

    pub(super) fn unreadable(&self) -> bool {
        self.unreadable
    }

    pub(super) fn schedule_check(&mut self) {
        self.stale = true;
    }

    /// Reads the sets from the cell state if a check is due, and labels its machine classes by them; returns whether
    /// the check was due. `own`: the set that this controller was started with.
    pub(super) fn refresh(&mut self, own: Option<&Arc<RuleSet>>, cell: &mut CellState) -> bool {
        if !std::mem::take(&mut self.stale) {
            return false;
        }
        self.unreadable = cell.rules.values().any(|stored| stored.value.is_none());
        self.sets = declared_sets(cell);
        let undeclared = own.filter(|own| !cell.rules.contains_key(&own.digest));
        self.sets.extend(undeclared.cloned());
        cell.set_labelled_machines(labelled_machines(&self.sets));
        true
    }
}

/// The readable rule sets of the cell state, in the order of their revisions.
fn declared_sets(cell: &CellState) -> Vec<Arc<RuleSet>> {
    let mut by_revision: Vec<(u64, Arc<RuleSet>)> = cell
        .rules
        .values()
        .filter_map(|stored| Some((stored.mod_revision, Arc::clone(stored.value.as_ref()?))))
        .collect();
    by_revision.sort_by_key(|(mod_revision, _)| *mod_revision);
    by_revision.into_iter().map(|(_, set)| set).collect()
}
