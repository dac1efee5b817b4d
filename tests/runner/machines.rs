//! Machines and their workers: boots, reports, answers, direct commands.

use super::check::MachineInfo;
use super::script::Party;
use super::worker::{ANSWER_LIMIT, Deed, NEXT_NODE_PAUSE, Redirect, Worker};
use super::{Ask, Happening, Message, World};
use cometlead::coordination::CallId;
use serde_json::Value;

impl World {
    pub(super) fn after_cloud(&mut self, before: &[u64]) {
        let new: Vec<(u64, Option<u64>)> = self
            .cloud
            .hosts
            .iter()
            .filter(|(i, _)| !before.contains(i))
            .map(|(i, h)| (*i, h.up_at))
            .collect();
        for (i, up) in new {
            if let Some(up) = up {
                self.at(up, Happening::Boot(i));
            }
        }
        let now = self.now;
        let gone: Vec<u64> = self
            .workers
            .keys()
            .filter(|i| self.cloud.hosts[i].gone_at.is_some_and(|g| g <= now))
            .copied()
            .collect();
        for i in gone {
            self.machine_gone(i);
        }
    }

    pub(super) fn machine_gone(&mut self, i: u64) {
        if let Some(mut w) = self.workers.remove(&i) {
            let mut deeds = Vec::new();
            w.kill_all(&mut deeds);
            self.lost_leases += w.lost_leases;
            self.deeds(i, deeds);
        }
    }

    pub(super) fn direct(
        &mut self,
        machine: u64,
        body: &[u8],
        deeds: &mut Vec<Deed>,
    ) -> Option<(u16, Value)> {
        let now = self.now;
        let w = self.workers.get_mut(&machine)?;
        if now < w.hung_until {
            // Carried out when the machine goes on, if token and session still match.
            let body = body.to_vec();
            let until = w.hung_until;
            let ask = Ask::Direct(machine, body);
            let late = Message::Ask {
                node: usize::MAX,
                life: 0,
                call: CallId(0),
                ask,
            };
            self.at(until + 2_000, Happening::Deliver(Box::new(late)));
            return None;
        }
        let answer = w.take_command(now, body, &self.jobs, deeds)?;
        let next = w.next_deadline();
        self.at(next, Happening::Worker(machine));
        Some(answer)
    }

    pub(super) fn deeds(&mut self, machine: u64, deeds: Vec<Deed>) {
        let info = self.infos[&machine].clone();
        for d in deeds {
            tracing::debug!(machine, deed = ?d, "worker");
            self.check.deed(self.now, machine, &info, &d, &self.infos);
            if let Deed::Ended(t, "done") = d {
                self.at_end(t.0);
            }
        }
    }

    /// A machine hangs for a while.
    pub(super) fn hang(&mut self, m: u64, span: u64) {
        let until = self.now + span;
        if let Some(w) = self.workers.get_mut(&m) {
            w.hung_until = until;
            self.at(until, Happening::Worker(m));
        }
    }

    /// A worker's own time has come.
    pub(super) fn worker(&mut self, machine: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        let report = (self.script.report * 1e6) as u64;
        let jitter = 0.75 + 0.5 * self.dice();
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        let mut deeds = Vec::new();
        w.check_lease(now, &mut deeds);
        if now < w.hung_until {
            // Its tasks do not run, but its lease ends all the same.
            let next = w.next_deadline();
            self.at(next.max(now + 1_000), Happening::Worker(machine));
            return self.deeds(machine, deeds);
        }
        w.advance(now, &self.jobs, &mut deeds);
        let mut message = None;
        if let Some(body) = w.due_report(now, (report as f64 * jitter) as u64) {
            let (node, sent) = (w.node % nodes, now);
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
        self.at(next.max(now + 1_000), Happening::Worker(machine));
        self.deeds(machine, deeds);
        if let Some((node, m)) = message {
            self.at(now + ANSWER_LIMIT, Happening::WorkerTimeout(machine, now));
            if self.drawn(|w| &w.late_reports) {
                let after = 2_000_000 + (self.dice() * self.script.lease * 2.5e6) as u64;
                self.at(now + after, Happening::Deliver(Box::new(m.clone())));
            }
            self.keep_copy(&m);
            if self.nodes[node].is_some() {
                self.send(Party::Machine(machine), Party::Node(node), false, m);
            }
        }
    }

    pub(super) fn next_node(&mut self, machine: u64, wait: u64) {
        let now = self.now;
        let nodes = self.script.nodes;
        if let Some(w) = self.workers.get_mut(&machine) {
            w.try_next_node(now, nodes, wait);
            self.at(now + wait, Happening::Worker(machine));
        }
    }

    pub(super) fn replied(
        &mut self,
        machine: u64,
        sent: u64,
        shift: u64,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        // A hanging machine takes answers when it goes on; they are too old by then.
        if now < w.hung_until
            || w.waiting.is_none_or(|(_, s, _)| s != sent)
            || now > sent + ANSWER_LIMIT
        {
            return;
        }
        let mut deeds = Vec::new();
        let redirect = w.take_answer(now, (sent, shift), (status, body), &self.jobs, &mut deeds);
        let next = w.next_deadline();
        if redirect == Redirect::Next {
            self.deeds(machine, deeds);
            return self.next_node(machine, NEXT_NODE_PAUSE);
        }
        self.at(next, Happening::Worker(machine));
        self.deeds(machine, deeds);
    }

    pub(super) fn boot(&mut self, i: u64) {
        let host = &self.cloud.hosts[&i];
        if host.gone_at.is_some() {
            return;
        }
        let t = self.cloud.type_of(i);
        let (yard, spot) = (host.yard.clone(), host.spot);
        let info = MachineInfo {
            build: t.name.clone(),
            yard: yard.clone(),
            spot,
        };
        let node = (i as usize * 7) % self.script.nodes;
        let endpoint = format!("10.1.0.{i}:9000");
        let lease = (self.script.lease * 1e6) as u64;
        let w = Worker::new(i, endpoint, t, (yard, spot), lease, node, self.now);
        self.workers.insert(i, w);
        self.infos.insert(i, info);
        self.at(self.now, Happening::Worker(i));
    }
}
