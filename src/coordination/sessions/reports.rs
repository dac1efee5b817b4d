//! Workers' reports: who answers them, and what they prove.

use super::{Mark, Session};
use crate::bookkeeping::ids::{MachineId, Slice};
use crate::bookkeeping::records::Fitness;
use crate::coordination::Controller;
use crate::protocol::worker::{Report, ReportAnswer, TaskState};

impl Controller {
    pub(in crate::coordination) fn on_report(&mut self, report: &Report) -> ReportAnswer {
        if !self.reader.ready() || self.view.slices() == 0 {
            return ReportAnswer::Unavailable;
        }
        let k = self.view.machine_slice(report.machine);
        if !self.owns(k) {
            let owner = self.view.own[k].value.as_ref().filter(|o| {
                o.node != self.cfg.node
                    && self
                        .view
                        .nodes
                        .get(&o.node)
                        .is_some_and(|n| n.value.run == o.run)
            });
            return match owner {
                Some(o) => ReportAnswer::Elsewhere(Some(o.node.clone())),
                None => ReportAnswer::Unavailable,
            };
        }
        if self.is_out_of_contact() {
            return ReportAnswer::Unavailable;
        }
        let fencing_token = self.view.own[k].mod_revision;
        if report.fencing_token > fencing_token {
            tracing::info!(machine = %report.machine, theirs = report.fencing_token, ours = fencing_token, "a worker has a newer token");
            self.reader.want_barrier();
            return ReportAnswer::Unavailable;
        }
        // One that was given up while it booted is never used: its release is under way.
        if self.removed.contains(&report.machine)
            || self.view.fleet.value.releasing.contains(&report.machine)
        {
            return ReportAnswer::Unavailable;
        }
        let dead = self.view.machine(report.machine).map_or(0, |r| r.dead);
        let session = self.sessions.entry(report.machine).or_insert_with(|| {
            tracing::info!(machine = %report.machine, machine_type = report.machine_type, spot = report.spot, "heard for the first time");
            Session::new(&report.endpoint, &report.machine_type, &report.zone, report.spot)
        });
        if session.endpoint != report.endpoint {
            session.endpoint.clone_from(&report.endpoint);
        }
        session.refused = session.refused.max(dead);
        if report.session() <= session.refused {
            return ReportAnswer::Unavailable;
        }
        let now = self.now.steady;
        // An older one may be a copy, which is no sign of life; or the worker's own, overtaken by its answer to a direct
        // command, so it is answered.
        let newer = report.order > session.order;
        if newer {
            let first = self.ownership.tenure(k).map_or(u64::MAX, |t| t.first);
            session.reported(now, report, first, self.cfg.others.is_empty());
            self.take_report(k, report);
        }
        if self.overdue(report.machine) {
            return ReportAnswer::Unavailable;
        }
        if let Some(s) = self.sessions.get_mut(&report.machine) {
            s.answered = Some(now);
            s.told = Some(report.order);
        }
        let orders = self.orders(k, report.machine, newer);
        self.ask_whether_it_hears(report.machine);
        ReportAnswer::Orders {
            fencing_token,
            orders,
        }
    }

    /// Whether a launch may still reach a machine whose job was cancelled so long ago that its lease must end.
    pub(super) fn overdue(&self, m: MachineId) -> bool {
        let Some(s) = self.sessions.get(&m) else {
            return false;
        };
        let overdue = self.is_overdue(self.cancelled.earliest(s.under_way()));
        if overdue {
            tracing::info!(machine = %m, "not answered: a launch of a cancelled job may still be on its way to it");
        }
        overdue
    }

    /// A machine that reports and may be deaf is asked: it gets no work until it answers, or is seen to hear.
    pub(super) fn ask_whether_it_hears(&mut self, m: MachineId) {
        let lost = self
            .view
            .machine(m)
            .is_some_and(|r| r.fitness == Fitness::Lost);
        let asks = |s: &Session| s.may_be_asked() && s.unheeding >= if lost { 1 } else { 2 };
        if self.sessions.get(&m).is_some_and(asks) {
            self.command(m, Vec::new(), Vec::new());
        }
    }

    /// Takes a newer report of a machine, by whichever way it came.
    pub(super) fn take_report(&mut self, k: Slice, report: &Report) {
        let now = self.now.steady;
        let Some(tenure) = self.ownership.tenure(k) else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&report.machine) else {
            return;
        };
        s.takes(now, report, tenure.first);
        s.seen.clone_from(&report.tasks);
        s.unsettled.retain(|(_, fencing_token, session)| {
            report.fencing_token <= *fencing_token && report.session() <= *session
        });
        for (a, state) in &report.tasks {
            if *state == TaskState::Running {
                s.started.entry(*a).or_insert(now);
            }
        }
        if s.started.len() > report.tasks.len() {
            s.started
                .retain(|a, _| report.tasks.iter().any(|(t, _)| t == a));
        }
        let reclaimed_at = report.preemption_notice.map(|r| now + r);
        if reclaimed_at.is_some() && s.reclaimed_at.is_none() {
            tracing::info!(machine = %report.machine, "the cloud will take it back");
        }
        s.reclaimed_at = reclaimed_at;
        // The first word of a machine may be a copy of a report of one that is gone. Who owns the slice for long
        // remembers those.
        let copies = self.cfg.lease * 3;
        let since = tenure.since.max(self.absence.back());
        let mute = s.is_mute(
            now,
            since,
            Self::longest_quiet(self.cfg.report),
            self.cfg.lease,
        );
        match self.view.machine(report.machine) {
            None if !s.heard && now.since(tenure.since) < copies => {}
            None => self.rounds.add(report.machine),
            Some(r) => {
                let wanted = if r.fitness == Fitness::Releasing {
                    Fitness::Releasing
                } else if s.is_deaf() || r.fitness == Fitness::Lost && (mute || s.unheeding > 0) {
                    if r.fitness != Fitness::Lost {
                        tracing::info!(machine = %report.machine, "deaf: it reports, but hears nothing");
                    }
                    Fitness::Lost
                } else if reclaimed_at.is_some() || s.faulty {
                    Fitness::Draining
                } else {
                    Fitness::Up
                };
                if wanted != r.fitness {
                    self.rounds.mark(
                        report.machine,
                        Mark {
                            fitness: wanted,
                            dead: r.dead,
                        },
                    );
                }
            }
        }
    }
}
