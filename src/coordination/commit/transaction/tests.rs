//! Drafts: machines, groups, ends of large jobs.

use super::{PlannedTransaction, TransactionBuilder, TransactionLimits};
use crate::coordination::agents::Outcome;
use crate::storage::cell_state::CellChanges;
use crate::storage::cell_state::{CellState, Change, Content};
use crate::storage::completion_bitmap::CHUNK;
use crate::storage::ids::{Attempt, JobId, MachineId};
use crate::storage::job::JobRecord;
use crate::storage::records::{Assignment, GroupRecord, Key, MachineHealth, MachineRecord};
use crate::storage::records::{FIRST_LAYOUT, MetaRecord, TERSE};
use std::collections::BTreeMap;

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

fn drafted(cell: &CellState, work: impl FnOnce(&mut TransactionBuilder<'_>)) -> PlannedTransaction {
    // Groups have room for two machines.
    let limits = TransactionLimits {
        changes: 12,
        conditions: 48,
        value_bytes: 4_096,
        stored_value_bytes: 4_096,
        oversized_may_grow: false,
        group_bytes: 500,
    };
    let mut draft = TransactionBuilder::new(cell, limits);
    work(&mut draft);
    draft.commit()
}

fn add(d: &mut TransactionBuilder<'_>, m: u64) {
    assert!(d.add(0, MachineId(m), machine(), &|_| 200));
}

/// Whether the store would apply the transaction, as the view knows the store.
pub(super) fn holds(cell: &CellState, commit: &PlannedTransaction) -> bool {
    commit
        .txn
        .when
        .iter()
        .all(|(k, s)| cell.mod_revision(k) == *s)
}

pub(super) fn apply(cell: &mut CellState, commit: PlannedTransaction, mod_revision: u64) {
    assert!(holds(cell, &commit));
    cell.apply(
        commit
            .changes
            .into_iter()
            .map(|c| Change { mod_revision, ..c }),
        &mut CellChanges::default(),
    );
    cell.advance(mod_revision);
}

fn new_view() -> CellState {
    view_of(FIRST_LAYOUT)
}

/// A copy with nothing in it.
pub(super) fn view_of(layout: u32) -> CellState {
    let mut cell = CellState::default();
    let meta = MetaRecord {
        layout,
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

/// An addition without an answer must not be carried out beside a later one of the same machine
/// to another group, which has room since a machine has gone: the machine would be in two.
#[test]
fn a_machine_is_added_once() {
    let mut cell = new_view();
    let commit = drafted(&cell, |d| (1..=4).for_each(|m| add(d, m)));
    apply(&mut cell, commit, 2);
    assert_eq!(cell.home(MachineId(4)), Some((0, 1)));
    let unanswered = drafted(&cell, |d| add(d, 5));
    let commit = drafted(&cell, |d| assert!(d.remove(MachineId(3))));
    apply(&mut cell, commit, 3);
    let commit = drafted(&cell, |d| add(d, 5));
    apply(&mut cell, commit, 4);
    assert_eq!(cell.home(MachineId(5)), Some((0, 1)));
    assert!(!holds(&cell, &unanswered), "it is in two groups now");
}

/// Groups open when the others are full and close when they are empty, but for the first.
#[test]
fn groups_open_and_close() {
    let mut cell = new_view();
    let commit = drafted(&cell, |d| (1..=5).for_each(|m| add(d, m)));
    apply(&mut cell, commit, 2);
    assert_eq!(cell.groups[0].len(), 3);
    let commit = drafted(&cell, |d| {
        (1..=5).for_each(|m| assert!(d.remove(MachineId(m))))
    });
    apply(&mut cell, commit, 3);
    assert_eq!(cell.groups[0].keys().copied().collect::<Vec<_>>(), [0]);
}

/// With few changes in a transaction the last task of a job with several chunks and the end of the
/// job go out one after the other, and nobody who reads in between takes it for less than done.
#[test]
fn the_end_of_a_large_job_takes_two_steps() {
    let mut cell = view_of(TERSE);
    let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":8193,"r":{"c":1000},"i":"img","g":9000000},"t":1}"#;
    let mut record: JobRecord = serde_json::from_str(text).unwrap();
    (0..CHUNK).for_each(|i| {
        record.finished.insert(i);
    });
    let id = JobId(7);
    let last = Attempt {
        task: crate::storage::ids::TaskId {
            job: id,
            index: CHUNK,
        },
        number: 2,
    };
    let mut g = GroupRecord::default();
    let mut r = machine();
    r.tasks.push(Assignment::of(last));
    g.machines.insert(MachineId(1), r);
    let contents = [
        (Key::Job(id), Content::Job(Box::new(record))),
        (Key::Group(0, 0), Content::Group(g)),
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
    let mut draft = TransactionBuilder::new(&cell, limits);
    assert!(
        draft.release(MachineId(1), last, Outcome::Done, 0),
        "never cleared"
    );
    let commit = draft.commit();
    assert!(commit.txn.then.len() <= 4 && commit.ended.is_empty());
    assert!(
        commit.txn.largest() <= 2_048,
        "{} bytes",
        commit.txn.largest()
    );
    apply(&mut cell, commit, 3);
    assert_eq!(cell.jobs[&id].done(), CHUNK + 1);
    let mut draft = TransactionBuilder::new(&cell, limits);
    assert!(draft.end_done(id));
    let commit = draft.commit();
    assert_eq!(commit.ended.len(), 1);
    assert_eq!(commit.ended[0].1.done, CHUNK + 1);
    apply(&mut cell, commit, 4);
    assert!(cell.jobs.is_empty());
}
