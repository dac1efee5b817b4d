//! What workers are told: orders in answers to their reports, and direct commands.

use super::{Direct, Outcome};
use crate::bookkeeping::ids::{Attempt, JobId, MachineId, Slice};
use crate::bookkeeping::records::{Booking, Fitness};
use crate::bookkeeping::time::Micros;
use crate::bookkeeping::view::{Job, View};
use crate::coordination::rules::log_forbidden;
use crate::coordination::{CallId, Controller, Effect, Purpose};
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Command, Ended, Report, TaskState, command_body};

/// The time that a task of this job is given to save when it is stopped.
fn grace_period(job: Option<&Job>) -> Micros {
    let spec = job.map(Job::spec);
    spec.filter(|s| s.checkpoint_interval > Micros::ZERO)
        .map_or(Micros::ZERO, |s| s.checkpoint_duration.with_drift())
}

/// Whether more is booked for a job's team than it may have. Nobody books that who knows the limit, so it was booked
/// before a later deploy file brought it: what has not begun of it is not launched any more, but given back.
fn beyond_limit(view: &View, cfg: &Settings, job: JobId) -> bool {
    let Some(spec) = view.jobs.get(&job).map(Job::spec) else {
        return false;
    };
    let Some(team) = cfg.team(&spec.team) else {
        return false;
    };
    if team.cores_limit.is_none() && team.accelerators_limit.is_none() {
        return false;
    }
    let used = view.used(view.job_slice(job, spec), &spec.team);
    team.cores_limit.is_some_and(|most| used.0 > most)
        || team.accelerators_limit.is_some_and(|most| used.1 > most)
}

impl Controller {
    /// What the worker must be told, by its newest report and the copy. What the report proves is
    /// handed to the next round. `in_answer`: to a report; otherwise an earlier answer may still be
    /// on its way.
    pub(super) fn orders(&mut self, k: Slice, machine: MachineId, in_answer: bool) -> Vec<Command> {
        let mut orders = Vec::new();
        let now = self.now.steady;
        let Some(s) = self.sessions.get_mut(&machine) else {
            return orders;
        };
        let record = self.view.machine(machine);
        let booked = record.map_or(&[][..], |r| &r.tasks);
        let preempted = record.map_or(&[][..], |r| &r.preempted);
        let fitness = record.map_or(Fitness::Up, |r| r.fitness);
        for (a, state) in &s.seen {
            let is_booked = booked.contains(&Booking::of(*a));
            match (is_booked, state) {
                (true, TaskState::Exited(ended)) => {
                    // A report of an earlier term proves nothing about who commands the worker.
                    if !s.heard {
                        continue;
                    }
                    let outcome = match ended {
                        Ended::Done => Outcome::Done,
                        Ended::Error => Outcome::Failed,
                        _ => Outcome::Again,
                    };
                    if self.rounds.clear(machine, *a, outcome, now) {
                        tracing::info!(task = %a, machine = %machine, ?ended, "exited");
                        match outcome {
                            // That a suspect job fails says nothing about the machine.
                            Outcome::Failed if self.rounds.is_suspect(a.task.job) => {}
                            Outcome::Failed => {
                                s.failed_jobs.insert(a.task.job);
                                // One job that fails may be to blame itself; two point at the machine.
                                if s.failed_jobs.len() >= 2 && !s.faulty {
                                    tracing::info!(machine = %machine, "faulty, will be left");
                                    s.faulty = true;
                                }
                            }
                            Outcome::Done => s.failed_jobs.clear(),
                            Outcome::Again => {}
                        }
                    }
                }
                (true, state) => {
                    let job = self.view.jobs.get(&a.task.job);
                    if job.is_none_or(Job::cancelled) {
                        orders.push(Command::Stop(*a, Micros::ZERO));
                    } else if preempted.contains(&Booking::of(*a)) {
                        orders.push(Command::Stop(*a, grace_period(job)));
                    } else if *state == TaskState::Fetching
                        && self.rules.forbid_start(&self.view, machine, a.task.job)
                    {
                        log_forbidden(a.task, machine);
                        orders.push(Command::Stop(*a, Micros::ZERO));
                    } else if let (Some(at), Some(job), TaskState::Running) =
                        (s.reclaimed_at, job, state)
                    {
                        let spec = job.spec();
                        let left = at.since(now);
                        let ran = s.started.get(a).map_or(Micros::ZERO, |t| now.since(*t));
                        let saves = spec.checkpoint_interval > Micros::ZERO;
                        if saves && left < spec.checkpoint_duration + self.cfg.report * 2 {
                            orders.push(Command::Stop(*a, spec.checkpoint_duration.with_drift()));
                        } else if !saves && spec.estimated_runtime.since(ran) > left * 2 {
                            orders.push(Command::Stop(*a, Micros::ZERO));
                        }
                    }
                }
                // Cleared, so the outcome is kept. Forgotten only when no launch of it can come
                // any more: it would run again.
                (false, TaskState::Exited(_)) => {
                    if s.heard && s.settled(a) {
                        orders.push(Command::Forget(*a));
                    } else if s.heard && !s.unsettled.is_empty() {
                        self.ownership.raise_later(k, s.unsettled_since, now);
                    }
                }
                (false, _) => orders.push(Command::Stop(*a, Micros::ZERO)),
            }
        }
        for b in booked {
            let a = b.attempt();
            // What is being cleared is never launched again in this tenure: the commit may be applied
            // at any time, and the task be booked elsewhere. A session may end in between.
            if s.sees(&a).is_some() || self.rounds.clearing(machine, a) {
                continue;
            }
            let job = self.view.jobs.get(&a.task.job);
            let forbidden = record
                .is_some_and(|r| self.rules.forbid_launch(&self.view, machine, r, a.task.job));
            let beyond = beyond_limit(&self.view, &self.cfg, a.task.job);
            let unwanted = job.is_none_or(Job::cancelled)
                || fitness != Fitness::Up
                || s.reclaimed_at.is_some()
                || preempted.contains(b)
                || beyond
                || forbidden;
            if !unwanted && !s.has_room(&self.view, record, &a) {
                continue;
            }
            if !unwanted {
                s.launched.insert(a);
                if in_answer {
                    orders.push(Command::Launch(a));
                } else {
                    self.to_command.insert(machine);
                    s.launched.remove(&a);
                }
            } else if in_answer && s.heard {
                // Any earlier launch answered an earlier report, and that answer has been taken or
                // given up by now; only a direct one can still come.
                if s.settled(&a) {
                    if self.rounds.clear(machine, a, Outcome::Again, now) {
                        if forbidden {
                            log_forbidden(a.task, machine);
                        } else if beyond {
                            tracing::info!(task = %a, machine = %machine, "given back: its team is beyond its limit");
                        }
                    }
                } else {
                    self.ownership.raise_later(k, s.unsettled_since, now);
                }
            }
        }
        orders
    }

    pub(in crate::coordination) fn pump_sessions(&mut self) {
        let now = self.now.steady;
        for m in std::mem::take(&mut self.to_command) {
            let contact = self.contact_age();
            let Some(s) = self.sessions.get_mut(&m) else {
                continue;
            };
            if s.direct.is_some() {
                // Looked at again when that command is answered or given up.
                s.wants_direct = true;
                continue;
            }
            // A worker that was not heard lately is told by the answer to its next report, but for what has to end: it may
            // reach nobody, and hear commands all the same.
            let lately = self.cfg.report * 2 + Micros::millis(500);
            let heard = s.answered.is_some_and(|t| now.since(t) < lately);
            if s.order.0 <= s.refused || contact > Micros::secs(4) {
                continue;
            }
            let Some(record) = self.view.machine(m) else {
                continue;
            };
            let mut orders = Vec::new();
            let mut launches = Vec::new();
            for b in &record.tasks {
                let a = b.attempt();
                let job = self.view.jobs.get(&a.task.job);
                let cancelled = job.is_none_or(Job::cancelled);
                let seen = s.sees(&a);
                let preempted = record.preempted.contains(b);
                if (cancelled || preempted)
                    && seen.is_some_and(|t| !matches!(t, TaskState::Exited(_)))
                {
                    orders.push(Command::Stop(
                        a,
                        if cancelled {
                            Micros::ZERO
                        } else {
                            grace_period(job)
                        },
                    ));
                } else if heard
                    && !cancelled
                    && !preempted
                    && seen.is_none()
                    && s.has_room(&self.view, Some(record), &a)
                    && record.fitness == Fitness::Up
                    && s.reclaimed_at.is_none()
                    && !self.rounds.clearing(m, a)
                    && !beyond_limit(&self.view, &self.cfg, a.task.job)
                    && !self.rules.forbid_launch(&self.view, m, record, a.task.job)
                    && s.launched.insert(a)
                {
                    orders.push(Command::Launch(a));
                    launches.push(a);
                }
            }
            if orders.is_empty() {
                continue;
            }
            self.command(m, orders, launches);
        }
    }

    pub(in crate::coordination) fn on_direct(
        &mut self,
        call: CallId,
        machine: MachineId,
        result: Option<(bool, Report)>,
    ) {
        let now = self.now.steady;
        let k = self.view.machine_slice(machine);
        let Some(s) = self.sessions.get_mut(&machine) else {
            return;
        };
        // A session that began anew since then has forgotten the call, and is a new tenure.
        let Some(direct) = s.direct.take_if(|d| d.call == call) else {
            return;
        };
        if std::mem::take(&mut s.wants_direct) {
            self.to_command.insert(machine);
        }
        let Some((executed, report)) = result else {
            s.unreachable = true;
            // It may be held somewhere and carried out much later.
            if s.unsettled.is_empty() {
                s.unsettled_since = now;
            }
            for a in direct.launches {
                s.launched.remove(&a);
                s.unsettled.push((a, direct.fencing_token, direct.session));
            }
            return;
        };
        s.heeds(now);
        if !executed {
            for a in &direct.launches {
                s.launched.remove(a);
            }
        }
        if report.machine == machine && report.order > s.order && report.session() > s.refused {
            self.take_report(k, &report);
            self.orders(k, machine, false);
        }
    }

    /// Sends a direct command, which may have no orders: then its answer only tells how the worker is.
    pub(in crate::coordination) fn command(
        &mut self,
        m: MachineId,
        orders: Vec<Command>,
        launches: Vec<Attempt>,
    ) {
        let k = self.view.machine_slice(m);
        let fencing_token = self.view.own[k].mod_revision;
        let Some(s) = self
            .sessions
            .get(&m)
            .filter(|s| s.direct.is_none() && !s.endpoint.is_empty())
        else {
            return;
        };
        let (endpoint, session) = (s.endpoint.clone(), s.order.0);
        let body = command_body(fencing_token, session, &orders);
        let call = self.call(Purpose::Direct(m));
        if let Some(s) = self.sessions.get_mut(&m) {
            s.direct = Some(Direct {
                call,
                fencing_token,
                session,
                launches,
            });
        }
        self.out.push(Effect::Direct {
            call,
            endpoint,
            body,
            limit: Self::DIRECT_LIMIT,
        });
    }
}
