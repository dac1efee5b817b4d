//! The state of the model: the store's log, the processes, and what is under way between them.

use super::super::PlannedTransaction;
use super::super::tests::machine;
use super::{JOB, MACHINES, TEAM};
use crate::storage::cell_state::{CellChanges, CellState, Change, Content};
use crate::storage::ids::ShardId;
use crate::storage::job::JobRecord;
use crate::storage::records::{GroupRecord, Incarnation, Key, MetaRecord, ShardLeaderRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A controller process.
#[derive(Clone, Debug)]
pub(super) struct Process {
    pub incarnation: u64,
    /// How many of the store's transactions its replica has, in order.
    pub applied: usize,
    /// Its own transactions that its replica has besides, by their place in the log.
    pub applied_ahead: Vec<usize>,
    /// It waits for the answer to a transaction.
    pub waits: bool,
    /// A call timed out: nothing is planned before everything is read.
    pub must_read: bool,
}

impl Process {
    pub fn new(incarnation: u64, applied: usize, applied_ahead: Vec<usize>) -> Process {
        Process {
            incarnation,
            applied,
            applied_ahead,
            waits: false,
            must_read: false,
        }
    }
}

/// A transaction on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    /// Keys and values that it writes: two transactions that write the same are one to the digest.
    pub writes: Vec<(Key, Option<String>)>,
    pub commit: Rc<PlannedTransaction>,
    /// The process that waits for the answer, if it still does.
    pub waiting: Option<usize>,
    /// Tasks that it completes.
    pub completes: Vec<u32>,
}

#[derive(Clone, Debug)]
pub(super) struct State {
    /// Changes of each transaction that was applied.
    pub log: Vec<Rc<Vec<Change>>>,
    pub processes: Vec<Process>,
    pub sent: Vec<Sent>,
    /// Tasks that were released as done, whatever the records say.
    pub done: BTreeSet<u32>,
    pub crashes: u32,
    /// Answers that were lost.
    pub losses: u32,
    /// Tasks that were released to run again.
    pub failures: u32,
}

/// The change by which a process becomes the leader of a shard.
pub(super) fn lead(shard: ShardId, incarnation: u64) -> Change {
    put(
        Key::ShardLeader(shard),
        Content::ShardLeader(ShardLeaderRecord {
            node: format!("n{shard}"),
            run: Incarnation(incarnation),
        }),
    )
}

fn put(key: Key, content: Content) -> Change {
    Change {
        key,
        content: Some(content),
        mod_revision: 0,
    }
}

/// What the store holds at first: two shards with a leader and a machine each, and the job.
fn first_transaction(record_format: u32) -> Vec<Change> {
    let text =
        r#"{"s":{"l":"lane","w":"red","u":"2","n":2,"r":{"c":1000},"i":"img","g":9000000},"t":1}"#;
    let job: JobRecord = serde_json::from_str(text).expect("a job");
    let meta = MetaRecord {
        record_format,
        shards: 2,
        teams: BTreeMap::from([(TEAM.to_owned(), 0)]),
    };
    let mut changes = vec![put(Key::Meta, Content::Meta(meta)), lead(0, 0), lead(1, 1)];
    for (shard, id) in MACHINES.into_iter().enumerate() {
        let mut group = GroupRecord::default();
        group.machines.insert(id, machine());
        changes.push(put(Key::Group(shard, 0), Content::Group(group)));
    }
    changes.push(put(Key::Job(JOB), Content::Job(Box::new(job))));
    changes
}

impl State {
    pub fn new(record_format: u32) -> State {
        State {
            log: vec![Rc::new(first_transaction(record_format))],
            processes: vec![
                Process::new(0, 1, Vec::new()),
                Process::new(1, 1, Vec::new()),
            ],
            sent: Vec::new(),
            done: BTreeSet::new(),
            crashes: 0,
            losses: 0,
            failures: 0,
        }
    }

    /// The replica of a process.
    pub fn replica(&self, process: &Process) -> CellState {
        let mut cell = CellState::default();
        let apply = |cell: &mut CellState, transaction: usize| {
            let mod_revision = transaction as u64 + 1;
            let changes = self.log[transaction].iter().map(|change| Change {
                mod_revision,
                ..change.clone()
            });
            cell.apply(changes, &mut CellChanges::default());
        };
        for transaction in 0..process.applied {
            apply(&mut cell, transaction);
            cell.advance(transaction as u64 + 1);
        }
        for transaction in &process.applied_ahead {
            if *transaction >= process.applied {
                apply(&mut cell, *transaction);
            }
        }
        cell
    }

    /// What the store holds.
    pub fn store(&self) -> CellState {
        self.replica(&Process::new(0, self.log.len(), Vec::new()))
    }

    /// What tells states apart.
    pub fn digest(&self) -> String {
        let sent: Vec<_> = self
            .sent
            .iter()
            .map(|sent| (&sent.writes, sent.waiting, &sent.commit.txn.when))
            .collect();
        let counts = (self.crashes, self.losses, self.failures);
        format!("{:?}{:?}{sent:?}{counts:?}", self.log, self.processes)
    }
}
