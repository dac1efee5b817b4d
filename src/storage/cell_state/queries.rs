//! Queries of the replica.

use super::catalog::FIRST_CATALOG_PART;
use super::groups::shard_of;
use super::{CellState, Job, Place};
use crate::storage::ids::{GroupIndex, JobId, MachineId, ShardId, TaskId};
use crate::storage::job::JobSpec;
use crate::storage::records::{INITIAL_FORMAT, Key, MachineHealth, MachineRecord, RecordFormat};
use crate::storage::resources::Amount;
use std::collections::{BTreeMap, BTreeSet};

/// Multiplier of the hash that distributes jobs over shards: 2^64 divided by the golden ratio.
const JOB_HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Number of low bits of the hash that are dropped: they distribute consecutive job numbers badly.
const JOB_HASH_SHIFT: u32 = 33;

/// Shards and record formats.
impl CellState {
    /// Number of shards; 0 until it is known.
    pub fn shards(&self) -> usize {
        self.meta.value.as_ref().map_or(0, |meta| meta.shards)
    }

    /// Shard of a machine.
    pub fn shard_of_machine(&self, machine: MachineId) -> ShardId {
        shard_of(machine, self.shards())
    }

    /// Shard of a job: the shard of its team, or a shard chosen by the job's number if the team has no shard of its
    /// own.
    pub fn shard_of_job(&self, id: JobId, spec: &JobSpec) -> ShardId {
        let Some(meta) = &self.meta.value else {
            return 0;
        };
        match meta.teams.get(&spec.team) {
            Some(&shard) if shard < meta.shards => shard,
            // Job numbers follow no known pattern; a multiplicative hash distributes consecutive ones well too.
            _ => {
                let hash = id.0.wrapping_mul(JOB_HASH_MULTIPLIER) >> JOB_HASH_SHIFT;
                (hash % meta.shards.max(1) as u64) as ShardId
            }
        }
    }

    /// Number of the format of the stored records; see [`RecordFormat`].
    pub fn record_format(&self) -> u32 {
        self.meta
            .value
            .as_ref()
            .map_or(INITIAL_FORMAT, |meta| meta.record_format)
    }

    fn known_format(&self) -> RecordFormat {
        RecordFormat::newest_up_to(self.record_format())
    }

    /// Whether every controller can read the compact encodings.
    pub fn uses_compact_encoding(&self) -> bool {
        self.known_format().has_compact_encoding()
    }

    /// Whether the machine groups alone say what is assigned; see [`RecordFormat::Fenced`].
    pub fn is_fenced(&self) -> bool {
        self.known_format().is_fenced()
    }

    /// Whether the first chunk of a job's completion bitmap may have a record of its own; see
    /// [`RecordFormat::DetachedChunk`].
    pub fn allows_detached_chunk(&self) -> bool {
        self.known_format().has_detached_chunk()
    }

    /// Whether the stored records are in a format that a controller which can read formats up to `max_readable_format`
    /// cannot read. Such a controller must not write them.
    pub fn is_format_unsupported(&self, max_readable_format: u32) -> bool {
        !(INITIAL_FORMAT..=max_readable_format).contains(&self.record_format())
    }

    /// The revision of a key in the replica; 0 if the key does not exist.
    pub fn mod_revision(&self, key: &Key) -> u64 {
        match key {
            Key::Meta => Some(self.meta.mod_revision),
            Key::Types => self.catalog_part_revision(FIRST_CATALOG_PART),
            Key::TypesPart(part) => self.catalog_part_revision(*part),
            Key::Fleet => Some(self.fleet.mod_revision),
            Key::Node(name) => self.nodes.get(name).map(|node| node.mod_revision),
            Key::ShardLeader(shard) => self.leaders.get(*shard).map(|leader| leader.mod_revision),
            Key::Group(shard, group) => self
                .groups
                .get(*shard)
                .and_then(|groups| groups.get(group))
                .map(|record| record.mod_revision),
            Key::Usage(shard) => self.usage.get(*shard).map(|usage| usage.mod_revision),
            Key::Job(id) => self.jobs.get(id).map(|job| job.mod_revision),
            Key::Chunk(id, chunk) => self
                .jobs
                .get(id)
                .and_then(|job| job.chunks.get(chunk))
                .map(|bitmap| bitmap.mod_revision),
            Key::Rules(digest) => self.rules.get(digest).map(|rules| rules.mod_revision),
            Key::Final(_) => None,
        }
        .unwrap_or(0)
    }
}

/// Machines.
impl CellState {
    /// The group that holds a machine.
    pub fn group_of_machine(&self, machine: MachineId) -> Option<(ShardId, GroupIndex)> {
        let group = self.locations.group_of(machine)?;
        Some((self.shard_of_machine(machine), group))
    }

    /// The machine's record.
    pub fn machine(&self, machine: MachineId) -> Option<&MachineRecord> {
        let (shard, group) = self.group_of_machine(machine)?;
        self.groups
            .get(shard)?
            .get(&group)?
            .value
            .machines
            .get(&machine)
    }

    /// Whether a lower group of the machine's shard still lists the machine after it was moved. The machine must stay
    /// in its group then, since otherwise it would be found in the lower group again.
    pub fn is_superseded(&self, machine: MachineId) -> bool {
        self.locations.is_superseded(machine)
    }

    /// Gives each machine that rules label individually a class of its own.
    pub fn set_labelled_machines(&mut self, labelled: BTreeSet<MachineId>) {
        let machines = self
            .groups
            .iter()
            .flat_map(|groups| groups.values())
            .flat_map(|group| &group.value.machines)
            .map(|(machine, record)| (*machine, record));
        self.classes.set_labelled_machines(labelled, machines);
    }

    /// All machines of all shards.
    pub fn machines(&self) -> impl Iterator<Item = (ShardId, MachineId, &MachineRecord)> {
        (0..self.groups.len()).flat_map(|shard| {
            self.machines_of_shard(shard)
                .map(move |(machine, record)| (shard, machine, record))
        })
    }

    /// All schedulable machines of all shards.
    pub fn schedulable_machines(&self) -> impl Iterator<Item = (MachineId, &MachineRecord)> {
        self.machines()
            .filter(|(_, _, record)| record.health == MachineHealth::Schedulable)
            .map(|(_, machine, record)| (machine, record))
    }

    /// The machines of a shard.
    pub fn machines_of_shard(
        &self,
        shard: ShardId,
    ) -> impl Iterator<Item = (MachineId, &MachineRecord)> {
        self.groups
            .get(shard)
            .into_iter()
            .flat_map(|groups| groups.values())
            .flat_map(|group| &group.value.machines)
            .map(|(machine, record)| (*machine, record))
    }

    /// Free resources of a machine. Preempted tasks are not counted, since their resources are already assigned to
    /// other tasks.
    pub fn free_resources(&self, record: &MachineRecord) -> Amount {
        let mut free = self
            .machine_type(&record.machine_type)
            .map(|machine_type| machine_type.capacity)
            .unwrap_or_default();
        let assignments = record.tasks.iter();
        for assignment in assignments.filter(|task| !record.preempted.contains(task)) {
            free -= self.need(assignment.job);
        }
        free
    }
}

/// Jobs and tasks.
impl CellState {
    /// Resources that a task of this job needs; zero for a job that is not live.
    pub fn need(&self, job: JobId) -> Amount {
        self.jobs
            .get(&job)
            .map(|job| job.record.spec.need)
            .unwrap_or_default()
    }

    /// The places of a job's assigned tasks, by task number; `None` if it has none.
    pub fn assigned(&self, job: JobId) -> Option<&BTreeMap<u32, Place>> {
        self.assignments.of_job(job)
    }

    /// How many tasks of a job are assigned.
    pub fn assigned_count(&self, job: JobId) -> u32 {
        self.assigned(job).map_or(0, |tasks| tasks.len() as u32)
    }

    /// Where a task is assigned.
    pub fn place(&self, task: TaskId) -> Option<Place> {
        self.assigned(task.job)?.get(&task.index).copied()
    }

    /// Numbers of a job's tasks that are neither finished nor assigned, in order.
    pub fn pending<'a>(&'a self, id: JobId, job: &'a Job) -> impl Iterator<Item = u32> + 'a {
        let assigned = self.assigned(id);
        let is_assigned =
            move |index: &u32| assigned.is_some_and(|tasks| tasks.contains_key(index));
        (0..job.record.spec.task_count)
            .filter(move |index| !job.is_finished(*index) && !is_assigned(index))
    }

    /// How many tasks of a job are neither finished nor assigned.
    pub fn pending_count(&self, id: JobId, job: &Job) -> u32 {
        job.record
            .spec
            .task_count
            .saturating_sub(job.finished_count() + self.assigned_count(id))
    }
}
