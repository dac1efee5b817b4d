//! Machines and their workers: boots, heartbeats, responses, pushed commands.

use super::invariants::MachineInfo;
use super::messages::{Message, Outbound};
use super::script::Party;
use super::worker::{NEXT_NODE_DELAY_US, REPORT_TIMEOUT_US, Redirect, TaskEvent, Worker};
use super::{SimEvent, World};
use cometlead::coordination::CallId;
use serde_json::Value;

impl World {
    pub(super) fn apply_cloud_changes(&mut self, before: &[u64]) {
        let new: Vec<(u64, Option<u64>)> = self
            .cloud
            .hosts
            .iter()
            .filter(|(i, _)| !before.contains(i))
            .map(|(i, h)| (*i, h.up_at))
            .collect();
        for (i, up) in new {
            if let Some(up) = up {
                self.schedule(up, SimEvent::MachineBoot(i));
            }
        }
        let now = self.now;
        let terminated: Vec<u64> = self
            .workers
            .keys()
            .filter(|i| self.cloud.hosts[i].released_at.is_some_and(|g| g <= now))
            .copied()
            .collect();
        for i in terminated {
            self.terminate_machine(i);
        }
    }

    pub(super) fn terminate_machine(&mut self, i: u64) {
        if let Some(mut w) = self.workers.remove(&i) {
            let mut task_events = Vec::new();
            w.kill_all(&mut task_events);
            self.lost_leases += w.lost_leases;
            self.record_task_events(i, task_events);
        }
    }

    pub(super) fn deliver_command(
        &mut self,
        machine: u64,
        body: &[u8],
        task_events: &mut Vec<TaskEvent>,
    ) -> Option<(u16, Value)> {
        let now = self.now;
        let w = self.workers.get_mut(&machine)?;
        if now < w.stalled_until {
            // The command is carried out when the machine continues, if fencing token and incarnation still match.
            let body = body.to_vec();
            let until = w.stalled_until;
            let outbound = Outbound::PushCommand(machine, body);
            let late = Message::Request {
                node: usize::MAX,
                incarnation: 0,
                call: CallId(0),
                outbound,
            };
            self.schedule(until + 2_000, SimEvent::Deliver(Box::new(late)));
            return None;
        }
        let response = w.handle_command(now, body, &self.jobs, task_events)?;
        let next = w.next_deadline();
        self.schedule(next, SimEvent::WorkerDeadline(machine));
        Some(response)
    }

    pub(super) fn record_task_events(&mut self, machine: u64, task_events: Vec<TaskEvent>) {
        let info = self.machine_infos[&machine].clone();
        for event in task_events {
            tracing::debug!(machine, event = ?event, "worker");
            self.checker
                .observe(self.now, machine, &info, &event, &self.machine_infos);
            if let TaskEvent::Ended(t, "done") = event {
                self.handle_task_completed(t.0);
            }
        }
    }

    /// A machine hangs for a while.
    pub(super) fn hang_machine(&mut self, m: u64, span: u64) {
        let until = self.now + span;
        if let Some(w) = self.workers.get_mut(&m) {
            w.stalled_until = until;
            self.schedule(until, SimEvent::WorkerDeadline(m));
        }
    }

    /// Handles a worker's next deadline: lease expiry, progress of its tasks, its next heartbeat.
    pub(super) fn run_worker(&mut self, machine: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        let report = (self.script.report_interval_s * 1e6) as u64;
        let jitter = 0.75 + 0.5 * self.random_fraction();
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        let mut task_events = Vec::new();
        w.check_lease(now, &mut task_events);
        if now < w.stalled_until {
            // The tasks of a hanging machine do not run, but its lease still expires.
            let next = w.next_deadline();
            self.schedule(next.max(now + 1_000), SimEvent::WorkerDeadline(machine));
            return self.record_task_events(machine, task_events);
        }
        w.advance(now, &self.jobs, &mut task_events);
        let mut message = None;
        if let Some(body) = w.due_report(now, (report as f64 * jitter) as u64) {
            let (node, sent) = (w.node % nodes, now);
            self.max_heartbeat_bytes = self.max_heartbeat_bytes.max(body.len());
            message = Some((
                node,
                Message::Heartbeat {
                    machine,
                    node,
                    sent,
                    body,
                },
            ));
        }
        let next = w.next_deadline();
        self.schedule(next.max(now + 1_000), SimEvent::WorkerDeadline(machine));
        self.record_task_events(machine, task_events);
        if let Some((node, m)) = message {
            self.schedule(
                now + REPORT_TIMEOUT_US,
                SimEvent::WorkerTimeout(machine, now),
            );
            if self.draws_fault(|w| &w.late_reports) {
                let after =
                    2_000_000 + (self.random_fraction() * self.script.lease_s * 2.5e6) as u64;
                self.schedule(now + after, SimEvent::Deliver(Box::new(m.clone())));
            }
            self.keep_heartbeat_copy(&m);
            if self.nodes[node].is_some() {
                self.send(Party::Machine(machine), Party::Node(node), false, m);
            }
        }
    }

    pub(super) fn switch_node(&mut self, machine: u64, wait: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.try_next_node(now, nodes, wait);
            self.schedule(now + wait, SimEvent::WorkerDeadline(machine));
        }
    }

    pub(super) fn handle_heartbeat_reply(
        &mut self,
        machine: u64,
        sent: u64,
        incarnation: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        // A hanging machine reads responses only when it continues, when they are too old.
        if now < w.stalled_until
            || w.pending_report.is_none_or(|(_, s, _)| s != sent)
            || now > sent + REPORT_TIMEOUT_US
        {
            return;
        }
        let mut task_events = Vec::new();
        let redirect = w.handle_answer(
            now,
            (sent, incarnation),
            (status, body),
            &self.jobs,
            &mut task_events,
        );
        let next = w.next_deadline();
        if redirect == Redirect::Next {
            self.record_task_events(machine, task_events);
            return self.switch_node(machine, NEXT_NODE_DELAY_US);
        }
        self.schedule(next, SimEvent::WorkerDeadline(machine));
        self.record_task_events(machine, task_events);
    }

    pub(super) fn boot_machine(&mut self, i: u64) {
        let host = &self.cloud.hosts[&i];
        if host.released_at.is_some() {
            return;
        }
        let t = self.cloud.type_of(i);
        let (zone, spot) = (host.zone.clone(), host.spot);
        let info = MachineInfo {
            machine_type: t.name.clone(),
            zone: zone.clone(),
            spot,
        };
        let node = (i as usize * 7) % self.script.nodes;
        let endpoint = format!("10.1.0.{i}:9000");
        let lease = (self.script.lease_s * 1e6) as u64;
        let w = Worker::new(i, endpoint, t, (zone, spot), lease, node, self.now);
        self.workers.insert(i, w);
        self.machine_infos.insert(i, info);
        self.schedule(self.now, SimEvent::WorkerDeadline(i));
    }
}
