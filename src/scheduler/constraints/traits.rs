//! Traits of machine classes, which rules test.

use crate::storage::catalog::Catalog;
use crate::storage::ids::MachineId;
use crate::storage::machine_classes::Class;
use cometlead_constraints::{Dimension, Quantity, RuleSet, Traits, Value};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Traits of a class under each rule set in force; `None` if the catalog does not list its type.
pub type ClassTraits = Option<Vec<Traits>>;

/// Microseconds in a millisecond, the unit of times in rules.
const MICROS_PER_MILLI: u64 = 1_000;

/// Traits of the machines of a class: one entry per rule set, or a single one without labels if there is no rule set.
pub fn traits(class: &Class, sets: &[Arc<RuleSet>], catalog: &Catalog) -> ClassTraits {
    let built_in = built_in_traits(catalog, &class.machine_type, &class.zone, class.spot)?;
    if sets.is_empty() {
        return Some(vec![built_in]);
    }
    let machine = class.machine.map(|machine| machine.to_string());
    let traits_under = |set: &Arc<RuleSet>| {
        let mut traits = built_in.clone();
        set.add_labels(
            &mut traits,
            &class.machine_type,
            &class.zone,
            machine.as_deref(),
        );
        traits
    };
    Some(sets.iter().map(traits_under).collect())
}

/// Traits that a machine has by its type, zone and kind.
fn built_in_traits(
    catalog: &Catalog,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> Option<Traits> {
    let entry = catalog.get(machine_type)?;
    let number = |thousandths: u64, dimension: Dimension| {
        Value::Number(Quantity::thousandths(thousandths, dimension))
    };
    let traits = [
        ("type", Value::Word(machine_type.to_owned())),
        ("zone", Value::Word(zone.to_owned())),
        ("spot", Value::Flag(spot)),
        ("cores", number(entry.capacity.cores, Dimension::Plain)),
        (
            "accelerators",
            number(entry.capacity.accelerators, Dimension::Plain),
        ),
        ("memory", number(entry.capacity.memory, Dimension::Size)),
        ("cache", number(entry.cache_size, Dimension::Size)),
        ("fetch", number(entry.fetch_rate, Dimension::Rate)),
        ("price", number(entry.price_of(spot), Dimension::Plain)),
        (
            "boot",
            number(entry.boot_time.0 / MICROS_PER_MILLI, Dimension::Time),
        ),
    ];
    Some(traits.map(|(name, value)| (name.to_owned(), value)).into())
}

/// Machines that have labels in any rule set.
pub fn labelled_machines(sets: &[Arc<RuleSet>]) -> BTreeSet<MachineId> {
    sets.iter()
        .flat_map(|set| set.file.labels.machines.keys())
        .filter_map(|machine| machine.parse().ok())
        .collect()
}
