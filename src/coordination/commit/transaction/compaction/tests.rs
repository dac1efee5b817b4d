//! Tests of `compaction`.

use super::super::tests::{apply, conditions_hold, images_with_long_names, machine, replica_of};
use super::super::{PlannedTransaction, TransactionLimits};
use super::*;
use crate::coordination::agents::AssignmentOutcome;
use crate::protocol::state::encode;
use crate::storage::cell_state::{CellChanges, Change, Content};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::{Attempt, TaskId};
use crate::storage::job::{JobRecord, JobSpec, Priority};
use crate::storage::records::{Assignment, Incarnation, LATEST_FORMAT, UsageRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that a value may have.
const MAX_BYTES: usize = 2_048;

fn limits(stored_value_bytes: usize) -> TransactionLimits {
    let (changes, group_bytes) = (4, MAX_BYTES - 128);
    TransactionLimits {
        changes,
        conditions: 4 * changes,
        value_bytes: MAX_BYTES,
        stored_value_bytes,
        oversized_may_grow: false,
        group_bytes,
    }
}

fn leader_record() -> ShardLeaderRecord {
    ShardLeaderRecord {
        node: "n0".to_owned(),
        incarnation: Incarnation(1),
    }
}

fn job(task_count: u32) -> JobRecord {
    let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":1,"r":[1000,0,1000],"i":"img","g":9000000},"t":1}"#;
    let record: JobRecord = serde_json::from_str(text).unwrap();
    JobRecord {
        spec: JobSpec {
            task_count,
            priority: Priority::Low,
            ..record.spec
        },
        ..record
    }
}

/// A replica with many machines in one group, each with a task of a job of its own.
fn large_group(machines: u64) -> CellState {
    let mut cell = replica_of(LATEST_FORMAT);
    let mut group = GroupRecord::default();
    let mut changes = Vec::new();
    for m in 1..=machines {
        let id = JobId(300_000 + m * 7_919);
        let mut record = machine();
        record.tasks.push(Assignment::of(Attempt {
            task: TaskId { job: id, index: 0 },
            number: m * 70_000,
        }));
        group.machines.insert(MachineId(m), record);
        changes.push(Change {
            key: Key::Job(id),
            content: Some(Content::Job(Box::new(job(1)))),
            mod_revision: 2,
        });
    }
    changes.push(Change {
        key: Key::Group(0, 0),
        content: Some(Content::Group(group)),
        mod_revision: 2,
    });
    cell.apply(changes, &mut CellChanges::default());
    cell.advance(2);
    cell
}

fn plan_step(cell: &CellState, key: &Key, stored_value_bytes: usize) -> Option<PlannedTransaction> {
    let mut transaction = TransactionBuilder::new(cell, limits(stored_value_bytes));
    transaction
        .compact(key, &leader_record(), &|_| 16)
        .then(|| transaction.build())
}

/// The contents of the store by key, with the revision of the last write.
type Store = BTreeMap<String, (Content, u64)>;

fn apply_to_store(
    cell: &CellState,
    key: &Key,
    store: &mut Store,
    commit: &PlannedTransaction,
    mod_revision: u64,
) {
    assert!(conditions_hold(cell, commit));
    assert!(
        commit.txn.changes.len() <= 4 && commit.txn.conditions.len() <= 16,
        "{key}"
    );
    assert!(
        commit.txn.largest_value_bytes() <= MAX_BYTES,
        "{key}: {} bytes",
        commit.txn.largest_value_bytes()
    );
    for change in &commit.changes {
        match &change.content {
            Some(content) => store.insert(change.key.to_string(), (content.clone(), mod_revision)),
            None => store.remove(&change.key.to_string()),
        };
    }
}

fn machines(cell: &CellState) -> BTreeSet<(MachineId, Vec<Assignment>)> {
    cell.machines()
        .map(|(_, m, r)| (m, r.tasks.clone()))
        .collect()
}

/// A group that is too large for the limits in force is copied in steps, each of which leaves a complete
/// state: every reader sees every machine once at any time, no transaction that was planned before a step
/// is applied after it, and a machine cannot be removed while a lower group still lists it, since it
/// would reappear.
#[test]
fn unwritable_group_is_copied_in_complete_steps() {
    let mut cell = large_group(700);
    let all = machines(&cell);
    let before = cell.groups[0][&0].clone();
    let mut store = Store::new();
    store.insert(
        "c/group/0/0".to_owned(),
        (Content::Group(before.value), before.mod_revision),
    );
    let key = Key::Group(0, 0);
    let mut mod_revision = 2;
    let mut copied_steps = 0;
    while is_record_larger_than(&cell, &key, MAX_BYTES) {
        // The leader of another shard has planned a release on the replica before the step: of a task on
        // a machine that this step copies.
        let (m, record) = cell.groups[0][&0].value.machines.last_key_value().unwrap();
        let mut stale_transaction = TransactionBuilder::new(&cell, limits(16 * 1_024));
        assert!(stale_transaction.release(
            *m,
            record.tasks[0].attempt(),
            AssignmentOutcome::Reassign,
            7
        ));
        let stale_transaction = stale_transaction.build();
        let commit = plan_step(&cell, &key, MAX_BYTES).expect("a step");
        let repeated_step = plan_step(&cell, &key, MAX_BYTES).expect("a step");
        mod_revision += 1;
        apply_to_store(&cell, &key, &mut store, &commit, mod_revision);
        apply(&mut cell, commit, mod_revision);
        assert!(
            !conditions_hold(&cell, &stale_transaction),
            "a transaction planned before the step is applied"
        );
        assert!(
            !conditions_hold(&cell, &repeated_step),
            "the step is applied twice"
        );
        assert_eq!(machines(&cell), all, "after step {mod_revision}");
        // A controller that starts now reads the keys in their order.
        let mut fresh = replica_of(LATEST_FORMAT);
        let listed = store.iter().map(|(k, (content, mod_revision))| Change {
            key: Key::parse(k).unwrap(),
            content: Some(content.clone()),
            mod_revision: *mod_revision,
        });
        fresh.apply(listed, &mut CellChanges::default());
        assert_eq!(
            machines(&fresh),
            all,
            "new replica after step {mod_revision}"
        );
        if let Some(stale) = cell
            .machines()
            .map(|(_, m, _)| m)
            .find(|m| cell.is_superseded(*m))
        {
            copied_steps += 1;
            let mut transaction = TransactionBuilder::new(&cell, limits(MAX_BYTES));
            let assignment = cell.machine(stale).unwrap().tasks[0].attempt();
            assert!(transaction.release(stale, assignment, AssignmentOutcome::Reassign, 0));
            assert!(
                !transaction.remove(stale),
                "the removed machine would reappear"
            );
        }
    }
    assert!(copied_steps > 1, "nothing was copied");
    assert!(cell.machines().all(|(_, m, _)| !cell.is_superseded(m)));
    assert!(
        cell.groups[0]
            .values()
            .all(|g| stored_bytes(&g.value) <= MAX_BYTES)
    );
}

/// An oversized group that can still be written is split: its machines are moved to new groups.
#[test]
fn oversized_writable_group_is_split() {
    let mut cell = large_group(300);
    let all = machines(&cell);
    let key = Key::Group(0, 0);
    let mut mod_revision = 2;
    while is_record_larger_than(&cell, &key, MAX_BYTES) {
        let commit = plan_step(&cell, &key, 16 * 1_024).expect("a step");
        assert!(
            commit
                .txn
                .conditions
                .iter()
                .any(|(k, _)| *k == Key::ShardLeader(0)),
            "not conditional on the term"
        );
        mod_revision += 1;
        apply(&mut cell, commit, mod_revision);
        assert_eq!(machines(&cell), all, "after step {mod_revision}");
        assert!(cell.machines().all(|(_, m, _)| !cell.is_superseded(m)));
    }
}

/// No completion is lost while completions are moved from a usage record to the records of the jobs.
#[test]
fn compaction_of_oversized_usage_record_loses_no_completions() {
    for stored_value_bytes in [16 * 1_024, MAX_BYTES] {
        let mut cell = replica_of(LATEST_FORMAT);
        let mut usage = UsageRecord::default();
        let mut changes = Vec::new();
        for j in 1..=90 {
            let mut ends = CompletionBitmap::default();
            ends.insert(j);
            ends.insert(100);
            usage.finished_tasks.insert(JobId(j.into()), ends);
            let content = Some(Content::Job(Box::new(job(120))));
            changes.push(Change {
                key: Key::Job(JobId(j.into())),
                content,
                mod_revision: 2,
            });
        }
        changes.push(Change {
            key: Key::Usage(0),
            content: Some(Content::Usage(usage)),
            mod_revision: 2,
        });
        cell.apply(changes, &mut CellChanges::default());
        cell.advance(2);
        assert!(encode(&cell.usage[0].value).unwrap().get().len() > MAX_BYTES);
        let mut mod_revision = 2;
        while is_record_larger_than(&cell, &Key::Usage(0), MAX_BYTES) {
            let commit = plan_step(&cell, &Key::Usage(0), stored_value_bytes).expect("a step");
            assert!(commit.txn.changes.len() <= 4);
            assert!(
                stored_value_bytes > MAX_BYTES || commit.txn.largest_value_bytes() <= MAX_BYTES
            );
            mod_revision += 1;
            apply(&mut cell, commit, mod_revision);
            for j in 1..=90 {
                let job = &cell.jobs[&JobId(j.into())];
                assert!(
                    job.finished_count() == 2 && job.is_finished(j) && job.is_finished(100),
                    "job {j} after step {mod_revision}"
                );
            }
        }
    }
}

/// Guards against a machine that can never be changed again because the names of its images fill a value.
#[test]
fn machine_that_is_too_large_for_its_images_is_moved_without_them() {
    let mut cell = replica_of(LATEST_FORMAT);
    let mut group = GroupRecord::default();
    for id in 1..=2 {
        let mut record = machine();
        record.images = images_with_long_names();
        group.machines.insert(MachineId(id), record);
    }
    let key = Key::Group(0, 0);
    let change = Change {
        key: key.clone(),
        content: Some(Content::Group(group)),
        mod_revision: 2,
    };
    cell.apply([change], &mut CellChanges::default());
    cell.advance(2);
    for revision in 3..8 {
        let Some(step) = plan_step(&cell, &key, MAX_BYTES) else {
            break;
        };
        assert!(step.txn.largest_value_bytes() <= MAX_BYTES);
        apply(&mut cell, step, revision);
    }
    assert_eq!(cell.machines().count(), 2);
    let largest = cell.groups[0]
        .values()
        .map(|group| stored_bytes(&group.value));
    assert!(largest.max() <= Some(MAX_BYTES));
}
