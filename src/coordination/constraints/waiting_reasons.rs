//! Why jobs wait, where rules are the cause.

use super::{distinct_jobs, machine_context};
use crate::coordination::Controller;
use crate::scheduler::constraints::{JobConstraints, JobRef, smallest_conflict};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::machine_classes::ClassId;
use crate::storage::records::MachineRecord;
use crate::time::Micros;

/// Time between two updates of the reasons.
const REASONS_INTERVAL: Micros = Micros::secs(1);

/// A machine that is up and matches the specification of a job.
struct MatchingMachine<'a> {
    class: ClassId,
    record: &'a MachineRecord,
    residents: Vec<JobId>,
}

impl Controller {
    /// Updates the reasons why jobs wait, and plans again while jobs wait for preferences, because such waits end with time.
    pub(in crate::coordination) fn tick_rules(&mut self) {
        let now = self.now.monotonic;
        if now < self.rules.next_reasons || !self.replica.is_ready() {
            return;
        }
        self.rules.next_reasons = now + REASONS_INTERVAL;
        self.refresh_unschedulable_jobs();
        if !self.rules.active() {
            return;
        }
        self.refresh_reasons();
        if self.rules.any_job_waits_for_preference() {
            self.rounds.request();
            self.autoscaler.schedule_check();
        }
    }

    fn refresh_reasons(&mut self) {
        let reasons: Vec<(JobId, Option<String>)> = self
            .rules
            .jobs
            .constraints()
            .iter()
            .map(|(id, constraints)| (*id, self.waiting_reason(*id, constraints)))
            .collect();
        for (id, reason) in reasons {
            if !self.rules.jobs.set_reason(id, reason) {
                continue;
            }
            match self.rules.reason(id) {
                Some(reason) => tracing::info!(job = %id, %reason, "job blocked by rules"),
                None => tracing::info!(job = %id, "job no longer blocked by rules"),
            }
        }
    }

    /// Why a job with pending tasks waits, if rules are the cause.
    fn waiting_reason(&self, id: JobId, constraints: &JobConstraints) -> Option<String> {
        let job = self.cell.jobs.get(&id)?;
        if !job.is_ready() || self.cell.pending_count(id, job) == 0 {
            return None;
        }
        let catalog = self.cell.types.value.as_ref()?;
        let sets = self.rules.in_force.sets();
        let conflicting =
            smallest_conflict(job.spec(), constraints, sets, &self.cell.classes, catalog);
        if let Some(conflicting) = conflicting {
            return Some(format!(
                "no machine that could be had meets all of: {}",
                conflicting.join(", ")
            ));
        }
        if self.rules.jobs.is_unschedulable(id) {
            return Some(self.unschedulable_reason(id, job, constraints));
        }
        self.preference_reason(id, job, constraints)
    }

    /// Why no machine that is up may run a job.
    fn unschedulable_reason(&self, id: JobId, job: &Job, constraints: &JobConstraints) -> String {
        let spec = job.spec();
        let context = self.context();
        let machines: Vec<MatchingMachine<'_>> = self
            .cell
            .schedulable_machines()
            .filter(|(_, record)| spec.allows(&record.machine_type, &record.zone, record.spot))
            .filter_map(|(machine, record)| {
                Some(MatchingMachine {
                    class: self.cell.classes.class_of_machine(machine)?,
                    record,
                    residents: distinct_jobs(&record.tasks),
                })
            })
            .collect();
        let machines = machines.iter().map(|machine| {
            machine_context(&context, machine.class, machine.record, &machine.residents)
        });
        match context.blocking_rules(JobRef { id, spec }, constraints, machines) {
            Some(rules) if !rules.is_empty() => {
                format!("no machine that is up meets: {}", rules.join(", "))
            }
            Some(_) => "no machine that is up fits".to_owned(),
            None => "rules of the jobs on the machines that are up keep it away".to_owned(),
        }
    }

    /// The preferences that a job waits for while no machine that is up meets them.
    fn preference_reason(
        &self,
        id: JobId,
        job: &Job,
        constraints: &JobConstraints,
    ) -> Option<String> {
        let required = self.required_preferences(id, job);
        let classes = &self.cell.classes;
        let any_up = (0..classes.all().len())
            .any(|class| classes.is_up(class) && constraints.may_run_on(class, required));
        if required == 0 || any_up {
            return None;
        }
        let names: Vec<&str> = constraints
            .preferences_in(required)
            .map(|preference| preference.name.as_str())
            .collect();
        Some(format!(
            "for a while, a machine is waited for that meets: {}",
            names.join(", ")
        ))
    }
}
