//! Demand for machines: the tasks of one job that have no room.

use super::pools::MachinePool;
use crate::storage::ids::MachineId;
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::ClassId;
use crate::time::Micros;

/// The machines that rules allow one job.
pub trait PlacementFilter {
    /// Whether machines of a class may run it, in some state of the machine.
    fn allows_class(&self, class: ClassId) -> bool;
    /// Whether a machine may run it in its current state; `None` stands for a machine that is not up yet.
    fn allows_machine(&self, class: ClassId, machine: Option<MachineId>) -> bool;
    /// Total weight of the preferences that a machine provisioned for it meets; `None` if it may not run there.
    fn offer_score(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32>;
}

/// Pending tasks of one job.
pub struct Demand<'a> {
    /// The specification of the job.
    pub spec: &'a JobSpec,
    /// Number of tasks.
    pub task_count: u64,
    /// Time until the tasks must start to meet their deadline; zero if that has passed.
    pub slack: Micros,
    /// Estimated runtime of a task.
    pub estimated_runtime: Micros,
    /// Highest price per core of machines for tasks that are not at risk of being late, see
    /// [`super::price_limit`].
    pub price_limit: u64,
    /// The machines that rules allow, if any rule applies.
    pub placement_filter: Option<Box<dyn PlacementFilter + 'a>>,
}

impl Demand<'_> {
    /// Whether the machines of a pool may run the job.
    pub(super) fn is_feasible(&self, pool: &MachinePool<'_>) -> bool {
        self.spec.allows(pool.machine_type, pool.zone, pool.spot)
            && self
                .placement_filter
                .as_ref()
                .is_none_or(|placement_filter| {
                    pool.class
                        .is_some_and(|class| placement_filter.allows_class(class))
                })
    }

    /// Total weight of the preferences that a provisioned machine meets; `None` if it may not run the job.
    pub(super) fn score(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32> {
        if !self.spec.allows(machine_type, zone, spot) {
            return None;
        }
        self.placement_filter
            .as_ref()
            .map_or(Some(0), |placement_filter| {
                placement_filter.offer_score(machine_type, zone, spot)
            })
    }

    /// Core time of one task, in thousandths of a core times microseconds.
    pub(super) fn task_work(&self) -> u128 {
        u128::from(self.spec.need.cores) * u128::from(self.estimated_runtime.0)
    }
}
