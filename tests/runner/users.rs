//! Users: their submissions, queries and cancellations, and how they retry them.

use super::invariants::JobRequest;
use super::messages::Message;
use super::worker::JobInfo;
use super::{SimEvent, User, World};
use cometlead_emulator::fakes::submission::Submission;
use std::collections::BTreeMap;

impl World {
    pub(super) fn submit(
        &mut self,
        job: u64,
        fields: &BTreeMap<String, String>,
        node: Option<usize>,
    ) {
        let text = |k: &str, default: &str| fields.get(k).cloned().unwrap_or(default.to_owned());
        let real = |k: &str, default: f64| {
            fields
                .get(k)
                .map_or(default, |v| v.parse().expect("a number"))
        };
        let flag = |k: &str, default: bool| fields.get(k).map_or(default, |v| v == "yes");
        let run = real("run", 10.0);
        let task_count = real("pieces", 1.0) as u32;
        let machine_types: Option<Vec<String>> = fields
            .get("builds")
            .map(|b| b.split(',').map(str::to_owned).collect());
        let number = |name: &str| -> u64 {
            name.strip_prefix("req-")
                .and_then(|n| n.parse().ok())
                .expect("a job")
        };
        // Jobs, or ranges of them: `req-000001,req-000005..req-000009`.
        let range = |part: &str| {
            let (first, last) = part.split_once("..").unwrap_or((part, part));
            number(first)..=number(last)
        };
        let dependencies: Option<Vec<String>> = fields.get("awaits").map(|jobs| {
            jobs.split(',')
                .flat_map(range)
                .map(|job| format!("req-{job:06}"))
                .collect()
        });
        let request = JobRequest {
            dependencies: dependencies
                .iter()
                .flatten()
                .map(|name| number(name))
                .collect(),
            team: text("team", "free"),
            job_class: text("lane", "lane"),
            cores: real("cores", 1.0),
            task_count,
            machine_types: machine_types.clone(),
            zone: fields.get("yard").cloned(),
            spot_allowed: flag("spot", true),
            single_zone: flag("one_zone", false),
            anti_affinity: flag("apart", false),
            image: text("image", "img"),
            priority: text("urgency", "standard"),
            own_rules: fields
                .get("rules")
                .map(|name| self.script.job_rules[name].clone()),
        };
        let shape = text("shape", "sweep");
        let submission = Submission {
            job,
            job_class: request.job_class.clone(),
            team: request.team.clone(),
            shape: shape.clone(),
            urgency: request.priority.clone(),
            task_count,
            cores: request.cores,
            memory_gb: real("mem", 1.0),
            machine_types,
            zone: request.zone.clone(),
            one_zone: request.single_zone,
            anti_affinity: request.anti_affinity,
            spot: request.spot_allowed,
            image: request.image.clone(),
            image_size_gb: real("size", 0.5),
            estimated_run_s: real("guess", run),
            checkpoint_interval_s: real("bookmark", 0.0),
            checkpoint_duration_s: real("stash", 0.0),
            deadline_s: fields
                .get("due")
                .map(|d| d.parse::<f64>().expect("a number")),
            dependencies,
        };
        let mut body = submission.body();
        if let Some(rules) = &request.own_rules {
            body["rules"] = rules.clone();
        }
        let info = JobInfo {
            cores: request.cores,
            memory_gb: real("mem", 1.0),
            run_us: (run * 1e6) as u64,
            image: text("image", "img"),
            image_fetch_s: real("size", 0.5),
            task_count,
            runs_until_cancelled: shape == "standing",
            gang: shape != "sweep",
            fails: flag("fails", false),
            saves_checkpoint: real("bookmark", 0.0) > 0.0,
            checkpoint_duration_s: real("stash", 0.0),
        };
        self.jobs.entry(job).or_insert(info);
        self.checker.submitted_at.entry(job).or_insert(self.now);
        self.checker.job_requests.entry(job).or_insert(request);
        let body = body.to_string().into_bytes();
        self.submission_bodies
            .entry(job)
            .or_insert_with(|| body.clone());
        self.send_with_retries(job, "submit", body, node);
    }

    pub(super) fn send_with_retries(
        &mut self,
        job: u64,
        kind: &'static str,
        body: Vec<u8>,
        node: Option<usize>,
    ) {
        self.users.push(User {
            job,
            kind,
            body,
            node,
            attempt: 0,
            sent_at: 0,
            awaiting_response: false,
            retries: true,
            first_sent_at: self.now,
            answered_at: None,
        });
        let user = self.users.len() - 1;
        self.send_user_request(user);
    }

    /// Whether every submission of a job was answered within this time, by another response than one that asks for a retry.
    pub(super) fn submissions_answered_within(&self, job: u64, within: u64) -> bool {
        let submissions = || {
            let of_job = self.users.iter().filter(move |user| user.job == job);
            of_job.filter(|user| user.kind == "submit")
        };
        let is_in_time = |user: &User| {
            user.answered_at
                .is_some_and(|at| at - user.first_sent_at <= within)
        };
        submissions().next().is_some() && submissions().all(is_in_time)
    }

    /// Sends one status query of a series.
    pub(super) fn poll(&mut self, job: u64) {
        self.send_once(job, "query", Vec::new(), None);
    }

    /// Sends a request that is not retried, whatever its outcome.
    pub(super) fn send_once(
        &mut self,
        job: u64,
        kind: &'static str,
        body: Vec<u8>,
        node: Option<usize>,
    ) {
        self.users.push(User {
            job,
            kind,
            body,
            node,
            attempt: 0,
            sent_at: 0,
            awaiting_response: false,
            retries: false,
            first_sent_at: self.now,
            answered_at: None,
        });
        self.send_user_request(self.users.len() - 1);
    }

    /// A user's request has timed out.
    pub(super) fn handle_user_timeout(&mut self, user: usize, attempt: u32) {
        let u = &mut self.users[user];
        if !u.awaiting_response || u.attempt != attempt {
            return;
        }
        u.awaiting_response = false;
        let (job, kind, retries) = (u.job, u.kind, u.retries);
        if kind == "query" {
            self.checker.record_poll(self.now, job, false);
        }
        if retries {
            self.schedule(self.now + 1_000_000, SimEvent::UserRetry(user));
        }
    }

    pub(super) fn send_user_request(&mut self, user: usize) {
        let running_nodes: Vec<usize> = (0..self.script.nodes)
            .filter(|n| self.nodes[*n].is_some())
            .collect();
        let pick = (self.random_fraction() * running_nodes.len() as f64) as usize;
        let u = &mut self.users[user];
        u.attempt += 1;
        u.sent_at = self.now;
        u.awaiting_response = true;
        let attempt = u.attempt;
        let limit = if u.kind == "query" {
            2_000_000
        } else {
            5_000_000
        };
        let node = u.node.or_else(|| running_nodes.get(pick).copied());
        self.schedule(self.now + limit, SimEvent::UserTimeout(user, attempt));
        if let Some(node) = node {
            let m = Message::UserRequest { node, user };
            self.schedule(self.now + 1_000, SimEvent::Deliver(Box::new(m)));
        }
    }

    pub(super) fn handle_user_reply(&mut self, user: usize, status: u16, state: Option<&str>) {
        let (job, kind, retries) = (
            self.users[user].job,
            self.users[user].kind,
            self.users[user].retries,
        );
        self.users[user].awaiting_response = false;
        if status != 503 {
            self.users[user].answered_at.get_or_insert(self.now);
        }
        if kind == "query" {
            self.checker
                .record_poll(self.now, job, matches!(status, 200 | 404));
        }
        self.checker
            .record_reply(self.now, self.users[user].sent_at, kind, job, status, state);
        self.burst_after_state_change(job);
        let is_final = matches!(state, Some("done" | "cancelled"));
        match kind {
            "query" if !is_final && retries => {
                self.schedule(self.now + 3_000_000, SimEvent::UserRetry(user));
            }
            "submit" if retries && matches!(status, 200 | 201) => {
                self.send_with_retries(job, "query", Vec::new(), None);
            }
            "submit" | "abort" if retries && status == 503 => {
                self.schedule(self.now + 1_000_000, SimEvent::UserRetry(user));
            }
            _ => {}
        }
    }
}
