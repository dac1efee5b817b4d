//! What workers are told: orders in answers to their reports, and direct commands.

use super::{Outcome, PushedCommand};
use crate::coordination::constraints::log_forbidden;
use crate::coordination::{CallId, Controller, Effect, Purpose};
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Command, Ended, Heartbeat, TaskState, command_body};
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{Attempt, JobId, MachineId, ShardId};
use crate::storage::records::{Assignment, MachineHealth};
use crate::time::Micros;

/// The time that a task of this job is given to save when it is stopped.
fn grace_period(job: Option<&Job>) -> Micros {
    let spec = job.map(Job::spec);
    spec.filter(|s| s.checkpoint_interval > Micros::ZERO)
        .map_or(Micros::ZERO, |s| s.checkpoint_duration.with_drift())
}

/// Whether more is booked for a job's team than it may have. Nobody books that who knows the limit, so it was booked
/// before a later deploy file brought it: what has not begun of it is not launched any more, but given back.
fn beyond_limit(cell: &CellState, settings: &Settings, job: JobId) -> bool {
    let Some(spec) = cell.jobs.get(&job).map(Job::spec) else {
        return false;
    };
    let Some(team) = settings.team(&spec.team) else {
        return false;
    };
    if team.cores_limit.is_none() && team.accelerators_limit.is_none() {
        return false;
    }
    let used = cell.used(cell.shard_of_job(job, spec), &spec.team);
    team.cores_limit.is_some_and(|most| used.0 > most)
        || team.accelerators_limit.is_some_and(|most| used.1 > most)
}

impl Controller {
    /// What the worker must be told, by its newest report and the copy. What the report proves is
    /// handed to the next round. `in_answer`: to a report; otherwise an earlier answer may still be
    /// on its way.
    pub(super) fn commands(
        &mut self,
        k: ShardId,
        machine: MachineId,
        in_answer: bool,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let now = self.now.steady;
        let Some(s) = self.agents.get_mut(&machine) else {
            return commands;
        };
        let record = self.cell.machine(machine);
        let assigned = record.map_or(&[][..], |r| &r.tasks);
        let preempted = record.map_or(&[][..], |r| &r.preempted);
        let health = record.map_or(MachineHealth::Schedulable, |r| r.health);
        for (a, state) in &s.seen {
            let is_assigned = assigned.contains(&Assignment::of(*a));
            match (is_assigned, state) {
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
                    if self.rounds.release(machine, *a, outcome, now) {
                        tracing::info!(task = %a, machine = %machine, ?ended, "exited");
                        match outcome {
                            // That a suspect job fails says nothing about the machine.
                            Outcome::Failed if self.rounds.is_suspect(a.task.job) => {}
                            Outcome::Failed => {
                                s.failed_jobs.insert(a.task.job);
                                // One job that fails may be to blame itself; two point at the machine.
                                if s.failed_jobs.len() >= 2 && !s.quarantined {
                                    tracing::info!(machine = %machine, "faulty, will be left");
                                    s.quarantined = true;
                                }
                            }
                            Outcome::Done => s.failed_jobs.clear(),
                            Outcome::Again => {}
                        }
                    }
                }
                (true, state) => {
                    let job = self.cell.jobs.get(&a.task.job);
                    if job.is_none_or(Job::cancelled) {
                        commands.push(Command::Stop(*a, Micros::ZERO));
                    } else if preempted.contains(&Assignment::of(*a)) {
                        commands.push(Command::Stop(*a, grace_period(job)));
                    } else if *state == TaskState::Fetching
                        && self.rules.forbid_start(&self.cell, machine, a.task.job)
                    {
                        log_forbidden(a.task, machine);
                        commands.push(Command::Stop(*a, Micros::ZERO));
                    } else if let (Some(at), Some(job), TaskState::Running) =
                        (s.reclaimed_at, job, state)
                    {
                        let spec = job.spec();
                        let left = at.since(now);
                        let ran = s.started.get(a).map_or(Micros::ZERO, |t| now.since(*t));
                        let saves = spec.checkpoint_interval > Micros::ZERO;
                        if saves
                            && left
                                < spec.checkpoint_duration + self.settings.heartbeat_interval * 2
                        {
                            commands.push(Command::Stop(*a, spec.checkpoint_duration.with_drift()));
                        } else if !saves && spec.estimated_runtime.since(ran) > left * 2 {
                            commands.push(Command::Stop(*a, Micros::ZERO));
                        }
                    }
                }
                // Cleared, so the outcome is kept. Forgotten only when no launch of it can come
                // any more: it would run again.
                (false, TaskState::Exited(_)) => {
                    if s.heard && s.settled(a) {
                        commands.push(Command::Forget(*a));
                    } else if s.heard && !s.unsettled.is_empty() {
                        self.leadership.request_new_term(k, s.unsettled_since, now);
                    }
                }
                (false, _) => commands.push(Command::Stop(*a, Micros::ZERO)),
            }
        }
        for b in assigned {
            let a = b.attempt();
            // What is being cleared is never launched again in this tenure: the commit may be applied
            // at any time, and the task be booked elsewhere. A session may end in between.
            if s.sees(&a).is_some() || self.rounds.is_being_released(machine, a) {
                continue;
            }
            let job = self.cell.jobs.get(&a.task.job);
            let forbidden = record
                .is_some_and(|r| self.rules.forbid_launch(&self.cell, machine, r, a.task.job));
            let beyond = beyond_limit(&self.cell, &self.settings, a.task.job);
            let unwanted = job.is_none_or(Job::cancelled)
                || health != MachineHealth::Schedulable
                || s.reclaimed_at.is_some()
                || preempted.contains(b)
                || beyond
                || forbidden;
            if !unwanted && !s.has_room(&self.cell, record, &a) {
                continue;
            }
            if !unwanted {
                s.launched.insert(a);
                if in_answer {
                    commands.push(Command::Launch(a));
                } else {
                    self.agents_to_command.insert(machine);
                    s.launched.remove(&a);
                }
            } else if in_answer && s.heard {
                // Any earlier launch answered an earlier report, and that answer has been taken or
                // given up by now; only a direct one can still come.
                if s.settled(&a) {
                    if self.rounds.release(machine, a, Outcome::Again, now) {
                        if forbidden {
                            log_forbidden(a.task, machine);
                        } else if beyond {
                            tracing::info!(task = %a, machine = %machine, "given back: its team is beyond its limit");
                        }
                    }
                } else {
                    self.leadership.request_new_term(k, s.unsettled_since, now);
                }
            }
        }
        commands
    }

    pub(in crate::coordination) fn drive_agents(&mut self) {
        let now = self.now.steady;
        for m in std::mem::take(&mut self.agents_to_command) {
            let contact = self.contact_age();
            let Some(s) = self.agents.get_mut(&m) else {
                continue;
            };
            if s.pushed.is_some() {
                // Looked at again when that command is answered or given up.
                s.wants_push = true;
                continue;
            }
            // A worker that was not heard lately is told by the answer to its next report, but for what has to end: it may
            // reach nobody, and hear commands all the same.
            let lately = self.settings.heartbeat_interval * 2 + Micros::millis(500);
            let heard = s.answered.is_some_and(|t| now.since(t) < lately);
            if s.order.0 <= s.fenced_incarnation || contact > Micros::secs(4) {
                continue;
            }
            let Some(record) = self.cell.machine(m) else {
                continue;
            };
            let mut commands = Vec::new();
            let mut launches = Vec::new();
            for b in &record.tasks {
                let a = b.attempt();
                let job = self.cell.jobs.get(&a.task.job);
                let cancelled = job.is_none_or(Job::cancelled);
                let seen = s.sees(&a);
                let preempted = record.preempted.contains(b);
                if (cancelled || preempted)
                    && seen.is_some_and(|t| !matches!(t, TaskState::Exited(_)))
                {
                    commands.push(Command::Stop(
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
                    && s.has_room(&self.cell, Some(record), &a)
                    && record.health == MachineHealth::Schedulable
                    && s.reclaimed_at.is_none()
                    && !self.rounds.is_being_released(m, a)
                    && !beyond_limit(&self.cell, &self.settings, a.task.job)
                    && !self.rules.forbid_launch(&self.cell, m, record, a.task.job)
                    && s.launched.insert(a)
                {
                    commands.push(Command::Launch(a));
                    launches.push(a);
                }
            }
            if commands.is_empty() {
                continue;
            }
            self.command(m, commands, launches);
        }
    }

    pub(in crate::coordination) fn on_pushed_command(
        &mut self,
        call: CallId,
        machine: MachineId,
        result: Option<(bool, Heartbeat)>,
    ) {
        let now = self.now.steady;
        let k = self.cell.shard_of_machine(machine);
        let Some(s) = self.agents.get_mut(&machine) else {
            return;
        };
        // A session that began anew since then has forgotten the call, and is a new tenure.
        let Some(pushed) = s.pushed.take_if(|d| d.call == call) else {
            return;
        };
        if std::mem::take(&mut s.wants_push) {
            self.agents_to_command.insert(machine);
        }
        let Some((executed, heartbeat)) = result else {
            s.unreachable = true;
            // It may be held somewhere and carried out much later.
            if s.unsettled.is_empty() {
                s.unsettled_since = now;
            }
            for a in pushed.launches {
                s.launched.remove(&a);
                s.unsettled
                    .push((a, pushed.fencing_token, pushed.incarnation));
            }
            return;
        };
        s.on_command_heard(now);
        if !executed {
            for a in &pushed.launches {
                s.launched.remove(a);
            }
        }
        if heartbeat.machine == machine
            && heartbeat.order > s.order
            && heartbeat.incarnation() > s.fenced_incarnation
        {
            self.apply_heartbeat(k, &heartbeat);
            self.commands(k, machine, false);
        }
    }

    /// Sends a direct command, which may have no orders: then its answer only tells how the worker is.
    pub(in crate::coordination) fn command(
        &mut self,
        m: MachineId,
        commands: Vec<Command>,
        launches: Vec<Attempt>,
    ) {
        let k = self.cell.shard_of_machine(m);
        let fencing_token = self.cell.leaders[k].mod_revision;
        let Some(s) = self
            .agents
            .get(&m)
            .filter(|s| s.pushed.is_none() && !s.endpoint.is_empty())
        else {
            return;
        };
        let (endpoint, incarnation) = (s.endpoint.clone(), s.order.0);
        let body = command_body(fencing_token, incarnation, &commands);
        let call = self.call(Purpose::PushCommand(m));
        if let Some(s) = self.agents.get_mut(&m) {
            s.pushed = Some(PushedCommand {
                call,
                fencing_token,
                incarnation,
                launches,
            });
        }
        self.effects.push(Effect::PushCommand {
            call,
            endpoint,
            body,
            limit: Self::PUSH_TIMEOUT,
        });
    }
}
