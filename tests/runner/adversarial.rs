//! Adversarial users and messages: bursts of queries, cancellations at the worst moment, unusual requests, lost responses,
//! and copies of heartbeats that arrive after a failover.

use super::messages::Message;
use super::{SimEvent, World};
use cometlead::protocol::state::{StateRequest, Transaction};
use cometlead::storage::records::Key;
use serde_json::{Value, json};

/// The purpose of a transaction, by its name in scenario files.
fn transaction_kind(txn: &Transaction) -> &'static str {
    let writes = |of: fn(&Key) -> bool| txn.changes.iter().any(|p| of(&p.key));
    let mod_revision = |key: &Key| {
        txn.conditions
            .iter()
            .find(|(k, _)| k == key)
            .map_or(0, |(_, mod_revision)| *mod_revision)
    };
    if writes(|k| matches!(k, Key::Final(_))) {
        "end"
    } else if txn
        .changes
        .iter()
        .any(|p| matches!(p.key, Key::Group(..)) && mod_revision(&p.key) == 0)
    {
        "opening"
    } else if writes(|k| matches!(k, Key::Group(..) | Key::Usage(_) | Key::Chunk(..))) {
        "round"
    } else if writes(|k| matches!(k, Key::ShardLeader(_))) {
        "claim"
    } else if writes(|k| matches!(k, Key::Node(_))) {
        "node"
    } else if writes(|k| matches!(k, Key::Fleet)) {
        "fleet"
    } else if writes(|k| matches!(k, Key::Meta)) {
        "meta"
    } else if txn
        .changes
        .iter()
        .all(|p| matches!(p.key, Key::Job(_)) && mod_revision(&p.key) == 0)
    {
        "submit"
    } else if writes(|k| matches!(k, Key::Job(_))) {
        "abort"
    } else {
        "other"
    }
}

impl World {
    /// Counts an injected fault, for expectations on how often it was injected.
    pub(super) fn count_fault(&mut self, what: &'static str) {
        *self.fault_counts.entry(what).or_default() += 1;
    }

    /// Draws whether the response to a transaction is lost although it is carried out.
    pub(super) fn loses_response(&mut self, request: &StateRequest) -> bool {
        let StateRequest::Transaction(txn) = request else {
            return false;
        };
        let (now, kind) = (self.now, transaction_kind(txn));
        let concerned = |of: &Option<String>| of.as_ref().is_none_or(|of| of == kind);
        let of_kind = self
            .lost_responses
            .iter()
            .filter(|(_, until, of)| now < *until && concerned(of));
        let share = of_kind.map(|(share, ..)| *share).fold(0.0, f64::max);
        let lost = share > 0.0 && self.random_fraction() < share;
        if lost {
            self.count_fault("answers");
            self.count_fault(kind);
        }
        lost
    }

    /// Keeps a copy of a heartbeat that is sent, if a fault asks for it.
    pub(super) fn keep_heartbeat_copy(&mut self, report: &Message) {
        let now = self.now;
        let heartbeat_copy_windows: Vec<(f64, bool)> = self
            .heartbeat_copy_windows
            .iter()
            .filter(|(_, until, _)| now < *until)
            .map(|(share, _, all)| (*share, *all))
            .collect();
        for (share, all) in heartbeat_copy_windows {
            if self.random_fraction() < share {
                self.kept_heartbeats.push((all, report.clone()));
            }
        }
    }

    /// Delivers the kept copies after a failover, to the new shard leader or to every controller: once within a second, and
    /// once more within ten. Only the newest are delivered, in the order in which they were kept.
    pub(super) fn deliver_heartbeat_copies(&mut self, owner: usize) {
        const MAX_COPIES: usize = 400;
        let kept = std::mem::take(&mut self.kept_heartbeats);
        let from = kept.len().saturating_sub(MAX_COPIES);
        for (all, message) in kept.into_iter().skip(from) {
            let Message::Heartbeat {
                machine,
                sent,
                body,
                ..
            } = message
            else {
                continue;
            };
            for node in (0..self.script.nodes).filter(|n| all || *n == owner) {
                for span in [1e6, 1e7] {
                    self.count_fault("copies");
                    let at = self.now + (self.random_fraction() * span) as u64;
                    let copy = Message::Heartbeat {
                        machine,
                        node,
                        sent,
                        body: body.clone(),
                    };
                    self.schedule(at, SimEvent::Deliver(Box::new(copy)));
                }
            }
        }
    }

    /// The largest fraction among the faults that are active now.
    pub(super) fn active_share(&self, of: &[(f64, u64)]) -> Option<f64> {
        of.iter()
            .filter(|(_, until)| self.now < *until)
            .map(|(share, _)| *share)
            .reduce(f64::max)
    }

    /// If the reported state of a job has changed, users query all controllers several times and repeat the submission.
    pub(super) fn burst_after_state_change(&mut self, job: u64) {
        let (Some(abort_share), Some(state)) = (
            self.active_share(&self.query_bursts),
            self.checker.last_reported_state(job),
        ) else {
            return;
        };
        if self.last_burst_state.insert(job, state) == Some(state) {
            return;
        }
        self.count_fault("looks");
        self.send_burst(job);
        if state == "live" && self.random_fraction() < abort_share {
            let at = self.now + (self.random_fraction() * 2e6) as u64;
            self.schedule(
                at,
                SimEvent::ExtraRequest {
                    job,
                    kind: "abort",
                    node: None,
                },
            );
        }
    }

    fn send_burst(&mut self, job: u64) {
        for node in 0..self.script.nodes {
            for (kind, span) in [
                ("query", 3e3),
                ("submit", 2e4),
                ("query", 1.5e5),
                ("submit", 1e6),
            ] {
                let at = self.now + (self.random_fraction() * span) as u64;
                self.schedule(
                    at,
                    SimEvent::ExtraRequest {
                        job,
                        kind,
                        node: Some(node),
                    },
                );
            }
        }
    }

    /// Sends one additional request. A cancellation is retried until it is answered.
    pub(super) fn send_extra_request(&mut self, job: u64, kind: &'static str, node: Option<usize>) {
        if node.is_some_and(|n| self.nodes[n].is_none()) {
            return;
        }
        match kind {
            "abort" => {
                self.checker.record_abort_request(job);
                self.send_with_retries(job, kind, Vec::new(), node);
            }
            "submit" => {
                let body = self
                    .submission_bodies
                    .get(&job)
                    .cloned()
                    .unwrap_or_default();
                self.send_once(job, kind, body, node);
            }
            _ => self.send_once(job, kind, Vec::new(), node),
        }
    }

    /// A task is done; if it was its job's last, users may send a burst of queries, and cancel the job.
    pub(super) fn handle_task_completed(&mut self, job: u64) {
        if !self.checker.all_tasks_completed(job) {
            return;
        }
        if self.active_share(&self.query_bursts).is_some() {
            self.send_burst(job);
        }
        if self.draws_fault(|w| &w.cancel_at_end) {
            self.count_fault("at-end");
            let at = self.now + (self.random_fraction() * 4e5) as u64;
            self.schedule(
                at,
                SimEvent::ExtraRequest {
                    job,
                    kind: "abort",
                    node: None,
                },
            );
        }
    }

    /// Cancels running jobs, and lets some of their machines hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang: u64) {
        const MAX_HANGING_MACHINES: usize = 8;
        let mut jobs: Vec<(u64, Vec<u64>)> = self
            .checker
            .machines_of_running_jobs()
            .into_iter()
            .filter(|(j, _)| self.checker.last_reported_state(*j) == Some("live"))
            .collect();
        let mut machines = Vec::new();
        for _ in 0..count.min(jobs.len()) {
            let (job, on) = jobs.swap_remove((self.random_fraction() * jobs.len() as f64) as usize);
            let at = self.now + (self.random_fraction() * 2e5) as u64;
            self.count_fault("cancelled");
            self.schedule(
                at,
                SimEvent::ExtraRequest {
                    job,
                    kind: "abort",
                    node: None,
                },
            );
            machines.extend(on);
        }
        machines.sort_unstable();
        machines.dedup();
        for m in machines
            .into_iter()
            .take(if hang > 0 { MAX_HANGING_MACHINES } else { 0 })
        {
            self.hang_machine(m, hang);
        }
    }

    /// Sends one unusual request: a repeated submission, a cancellation of a job that is done, or an invalid request.
    pub(super) fn send_unusual_request(&mut self, until: u64) {
        self.count_fault("odd");
        let jobs: Vec<u64> = self
            .checker
            .job_requests
            .keys()
            .copied()
            .filter(|j| self.checker.is_accepted(*j))
            .collect();
        let done = jobs
            .iter()
            .copied()
            .filter(|j| self.checker.is_done(*j))
            .collect::<Vec<_>>();
        let pick = (self.random_fraction() * 1e6) as usize;
        match (self.random_fraction() * 6.0) as u64 {
            0 | 1 if !jobs.is_empty() => {
                self.send_extra_request(jobs[pick % jobs.len()], "submit", None);
            }
            // This job was not cancelled while it ran, so it must stay done.
            2 if !done.is_empty() => {
                self.send_once(done[pick % done.len()], "abort", Vec::new(), None);
            }
            kind => {
                let job = self.next_invalid_job;
                self.next_invalid_job += 1;
                self.checker.invalid_jobs.insert(job);
                match kind {
                    3 => self.send_once(job, ["query", "abort"][pick % 2], Vec::new(), None),
                    _ => {
                        let body = invalid_submission_body(job, pick);
                        self.send_once(job, "submit", body, None);
                    }
                }
            }
        }
        if self.now < until {
            self.schedule(self.now + 300_000, SimEvent::UnusualRequest(until));
        }
    }
}

/// Body of a submission that must be refused.
fn invalid_submission_body(job: u64, pick: usize) -> Vec<u8> {
    const FIELDS: [&str; 15] = [
        "lane",
        "crew",
        "shape",
        "urgency",
        "pieces",
        "cores",
        "accelerators",
        "memGb",
        "oneZone",
        "apart",
        "loaners",
        "bundle",
        "sizeGb",
        "guessS",
        "bookmarkS",
    ];
    let mut body = json!({"nameId": format!("req-{job:06}"), "lane": "lane", "crew": "free", "shape": "sweep",
        "urgency": "standard", "pieces": 1, "cores": 1.0, "accelerators": 0.0, "memGb": 1.0, "builds": null, "yard": null,
        "oneZone": false, "apart": false, "loaners": true, "bundle": "img", "sizeGb": 0.5, "guessS": 5.0,
        "bookmarkS": 0.0, "stashS": 0.0, "dueS": null});
    let field = FIELDS[pick / 7 % FIELDS.len()];
    match pick % 7 {
        0 => body["cores"] = json!(100_000.0),
        1 => body["crew"] = json!("nobody"),
        2 => body["builds"] = json!(["none-such"]),
        3 => body["yard"] = json!("nowhere"),
        4 => body[field] = Value::Null,
        5 => body["pieces"] = json!(-1),
        _ => {
            body.as_object_mut().expect("an object").remove(field);
        }
    }
    body.to_string().into_bytes()
}
