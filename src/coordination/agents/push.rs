//! Pushed commands: commands that are sent to an agent without waiting for its next heartbeat.

use super::agent::Agent;
use super::commands::Delivery;
use super::launch_policy::{exceeds_quota, grace_period, has_room};
use super::launches::PushedCommand;
use crate::coordination::commit::Rounds;
use crate::coordination::constraints::Rules;
use crate::coordination::{CallId, Controller, Effect, Purpose};
use crate::protocol::settings::Settings;
use crate::protocol::worker::{Command, Heartbeat, TaskState, command_body};
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{Attempt, MachineId};
use crate::storage::records::{Assignment, MachineHealth, MachineRecord};
use crate::time::Micros;

/// Commands are pushed only while the last contact with the state store is no older than this.
const MAX_STATE_CONTACT_AGE: Micros = Micros::secs(4);
/// Added to two heartbeat intervals, this is how long after an acknowledged heartbeat launches may be pushed.
const RECENT_HEARTBEAT_MARGIN: Micros = Micros::millis(500);

/// Builds the command that is pushed to one agent.
struct PushBuilder<'a> {
    cell: &'a CellState,
    settings: &'a Settings,
    rules: &'a Rules,
    rounds: &'a Rounds,
    agent: &'a mut Agent,
    machine: MachineId,
    record: &'a MachineRecord,
    /// Whether launches may be pushed to the machine, see [`may_push_launches`].
    may_launch: bool,
    commands: Vec<Command>,
    launches: Vec<Attempt>,
}

impl PushBuilder<'_> {
    fn add_commands_for(&mut self, assignment: &Assignment) {
        let attempt = assignment.attempt();
        let job = self.cell.jobs.get(&attempt.task.job);
        let cancelled = job.is_none_or(Job::is_cancelled);
        let preempted = self.record.preempted.contains(assignment);
        match self.agent.reported_state(&attempt) {
            Some(TaskState::Exited(_)) => {}
            Some(_) if cancelled => self.commands.push(Command::Stop(attempt, Micros::ZERO)),
            Some(_) if preempted => self
                .commands
                .push(Command::Stop(attempt, grace_period(job))),
            Some(_) => {}
            None if cancelled || preempted => {}
            None => self.launch(attempt),
        }
    }

    fn launch(&mut self, attempt: Attempt) {
        if self.is_launch_allowed(attempt) && self.agent.launches_mut().note_sent(attempt) {
            self.commands.push(Command::Launch(attempt));
            self.launches.push(attempt);
        }
    }

    fn is_launch_allowed(&self, attempt: Attempt) -> bool {
        let job = attempt.task.job;
        self.may_launch
            && has_room(self.agent, self.cell, Some(self.record), &attempt)
            && !self.rounds.is_being_released(self.machine, attempt)
            && !exceeds_quota(self.cell, self.settings, job)
            && !self
                .rules
                .forbids_launch(self.cell, self.machine, self.record, job)
    }
}

/// Whether launches may be pushed to a machine. An agent without a recent heartbeat gets them in the response to its next one.
/// Stop commands are pushed to it all the same: it may receive commands although its heartbeats reach no controller.
fn may_push_launches(
    settings: &Settings,
    agent: &Agent,
    record: &MachineRecord,
    now: Micros,
) -> bool {
    let recent_heartbeat_limit = settings.heartbeat_interval * 2 + RECENT_HEARTBEAT_MARGIN;
    agent
        .acknowledged_at()
        .is_some_and(|at| now.since(at) < recent_heartbeat_limit)
        && record.health == MachineHealth::Schedulable
        && agent.reclaimed_at().is_none()
}

impl Controller {
    /// How long to wait for the response to a pushed command.
    const PUSH_TIMEOUT: Micros = Micros::millis(2_500);

    /// Pushes commands to the agents that may need them.
    pub(in crate::coordination) fn drive_agents(&mut self) {
        for machine in std::mem::take(&mut self.agents_to_command) {
            self.push_commands_to(machine);
        }
    }

    fn push_commands_to(&mut self, machine: MachineId) {
        let contact = self.contact_age();
        let Some(agent) = self.agents.get_mut(&machine) else {
            return;
        };
        if agent.launches_mut().defer_push() || agent.is_fenced() || contact > MAX_STATE_CONTACT_AGE
        {
            return;
        }
        let Some(record) = self.cell.machine(machine) else {
            return;
        };
        let may_launch = may_push_launches(&self.settings, agent, record, self.now.monotonic);
        let mut builder = PushBuilder {
            cell: &self.cell,
            settings: &self.settings,
            rules: &self.rules,
            rounds: &self.rounds,
            agent,
            machine,
            record,
            may_launch,
            commands: Vec::new(),
            launches: Vec::new(),
        };
        for assignment in &record.tasks {
            builder.add_commands_for(assignment);
        }
        let (commands, launches) = (builder.commands, builder.launches);
        if !commands.is_empty() {
            self.push_commands(machine, commands, launches);
        }
    }

    /// Handles the response to a pushed command: whether the command was executed, and a heartbeat. There is no result if the
    /// response did not arrive in time.
    pub(in crate::coordination) fn on_push_result(
        &mut self,
        call: CallId,
        machine: MachineId,
        result: Option<(bool, Heartbeat)>,
    ) {
        let now = self.now.monotonic;
        let Some(agent) = self.agents.get_mut(&machine) else {
            return;
        };
        let Some(pushed) = agent.launches_mut().end_push(call) else {
            return;
        };
        if agent.launches_mut().take_push_again() {
            self.agents_to_command.insert(machine);
        }
        let Some((executed, heartbeat)) = result else {
            agent.on_push_lost(now, pushed);
            return;
        };
        agent.on_commands_received(now);
        if !executed {
            tracing::debug!(%machine, token = pushed.fencing_token, theirs = heartbeat.fencing_token, "pushed commands refused");
            self.counters.pushes_refused += 1;
            for attempt in &pushed.launches {
                agent.launches_mut().drop_sent(attempt);
            }
        }
        let is_applicable = heartbeat.machine == machine
            && agent.is_newer(&heartbeat)
            && heartbeat.incarnation() > agent.fenced_incarnation();
        if is_applicable {
            let shard = self.cell.shard_of_machine(machine);
            self.apply_heartbeat(shard, &heartbeat);
            self.build_commands(shard, machine, Delivery::OutOfOrder);
        }
    }

    /// Pushes commands to an agent. An empty list is a probe: the response only shows whether the agent receives commands.
    pub(in crate::coordination) fn push_commands(
        &mut self,
        machine: MachineId,
        commands: Vec<Command>,
        launches: Vec<Attempt>,
    ) {
        let shard = self.cell.shard_of_machine(machine);
        let fencing_token = self.command_token(shard, machine);
        let Some(agent) = self.agents.get(&machine).filter(|a| a.can_be_probed()) else {
            return;
        };
        let (endpoint, incarnation) = (agent.endpoint().to_owned(), agent.incarnation());
        let body = command_body(fencing_token, incarnation, &commands);
        tracing::debug!(%machine, token = fencing_token, revision = self.cell.revision, incarnation, ?commands, "commands pushed");
        let call = self.register_call(Purpose::PushCommand(machine));
        if let Some(agent) = self.agents.get_mut(&machine) {
            agent.launches_mut().begin_push(PushedCommand {
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
            timeout: Self::PUSH_TIMEOUT,
        });
    }
}
