//! Machines that a round may assign tasks to, and how many machine groups it may write for them.

use crate::coordination::Controller;
use crate::coordination::commit::transaction::TransactionBuilder;
use crate::coordination::constraints::distinct_jobs;
use crate::scheduler::constraints::PlacementContext;
use crate::scheduler::placement::{Candidate, GroupWriteLimit, PlacementRequest};
use crate::scheduler::provisioning::core_price;
use crate::storage::cell_state::Job;
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId};
use crate::storage::records::MachineHealth;
use crate::storage::resources::Amount;
use std::collections::{BTreeMap, BTreeSet};

/// The remaining changes of a transaction divided by this number are kept for machine groups, however
/// many usage records are to be written.
const GROUP_CHANGES_DIVISOR: usize = 3;

/// Machines that tasks may be assigned to.
pub(super) struct Candidates<'a> {
    pub usable: Vec<Candidate<'a>>,
    /// Machines of zones that are recovering, or of zones that this controller cannot reach while other
    /// controllers can. They are only for starved jobs.
    recovering: Vec<Candidate<'a>>,
}

impl Candidates<'_> {
    /// Machines that are reserved in this plan for requests that could not be placed.
    pub fn reserved_machines(&self) -> BTreeSet<MachineId> {
        let reserved = self
            .usable
            .iter()
            .filter(|candidate| candidate.reserved_in_plan);
        reserved.map(|candidate| candidate.machine).collect()
    }

    /// Opens to starved jobs the machines that other jobs may not use yet, and those that are reserved
    /// in this plan.
    pub fn open_all_to_starved_jobs(&mut self) {
        self.usable.append(&mut self.recovering);
        for candidate in &mut self.usable {
            candidate.reserved_in_plan = false;
        }
    }
}

/// A schedulable machine as the transaction would leave it.
#[derive(Clone, Copy)]
struct FreeMachine {
    machine: MachineId,
    shard: ShardId,
    /// Number of its group in the [`GroupWriteLimit`].
    group: usize,
    free: Amount,
}

impl Controller {
    /// Machines that accept tasks. Numbers their groups in `groups`. For `owners` see
    /// [`Controller::owner_numbers`].
    pub(super) fn candidates<'a>(
        &'a self,
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
        owners: &[usize],
        groups: &mut GroupWriteLimit,
        starved: &[(JobId, &Job)],
    ) -> Candidates<'a> {
        let mut candidates = Candidates {
            usable: Vec::new(),
            recovering: Vec::new(),
        };
        let gang_reserved = self.machines_reserved_for_gang();
        for machine in self.free_machines(transaction, groups) {
            // A machine that this transaction adds is used from the next round on.
            let Some(record) = self.cell.machine(machine.machine) else {
                continue;
            };
            let now = self.now.monotonic;
            let accepts_tasks = self.zones.accepts_tasks(&record.zone, machine.machine, now);
            if !accepts_tasks && starved.is_empty() {
                continue;
            }
            let Some(mut candidate) = self.candidate(machine, transaction, context, owners) else {
                continue;
            };
            candidate.in_gang_reservation =
                gang_reserved.is_some_and(|gang_reserved| gang_reserved.contains(&machine.machine));
            if accepts_tasks {
                candidates.usable.push(candidate);
            } else {
                candidates.recovering.push(candidate);
            }
        }
        candidates
    }

    fn free_machines(
        &self,
        transaction: &TransactionBuilder<'_>,
        groups: &mut GroupWriteLimit,
    ) -> Vec<FreeMachine> {
        let mut numbers: BTreeMap<(ShardId, GroupIndex), usize> = BTreeMap::new();
        transaction
            .machines()
            .filter(|(_, _, record)| record.health == MachineHealth::Schedulable)
            .filter(|(group, ..)| !self.rounds.full_groups.contains(&self.cell, *group))
            .map(|(group, machine, record)| FreeMachine {
                machine,
                shard: group.0,
                group: *numbers.entry(group).or_insert_with(|| {
                    groups.written.push(transaction.writes_group(group));
                    groups.written.len() - 1
                }),
                free: self.cell.free_resources(record),
            })
            .collect()
    }

    fn candidate<'a>(
        &'a self,
        machine: FreeMachine,
        transaction: &TransactionBuilder<'_>,
        context: Option<&'a PlacementContext<'a>>,
        owners: &[usize],
    ) -> Option<Candidate<'a>> {
        let record = self.cell.machine(machine.machine)?;
        let machine_type = self.cell.machine_type(&record.machine_type)?;
        let residents = match context {
            Some(context) if context.rules_test_colocation => transaction
                .machine(machine.machine)
                .map_or(Vec::new(), |record| distinct_jobs(&record.tasks)),
            _ => Vec::new(),
        };
        let restricts_colocation = context.is_some_and(|context| {
            residents
                .iter()
                .any(|job| context.restricts_colocation(*job))
        });
        Some(Candidate {
            machine: machine.machine,
            group: machine.group,
            owner: owners[machine.shard],
            machine_type: &record.machine_type,
            zone: &record.zone,
            spot: record.spot,
            price: core_price(machine_type, record.spot),
            capacity: machine_type.capacity,
            free: machine.free,
            reserved_in_plan: false,
            in_gang_reservation: false,
            images: &record.images,
            fetching_image: None,
            preemptible_tasks: Vec::new(),
            class: context
                .and_then(|_| self.cell.classes.class_of_machine(machine.machine))
                .unwrap_or_default(),
            residents,
            restricts_colocation,
        })
    }

    /// How many more machine groups the transaction may write in addition to the usage records of this
    /// controller's requests. Teams of more shards may wait than a transaction has changes, so some
    /// changes are kept for groups; otherwise nothing at all would be assigned. Requests for which no
    /// change is left wait for the next round.
    pub(super) fn group_write_limit(
        &self,
        transaction: &TransactionBuilder<'_>,
        requests: &[PlacementRequest<'_>],
    ) -> usize {
        let mut shards: Vec<ShardId> = requests
            .iter()
            .filter(|request| request.is_local)
            .map(|request| request.owner)
            .collect();
        shards.sort_unstable();
        shards.dedup();
        let new_usage_records = shards
            .iter()
            .filter(|shard| !transaction.writes_usage(**shard))
            .count();
        let changes_left = transaction.changes_left();
        let reserved = (changes_left / GROUP_CHANGES_DIVISOR)
            .max(1)
            .min(changes_left);
        changes_left.saturating_sub(new_usage_records).max(reserved)
    }

    /// A number for each shard; all shards of one leader have the same number.
    pub(super) fn owner_numbers(&self) -> Vec<usize> {
        let leader = |shard: ShardId| {
            self.cell.leaders[shard]
                .value
                .as_ref()
                .map(|record| &record.node)
        };
        (0..self.cell.leaders.len())
            .map(|shard| {
                (0..shard)
                    .find(|other| leader(*other).is_some() && leader(*other) == leader(shard))
                    .unwrap_or(shard)
            })
            .collect()
    }
}
