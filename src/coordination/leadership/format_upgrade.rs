//! Upgrades of the record format: it is raised once every controller of the deploy file understands the new one.

use crate::coordination::Controller;
use crate::protocol::state::encode;
use crate::storage::records::{INITIAL_FORMAT, Key, MetaRecord, format_has_rules};
use std::collections::BTreeMap;

/// Which record formats the controllers understand, and which one is in force.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    /// The latest format that each controller was last known to understand, whether or not the controller is alive now:
    /// a controller that is being upgraded returns with its new version.
    understood: BTreeMap<String, u32>,
    /// Controllers that the upgrade was last reported to wait for.
    reported_waiting: Vec<String>,
    /// The format in force when the replica was last checked.
    in_force: u32,
}

impl FormatUpgrade {
    fn understood_by(&self, controller: &str) -> Option<u32> {
        self.understood.get(controller).copied()
    }

    /// Logs the controllers that the upgrade waits for, once for each set of them.
    fn report_waiting(&mut self, controllers: Vec<String>) {
        if controllers.is_empty() || controllers == self.reported_waiting {
            return;
        }
        tracing::info!(
            ?controllers,
            "record format upgrade waiting for controllers"
        );
        self.reported_waiting = controllers;
    }
}

impl Controller {
    /// Checks whether the record format has changed.
    pub(in crate::coordination) fn on_format_observed(&mut self) {
        let record_format = self.cell.record_format();
        let earlier =
            std::mem::replace(&mut self.leadership.format_upgrade.in_force, record_format);
        if earlier != record_format {
            tracing::info!(record_format, "record format changed");
            self.find_oversized_records();
        }
    }

    /// Records which formats the live controllers understand.
    pub(in crate::coordination) fn update_known_formats(&mut self) {
        let understood = &mut self.leadership.format_upgrade.understood;
        for (name, node) in &self.cell.nodes {
            let record_format = node.value.record_format.unwrap_or(INITIAL_FORMAT);
            understood.insert(name.clone(), record_format);
        }
    }

    /// Raises the record format to the latest one that all controllers understand. Any controller may do so, and the
    /// format is never lowered again.
    pub(super) fn drive_format_upgrade(&mut self) {
        let now = self.now.monotonic;
        let Some(metadata) = &self.cell.meta.value else {
            return;
        };
        let target = self.target_format();
        if metadata.record_format >= target || self.leadership.metadata.not_before(now).is_some() {
            return;
        }
        let waiting = self.controllers_without(target);
        let common = self.common_format().min(target);
        self.leadership.format_upgrade.report_waiting(waiting);
        // An upgrade that would turn rules off waits for the controllers that have not registered since rules were turned on,
        // and one that would turn them on waits until this controller aims for that too.
        let drops_rules = format_has_rules(metadata.record_format) && !format_has_rules(common);
        let adds_rules = format_has_rules(common) && !format_has_rules(target);
        if common <= metadata.record_format || drops_rules || adds_rules {
            return;
        }
        let record = MetaRecord {
            record_format: common,
            ..metadata.clone()
        };
        self.leadership.metadata.on_attempt(now);
        tracing::info!(record_format = common, "raising record format");
        let conditions = self.format_upgrade_conditions();
        self.write_metadata(conditions, encode(&record));
    }

    /// The names of all controllers of the deploy file, this one last.
    fn all_controllers(&self) -> impl Iterator<Item = &String> {
        self.settings
            .peers
            .iter()
            .map(|other| &other.node)
            .chain([&self.settings.node])
    }

    /// Controllers that are not known to understand a format.
    fn controllers_without(&self, record_format: u32) -> Vec<String> {
        let formats = &self.leadership.format_upgrade;
        self.all_controllers()
            .filter(|name| {
                formats
                    .understood_by(name)
                    .is_none_or(|known| known < record_format)
            })
            .cloned()
            .collect()
    }

    /// The latest format that all controllers are known to understand; 0 while any of them has never registered.
    fn common_format(&self) -> u32 {
        let formats = &self.leadership.format_upgrade;
        self.all_controllers()
            .map(|name| formats.understood_by(name).unwrap_or(0))
            .min()
            .unwrap_or(0)
    }

    /// Conditions under which an upgrade takes effect: no node record has changed meanwhile. Otherwise a controller that
    /// returns with an old version at this moment would be missed. If a record has changed, the upgrade fails and is
    /// tried again.
    fn format_upgrade_conditions(&self) -> Vec<(Key, u64)> {
        let nodes = self
            .cell
            .nodes
            .iter()
            .map(|(name, node)| (Key::Node(name.clone()), node.mod_revision));
        [(Key::Meta, self.cell.meta.mod_revision)]
            .into_iter()
            .chain(nodes)
            .take(self.limits.max_conditions())
            .collect()
    }
}
