//! Machines that a plan may place tasks on, and the machine records that it may write.

use crate::scheduler::constraints::MachineContext;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::Priority;
use crate::storage::machine_classes::ClassId;
use crate::storage::records::Assignment;
use crate::storage::resources::Amount;
use std::sync::Arc;

/// A machine that accepts assignments.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Index of the machine's record in [`GroupAllowance::open`].
    pub group: usize,
    /// Controller that serves the machine's agent, numbered like [`super::PlacementRequest::owner`].
    pub owner: usize,
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Price per core.
    pub price: u64,
    /// Total capacity.
    pub capacity: Amount,
    /// Unassigned capacity.
    pub free: Amount,
    /// Reserved for a request of higher precedence that found no room.
    pub reserved: bool,
    /// Held for a set that has waited for long, see [`super::drain`]: only for requests that may use such machines.
    pub held: bool,
    /// Images that the machine holds or fetches.
    pub images: &'a [(Arc<str>, u64)],
    /// Image that the machine has to fetch for tasks placed by this plan.
    pub fetching_image: Option<&'a str>,
    /// Tasks that may be preempted, the latest started last.
    pub running: Vec<PreemptibleTask>,
    /// Machine class, where rules need it.
    pub class: ClassId,
    /// Jobs with tasks on the machine, where rules need them.
    pub residents: Vec<JobId>,
    /// Whether rules of one of these jobs restrict which jobs may be colocated with it.
    pub restricts_colocation: bool,
}

impl<'a> Candidate<'a> {
    /// What rules may ask about the machine.
    pub(super) fn machine_context(&self) -> MachineContext<'_> {
        MachineContext {
            class: self.class,
            images: self.images,
            fetching_image: self.fetching_image,
            residents: &self.residents,
            restricts_colocation: self.restricts_colocation,
        }
    }

    /// Whether the machine holds or fetches an image.
    pub(super) fn has_image(&self, image: &str) -> bool {
        self.fetching_image == Some(image) || self.images.iter().any(|(name, _)| **name == *image)
    }

    /// Whether this plan may still place tasks on the machine.
    pub(super) fn is_available(&self) -> bool {
        !self.reserved && self.free.cores > 0
    }

    /// Assigns one task that needs `need` and runs `image`.
    pub(super) fn assign(&mut self, need: Amount, image: &'a str) {
        self.free -= need;
        self.fetching_image = Some(image);
    }
}

/// Machine records that a round may write. Each record is one operation of the transaction, and the number of
/// operations is bounded.
#[derive(Clone, Debug, Default)]
pub struct GroupAllowance {
    /// By record: whether the round writes it already.
    pub open: Vec<bool>,
    /// How many more records the round may write.
    pub left: usize,
}

impl GroupAllowance {
    /// Whether the round may write a record.
    pub(super) fn may(&self, group: usize) -> bool {
        self.left > 0 || self.open[group]
    }

    /// Marks a record as written; false if that exceeds the allowance.
    pub(super) fn take(&mut self, group: usize) -> bool {
        if !self.may(group) {
            return false;
        }
        let was_open = std::mem::replace(&mut self.open[group], true);
        if !was_open {
            self.left -= 1;
        }
        true
    }
}

/// An assigned task that may be preempted.
#[derive(Clone, Copy, Debug)]
pub struct PreemptibleTask {
    /// Its assignment.
    pub assignment: Assignment,
    /// Resources that it holds.
    pub need: Amount,
    /// Its priority.
    pub priority: Priority,
    /// Whether its team has more assigned than its guarantee.
    pub borrowed: bool,
}
