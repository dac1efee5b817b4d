//! Fake controllers in simulated time.

use cometlead_queues::reply::Outcome;
use cometlead_queues::state_machine::ControllerResponse;
use cometlead_queues::time::Micros;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct SimulatedJob {
    pub ends_at: Micros,
    pub cancelled_at: Option<Micros>,
}

#[derive(Default)]
pub struct FakeControllers {
    pub jobs: BTreeMap<String, SimulatedJob>,
}

impl FakeControllers {
    /// Submits a job that ends at `ends_at`, unless it exists already. Returns its status.
    pub fn submit(&mut self, now: Micros, body: &[u8], ends_at: Micros) -> ControllerResponse {
        let body: serde_json::Value = serde_json::from_slice(body).expect("a JSON body");
        let job = body["nameId"].as_str().expect("a job name");
        let new = SimulatedJob {
            ends_at,
            cancelled_at: None,
        };
        self.jobs.entry(job.to_owned()).or_insert(new);
        self.query(now, job)
    }

    pub fn query(&self, now: Micros, job: &str) -> ControllerResponse {
        match self.jobs.get(job) {
            None => ControllerResponse::UnknownJob,
            Some(job) if job.cancelled_at.is_some() => {
                ControllerResponse::Ended(Outcome::Cancelled)
            }
            Some(job) if job.ends_at <= now => ControllerResponse::Ended(Outcome::Done),
            Some(_) => ControllerResponse::Live,
        }
    }

    pub fn cancel(&mut self, now: Micros, job: &str) -> ControllerResponse {
        let Some(existing) = self.jobs.get_mut(job) else {
            return ControllerResponse::Ended(Outcome::Refused("no such job".to_owned()));
        };
        if existing.ends_at > now {
            existing.cancelled_at.get_or_insert(now);
        }
        self.query(now, job)
    }
}
