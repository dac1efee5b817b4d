//! Controllers that restart too often to claim shards.

use crate::coordination::Controller;
use crate::time::Micros;
use std::collections::BTreeSet;

/// If fewer than one in this many live controllers is steady, all may claim shards.
const STEADY_ONE_IN: usize = 3;

impl Controller {
    /// Notes which live controllers restart too often to claim shards, and logs changes.
    pub(super) fn update_unsteady_controllers(&mut self) {
        let unsteady = self.find_unsteady_controllers();
        for name in unsteady.difference(&self.leadership.unsteady_controllers) {
            let remaining = self.time_until_steady(name);
            tracing::info!(controller = name, %remaining, "controller restarts too often, claims no shards");
        }
        for name in self.leadership.unsteady_controllers.difference(&unsteady) {
            tracing::info!(
                controller = name,
                "controller may claim shards again or is gone"
            );
        }
        self.leadership.unsteady_controllers = unsteady;
    }

    fn find_unsteady_controllers(&self) -> BTreeSet<String> {
        let day = self.now.day;
        let nodes = &self.cell.nodes;
        let unsteady: BTreeSet<String> = nodes
            .iter()
            .filter(|(_, node)| !node.value.restart_history.is_stable(day))
            .map(|(name, _)| name.clone())
            .collect();
        let steady = nodes.len() - unsteady.len();
        if steady * STEADY_ONE_IN < nodes.len() {
            return BTreeSet::new();
        }
        unsteady
    }

    fn time_until_steady(&self, controller: &str) -> Micros {
        let node = self.cell.nodes.get(controller);
        node.map_or(Micros::ZERO, |node| {
            let stable_from = node.value.restart_history.stable_from();
            stable_from.since(self.now.day)
        })
    }
}
