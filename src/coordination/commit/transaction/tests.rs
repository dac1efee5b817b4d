//! Tests of transactions: machines, groups, and ends of large jobs.

use super::{PlannedTransaction, TransactionBuilder, TransactionLimits};
use crate::coordination::agents::AssignmentOutcome;
use crate::storage::cell_state::CellChanges;
use crate::storage::cell_state::{CellState, Change, Content};
use crate::storage::completion_bitmap::TASKS_PER_CHUNK;
use crate::storage::ids::{Attempt, JobId, MachineId};
use crate::storage::job::JobRecord;
use crate::storage::records::{Assignment, GroupRecord, Key, MachineHealth, MachineRecord};
use crate::storage::records::{COMPACT_FORMAT, INITIAL_FORMAT, MetaRecord};
use std::collections::BTreeMap;

/// As many images as a machine's record keeps, with names that fill a value of 2 KiB.
pub(super) fn images_with_long_names() -> Vec<(std::sync::Arc<str>, u64)> {
    (0..8)
        .map(|index| (format!("{index}").repeat(250).into(), 500))
        .collect()
}

pub(super) fn machine() -> MachineRecord {
    MachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: true,
        endpoint: None,
        health: MachineHealth::Schedulable,
        fenced_incarnation: 0,
        images: Vec::new(),
        tasks: Vec::new(),
        preempted: Vec::new(),
    }
}

fn plan_transaction(
    cell: &CellState,
    edit: impl FnOnce(&mut TransactionBuilder<'_>),
) -> PlannedTransaction {
    // With these limits a group has room for two machines.
    let limits = TransactionLimits {
        changes: 12,
        conditions: 48,
        value_bytes: 4_096,
        stored_value_bytes: 4_096,
        oversized_may_grow: false,
        group_bytes: 500,
    };
    let mut transaction = TransactionBuilder::new(cell, limits);
    edit(&mut transaction);
    transaction.build()
}

fn add(transaction: &mut TransactionBuilder<'_>, id: u64) {
    assert!(transaction.add(0, MachineId(id), machine(), &|_| 200));
}

/// Whether the store would apply the transaction, according to this replica of it.
pub(super) fn conditions_hold(cell: &CellState, commit: &PlannedTransaction) -> bool {
    commit
        .txn
        .conditions
        .iter()
        .all(|(key, revision)| cell.mod_revision(key) == *revision)
}

pub(super) fn apply(cell: &mut CellState, commit: PlannedTransaction, mod_revision: u64) {
    assert!(conditions_hold(cell, &commit));
    cell.apply(
        commit.changes.into_iter().map(|change| Change {
            mod_revision,
            ..change
        }),
        &mut CellChanges::default(),
    );
    cell.advance(mod_revision);
}

fn initial_replica() -> CellState {
    replica_of(INITIAL_FORMAT)
}

/// An empty replica with this record format.
pub(super) fn replica_of(record_format: u32) -> CellState {
    let mut cell = CellState::default();
    let meta = MetaRecord {
        record_format,
        shards: 1,
        teams: BTreeMap::new(),
    };
    let change = Change {
        key: Key::Meta,
        content: Some(Content::Meta(meta)),
        mod_revision: 1,
    };
    cell.apply([change], &mut CellChanges::default());
    cell.advance(1);
    cell
}

/// If the outcome of an addition is unknown, the machine may be added again, and to another group if
/// that has got room by the removal of a machine. The first addition must not be applied as well, or
/// the machine would be in two groups.
#[test]
fn addition_with_unknown_outcome_conflicts_with_later_addition() {
    let mut cell = initial_replica();
    let commit = plan_transaction(&cell, |transaction| {
        (1..=4).for_each(|id| add(transaction, id));
    });
    apply(&mut cell, commit, 2);
    assert_eq!(cell.group_of_machine(MachineId(4)), Some((0, 1)));
    let unknown_outcome = plan_transaction(&cell, |transaction| add(transaction, 5));
    let commit = plan_transaction(&cell, |transaction| {
        assert!(transaction.remove(MachineId(3)));
    });
    apply(&mut cell, commit, 3);
    let commit = plan_transaction(&cell, |transaction| add(transaction, 5));
    apply(&mut cell, commit, 4);
    assert_eq!(cell.group_of_machine(MachineId(5)), Some((0, 1)));
    assert!(
        !conditions_hold(&cell, &unknown_outcome),
        "the machine is in two groups"
    );
}

/// A group is added when all others are full, and removed when it is empty, except for the first group.
#[test]
fn groups_are_added_when_others_are_full_and_removed_when_empty() {
    let mut cell = initial_replica();
    let commit = plan_transaction(&cell, |transaction| {
        (1..=5).for_each(|id| add(transaction, id));
    });
    apply(&mut cell, commit, 2);
    assert_eq!(cell.groups[0].len(), 3);
    let commit = plan_transaction(&cell, |transaction| {
        (1..=5).for_each(|id| assert!(transaction.remove(MachineId(id))));
    });
    apply(&mut cell, commit, 3);
    assert_eq!(cell.groups[0].keys().copied().collect::<Vec<_>>(), [0]);
}

/// If a transaction may have only few changes, the last completion of a job with several chunks and the
/// end of the job are committed by two transactions. A reader between them sees all tasks as done.
#[test]
fn large_job_ends_in_two_transactions_when_changes_are_limited() {
    let mut cell = replica_of(COMPACT_FORMAT);
    let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":8193,"r":{"c":1000},"i":"img","g":9000000},"t":1}"#;
    let mut job: JobRecord = serde_json::from_str(text).unwrap();
    (0..TASKS_PER_CHUNK).for_each(|index| {
        job.finished.insert(index);
    });
    let id = JobId(7);
    let last = Attempt {
        task: crate::storage::ids::TaskId {
            job: id,
            index: TASKS_PER_CHUNK,
        },
        number: 2,
    };
    let mut group = GroupRecord::default();
    let mut record = machine();
    record.tasks.push(Assignment::of(last));
    group.machines.insert(MachineId(1), record);
    let contents = [
        (Key::Job(id), Content::Job(Box::new(job))),
        (Key::Group(0, 0), Content::Group(group)),
    ];
    cell.apply(
        contents.map(|(key, content)| Change {
            key,
            content: Some(content),
            mod_revision: 2,
        }),
        &mut CellChanges::default(),
    );
    cell.advance(2);
    let limits = TransactionLimits {
        changes: 4,
        conditions: 16,
        value_bytes: 2_048,
        stored_value_bytes: 2_048,
        oversized_may_grow: false,
        group_bytes: 1_920,
    };
    let mut transaction = TransactionBuilder::new(&cell, limits);
    assert!(
        transaction.release(MachineId(1), last, AssignmentOutcome::Done, 0),
        "the assignment was not released"
    );
    let commit = transaction.build();
    assert!(commit.txn.changes.len() <= 4 && commit.ended.is_empty());
    assert!(
        commit.txn.largest_value_bytes() <= 2_048,
        "{} bytes",
        commit.txn.largest_value_bytes()
    );
    apply(&mut cell, commit, 3);
    assert_eq!(cell.jobs[&id].finished_count(), TASKS_PER_CHUNK + 1);
    let mut transaction = TransactionBuilder::new(&cell, limits);
    assert!(transaction.end_done(id));
    let commit = transaction.build();
    assert_eq!(commit.ended.len(), 1);
    assert_eq!(commit.ended[0].1.done, TASKS_PER_CHUNK + 1);
    apply(&mut cell, commit, 4);
    assert!(cell.jobs.is_empty());
}
