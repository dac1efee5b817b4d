//! Controllers that restart too often to claim shards.

use crate::coordination::Controller;
use crate::time::Micros;
use std::collections::BTreeSet;

/// If fewer than 1/3 of the live controllers are stable, all may claim shards.
const MIN_STABLE_CONTROLLERS_DIVISOR: usize = 3;

impl Controller {
    /// Updates which live controllers restart too often to claim shards, and logs changes.
    pub(super) fn update_unstable_controllers(&mut self) {
        let unstable = self.find_unstable_controllers();
        for name in unstable.difference(&self.leadership.unstable_controllers) {
            let remaining = self.time_until_stable(name);
            tracing::info!(controller = name, %remaining, "controller restarts too often and claims no shards");
        }
        for name in self.leadership.unstable_controllers.difference(&unstable) {
            tracing::info!(
                controller = name,
                "controller may claim shards again or is no longer alive"
            );
        }
        self.leadership.unstable_controllers = unstable;
    }

    fn find_unstable_controllers(&self) -> BTreeSet<String> {
        let day = self.now.time_of_day;
        let nodes = &self.cell.nodes;
        let unstable: BTreeSet<String> = nodes
            .iter()
            .filter(|(_, node)| !node.value.restart_history.is_stable(day))
            .map(|(name, _)| name.clone())
            .collect();
        let stable = nodes.len() - unstable.len();
        if stable * MIN_STABLE_CONTROLLERS_DIVISOR < nodes.len() {
            return BTreeSet::new();
        }
        unstable
    }

    fn time_until_stable(&self, controller: &str) -> Micros {
        let node = self.cell.nodes.get(controller);
        node.map_or(Micros::ZERO, |node| {
            let stable_from = node.value.restart_history.may_acquire_shards_from();
            stable_from.since(self.now.time_of_day)
        })
    }
}
