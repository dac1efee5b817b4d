//! Changes that wait to be committed, and when the next round may be planned.

use super::RoundScope;
use super::full_groups::FullGroups;
use super::gang_reservation::GangReservations;
use super::starvation::StarvationPrevention;
use super::suspect_jobs::SuspectJobs;
use crate::coordination::agents::{AssignmentOutcome, HealthChange};
use crate::storage::cell_state::CellState;
use crate::storage::ids::{Attempt, JobId, MachineId};
use crate::storage::job::FinalRecord;
use crate::storage::records::{Key, MachineHealth};
use crate::time::Micros;
use std::cmp::Reverse;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An assignment that is to be released.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRelease {
    pub machine: MachineId,
    pub attempt: Attempt,
    pub outcome: AssignmentOutcome,
    /// When the release was first requested.
    pub requested_at: Micros,
}

/// A read of the state store that was requested before a round.
#[derive(Clone, Copy, Debug)]
pub(super) struct BarrierRead {
    /// The read must have begun after this call.
    pub after_call: u64,
    pub requested_at: Micros,
}

/// Changes that wait to be committed, and the state of the rounds that commit them.
#[derive(Debug, Default)]
pub struct Rounds {
    requested: bool,
    in_flight: bool,
    barrier_read: Option<BarrierRead>,
    not_before: Micros,
    last_sent_at: Micros,
    last_full_at: Option<Micros>,
    releases: BTreeMap<(MachineId, Attempt), PendingRelease>,
    health_changes: BTreeMap<MachineId, HealthChange>,
    machines_to_add: BTreeSet<MachineId>,
    /// Machines that no longer exist, as the provider has proven while this process owns the fleet.
    terminated_machines: BTreeSet<MachineId>,
    /// Machines that scale-in is about to return to the provider.
    machines_to_decommission: BTreeSet<MachineId>,
    /// The last round was an urgent-only one.
    last_was_urgent: bool,
    /// The last round compacted an oversized record.
    last_was_compaction: bool,
    /// The last full round had no room left for assignments, so the next one assigns before it
    /// releases.
    assignments_first: bool,
    /// Ends of jobs in rounds with an unknown outcome; they are logged once the replica shows them.
    unknown_ends: BTreeMap<JobId, FinalRecord>,
    /// Nothing is planned before the replica has reached this revision.
    hold_until_revision: u64,
    /// Nothing is planned before a read that began after this call.
    hold_until_read_after: Option<u64>,
    /// Jobs that seem to fail on every machine.
    suspects: SuspectJobs,
    /// How long jobs have waited for an assignment.
    starvation: StarvationPrevention,
    /// Machines reserved for a gang that has waited long.
    pub(super) gang_reservations: GangReservations,
    /// Own records that are larger than the next limits allow and are to be compacted.
    oversized: BTreeSet<Key>,
    /// Groups whose records had no room for an assignment.
    pub(super) full_groups: FullGroups,
}

/// Requests from other components.
impl Rounds {
    /// Requests a round: something changed that may call for one.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Requests the release of an assignment; false if that was requested already. In that case the
    /// first outcome is kept: a missed heartbeat proves less than an end that was reported before it.
    pub fn release(
        &mut self,
        machine: MachineId,
        attempt: Attempt,
        outcome: AssignmentOutcome,
        now: Micros,
    ) -> bool {
        self.requested = true;
        match self.releases.entry((machine, attempt)) {
            Entry::Occupied(_) => false,
            Entry::Vacant(entry) => {
                entry.insert(PendingRelease {
                    machine,
                    attempt,
                    outcome,
                    requested_at: now,
                });
                true
            }
        }
    }

    /// Whether an assignment is to be released; its attempt must not be launched again.
    pub fn is_being_released(&self, machine: MachineId, attempt: Attempt) -> bool {
        self.releases.contains_key(&(machine, attempt))
    }

    /// Requests a change of a machine's health; false if that was requested already.
    pub fn set_health(&mut self, machine: MachineId, change: HealthChange) -> bool {
        self.requested = true;
        self.health_changes.insert(machine, change) != Some(change)
    }

    /// Requests that a machine is added to a group.
    pub fn add_machine(&mut self, machine: MachineId) {
        self.requested = true;
        self.machines_to_add.insert(machine);
    }

    /// Requests the removal of a machine that is proven to exist no longer.
    pub fn remove_machine(&mut self, machine: MachineId) {
        self.requested = true;
        self.terminated_machines.insert(machine);
    }

    /// Requests that a machine is marked as decommissioning before it is returned to the provider;
    /// false if that was requested already.
    pub fn decommission(&mut self, machine: MachineId) -> bool {
        self.requested = true;
        self.machines_to_decommission.insert(machine)
    }

    /// Drops requests for machines whose shard this process no longer leads.
    pub fn drop_requests_for_machines(&mut self, is_led_elsewhere: impl Fn(MachineId) -> bool) {
        self.releases
            .retain(|(machine, _), _| !is_led_elsewhere(*machine));
        self.health_changes
            .retain(|machine, _| !is_led_elsewhere(*machine));
        self.machines_to_add
            .retain(|machine| !is_led_elsewhere(*machine));
    }

    /// Drops requests of the fleet's owner.
    pub fn drop_fleet_requests(&mut self) {
        self.terminated_machines.clear();
        self.machines_to_decommission.clear();
    }

    /// Marks a job as suspect whose tasks have failed this often; returns whether that is new.
    pub fn mark_suspect(&mut self, job: JobId, failures: u32, now: Micros) -> bool {
        self.suspects.add(job, failures, now)
    }

    /// Clears the mark of a suspect job when the job has ended or one of its tasks was completed; returns
    /// whether the job was suspect.
    pub fn clear_suspect(&mut self, job: JobId) -> bool {
        self.suspects.remove(job)
    }

    /// Whether a job is suspect: it seems to fail on every machine.
    pub fn is_suspect(&self, job: JobId) -> bool {
        self.suspects.contains(job)
    }

    /// Whether any job is suspect, and so may wait for the end of its backoff.
    pub fn has_suspect_jobs(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether a suspect job waits for its next retry.
    pub(super) fn is_backing_off(&self, job: JobId, now: Micros) -> bool {
        self.suspects.is_backing_off(job, now)
    }

    /// Updates which jobs have tasks to place now, and how many.
    pub(super) fn update_waiting(
        &mut self,
        now: Micros,
        waiting: impl Iterator<Item = (JobId, u32)>,
    ) {
        self.starvation.update(now, waiting);
    }

    /// Whether a job has waited for longer than [`StarvationPrevention::THRESHOLD`].
    pub(super) fn is_starved(&self, job: JobId, now: Micros) -> bool {
        self.starvation.is_starved(job, now)
    }

    /// How many assignments wait to be released.
    pub fn pending_releases(&self) -> usize {
        self.releases.len()
    }

    /// Whether a recent round was full: then more changes wait than rounds have room for.
    pub fn is_saturated(&self, now: Micros) -> bool {
        const SATURATION_WINDOW: Micros = Micros::secs(3);
        self.last_full_at
            .is_some_and(|full_at| now.since(full_at) < SATURATION_WINDOW)
    }

    /// A read has brought the replica to this revision. `read_call`: the call at which it began.
    pub fn on_read(&mut self, revision: u64, read_call: u64) {
        if self.hold_until_revision <= revision {
            self.hold_until_revision = 0;
        }
        if self
            .hold_until_read_after
            .is_some_and(|call| read_call > call)
        {
            self.hold_until_read_after = None;
        }
    }
}

/// When a round may be planned.
impl Rounds {
    /// Whether a round is requested, none is in flight, and planning is not on hold after an earlier one.
    pub(super) fn is_due(&self) -> bool {
        let on_hold = self.hold_until_revision > 0 || self.hold_until_read_after.is_some();
        self.requested && !self.in_flight && !on_hold
    }

    /// No round is planned before this time.
    pub(super) fn not_before(&self) -> Micros {
        self.not_before
    }

    pub(super) fn delay_until(&mut self, at: Micros) {
        self.not_before = at;
    }

    pub(super) fn last_sent_at(&self) -> Micros {
        self.last_sent_at
    }

    pub(super) fn barrier_read(&self) -> Option<BarrierRead> {
        self.barrier_read
    }

    pub(super) fn set_barrier_read(&mut self, read: Option<BarrierRead>) {
        self.barrier_read = read;
    }

    /// Notes that nothing could be planned. After an urgent-only round the request stays, since that
    /// round did not consider other work.
    pub(super) fn on_nothing_planned(&mut self, scope: RoundScope) {
        self.requested = scope == RoundScope::UrgentOnly;
    }

    /// Notes that a round was sent; `full`: it had no room for more changes.
    pub(super) fn on_sent(&mut self, now: Micros, full: bool) {
        self.last_sent_at = now;
        if full {
            self.last_full_at = Some(now);
        }
        self.in_flight = true;
    }

    /// Notes that the round in flight has a result.
    pub(super) fn on_result(&mut self) {
        self.in_flight = false;
        self.requested = true;
    }

    pub(super) fn hold_until_revision(&mut self, revision: u64) {
        self.hold_until_revision = revision;
    }

    pub(super) fn hold_until_read_after(&mut self, call: u64) {
        self.hold_until_read_after = Some(call);
    }

    pub(super) fn add_unknown_end(&mut self, job: JobId, end: FinalRecord) {
        self.unknown_ends.insert(job, end);
    }

    pub(super) fn take_unknown_end(&mut self, job: JobId) -> Option<FinalRecord> {
        self.unknown_ends.remove(&job)
    }
}

/// The contents of the next round.
impl Rounds {
    /// Drops requests that the replica shows as carried out.
    pub(super) fn drop_applied(&mut self, cell: &CellState) {
        self.releases.retain(|(machine, attempt), _| {
            cell.place(attempt.task).is_some_and(|place| {
                place.machine == *machine && place.attempt_number == attempt.number
            })
        });
        self.health_changes.retain(|machine, change| {
            cell.machine(*machine).is_some_and(|record| {
                record.health != MachineHealth::Decommissioning
                    && (record.health, record.fenced_incarnation)
                        != (change.health, change.fenced_incarnation)
            })
        });
        self.machines_to_add
            .retain(|machine| cell.machine(*machine).is_none());
        self.terminated_machines
            .retain(|machine| cell.machine(*machine).is_some());
        self.machines_to_decommission.retain(|machine| {
            cell.machine(*machine).is_some_and(|record| {
                record.health == MachineHealth::Unreachable
                    || record.health != MachineHealth::Decommissioning && record.tasks.is_empty()
            })
        });
    }

    /// Assignments to be released, in the order in which rounds should release them. A round writes few
    /// machine groups, so the groups for which most releases wait come first. Each release counts by
    /// how long it has waited, so that none is starved.
    pub(super) fn releases_in_order(&self, cell: &CellState, now: Micros) -> Vec<PendingRelease> {
        const BASE_WAIT: Micros = Micros::millis(500);
        let mut weights: HashMap<_, u64> = HashMap::new();
        for release in self.releases.values() {
            let waited = now.since(release.requested_at) + BASE_WAIT;
            *weights
                .entry(cell.group_of_machine(release.machine))
                .or_default() += waited.0;
        }
        let weight = |machine: MachineId| {
            weights
                .get(&cell.group_of_machine(machine))
                .copied()
                .unwrap_or(0)
        };
        let mut in_order: Vec<_> = self
            .releases
            .values()
            .map(|release| (Reverse(weight(release.machine)), *release))
            .collect();
        in_order.sort_unstable_by_key(|(weight, release)| {
            (
                *weight,
                release.requested_at,
                release.machine,
                release.attempt,
            )
        });
        in_order.into_iter().map(|(_, release)| release).collect()
    }

    pub(super) fn health_changes(&self) -> impl Iterator<Item = (MachineId, HealthChange)> {
        self.health_changes
            .iter()
            .map(|(machine, change)| (*machine, *change))
    }

    pub(super) fn machines_to_add(&self) -> &BTreeSet<MachineId> {
        &self.machines_to_add
    }

    pub(super) fn terminated_machines(&self) -> &BTreeSet<MachineId> {
        &self.terminated_machines
    }

    pub(super) fn machines_to_decommission(&self) -> &BTreeSet<MachineId> {
        &self.machines_to_decommission
    }

    pub(super) fn last_was_urgent(&self) -> bool {
        self.last_was_urgent
    }

    /// Sets whether this round holds only urgent work; returns whether the one before did.
    pub(super) fn set_urgent(&mut self, urgent: bool) -> bool {
        std::mem::replace(&mut self.last_was_urgent, urgent)
    }

    /// Sets whether this round compacts a record; returns whether the one before did.
    pub(super) fn set_compaction(&mut self, compaction: bool) -> bool {
        std::mem::replace(&mut self.last_was_compaction, compaction)
    }

    /// Sets whether the next full round assigns first; returns whether this one does.
    pub(super) fn set_assignments_first(&mut self, first: bool) -> bool {
        std::mem::replace(&mut self.assignments_first, first)
    }

    /// Adds records that are to be compacted.
    pub(super) fn add_oversized(&mut self, keys: impl Iterator<Item = Key>) {
        self.oversized.extend(keys);
    }

    pub(super) fn retain_oversized(&mut self, keep: impl Fn(&Key) -> bool) {
        self.oversized.retain(keep);
    }

    pub(super) fn oversized(&self) -> &BTreeSet<Key> {
        &self.oversized
    }
}
