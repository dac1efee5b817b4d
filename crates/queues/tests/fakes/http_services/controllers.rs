//! Fake controllers with jobs that run in real time.

use super::FakeResponse;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Job {
    ends_at: Instant,
    is_cancelled: bool,
}

impl Job {
    fn final_status(&self) -> Option<&'static str> {
        if self.is_cancelled {
            Some("cancelled")
        } else if self.ends_at <= Instant::now() {
            Some("done")
        } else {
            None
        }
    }
}

pub(super) struct FakeControllers {
    mean_run_time: Duration,
    jobs: BTreeMap<String, Job>,
    /// Names of the jobs in the order of their first submissions.
    submitted_jobs: Vec<String>,
}

impl FakeControllers {
    pub fn new(mean_run_time: Duration) -> FakeControllers {
        FakeControllers {
            mean_run_time,
            jobs: BTreeMap::new(),
            submitted_jobs: Vec::new(),
        }
    }

    pub fn submitted_jobs(&self) -> &[String] {
        &self.submitted_jobs
    }

    pub fn final_status(&self, job: &str) -> Option<&'static str> {
        self.jobs.get(job).and_then(Job::final_status)
    }

    pub fn submit(&mut self, body: &[u8], rng: &mut StdRng) -> FakeResponse {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return FakeResponse::new(400, json!({ "error": "bad" }));
        };
        if body["crew"] == "nobody" {
            return FakeResponse::new(422, json!({ "reason": "crew: unknown" }));
        }
        let name = body["nameId"].as_str().expect("a job name").to_owned();
        if self.jobs.contains_key(&name) {
            return self.status_response(&name, 200);
        }
        let run_time = self.mean_run_time.mul_f64(0.5 + rng.random::<f64>());
        let job = Job {
            ends_at: Instant::now() + run_time,
            is_cancelled: false,
        };
        self.submitted_jobs.push(name.clone());
        self.jobs.insert(name.clone(), job);
        self.status_response(&name, 201)
    }

    pub fn cancel(&mut self, job: &str) -> FakeResponse {
        if let Some(existing) = self.jobs.get_mut(job)
            && existing.final_status().is_none()
        {
            existing.is_cancelled = true;
        }
        self.query(job)
    }

    pub fn query(&self, job: &str) -> FakeResponse {
        self.status_response(job, 200)
    }

    fn status_response(&self, name: &str, status_code: u16) -> FakeResponse {
        let Some(job) = self.jobs.get(name) else {
            return FakeResponse::not_found();
        };
        let status = job.final_status().unwrap_or("running");
        FakeResponse::new(status_code, json!({ "nameId": name, "status": status }))
    }
}
