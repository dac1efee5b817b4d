//! The commands in the response to a heartbeat, and what the heartbeat proves about assignments.
//!
//! Releases of assignments that are proved to have ended are passed to the next commit round.

use super::AssignmentOutcome;
use super::agent::{Agent, TokenRange};
use super::launch_policy::{PreemptionWindow, exceeds_quota, grace_period, has_room};
use crate::coordination::Controller;
use crate::coordination::commit::Rounds;
use crate::coordination::constraints::{Rules, log_forbidden_launch};
use crate::coordination::leadership::Leadership;
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Command, ExitReason, TaskState};
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{Attempt, MachineId, ShardId};
use crate::storage::records::{Assignment, MachineHealth, MachineRecord};
use crate::time::Micros;

/// How the commands that are built relate to the agent's newest heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// They are sent in the response to the agent's newest heartbeat.
    InResponse,
    /// They are not sent in the response to its newest heartbeat: the response to another one may still be in flight.
    OutOfOrder,
}

/// Why an assigned task that the agent does not report is not launched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LaunchRefusal {
    /// The rules of its job or machine forbid the launch.
    Forbidden,
    /// Its team uses more than its quota.
    OverQuota,
    /// Its job is cancelled, it is preempted, or its machine takes no more work.
    Unwanted,
}

/// Builds the commands for one agent from its newest heartbeat and the cell state.
struct CommandBuilder<'a> {
    cell: &'a CellState,
    settings: &'a Settings,
    rules: &'a Rules,
    rounds: &'a mut Rounds,
    leadership: &'a mut Leadership,
    agent: &'a mut Agent,
    now: Micros,
    shard: ShardId,
    machine: MachineId,
    record: Option<&'a MachineRecord>,
    delivery: Delivery,
    commands: Vec<Command>,
    /// A launch was left out; it has to be sent by a pushed command.
    push_needed: bool,
}

impl CommandBuilder<'_> {
    fn add_commands_for_reported_tasks(&mut self) {
        for index in 0..self.agent.reported_tasks().len() {
            let (attempt, state) = self.agent.reported_tasks()[index];
            match (self.is_assigned(&attempt), state) {
                (true, TaskState::Exited(ended)) => self.on_exited(attempt, ended),
                (true, state) => self.stop_if_required(attempt, state),
                (false, TaskState::Exited(_)) => self.forget_if_fenced(attempt),
                (false, _) => self.commands.push(Command::Stop(attempt, Micros::ZERO)),
            }
        }
    }

    fn is_assigned(&self, attempt: &Attempt) -> bool {
        self.record
            .is_some_and(|r| r.tasks.contains(&Assignment::of(*attempt)))
    }

    fn is_preempted(&self, attempt: &Attempt) -> bool {
        self.record
            .is_some_and(|r| r.preempted.contains(&Assignment::of(*attempt)))
    }

    fn health(&self) -> MachineHealth {
        self.record.map_or(MachineHealth::Schedulable, |r| r.health)
    }

    /// Releases the assignment of a task that has exited.
    fn on_exited(&mut self, attempt: Attempt, ended: ExitReason) {
        // Without a token of this term an earlier leader may still command the agent.
        if !self.agent.has_current_token() {
            return;
        }
        let outcome = match ended {
            ExitReason::Completed => AssignmentOutcome::Done,
            ExitReason::Failed => AssignmentOutcome::Failed,
            _ => AssignmentOutcome::Reassign,
        };
        if self
            .rounds
            .release(self.machine, attempt, outcome, self.now)
        {
            tracing::info!(task = %attempt, machine = %self.machine, ?ended, "task exited");
            self.record_outcome_for_machine(attempt, outcome);
        }
    }

    /// Records what the end of a task shows about the machine: a failure may quarantine it, a completed task clears earlier
    /// failures.
    fn record_outcome_for_machine(&mut self, attempt: Attempt, outcome: AssignmentOutcome) {
        let job = attempt.task.job;
        match outcome {
            // The failure of a suspect job is no evidence against the machine.
            AssignmentOutcome::Failed if self.rounds.is_suspect(job) => {}
            AssignmentOutcome::Failed => {
                if self.agent.on_task_failed(job) {
                    tracing::info!(machine = %self.machine, "machine quarantined");
                }
            }
            AssignmentOutcome::Done => self.agent.on_task_done(),
            AssignmentOutcome::Reassign => {}
        }
    }

    /// Stops an assigned task that must not continue, or that cannot end before its machine is reclaimed.
    fn stop_if_required(&mut self, attempt: Attempt, state: TaskState) {
        if let Some(grace) = self.stop_grace_period(attempt, state) {
            self.commands.push(Command::Stop(attempt, grace));
        }
    }

    /// The grace period for saving a checkpoint, if the task has to be stopped.
    fn stop_grace_period(&self, attempt: Attempt, state: TaskState) -> Option<Micros> {
        let id = attempt.task.job;
        let Some(job) = self.cell.jobs.get(&id).filter(|job| !job.is_cancelled()) else {
            return Some(Micros::ZERO);
        };
        if self.is_preempted(&attempt) {
            return Some(grace_period(Some(job)));
        }
        if state == TaskState::Fetching && self.rules.forbids_start(self.cell, self.machine, id) {
            log_forbidden_launch(attempt.task, self.machine);
            return Some(Micros::ZERO);
        }
        let reclaimed_at = self
            .agent
            .reclaimed_at()
            .filter(|_| state == TaskState::Running)?;
        PreemptionWindow {
            remaining: reclaimed_at.since(self.now),
            heartbeat_interval: self.settings.heartbeat_interval,
        }
        .stop_grace_period(job.spec(), self.agent.running_for(&attempt, self.now))
    }

    /// Makes the agent forget an exited task whose assignment has been released, so its outcome is recorded. An agent that accepted
    /// a copy of the launch afterwards would run the task again.
    fn forget_if_fenced(&mut self, attempt: Attempt) {
        if self.agent.has_current_token() && self.fence_pushed_launches() {
            self.commands.push(Command::Forget(attempt));
        }
    }

    /// Whether the agent refuses every copy of a launch pushed so far once it executes these commands. A token raised out of order
    /// would make it drop a response that is still in flight.
    fn fence_pushed_launches(&mut self) -> bool {
        let range = TokenRange::of_shard(self.cell, self.shard);
        match self.delivery {
            Delivery::InResponse => self.agent.fence_pushed_launches(range),
            Delivery::OutOfOrder => self.agent.is_fenced_from_pushed_launches(range),
        }
    }

    /// Requests a new leader term: with its higher fencing token the agent refuses launches that are delayed in the network.
    fn request_new_term(&mut self) {
        self.leadership.request_new_term(
            self.shard,
            self.agent.launches().unsettled_since(),
            self.now,
        );
    }

    fn handle_unreported_assignments(&mut self) {
        let Some(record) = self.record else {
            return;
        };
        for assignment in &record.tasks {
            let attempt = assignment.attempt();
            // An assignment that is being released is never launched again in this term: its release may be committed at any
            // time and the task be assigned elsewhere. The agent may be restarted in between.
            if self.agent.reported_state(&attempt).is_some()
                || self.rounds.is_being_released(self.machine, attempt)
            {
                continue;
            }
            match self.launch_refusal(record, assignment, attempt) {
                None => self.launch(attempt),
                Some(refusal) if self.delivery == Delivery::InResponse => {
                    self.release(attempt, refusal);
                }
                Some(_) => {}
            }
        }
    }

    fn launch_refusal(
        &self,
        record: &MachineRecord,
        assignment: &Assignment,
        attempt: Attempt,
    ) -> Option<LaunchRefusal> {
        let id = attempt.task.job;
        if self
            .rules
            .forbids_launch(self.cell, self.machine, record, id)
        {
            return Some(LaunchRefusal::Forbidden);
        }
        if exceeds_quota(self.cell, self.settings, id) {
            return Some(LaunchRefusal::OverQuota);
        }
        let unwanted = self.cell.jobs.get(&id).is_none_or(Job::is_cancelled)
            || self.health() != MachineHealth::Schedulable
            || self.agent.reclaimed_at().is_some()
            || record.preempted.contains(assignment);
        unwanted.then_some(LaunchRefusal::Unwanted)
    }

    fn launch(&mut self, attempt: Attempt) {
        if !has_room(self.agent, self.cell, self.record, &attempt) {
            return;
        }
        match self.delivery {
            Delivery::InResponse => {
                self.agent.launches_mut().note_sent(attempt);
                self.commands.push(Command::Launch(attempt));
            }
            Delivery::OutOfOrder => {
                self.agent.launches_mut().drop_sent(&attempt);
                self.push_needed = true;
            }
        }
    }

    /// Releases an assignment that is not launched, once no launch of it can arrive any more. If the launch was sent in a
    /// heartbeat response, that was to an earlier heartbeat, so it has arrived or the agent has given up on that response by now.
    /// Only a pushed launch may still be in flight.
    fn release(&mut self, attempt: Attempt, refusal: LaunchRefusal) {
        if !self.agent.has_current_token() {
            return;
        }
        if !self.agent.launches().is_settled(&attempt) {
            self.request_new_term();
            return;
        }
        if !self
            .rounds
            .release(self.machine, attempt, AssignmentOutcome::Reassign, self.now)
        {
            return;
        }
        match refusal {
            LaunchRefusal::Forbidden => log_forbidden_launch(attempt.task, self.machine),
            LaunchRefusal::OverQuota => {
                tracing::info!(task = %attempt, machine = %self.machine, "assignment released: team exceeds its quota");
            }
            LaunchRefusal::Unwanted => {}
        }
    }
}

impl Controller {
    /// The fencing token of the next commands to a machine's agent.
    pub(super) fn command_token(&self, shard: ShardId, machine: MachineId) -> u64 {
        let range = TokenRange::of_shard(&self.cell, shard);
        self.agents
            .get(&machine)
            .map_or(range.leader_term, |agent| agent.command_token(range))
    }

    /// Builds the commands for a machine's agent from its newest heartbeat and the cell state.
    pub(super) fn build_commands(
        &mut self,
        shard: ShardId,
        machine: MachineId,
        delivery: Delivery,
    ) -> Vec<Command> {
        let Some(agent) = self.agents.get_mut(&machine) else {
            return Vec::new();
        };
        let mut builder = CommandBuilder {
            cell: &self.cell,
            settings: &self.settings,
            rules: &self.rules,
            rounds: &mut self.rounds,
            leadership: &mut self.leadership,
            agent,
            now: self.now.monotonic,
            shard,
            machine,
            record: self.cell.machine(machine),
            delivery,
            commands: Vec::new(),
            push_needed: false,
        };
        builder.add_commands_for_reported_tasks();
        builder.handle_unreported_assignments();
        let (commands, push_needed) = (builder.commands, builder.push_needed);
        if push_needed {
            self.agents_to_command.insert(machine);
        }
        commands
    }
}
