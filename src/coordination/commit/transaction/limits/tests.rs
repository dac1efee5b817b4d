//! Tests of what the state store would refuse for the size of a transaction.

mod detached_chunk;

use super::super::tests::{apply, images_with_long_names, machine, replica_of};
use super::{MAX_TRANSACTION_BYTES, TransactionLimits};
use crate::coordination::agents::AssignmentOutcome;
use crate::coordination::commit::transaction::{PlannedTransaction, TransactionBuilder};
use crate::storage::cell_state::{CellChanges, CellState, Change, Content};
use crate::storage::completion_bitmap::{CompletionBitmap, TASKS_PER_CHUNK};
use crate::storage::ids::{Attempt, JobId, MachineId, TaskId};
use crate::storage::job::{FinalRecord, JobRecord};
use crate::storage::records::{
    Assignment, COMPACT_FORMAT, GroupRecord, INITIAL_FORMAT, Key, stored_bytes,
};
use crate::time::Micros;

const VALUE_BYTES: usize = 16 * 1024;
const LOWER_VALUE_BYTES: usize = 2 * 1024;
const OVERSIZED: JobId = JobId(700_000);
const FIRST_DEPENDENCY: u64 = 100_000;

fn limits(changes: usize) -> TransactionLimits {
    TransactionLimits {
        changes,
        conditions: 4 * changes,
        value_bytes: VALUE_BYTES,
        stored_value_bytes: VALUE_BYTES,
        oversized_may_grow: false,
        group_bytes: VALUE_BYTES,
    }
}

fn lower_limits() -> TransactionLimits {
    TransactionLimits {
        value_bytes: LOWER_VALUE_BYTES,
        stored_value_bytes: LOWER_VALUE_BYTES,
        group_bytes: LOWER_VALUE_BYTES,
        ..limits(4)
    }
}

fn insert(cell: &mut CellState, key: Key, content: Content) {
    insert_at(cell, key, content, 1_000_000);
}

fn insert_at(cell: &mut CellState, key: Key, content: Content, mod_revision: u64) {
    let change = Change {
        key,
        content: Some(content),
        mod_revision,
    };
    cell.apply([change], &mut CellChanges::default());
}

fn one_task_job() -> JobRecord {
    let text =
        r#"{"s":{"l":"lane","w":"free","u":"2","n":1,"r":{"c":10},"i":"img","g":9000000},"t":1}"#;
    serde_json::from_str(text).unwrap()
}

fn attempt(job: u64) -> Attempt {
    let task = TaskId {
        job: JobId(job),
        index: 0,
    };
    Attempt { task, number: 1 }
}

/// A group of about 13 KiB; its first machine is the given one.
fn large_group(first: u64) -> GroupRecord {
    let mut group = GroupRecord::default();
    for id in first.. {
        group.machines.insert(MachineId(id), machine());
        if stored_bytes(&group) > 13 * 1024 {
            break;
        }
    }
    group
}

/// Guards against a round that the store refuses for ever because its keys and values together have more than 64 KiB.
#[test]
fn transaction_of_many_conditions_and_large_values_stays_within_the_limit_of_its_bytes() {
    const GROUPS: u64 = 4;
    const JOBS: u64 = 700;
    const MACHINES_PER_GROUP: u64 = 10_000;
    let mut cell = replica_of(INITIAL_FORMAT);
    for index in 0..GROUPS {
        let group = large_group(100_000 + index * MACHINES_PER_GROUP);
        let key = Key::Group(0, index as u32);
        insert(&mut cell, key, Content::Group(group));
    }
    for id in 1..=JOBS {
        let record = Box::new(one_task_job());
        insert(
            &mut cell,
            Key::Job(JobId(900_000 + id)),
            Content::Job(record),
        );
    }
    cell.advance(1_000_000);
    let mut transaction = TransactionBuilder::new(&cell, limits(200));
    let assigned = (1..=JOBS)
        .filter(|id| {
            let first = MachineId(100_000 + id % GROUPS * MACHINES_PER_GROUP);
            transaction.assign(first, attempt(900_000 + id))
        })
        .count();
    let body = transaction.build().txn.body();
    assert!(assigned > 50, "{assigned} tasks are assigned");
    assert!(
        body.len() <= MAX_TRANSACTION_BYTES,
        "{} bytes, {assigned} tasks",
        body.len()
    );
}

/// Guards against a refusal of the whole round because chunks of cancelled jobs are removed beyond the limit of its conditions.
#[test]
fn removal_of_a_chunk_beside_many_assignments_stays_within_the_limit_of_conditions() {
    const CHANGES: usize = 4;
    const CANCELLED: JobId = JobId(50);
    let mut cell = replica_of(COMPACT_FORMAT);
    let mut group = GroupRecord::default();
    group.machines.insert(MachineId(1), machine());
    insert(&mut cell, Key::Group(0, 0), Content::Group(group));
    for id in 1..=40 {
        let record = Box::new(one_task_job());
        insert(&mut cell, Key::Job(JobId(id)), Content::Job(record));
    }
    let mut cancelled = one_task_job();
    cancelled.cancelled = true;
    cancelled.spec.task_count = 2 * TASKS_PER_CHUNK;
    insert(
        &mut cell,
        Key::Job(CANCELLED),
        Content::Job(Box::new(cancelled)),
    );
    let mut chunk = CompletionBitmap::default();
    chunk.insert(1);
    insert(&mut cell, Key::Chunk(CANCELLED, 1), Content::Chunk(chunk));
    cell.advance(1_000_000);
    let mut transaction = TransactionBuilder::new(&cell, limits(CHANGES));
    let assigned = (1..=40)
        .filter(|id| transaction.assign(MachineId(1), attempt(*id)))
        .count();
    let is_removed = transaction.end_cancelled(CANCELLED);
    let conditions = transaction.build().txn.conditions.len();
    assert!(
        assigned > 8 && conditions <= 4 * CHANGES,
        "{conditions} conditions, {assigned} tasks"
    );
    assert!(!is_removed, "the chunk is removed");
    let mut alone = TransactionBuilder::new(&cell, limits(CHANGES));
    assert!(alone.end_cancelled(CANCELLED), "the chunk is not removed");
}

fn attempt_of(index: u32) -> Attempt {
    let task = TaskId {
        job: OVERSIZED,
        index,
    };
    Attempt { task, number: 1 }
}

/// A replica in which a task of this job is assigned to a machine.
fn replica_with_job(job: JobRecord) -> CellState {
    replica_with_tasks(COMPACT_FORMAT, job, &[0])
}

/// A replica in which these tasks of the job are assigned to a machine.
fn replica_with_tasks(record_format: u32, job: JobRecord, tasks: &[u32]) -> CellState {
    let mut cell = replica_of(record_format);
    let mut record = machine();
    record
        .tasks
        .extend(tasks.iter().map(|index| Assignment::of(attempt_of(*index))));
    let mut group = GroupRecord::default();
    group.machines.insert(MachineId(1), record);
    insert(&mut cell, Key::Job(OVERSIZED), Content::Job(Box::new(job)));
    insert(&mut cell, Key::Group(0, 0), Content::Group(group));
    cell.advance(1_000_000);
    cell
}

/// The same; the job's record is larger than [`LOWER_VALUE_BYTES`].
fn replica_with_oversized_job(job: JobRecord) -> CellState {
    let bytes = stored_bytes(&job);
    assert!(bytes > LOWER_VALUE_BYTES, "{bytes} bytes");
    replica_with_job(job)
}

/// A job with dependencies on this many other jobs.
fn dependent_job(dependencies: u64) -> JobRecord {
    let mut job = one_task_job();
    job.spec.dependencies = (FIRST_DEPENDENCY..FIRST_DEPENDENCY + dependencies)
        .map(JobId)
        .collect();
    job
}

/// The jobs that the job depends on are done.
fn end_dependencies(cell: &mut CellState) {
    let done = FinalRecord {
        cancelled: false,
        done: 1,
        ended_at: Micros::secs(1),
    };
    for dependency in cell.jobs[&OVERSIZED].spec().dependencies.clone() {
        cell.on_end_learned(dependency, done, &mut CellChanges::default());
    }
    assert!(cell.jobs[&OVERSIZED].is_ready());
}

fn release(cell: &CellState, outcome: AssignmentOutcome) -> PlannedTransaction {
    let mut transaction = TransactionBuilder::new(cell, lower_limits());
    assert!(transaction.release(MachineId(1), attempt(OVERSIZED.0), outcome, 0));
    let planned = transaction.build();
    let largest = planned.txn.largest_value_bytes();
    assert!(largest <= LOWER_VALUE_BYTES, "a value of {largest} bytes");
    planned
}

/// Guards against a round that is refused for ever because it records a failure in a record which the lower limits do not allow.
#[test]
fn failure_of_a_job_whose_record_cannot_be_written_releases_the_task_all_the_same() {
    let mut job = one_task_job();
    job.spec.machine_types = Some(vec!["type-with-a-long-name".to_owned(); 100]);
    let mut cell = replica_with_oversized_job(job);
    let planned = release(&cell, AssignmentOutcome::Failed);
    apply(&mut cell, planned, 1_000_001);
    assert!(cell.machine(MachineId(1)).unwrap().tasks.is_empty());
    assert!(cell.jobs.contains_key(&OVERSIZED));
}

/// Guards against a job that never ends under lower limits because its record is too large, although the end removes the record.
#[test]
fn end_of_a_job_whose_record_cannot_be_written_is_recorded() {
    let mut job = one_task_job();
    job.spec.machine_types = Some(vec!["type-with-a-long-name".to_owned(); 100]);
    let cell = replica_with_oversized_job(job);
    let planned = release(&cell, AssignmentOutcome::Done);
    assert_eq!(planned.ended.len(), 1);
}

/// Guards against a job whose failures are never recorded under lower limits because of the jobs that it had to wait for.
#[test]
fn record_that_cannot_be_written_loses_the_dependencies_of_a_job_that_is_ready() {
    let mut cell = replica_with_oversized_job(dependent_job(400));
    end_dependencies(&mut cell);
    let planned = release(&cell, AssignmentOutcome::Failed);
    apply(&mut cell, planned, 1_000_001);
    let job = &cell.jobs[&OVERSIZED];
    assert!(job.record.failures == 1 && job.is_ready());
}

/// Guards against the loss of what a job waited for, and so of the time since which it is ready, where the record fits as it is.
#[test]
fn record_that_fits_keeps_the_dependencies_of_a_job_that_is_ready() {
    let mut cell = replica_with_job(dependent_job(240));
    end_dependencies(&mut cell);
    let planned = release(&cell, AssignmentOutcome::Failed);
    apply(&mut cell, planned, 1_000_001);
    let record = &cell.jobs[&OVERSIZED].record;
    assert_eq!((record.failures, record.spec.dependencies.len()), (1, 240));
}

/// Guards against rounds that write records unchanged, for ever, because an assignment did not fit into the record of a machine's group.
#[test]
fn assignment_that_does_not_fit_into_a_record_leaves_the_transaction_empty() {
    let mut cell = replica_of(COMPACT_FORMAT);
    let group = GroupRecord {
        compact_encoding: true,
        ..large_group(1)
    };
    let full = TransactionLimits {
        value_bytes: stored_bytes(&group),
        ..limits(4)
    };
    insert(&mut cell, Key::Group(0, 0), Content::Group(group));
    let job = Box::new(one_task_job());
    insert(&mut cell, Key::Job(JobId(7)), Content::Job(job));
    cell.advance(1_000_000);
    let mut transaction = TransactionBuilder::new(&cell, full);
    assert!(!transaction.assign(MachineId(1), attempt(7)));
    assert!(transaction.is_empty());
    assert_eq!(transaction.groups_without_room().len(), 1);
    assert!(transaction.build().txn.conditions.is_empty());
}

/// Guards against ends that are never recorded under lower limits because the names of a machine's images fill a value.
#[test]
fn end_of_a_task_is_recorded_whatever_the_names_of_the_machines_images() {
    let mut cell = replica_with_job(one_task_job());
    let mut group = cell.groups[0][&0].value.clone();
    for record in group.machines.values_mut() {
        record.images = images_with_long_names();
    }
    assert!(stored_bytes(&group) > LOWER_VALUE_BYTES);
    let change = Change {
        key: Key::Group(0, 0),
        content: Some(Content::Group(group)),
        mod_revision: 1_000_001,
    };
    cell.apply([change], &mut CellChanges::default());
    let planned = release(&cell, AssignmentOutcome::Done);
    assert_eq!(planned.ended.len(), 1);
}
