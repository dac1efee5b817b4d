//! The steps of the model: reads, plans, deliveries, lost responses, a crash.

use super::super::{PlannedTransaction, TransactionBuilder, TransactionLimits};
use super::state::{Process, SentTransaction, State, leader_change};
use super::{CORES_LIMIT, JOB, MACHINES, TASK_CORES, TASKS, TEAM, max_failures};
use crate::coordination::agents::AssignmentOutcome;
use crate::storage::cell_state::{CellState, Job};
use crate::storage::ids::{Attempt, MachineId, ShardId, TaskId};
use std::collections::BTreeSet;
use std::rc::Rc;

fn transaction(cell: &CellState) -> TransactionBuilder<'_> {
    let limits = TransactionLimits {
        changes: 12,
        conditions: 48,
        value_bytes: 4_096,
        stored_value_bytes: 4_096,
        oversized_may_grow: false,
        group_bytes: 2_048,
    };
    TransactionBuilder::new(cell, limits)
}

impl State {
    /// All states that may follow this one.
    pub fn steps(&self) -> Vec<State> {
        let mut steps = Vec::new();
        for (index, process) in self.processes.iter().enumerate() {
            if !process.awaits_response {
                self.read(index, &mut steps);
            }
            if !process.awaits_response && !process.must_read_all {
                self.plan(index, &mut steps);
            }
        }
        for index in 0..self.sent.len() {
            steps.push(self.deliver(index));
            steps.extend(self.lose_response(index));
        }
        if self.crashes == 0 {
            self.crash(&mut steps);
        }
        steps
    }

    /// A process reads transactions that it has not applied: the next one, or all.
    fn read(&self, index: usize, steps: &mut Vec<State>) {
        let applied = self.processes[index].applied;
        if applied == self.log.len() {
            return;
        }
        for read_to in BTreeSet::from([applied + 1, self.log.len()]) {
            let mut next = self.clone();
            next.processes[index].applied = read_to;
            next.processes[index].must_read_all &= read_to < self.log.len();
            steps.push(next);
        }
    }

    /// A process sends one of the transactions that it may plan on its replica.
    fn plan(&self, index: usize, steps: &mut Vec<State>) {
        let cell = self.replica(&self.processes[index]);
        let leads = |shard: ShardId| {
            cell.leaders[shard]
                .value
                .as_ref()
                .is_some_and(|leader| leader.incarnation.0 == self.processes[index].incarnation)
        };
        let Some(job) = cell.jobs.get(&JOB) else {
            return;
        };
        if leads(0) {
            self.plan_assignments(index, &cell, job, steps);
            self.plan_end(index, &cell, job, steps);
        }
        for (shard, machine) in MACHINES.into_iter().enumerate() {
            if leads(shard) {
                self.plan_releases(index, &cell, shard, machine, steps);
            }
        }
    }

    fn plan_assignments(
        &self,
        process: usize,
        cell: &CellState,
        job: &Job,
        steps: &mut Vec<State>,
    ) {
        let pending = cell.pending(JOB, job);
        for (index, machine) in pending.flat_map(|index| MACHINES.map(|machine| (index, machine))) {
            let mut transaction = transaction(cell);
            let used = transaction.used(0, TEAM).cores;
            let attempt = Attempt {
                task: TaskId { job: JOB, index },
                number: cell.latest,
            };
            if used + TASK_CORES <= CORES_LIMIT && transaction.assign(machine, attempt) {
                steps.push(self.send(process, transaction.build(), Vec::new()));
            }
        }
    }

    fn plan_end(&self, process: usize, cell: &CellState, job: &Job, steps: &mut Vec<State>) {
        let has_ended = job.finished_count() >= TASKS && cell.assigned(JOB).is_none();
        let mut transaction = transaction(cell);
        if has_ended && transaction.end_done(JOB) {
            steps.push(self.send(process, transaction.build(), Vec::new()));
        }
    }

    fn plan_releases(
        &self,
        process: usize,
        cell: &CellState,
        shard: ShardId,
        machine: MachineId,
        steps: &mut Vec<State>,
    ) {
        let assignments = cell
            .machine(machine)
            .map_or(&[][..], |record| &record.tasks);
        for assignment in assignments {
            let attempt = assignment.attempt();
            let mut completion = transaction(cell);
            if completion.release(machine, attempt, AssignmentOutcome::Done, shard) {
                let completed_tasks = vec![attempt.task.index];
                steps.push(self.send(process, completion.build(), completed_tasks));
            }
            let mut lost_task_release = transaction(cell);
            if self.failures < max_failures()
                && lost_task_release.release(machine, attempt, AssignmentOutcome::Reassign, shard)
            {
                let mut next = self.send(process, lost_task_release.build(), Vec::new());
                next.failures += 1;
                steps.push(next);
            }
        }
    }

    fn send(&self, process: usize, commit: PlannedTransaction, completed_tasks: Vec<u32>) -> State {
        let mut next = self.clone();
        let writes = commit
            .txn
            .changes
            .iter()
            .map(|put| {
                let value = put.value.as_ref().map(|value| value.get().to_owned());
                (put.key.clone(), value)
            })
            .collect();
        next.sent.push(SentTransaction {
            writes,
            commit: Rc::new(commit),
            awaited_by: Some(process),
            completed_tasks,
        });
        next.processes[process].awaits_response = true;
        next
    }

    /// The store applies a transaction if its conditions hold, and responds.
    fn deliver(&self, index: usize) -> State {
        let mut next = self.clone();
        let sent = next.sent.remove(index);
        let store = self.store();
        let conditions = &sent.commit.txn.conditions;
        let conditions_hold = conditions
            .iter()
            .all(|(key, revision)| store.mod_revision(key) == *revision);
        if conditions_hold {
            next.done.extend(&sent.completed_tasks);
            next.log.push(Rc::new(sent.commit.changes.clone()));
        }
        if let Some(process) = sent.awaited_by {
            let applied = next.log.len() - 1;
            let process = &mut next.processes[process];
            process.awaits_response = false;
            process.must_read_all = !conditions_hold;
            if conditions_hold {
                process.applied_ahead.push(applied);
            }
        }
        next
    }

    /// The response is lost and the process stops waiting, but the transaction may still be applied.
    /// This happens at most once in a run.
    fn lose_response(&self, index: usize) -> Option<State> {
        let process = self.sent[index]
            .awaited_by
            .filter(|_| self.lost_responses == 0)?;
        let mut next = self.clone();
        next.lost_responses += 1;
        next.sent[index].awaited_by = None;
        next.processes[process].awaits_response = false;
        next.processes[process].must_read_all = true;
        Some(next)
    }

    /// The first process crashes; the transactions that it sent may still be applied. Its next
    /// incarnation takes over the shard. Its replica contains the takeover at once, and everything else
    /// as it was at some earlier time.
    fn crash(&self, steps: &mut Vec<State>) {
        const NEXT_INCARNATION: u64 = 2;
        let mut next = self.clone();
        next.crashes += 1;
        for sent in &mut next.sent {
            if sent.awaited_by == Some(0) {
                sent.awaited_by = None;
            }
        }
        next.log
            .push(Rc::new(vec![leader_change(0, NEXT_INCARNATION)]));
        let takeover = next.log.len() - 1;
        for applied in 1..=self.log.len() {
            let mut restarted = next.clone();
            restarted.processes[0] = Process::new(NEXT_INCARNATION, applied, vec![takeover]);
            steps.push(restarted);
        }
    }
}
