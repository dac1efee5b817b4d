//! Classes of equal machines: what rules ask about the machines themselves is judged once for each.

use crate::storage::catalog::Catalog;
use crate::storage::ids::MachineId;
use crate::storage::records::MachineRecord;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Number of a class.
pub type ClassId = usize;

/// Machines that are alike in all that does not change while they are up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Class {
    /// Type.
    pub machine_type: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Spot.
    pub spot: bool,
    /// The machine, if operators gave it labels of its own.
    pub machine: Option<MachineId>,
}

/// All classes. One that has come up keeps its number.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    all: Vec<Class>,
    by: HashMap<Class, ClassId>,
    of: HashMap<MachineId, ClassId>,
    /// How many machines each has.
    counts: Vec<usize>,
    /// Whether each can be hired: the catalogue offers it.
    offered: Vec<bool>,
    labelled: Arc<BTreeSet<MachineId>>,
    /// Grows whenever there is a new one.
    generation: u64,
}

impl Classes {
    fn number(&mut self, class: Class) -> ClassId {
        if let Some(n) = self.by.get(&class) {
            return *n;
        }
        let n = self.all.len();
        self.by.insert(class.clone(), n);
        self.all.push(class);
        self.counts.push(0);
        self.offered.push(false);
        self.generation += 1;
        n
    }

    /// A machine came up.
    pub fn add(&mut self, m: MachineId, r: &MachineRecord) {
        let machine = self.labelled.contains(&m).then_some(m);
        self.come(
            m,
            Class {
                machine_type: Arc::clone(&r.machine_type),
                zone: Arc::clone(&r.zone),
                spot: r.spot,
                machine,
            },
        );
    }

    /// A machine of a class came up.
    pub fn come(&mut self, m: MachineId, class: Class) {
        let n = self.number(class);
        if let Some(old) = self.of.insert(m, n) {
            self.counts[old] -= 1;
        }
        self.counts[n] += 1;
    }

    /// A machine has gone.
    pub fn remove(&mut self, m: MachineId) {
        if let Some(n) = self.of.remove(&m) {
            self.counts[n] -= 1;
        }
    }

    /// What the catalogue offers has classes, too, before any such machine is up.
    pub fn offer(&mut self, catalog: &Catalog) {
        self.offered.iter_mut().for_each(|o| *o = false);
        for t in &catalog.types {
            for zone in &t.zones {
                for spot in [true, false] {
                    let (machine_type, zone) = (t.name.as_str().into(), zone.as_str().into());
                    let n = self.number(Class {
                        machine_type,
                        zone,
                        spot,
                        machine: None,
                    });
                    self.offered[n] = true;
                }
            }
        }
    }

    /// Operators gave these machines labels of their own. `machines`: those that are up.
    pub fn label<'a>(
        &mut self,
        labelled: BTreeSet<MachineId>,
        machines: impl Iterator<Item = (MachineId, &'a MachineRecord)>,
    ) {
        if *self.labelled == labelled {
            return;
        }
        self.labelled = Arc::new(labelled);
        machines.for_each(|(m, r)| self.add(m, r));
        self.generation += 1;
    }

    /// The class of a machine that is up.
    pub fn of(&self, m: MachineId) -> Option<ClassId> {
        self.of.get(&m).copied()
    }

    /// The class of a machine that could be hired.
    pub fn of_offer(&self, machine_type: &str, zone: &str, spot: bool) -> Option<ClassId> {
        (0..self.all.len()).find(|n| {
            let c = &self.all[*n];
            self.offered[*n]
                && c.spot == spot
                && *c.machine_type == *machine_type
                && *c.zone == *zone
        })
    }

    /// All classes, by number.
    pub fn all(&self) -> &[Class] {
        &self.all
    }

    /// Whether machines of a class are up, or could be.
    pub fn possible(&self, n: ClassId) -> bool {
        self.offered[n] || self.counts[n] > 0
    }

    /// Whether machines of a class are up.
    pub fn is_up(&self, n: ClassId) -> bool {
        self.counts[n] > 0
    }

    /// Machines with labels of their own that are not up, as far as is known.
    pub fn unseen(&self) -> impl Iterator<Item = MachineId> {
        self.labelled
            .iter()
            .copied()
            .filter(|m| !self.of.contains_key(m))
    }

    /// Grows whenever there is a new class.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}
