//! Jobs that are suspected to fail on every machine: they are retried with exponential back-off.

use crate::storage::ids::JobId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Why a job is suspect, and how its back-off stands.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Failures of its tasks at the last update.
    failures: u32,
    updated_at: Micros,
    /// Retries that failed since the suspicion was formed.
    failed_retries: u32,
}

impl Suspicion {
    /// Largest exponent of the back-off: a suspicion may be wrong, so the wait is bounded.
    const MAX_EXPONENT: u32 = 4;

    /// How long the job waits for its next retry.
    fn back_off(&self) -> Micros {
        Micros::secs(2 << self.failed_retries.min(Self::MAX_EXPONENT))
    }
}

/// All suspected jobs.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    by_job: BTreeMap<JobId, Suspicion>,
}

impl Suspicions {
    /// Suspects a job whose tasks have failed this often; whether that is new.
    pub fn add(&mut self, job: JobId, failures: u32, now: Micros) -> bool {
        let Some(suspicion) = self.by_job.get_mut(&job) else {
            self.by_job.insert(
                job,
                Suspicion {
                    failures,
                    updated_at: now,
                    failed_retries: 0,
                },
            );
            return true;
        };
        if suspicion.failures < failures {
            // Tasks that were started together fail together: that is one retry.
            let is_new_retry = now.since(suspicion.updated_at) > suspicion.back_off();
            *suspicion = Suspicion {
                failures,
                updated_at: now,
                failed_retries: suspicion.failed_retries + u32::from(is_new_retry),
            };
        }
        false
    }

    /// Clears a suspicion; whether there was one.
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
            .is_some_and(|suspicion| now.since(suspicion.updated_at) < suspicion.back_off())
    }
}
