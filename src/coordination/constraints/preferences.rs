//! Preferences that jobs still wait for.

use super::Rules;
use crate::coordination::Controller;
use crate::scheduler::constraints::{JobConstraints, RequiredPreferences};
use crate::storage::cell_state::Job;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::{Class, ClassId};
use crate::time::Micros;

impl Rules {
    /// Whether any job waits for a preference.
    pub(super) fn any_job_waits_for_preference(&self) -> bool {
        self.jobs
            .constraints()
            .values()
            .any(JobConstraints::waits_for_preferences)
    }
}

impl Controller {
    /// The preferences that a job still waits for; none once its latest start has passed.
    pub(in crate::coordination) fn required_preferences(
        &self,
        id: JobId,
        job: &Job,
    ) -> RequiredPreferences {
        let waiting = self
            .rules
            .jobs
            .get(id)
            .filter(|constraints| constraints.waits_for_preferences());
        let Some(constraints) = waiting else {
            return 0;
        };
        let now = self.now.time_of_day;
        if now >= self.latest_start(job) {
            return 0;
        }
        let ready_at = job.ready_since();
        let is_waiting = |wait: Micros| now < ready_at + wait;
        let in_time =
            |class: ClassId, wait| self.cell.classes.is_up(class) || self.boot_time(class) <= wait;
        let possible = self.possible_classes(job.spec());
        constraints.required_preferences(&possible, &is_waiting, &in_time)
    }

    /// How long a job still waits for a preference with this wait.
    pub(super) fn remaining_wait(&self, job: &Job, wait: Micros) -> Micros {
        (job.ready_since() + wait).since(self.now.time_of_day)
    }

    /// Expected boot time of a machine of a class.
    pub(super) fn boot_time(&self, class: ClassId) -> Micros {
        self.expected_boot_time(&self.cell.classes.all()[class].machine_type)
    }

    /// Classes of machines that are up or could be provisioned, and that the specification of a job allows.
    pub(super) fn possible_classes(&self, spec: &JobSpec) -> Vec<ClassId> {
        let classes = &self.cell.classes;
        let task_fits = |class: &Class| {
            self.cell
                .machine_type(&class.machine_type)
                .is_some_and(|entry| spec.need.fits(&entry.capacity))
        };
        let is_possible = |id: &ClassId| {
            let class = &classes.all()[*id];
            classes.is_possible(*id)
                && spec.allows(&class.machine_type, &class.zone, class.spot)
                && task_fits(class)
        };
        (0..classes.all().len()).filter(is_possible).collect()
    }

    /// Whether a machine may meet the preference of a job with the largest weight, by its class; `None` if the job
    /// has no preferences.
    pub(in crate::coordination) fn preference_met(
        &self,
        id: JobId,
        machine: MachineId,
    ) -> Option<bool> {
        let weightiest = self.rules.jobs.get(id)?.preferences().first()?;
        let class = self.cell.classes.class_of_machine(machine);
        Some(class.is_some_and(|class| weightiest.may_meet(class)))
    }
}
