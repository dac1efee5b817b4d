//! Classes of equal machines, so that a rule's conditions on machines are evaluated once for each class.

use crate::storage::catalog::Catalog;
use crate::storage::ids::MachineId;
use crate::storage::records::MachineRecord;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Number of a class.
pub type ClassId = usize;

/// What the machines of a class have in common: all properties that never change while a machine is up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Machine type.
    pub machine_type: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Whether they are spot machines.
    pub spot: bool,
    /// The only machine of the class, if operators gave this machine labels of its own.
    pub machine: Option<MachineId>,
}

/// All classes. The number of a class never changes.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    classes: Vec<Class>,
    /// Numbers of the classes.
    ids: HashMap<Class, ClassId>,
    /// Class of each machine that is up.
    class_of: HashMap<MachineId, ClassId>,
    /// Number of machines that are up, by class.
    counts: Vec<usize>,
    /// Whether the catalog offers machines of the class, by class.
    offered: Vec<bool>,
    /// Machines with labels of their own.
    labelled: Arc<BTreeSet<MachineId>>,
    /// See [`Classes::generation`].
    generation: u64,
}

impl Classes {
    /// Adds a machine that is up, or updates its class.
    pub fn add(&mut self, machine: MachineId, record: &MachineRecord) {
        let is_labelled = self.labelled.contains(&machine);
        let class = Class {
            machine_type: Arc::clone(&record.machine_type),
            zone: Arc::clone(&record.zone),
            spot: record.spot,
            machine: is_labelled.then_some(machine),
        };
        self.add_to_class(machine, class);
    }

    /// Adds a machine of a class, or moves it to the class.
    pub fn add_to_class(&mut self, machine: MachineId, class: Class) {
        let id = self.ensure_class(class);
        if let Some(old) = self.class_of.insert(machine, id) {
            self.counts[old] -= 1;
        }
        self.counts[id] += 1;
    }

    /// Removes a machine.
    pub fn remove(&mut self, machine: MachineId) {
        if let Some(id) = self.class_of.remove(&machine) {
            self.counts[id] -= 1;
        }
    }

    /// Sets the catalog. The machines that it offers have classes even before any such machine is up.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        self.offered.fill(false);
        for machine_type in &catalog.types {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let id = self.ensure_class(Class {
                        machine_type: machine_type.name.as_str().into(),
                        zone: zone.as_str().into(),
                        spot,
                        machine: None,
                    });
                    self.offered[id] = true;
                }
            }
        }
    }

    /// Sets the machines to which operators gave labels of their own. `machines`: all machines that are up.
    pub fn set_labelled_machines<'a>(
        &mut self,
        labelled: BTreeSet<MachineId>,
        machines: impl Iterator<Item = (MachineId, &'a MachineRecord)>,
    ) {
        if *self.labelled == labelled {
            return;
        }
        self.labelled = Arc::new(labelled);
        for (machine, record) in machines {
            self.add(machine, record);
        }
        self.generation += 1;
    }

    /// The class of a machine that is up.
    pub fn class_of_machine(&self, machine: MachineId) -> Option<ClassId> {
        self.class_of.get(&machine).copied()
    }

    /// The class of machines of this type and zone, spot or on-demand; `None` if the catalog does not offer them.
    pub fn class_of_offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<ClassId> {
        let is_offered = |(class, offered): (&Class, &bool)| {
            *offered
                && class.spot == spot
                && *class.machine_type == *machine_type
                && *class.zone == *zone
        };
        self.classes.iter().zip(&self.offered).position(is_offered)
    }

    /// All classes, by number.
    pub fn all(&self) -> &[Class] {
        &self.classes
    }

    /// Whether machines of a class are up or offered by the catalog.
    pub fn is_possible(&self, id: ClassId) -> bool {
        self.offered[id] || self.is_up(id)
    }

    /// Whether machines of a class are up.
    pub fn is_up(&self, id: ClassId) -> bool {
        self.counts[id] > 0
    }

    /// Machines with labels of their own that are not known to be up.
    pub fn labelled_not_up(&self) -> impl Iterator<Item = MachineId> {
        self.labelled
            .iter()
            .copied()
            .filter(|machine| !self.class_of.contains_key(machine))
    }

    /// Increases whenever a class is added or the labelled machines change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of a class, which is added if it is new.
    fn ensure_class(&mut self, class: Class) -> ClassId {
        if let Some(id) = self.ids.get(&class) {
            return *id;
        }
        let id = self.classes.len();
        self.ids.insert(class.clone(), id);
        self.classes.push(class);
        self.counts.push(0);
        self.offered.push(false);
        self.generation += 1;
        id
    }
}
