//! The constraints of a job, in the form that placement and provisioning use.

use super::{distinct_jobs, machine_context};
use crate::coordination::Controller;
use crate::scheduler::constraints::{
    JobConstraints, JobRef, PlacementContext, RequiredPreferences,
};
use crate::scheduler::placement;
use crate::scheduler::provisioning::PlacementFilter;
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::machine_classes::ClassId;

/// Provisioning does not help a job: no machine that could be provisioned may run it, at least for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no machine that could be provisioned may run job {job}")]
pub(in crate::coordination) struct NoUsefulMachine {
    job: JobId,
}

impl Controller {
    /// The rules that restrict where the tasks of a job are placed. `context`: the current state, if any rule is in
    /// force.
    pub(in crate::coordination) fn rules_for<'b>(
        &'b self,
        id: JobId,
        job: &Job,
        context: Option<&'b PlacementContext<'b>>,
    ) -> Option<placement::PlacementRules<'b>> {
        let context = context?;
        let constraints = self.rules.jobs.get(id);
        let required_preferences = self.required_preferences(id, job);
        (constraints.is_some() || context.rules_test_colocation).then_some(
            placement::PlacementRules {
                context,
                constraints,
                required_preferences,
            },
        )
    }

    /// Whether rules allow a job on machines of a type, zone and kind.
    pub(in crate::coordination) fn rules_allow_offer(
        &self,
        id: JobId,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> bool {
        self.rules.jobs.get(id).is_none_or(|constraints| {
            self.cell
                .classes
                .class_of_offer(machine_type, zone, spot)
                .is_some_and(|class| constraints.may_run_on(class, 0))
        })
    }

    /// Whether rules allow a job on a machine, by its class.
    pub(in crate::coordination) fn rules_allow_machine(
        &self,
        id: JobId,
        machine: MachineId,
    ) -> bool {
        self.rules.jobs.get(id).is_none_or(|constraints| {
            self.cell
                .classes
                .class_of_machine(machine)
                .is_some_and(|class| constraints.may_run_on(class, 0))
        })
    }

    /// The machines that may be provisioned for a job; `None` if no rule restricts them.
    ///
    /// # Errors
    /// [`NoUsefulMachine`] if no machine that could be provisioned may run the job, at least for now.
    pub(in crate::coordination) fn placement_filter_for<'a>(
        &'a self,
        id: JobId,
        job: &'a Job,
    ) -> Result<Option<Box<dyn PlacementFilter + 'a>>, NoUsefulMachine> {
        let constraints = self.rules.jobs.get(id);
        if constraints.is_none() && !self.rules.jobs.tests_colocation() {
            return Ok(None);
        }
        let required_preferences = match constraints {
            Some(constraints) => self
                .preferences_to_provision(id, job, constraints)
                .ok_or(NoUsefulMachine { job: id })?,
            None => 0,
        };
        Ok(Some(Box::new(JobPlacementFilter {
            controller: self,
            job: JobRef {
                id,
                spec: job.spec(),
            },
            constraints,
            required_preferences,
        })))
    }

    /// The preferences that a machine must meet to be provisioned for a job; `None` if no machine that could be
    /// provisioned would help the job.
    fn preferences_to_provision(
        &self,
        id: JobId,
        job: &Job,
        constraints: &JobConstraints,
    ) -> Option<RequiredPreferences> {
        let possible = self.possible_classes(job.spec());
        let mut required = self.required_preferences(id, job);
        let shortest_wait = constraints
            .preferences_in(required)
            .map(|preference| self.remaining_wait(job, preference.wait))
            .min();
        if let Some(wait) = shortest_wait {
            let boot_times = |preferences| {
                possible
                    .iter()
                    .filter(move |class| constraints.may_run_on_new(**class, preferences))
                    .map(|class| self.boot_time(*class))
            };
            let met_in_time = boot_times(required).any(|boot_time| boot_time <= wait);
            if !met_in_time {
                // A machine that does not meet them would not help while the job still waits for them.
                if boot_times(0).min() < Some(wait) {
                    return None;
                }
                required = 0;
            }
        }
        possible
            .iter()
            .any(|class| constraints.may_run_on_new(*class, required))
            .then_some(required)
    }
}

/// The machines that rules allow for a job.
struct JobPlacementFilter<'a> {
    controller: &'a Controller,
    job: JobRef<'a>,
    constraints: Option<&'a JobConstraints>,
    required_preferences: RequiredPreferences,
}

impl JobPlacementFilter<'_> {
    fn may_run_on_new(&self, class: ClassId) -> bool {
        self.constraints
            .is_none_or(|constraints| constraints.may_run_on_new(class, self.required_preferences))
    }
}

impl PlacementFilter for JobPlacementFilter<'_> {
    fn allows_class(&self, class: ClassId) -> bool {
        self.constraints
            .is_none_or(|constraints| constraints.may_run_on(class, self.required_preferences))
    }

    fn allows_machine(&self, class: ClassId, machine: Option<MachineId>) -> bool {
        let Some(machine) = machine else {
            return self.may_run_on_new(class);
        };
        let Some(record) = self.controller.cell.machine(machine) else {
            return false;
        };
        let residents = distinct_jobs(&record.tasks);
        let context = self.controller.context();
        context.admits(
            self.job,
            self.constraints,
            self.required_preferences,
            machine_context(&context, class, record, &residents),
        )
    }

    fn offer_score(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u32> {
        let Some(constraints) = self.constraints else {
            return Some(0);
        };
        let classes = &self.controller.cell.classes;
        let class = classes.class_of_offer(machine_type, zone, spot)?;
        self.may_run_on_new(class)
            .then(|| constraints.score_when_new(class))
    }
}
