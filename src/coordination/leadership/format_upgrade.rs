//! Upgrades of the record layout: it is raised once every controller of the deploy file understands the new one.

use crate::coordination::Controller;
use crate::protocol::state::encode;
use crate::storage::records::{INITIAL_FORMAT, Key, MetaRecord, format_has_rules};
use std::collections::BTreeMap;

/// Conditions on node records in an upgrade, as a multiple of the changes that a transaction may have.
const CONDITIONS_PER_CHANGE: usize = 4;

/// Which layouts the controllers understand, and which one is in force.
#[derive(Debug, Default)]
pub(super) struct FormatUpgrade {
    /// The layout that each controller was last known to understand, whether or not it is alive now: a controller that
    /// is upgraded returns with its new version.
    understood: BTreeMap<String, u32>,
    /// Controllers that the upgrade was last reported to wait for.
    reported_waiting: Vec<String>,
    /// The layout in force when the replica was last checked.
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
            "record layout upgrade waiting for controllers"
        );
        self.reported_waiting = controllers;
    }
}

impl Controller {
    /// Checks whether the layout of the records has changed.
    pub(in crate::coordination) fn on_format_observed(&mut self) {
        let record_format = self.cell.record_format();
        let earlier =
            std::mem::replace(&mut self.leadership.format_upgrade.in_force, record_format);
        if earlier != record_format {
            tracing::info!(record_format, "record layout changed");
            self.find_oversized_records();
        }
    }

    /// Notes which layouts the live controllers understand.
    pub(in crate::coordination) fn update_known_formats(&mut self) {
        let understood = &mut self.leadership.format_upgrade.understood;
        for (name, node) in &self.cell.nodes {
            let record_format = node.value.record_format.unwrap_or(INITIAL_FORMAT);
            understood.insert(name.clone(), record_format);
        }
    }

    /// Raises the layout of the records as far as all controllers understand it. Any controller may do it, and it is
    /// never lowered again.
    pub(super) fn drive_format_upgrade(&mut self) {
        let now = self.now.steady;
        let Some(metadata) = &self.cell.meta.value else {
            return;
        };
        let wanted = self.wanted_layout();
        if metadata.record_format >= wanted || self.leadership.metadata.not_before(now).is_some() {
            return;
        }
        let waiting = self.controllers_without(wanted);
        let common = self.common_layout().min(wanted);
        self.leadership.format_upgrade.report_waiting(waiting);
        // An upgrade that would turn rules off waits for the controllers that have not registered since rules were turned on.
        let drops_rules = format_has_rules(metadata.record_format) && !format_has_rules(common);
        if common <= metadata.record_format || drops_rules {
            return;
        }
        let record = MetaRecord {
            record_format: common,
            ..metadata.clone()
        };
        self.leadership.metadata.on_attempt(now);
        tracing::info!(record_format = common, "raising record layout");
        let conditions = self.format_upgrade_conditions();
        self.write_metadata(conditions, encode(&record));
    }

    /// The names of all controllers of the deploy file, this one last.
    fn all_controllers(&self) -> impl Iterator<Item = &String> {
        self.settings
            .others
            .iter()
            .map(|other| &other.node)
            .chain([&self.settings.node])
    }

    /// Controllers that are not known to understand a layout.
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

    /// The latest layout that all controllers are known to understand; 0 while one has never registered.
    fn common_layout(&self) -> u32 {
        let formats = &self.leadership.format_upgrade;
        self.all_controllers()
            .map(|name| formats.understood_by(name).unwrap_or(0))
            .min()
            .unwrap_or(0)
    }

    /// The upgrade holds only if no node record changes meanwhile: a controller that returns with an old version at this
    /// moment would be missed. The upgrade then fails and is tried again.
    fn format_upgrade_conditions(&self) -> Vec<(Key, u64)> {
        let nodes = self
            .cell
            .nodes
            .iter()
            .map(|(name, node)| (Key::Node(name.clone()), node.mod_revision));
        [(Key::Meta, self.cell.meta.mod_revision)]
            .into_iter()
            .chain(nodes)
            .take(self.limits.max_changes() * CONDITIONS_PER_CHANGE)
            .collect()
    }
}
