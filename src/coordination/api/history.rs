//! The history of jobs that are not live: how jobs ended, and which jobs were never submitted.

use crate::storage::ids::JobId;
use crate::storage::job::FinalRecord;
use std::collections::{HashMap, VecDeque};

/// Maximum number of jobs in each part of the history.
const MAX_REMEMBERED_JOBS: usize = 4_096;

/// The history of jobs, bounded: the oldest entries are dropped first.
#[derive(Debug, Default)]
pub(super) struct JobHistory {
    ended: RecentMap<FinalRecord>,
    /// Jobs that were neither live nor ended when they were last checked.
    absent: RecentMap<()>,
}

impl JobHistory {
    /// Remembers how a job ended.
    pub(super) fn record_end(&mut self, job: JobId, end: FinalRecord) {
        self.ended.insert(job, end);
    }

    /// How a job ended, if that is remembered.
    pub(super) fn end_of(&self, job: JobId) -> Option<FinalRecord> {
        self.ended.entries.get(&job).copied()
    }

    /// Remembers that a job is neither live nor ended. This stays true until the replica shows the job as live, because a
    /// job ends only after it was live, and the replica misses no change.
    pub(super) fn record_absent(&mut self, job: JobId) {
        self.absent.insert(job, ());
    }

    /// Whether a job is known to be neither live nor ended.
    pub(super) fn is_absent(&self, job: JobId) -> bool {
        self.absent.entries.contains_key(&job)
    }

    /// A job has become live.
    pub(super) fn on_live(&mut self, job: JobId) {
        self.absent.entries.remove(&job);
    }

    /// Forgets which jobs are absent.
    pub(super) fn clear_absent(&mut self) {
        self.absent = RecentMap::default();
    }
}

/// A map of at most [`MAX_REMEMBERED_JOBS`] insertions.
#[derive(Debug)]
struct RecentMap<V> {
    entries: HashMap<JobId, V>,
    /// Keys in the order of their insertion.
    order: VecDeque<JobId>,
}

impl<V> Default for RecentMap<V> {
    fn default() -> Self {
        RecentMap {
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<V> RecentMap<V> {
    fn insert(&mut self, job: JobId, value: V) {
        if self.entries.insert(job, value).is_some() {
            return;
        }
        self.order.push_back(job);
        if self.order.len() > MAX_REMEMBERED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }
}
