//! Suspect jobs: jobs that seem to fail on every machine. They are retried with exponential backoff.

use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Why a job is suspect, and the state of its backoff.
#[derive(Clone, Copy, Debug)]
struct SuspectJob {
    /// Failures of its tasks at the last update.
    failures: u32,
    updated_at: Micros,
    /// Retries that failed since the job became suspect.
    failed_retries: u32,
}

impl SuspectJob {
    /// Largest exponent of the backoff. The delay is bounded, since the suspicion may be wrong.
    const MAX_BACKOFF_EXPONENT: u32 = 4;

    /// How long the job waits for its next retry.
    fn backoff(&self) -> Micros {
        Micros::secs(2 << self.failed_retries.min(Self::MAX_BACKOFF_EXPONENT))
    }
}

/// All suspect jobs.
#[derive(Debug, Default)]
pub(super) struct SuspectJobs {
    by_job: BTreeMap<JobId, SuspectJob>,
}

impl SuspectJobs {
    /// Marks a job as suspect whose tasks have failed this often; returns whether that is new.
    pub fn add(&mut self, job: JobId, failures: u32, now: Micros) -> bool {
        let Some(suspect) = self.by_job.get_mut(&job) else {
            self.by_job.insert(
                job,
                SuspectJob {
                    failures,
                    updated_at: now,
                    failed_retries: 0,
                },
            );
            return true;
        };
        if suspect.failures < failures {
            // Tasks that were started together fail together; these failures count as one retry.
            let is_new_retry = now.since(suspect.updated_at) > suspect.backoff();
            *suspect = SuspectJob {
                failures,
                updated_at: now,
                failed_retries: suspect.failed_retries + u32::from(is_new_retry),
            };
        }
        false
    }

    /// Clears the mark of a suspect job; returns whether the job was suspect.
    pub fn remove(&mut self, job: JobId) -> bool {
        self.by_job.remove(&job).is_some()
    }

    pub fn contains(&self, job: JobId) -> bool {
        self.by_job.contains_key(&job)
    }

    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Whether a job waits for its next retry.
    pub fn is_backing_off(&self, job: JobId, now: Micros) -> bool {
        self.by_job
            .get(&job)
            .is_some_and(|suspect| now.since(suspect.updated_at) < suspect.backoff())
    }
}
