//! Tests of jobs whose names leave no room for a completion bitmap under the lower limits.

use super::*;
use crate::storage::completion_bitmap::FIRST_CHUNK;
use crate::storage::records::{FENCED_FORMAT, LATEST_FORMAT};

/// A job with this many tasks, the first of which are finished, and with names that take 700 bytes.
fn job_with_long_names(task_count: u32, finished: u32) -> JobRecord {
    let mut job = one_task_job();
    job.spec.task_count = task_count;
    job.spec.job_class = "c".repeat(250);
    job.spec.image = "i".repeat(450);
    for index in 0..finished {
        job.finished.insert(index);
    }
    job
}

/// The transaction that records the end of a task under the lower limits; `None` if the end is held back.
fn complete(cell: &CellState, index: u32) -> Option<PlannedTransaction> {
    let mut transaction = TransactionBuilder::new(cell, lower_limits());
    let (machine, done) = (MachineId(1), AssignmentOutcome::Done);
    if !transaction.release(machine, attempt_of(index), done, 0) {
        return None;
    }
    let planned = transaction.build();
    let size = planned.txn.size();
    assert!(size.largest_value_bytes <= LOWER_VALUE_BYTES, "{size:?}");
    assert!(size.changes <= lower_limits().changes, "{size:?}");
    Some(planned)
}

/// Guards against ends that are never recorded: the bitmap of a complete first chunk is dropped from the job's record.
#[test]
fn end_of_a_task_beyond_a_complete_first_chunk_is_recorded() {
    let job = job_with_long_names(20_000, TASKS_PER_CHUNK);
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &[TASKS_PER_CHUNK]);
    let planned = complete(&cell, TASKS_PER_CHUNK).expect("the end is recorded");
    apply(&mut cell, planned, 1_000_001);
    let job = &cell.jobs[&OVERSIZED];
    assert_eq!(job.finished_count(), TASKS_PER_CHUNK + 1);
    assert!((0..=TASKS_PER_CHUNK).all(|index| job.is_finished(index)));
    assert!(!job.is_finished(TASKS_PER_CHUNK + 1));
    assert!(!job.chunks.contains_key(&FIRST_CHUNK));
}

/// Guards against ends that are never recorded: the bitmap of an incomplete first chunk gets a record of its own.
#[test]
fn ends_of_tasks_within_an_incomplete_first_chunk_are_recorded() {
    let job = job_with_long_names(20_000, 5_000);
    let tasks = [7_000, 5_001, TASKS_PER_CHUNK];
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &tasks);
    for (done, index) in (1..).zip(tasks) {
        let planned = complete(&cell, index).expect("the end is recorded");
        apply(&mut cell, planned, 1_000_000 + u64::from(done));
        let job = &cell.jobs[&OVERSIZED];
        assert_eq!(job.finished_count(), 5_000 + done);
        assert!(job.is_finished(index) && job.is_finished(4_999) && !job.is_finished(5_000));
        assert!(job.record.finished.is_empty() && job.has_detached_chunk());
    }
}

/// Guards against a detached chunk that stays in the store once its job has ended.
#[test]
fn end_of_a_job_removes_the_record_of_its_first_chunk() {
    const TASKS: u32 = 6_000;
    let job = job_with_long_names(TASKS, TASKS - 2);
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &[TASKS - 2, TASKS - 1]);
    let planned = complete(&cell, TASKS - 2).expect("the end is recorded");
    apply(&mut cell, planned, 1_000_001);
    assert!(cell.jobs[&OVERSIZED].chunks.contains_key(&FIRST_CHUNK));
    let planned = complete(&cell, TASKS - 1).expect("the end is recorded");
    let removed = planned.txn.changes.iter().filter(|c| c.value.is_none());
    let removed: Vec<&Key> = removed.map(|change| &change.key).collect();
    assert!(removed.contains(&&Key::Chunk(OVERSIZED, FIRST_CHUNK)));
    assert_eq!(planned.ended.len(), 1);
    assert_eq!(planned.ended[0].1.done, TASKS);
}

/// Guards against tasks that run again because an earlier version does not read the record of a first chunk.
#[test]
fn first_chunk_stays_in_the_jobs_record_while_an_earlier_version_serves() {
    let job = job_with_long_names(20_000, TASKS_PER_CHUNK);
    let cell = replica_with_tasks(FENCED_FORMAT, job, &[TASKS_PER_CHUNK]);
    assert!(complete(&cell, TASKS_PER_CHUNK).is_none());
}

/// Guards against a further change for each end of a job that fits as it is.
#[test]
fn first_chunk_of_a_job_with_short_names_stays_in_its_record() {
    let mut job = job_with_long_names(20_000, 5_000);
    job.spec.job_class = "class".to_owned();
    job.spec.image = "image".to_owned();
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &[7_000]);
    let planned = complete(&cell, 7_000).expect("the end is recorded");
    apply(&mut cell, planned, 1_000_001);
    let job = &cell.jobs[&OVERSIZED];
    assert!(job.record.finished.contains(7_000) && !job.has_detached_chunk());
}

/// A job whose specification alone is larger than the lower limit.
fn job_with_an_oversized_specification(task_count: u32, finished: u32) -> JobRecord {
    let mut job = job_with_long_names(task_count, finished);
    job.spec.machine_types = Some(vec!["type-with-a-long-name".to_owned(); 100]);
    job
}

/// Guards against a job that never ends because its specification alone is larger than the lower limit: its completions go
/// into the records of its chunks, which are removed once all are done.
#[test]
fn job_whose_specification_cannot_be_written_ends() {
    const FIRST_OPEN: u32 = TASKS_PER_CHUNK - 2;
    const TASKS: u32 = TASKS_PER_CHUNK + 3;
    let job = job_with_an_oversized_specification(TASKS, FIRST_OPEN);
    let tasks: Vec<u32> = (FIRST_OPEN..TASKS).collect();
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &tasks);
    let mut revision = 1_000_001;
    for (done, index) in (FIRST_OPEN + 1..).zip(tasks) {
        let planned = complete(&cell, index).expect("the end is recorded");
        assert!(planned.ended.is_empty());
        apply(&mut cell, planned, revision);
        revision += 1;
        let job = &cell.jobs[&OVERSIZED];
        assert_eq!(job.finished_count(), done);
        assert!((0..TASKS).all(|task| job.is_finished(task) == (task < done)));
    }
    let mut steps = 0;
    while cell.jobs.contains_key(&OVERSIZED) {
        let job = &cell.jobs[&OVERSIZED];
        assert!(job.finished_count() == TASKS && (0..TASKS).all(|task| job.is_finished(task)));
        let mut transaction = TransactionBuilder::new(&cell, lower_limits());
        assert!(transaction.end_done(OVERSIZED));
        let planned = transaction.build();
        let size = planned.txn.size();
        assert!(
            size.largest_value_bytes <= LOWER_VALUE_BYTES && size.changes <= 4,
            "{size:?}"
        );
        let chunks_left = !job.chunks.is_empty();
        assert_eq!(planned.ended.is_empty(), chunks_left);
        apply(&mut cell, planned, revision);
        revision += 1;
        steps += 1;
    }
    // The job's record, two chunks, the end.
    assert_eq!(steps, 4);
}

/// Guards against completions that a cancellation loses or counts twice because they are in the records of chunks.
#[test]
fn cancelled_record_counts_the_completions_of_all_chunks() {
    let job = job_with_an_oversized_specification(20_000, 5_000);
    let tasks = [7_000, TASKS_PER_CHUNK];
    let mut cell = replica_with_tasks(LATEST_FORMAT, job, &tasks);
    for (revision, index) in (1_000_001..).zip(tasks) {
        let planned = complete(&cell, index).expect("the end is recorded");
        apply(&mut cell, planned, revision);
    }
    let record = cell.jobs[&OVERSIZED].cancelled_record(LOWER_VALUE_BYTES, true);
    assert!(stored_bytes(&record) <= LOWER_VALUE_BYTES);
    insert_at(
        &mut cell,
        Key::Job(OVERSIZED),
        Content::Job(Box::new(record)),
        1_000_010,
    );
    let mut removed = 0;
    while !cell.jobs[&OVERSIZED].chunks.is_empty() {
        assert_eq!(cell.jobs[&OVERSIZED].finished_count(), 5_002);
        let mut transaction = TransactionBuilder::new(&cell, lower_limits());
        assert!(transaction.end_cancelled(OVERSIZED));
        removed += 1;
        let planned = transaction.build();
        apply(&mut cell, planned, 1_000_010 + removed);
    }
    assert_eq!(
        (removed, cell.jobs[&OVERSIZED].finished_count()),
        (2, 5_002)
    );
}

/// Guards against a chunk that the end of a cancelled job leaves in the store.
#[test]
fn end_of_a_cancelled_job_writes_no_chunk() {
    let mut job = job_with_long_names(6_000, 5_000);
    job.cancelled = true;
    let cell = replica_with_tasks(LATEST_FORMAT, job, &[]);
    let mut transaction = TransactionBuilder::new(&cell, lower_limits());
    assert!(transaction.end_cancelled(OVERSIZED));
    let planned = transaction.build();
    assert_eq!(planned.ended.len(), 1);
    let written = planned.txn.changes.iter().filter(|c| c.value.is_some());
    let written: Vec<&Key> = written.map(|change| &change.key).collect();
    assert_eq!(written, [&Key::Final(OVERSIZED)]);
}
