//! The state of the model: the store's log, the processes, and the messages in flight between them.

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
    /// Number of transactions of the store's log that its replica contains, from the start of the log.
    pub applied: usize,
    /// Later transactions of its own that its replica contains as well, by their index in the log.
    pub applied_ahead: Vec<usize>,
    /// Whether it waits for the response to a transaction.
    pub awaits_response: bool,
    /// Whether it may plan nothing before it has read the whole log, since a call timed out or a
    /// transaction failed by a conflict.
    pub must_read_all: bool,
}

impl Process {
    pub fn new(incarnation: u64, applied: usize, applied_ahead: Vec<usize>) -> Process {
        Process {
            incarnation,
            applied,
            applied_ahead,
            awaits_response: false,
            must_read_all: false,
        }
    }
}

/// A transaction on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct SentTransaction {
    /// Keys and values that it writes. The digest contains these instead of the transaction, so that
    /// transactions that write the same are considered equal.
    pub writes: Vec<(Key, Option<String>)>,
    pub commit: Rc<PlannedTransaction>,
    /// The process that waits for the response; none if it no longer waits.
    pub awaited_by: Option<usize>,
    /// Tasks that the transaction completes.
    pub completed_tasks: Vec<u32>,
}

#[derive(Clone, Debug)]
pub(super) struct State {
    /// Changes of each transaction that was applied.
    pub log: Vec<Rc<Vec<Change>>>,
    pub processes: Vec<Process>,
    pub sent: Vec<SentTransaction>,
    /// Tasks that were released as done, independent of the records.
    pub done: BTreeSet<u32>,
    pub crashes: u32,
    /// Number of responses that were lost.
    pub lost_responses: u32,
    /// Number of tasks that were released to run again.
    pub failures: u32,
}

/// The change by which a process becomes the leader of a shard.
pub(super) fn leader_change(shard: ShardId, incarnation: u64) -> Change {
    put(
        Key::ShardLeader(shard),
        Content::ShardLeader(ShardLeaderRecord {
            node: format!("n{shard}"),
            incarnation: Incarnation(incarnation),
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

/// The initial contents of the store: two shards with a leader and a machine each, and the job.
fn initial_transaction(record_format: u32) -> Vec<Change> {
    let text =
        r#"{"s":{"l":"lane","w":"red","u":"2","n":2,"r":{"c":1000},"i":"img","g":9000000},"t":1}"#;
    let job: JobRecord = serde_json::from_str(text).expect("a job");
    let meta = MetaRecord {
        record_format,
        shards: 2,
        teams: BTreeMap::from([(TEAM.to_owned(), 0)]),
    };
    let mut changes = vec![
        put(Key::Meta, Content::Meta(meta)),
        leader_change(0, 0),
        leader_change(1, 1),
    ];
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
            log: vec![Rc::new(initial_transaction(record_format))],
            processes: vec![
                Process::new(0, 1, Vec::new()),
                Process::new(1, 1, Vec::new()),
            ],
            sent: Vec::new(),
            done: BTreeSet::new(),
            crashes: 0,
            lost_responses: 0,
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

    /// The contents of the store.
    pub fn store(&self) -> CellState {
        self.replica(&Process::new(0, self.log.len(), Vec::new()))
    }

    /// A string that identifies the state.
    pub fn digest(&self) -> String {
        let sent: Vec<_> = self
            .sent
            .iter()
            .map(|sent| (&sent.writes, sent.awaited_by, &sent.commit.txn.conditions))
            .collect();
        let counts = (self.crashes, self.lost_responses, self.failures);
        format!("{:?}{:?}{sent:?}{counts:?}", self.log, self.processes)
    }
}
