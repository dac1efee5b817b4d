//! Machines that a plan may place tasks on, and the machine groups that it may write.

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
    /// Index of the machine's group in [`GroupWriteLimit::written`].
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
    /// Reserved in this plan for a request of higher precedence that found no room.
    pub reserved_in_plan: bool,
    /// Part of a gang reservation, see [`super::select_reserved_machines`]: usable only by requests that may use reserved
    /// machines.
    pub in_gang_reservation: bool,
    /// Images that the machine holds or fetches.
    pub images: &'a [(Arc<str>, u64)],
    /// Image that the machine has to fetch for tasks placed by this plan.
    pub fetching_image: Option<&'a str>,
    /// Tasks that may be preempted, the most recently started last.
    pub preemptible_tasks: Vec<PreemptibleTask>,
    /// Machine class, if rules need it.
    pub class: ClassId,
    /// Jobs with tasks on the machine, if rules need them.
    pub residents: Vec<JobId>,
    /// Whether the rules of any of these jobs restrict which jobs may be colocated with it.
    pub restricts_colocation: bool,
}

impl<'a> Candidate<'a> {
    /// The properties of the machine that rules may test.
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
        !self.reserved_in_plan && self.free.cores > 0
    }

    /// Claims the room of a task that needs `need` and runs `image`.
    pub(super) fn claim_room(&mut self, need: Amount, image: &'a str) {
        self.free -= need;
        self.fetching_image = Some(image);
    }
}

/// Machine groups that a commit round may write. Each machine group is one operation of the round's transaction, and
/// the number of operations is bounded.
#[derive(Clone, Debug, Default)]
pub struct GroupWriteLimit {
    /// For each machine group: whether the round writes it already.
    pub written: Vec<bool>,
    /// How many more machine groups the round may write.
    pub remaining: usize,
}

impl GroupWriteLimit {
    /// Whether the round may write a machine group.
    pub(super) fn may_write(&self, group: usize) -> bool {
        self.remaining > 0 || self.written[group]
    }

    /// Adds a machine group to those that the round writes; returns false if that exceeds the limit.
    pub(super) fn add_write(&mut self, group: usize) -> bool {
        if !self.may_write(group) {
            return false;
        }
        let already_written = std::mem::replace(&mut self.written[group], true);
        if !already_written {
            self.remaining -= 1;
        }
        true
    }
}

/// An assigned task that may be preempted.
#[derive(Clone, Copy, Debug)]
pub struct PreemptibleTask {
    /// Its assignment.
    pub assignment: Assignment,
    /// Resources that are assigned to it.
    pub need: Amount,
    /// Its priority.
    pub priority: Priority,
    /// Whether its team is assigned more than the team's guarantee.
    pub borrowed: bool,
}
