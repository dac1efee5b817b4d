//! The transaction as it is sent to the state store, and its changes to the replica.

use super::edits::{GroupEdit, JobEdit};
use super::{GroupId, PlannedTransaction, TransactionBuilder};
use crate::protocol::state::{KeyChange, Transaction, encode};
use crate::storage::cell_state::{CellState, Change, Content};
use crate::storage::completion_bitmap::CompletionBitmap;
use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use crate::storage::records::Key;
use std::collections::{BTreeMap, BTreeSet};

/// Collects the writes of a transaction; the key of each is a condition as well.
struct Output<'a> {
    cell: &'a CellState,
    conditions: BTreeSet<Key>,
    writes: Vec<KeyChange>,
    changes: Vec<Change>,
    ended: Vec<(JobId, FinalRecord)>,
}

impl Output<'_> {
    /// Writes a record, or removes it.
    fn put(&mut self, key: Key, content: Option<Content>) {
        let value = match &content {
            Some(Content::Group(group)) => encode(group),
            Some(Content::Usage(usage)) => encode(usage),
            Some(Content::Job(job)) => encode(&**job),
            Some(Content::Chunk(chunk)) => encode(chunk),
            Some(Content::ShardLeader(leader)) => encode(leader),
            _ => None,
        };
        self.conditions.insert(key.clone());
        self.writes.push(KeyChange {
            key: key.clone(),
            value,
            lease_id: None,
        });
        self.changes.push(Change {
            key,
            content,
            mod_revision: 0,
        });
    }

    /// Writes a group, or removes it if it has no machines. The first group of a shard is never
    /// removed, see [`TransactionBuilder::add`].
    fn put_group(&mut self, (shard, index): GroupId, edit: GroupEdit) {
        let stays = index == 0 || !edit.record.machines.is_empty();
        self.put(
            Key::Group(shard, index),
            stays.then_some(Content::Group(edit.record)),
        );
    }

    fn put_job(&mut self, id: JobId, mut edit: JobEdit, compact_encoding: bool, max_bytes: usize) {
        edit.record.finished.set_compact_encoding(compact_encoding);
        if let Some(job) = self.cell.jobs.get(&id) {
            edit.fit(job, max_bytes);
        }
        if !edit.writes_record && edit.ended.is_none() {
            return self.put_chunks(id, edit.chunks, compact_encoding);
        }
        for (index, mut chunk) in edit.chunks {
            chunk.set_compact_encoding(compact_encoding);
            let key = Key::Chunk(id, index);
            // The end of the job removes what is left of its chunks.
            let is_needed = !edit.record.is_chunk_complete(index) && edit.ended.is_none();
            let exists = self.cell.mod_revision(&key) > 0;
            if is_needed {
                self.put(key, Some(Content::Chunk(chunk)));
            } else if exists {
                self.put(key, None);
            }
        }
        match edit.ended {
            None => self.put(Key::Job(id), Some(Content::Job(Box::new(edit.record)))),
            Some(end) => {
                self.put(Key::Job(id), None);
                self.ended.push((id, end));
            }
        }
    }

    /// Writes chunks of a job whose own record stays as it is, on condition that it has not changed.
    fn put_chunks(
        &mut self,
        id: JobId,
        chunks: BTreeMap<u32, CompletionBitmap>,
        compact_encoding: bool,
    ) {
        self.conditions.insert(Key::Job(id));
        for (index, mut chunk) in chunks {
            chunk.set_compact_encoding(compact_encoding);
            self.put(Key::Chunk(id, index), Some(Content::Chunk(chunk)));
        }
    }

    /// Writes the final records of jobs that end. The replica does not contain final records.
    fn put_final_records(&mut self) {
        for (id, end) in &self.ended {
            let key = Key::Final(*id);
            self.conditions.insert(key.clone());
            self.writes.push(KeyChange {
                key,
                value: encode(end),
                lease_id: None,
            });
        }
    }

    fn finish(mut self) -> PlannedTransaction {
        self.put_final_records();
        let conditions = self
            .conditions
            .into_iter()
            .map(|key| {
                let mod_revision = self.cell.mod_revision(&key);
                (key, mod_revision)
            })
            .collect();
        PlannedTransaction {
            txn: Transaction {
                conditions,
                changes: self.writes,
            },
            changes: self.changes,
            ended: self.ended,
        }
    }
}

impl TransactionBuilder<'_> {
    /// The finished transaction. It is conditional on the revision of every record that it writes.
    pub fn build(self) -> PlannedTransaction {
        let mut output = Output {
            cell: self.cell,
            conditions: self.conditions,
            writes: Vec::new(),
            changes: Vec::new(),
            ended: Vec::new(),
        };
        for (group, edit) in self.groups {
            output.put_group(group, edit);
        }
        for (shard, mut edit) in self.usage {
            for ends in edit.record.finished_tasks.values_mut() {
                ends.set_compact_encoding(self.compact_encoding);
            }
            output.put(Key::Usage(shard), Some(Content::Usage(edit.record)));
        }
        if let Some(update) = self.term_update {
            output.put(
                Key::ShardLeader(update.shard),
                Some(Content::ShardLeader(update.record)),
            );
        }
        for (id, index) in self.removed_chunks {
            output.put(Key::Chunk(id, index), None);
        }
        for (id, edit) in self.jobs {
            let max_bytes = self.limits.stored_value_bytes;
            output.put_job(id, edit, self.compact_encoding, max_bytes);
        }
        output.finish()
    }
}
