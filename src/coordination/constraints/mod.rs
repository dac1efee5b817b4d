//! Placement rules at a controller: which rule sets are in force, the constraints of each job, why jobs wait for
//! them, and the declaration and withdrawal of rule sets.
//!
//! The rule sets that controllers were started with are stored by digest. Every controller enforces each of them until
//! no controller uses it any more. So at no time during a rolling restart does one controller enforce only the old rules
//! and another only the new ones.

mod admission;
mod declaration;
mod job_constraints;
mod placement_filter;
mod preferences;
mod rule_sets;
mod waiting_reasons;

pub(super) use admission::Rejection;

use crate::coordination::Controller;
use crate::scheduler::constraints::{JobRef, MachineContext, PlacementContext};
use crate::storage::cell_state::CellState;
use crate::storage::ids::{JobId, MachineId, TaskId};
use crate::storage::machine_classes::ClassId;
use crate::storage::records::{
    Assignment, LATEST_FORMAT, LATEST_FORMAT_WITHOUT_RULES, MachineRecord, format_has_rules,
};
use crate::time::Micros;
use cometlead_constraints::RuleSet;
use declaration::Declaration;
use job_constraints::ConstrainedJobs;
use rule_sets::RuleSetsInForce;
use std::sync::Arc;

/// The placement rules that a controller knows, and what follows from them.
#[derive(Debug, Default)]
pub struct Rules {
    /// The rule set that this controller was started with.
    own: Option<Arc<RuleSet>>,
    in_force: RuleSetsInForce,
    jobs: ConstrainedJobs,
    declaration: Declaration,
    /// When the reasons of waiting jobs are next updated.
    next_reasons: Micros,
}

impl Rules {
    /// The rules of a controller that is started with this rule set.
    pub fn of(own: Option<Arc<RuleSet>>) -> Rules {
        let mut rules = Rules::default();
        if own.is_some() {
            rules.schedule_check();
        }
        rules.own = own;
        rules
    }

    /// Whether any rule is in force.
    pub fn active(&self) -> bool {
        self.in_force.unreadable() || !self.jobs.is_empty() || !self.in_force.sets().is_empty()
    }

    /// Digest of the rule set that this controller was started with.
    pub fn digest(&self) -> Option<u64> {
        self.own.as_ref().map(|set| set.digest)
    }

    /// Schedules reading the rule sets again from the cell state, because some were declared, changed or withdrawn, or
    /// the cell state was listed again.
    pub fn schedule_check(&mut self) {
        self.in_force.schedule_check();
    }

    /// Why a job waits, if rules are the cause.
    pub fn reason(&self, id: JobId) -> Option<Arc<str>> {
        self.jobs.reason(id)
    }

    /// Whether no machine that is up may run a job now.
    pub fn is_unschedulable(&self, id: JobId) -> bool {
        self.in_force.unreadable() || self.jobs.is_unschedulable(id)
    }

    /// Whether rules forbid the launch of an assigned task, because the rules or the jobs on its machine have changed since
    /// the assignment.
    pub fn forbids_launch(
        &self,
        cell: &CellState,
        machine: MachineId,
        record: &MachineRecord,
        id: JobId,
    ) -> bool {
        if self.in_force.unreadable() {
            return true;
        }
        let constraints = self.jobs.get(id);
        if constraints.is_none() && !self.jobs.tests_colocation() {
            return false;
        }
        let (Some(class), Some(job)) = (cell.classes.class_of_machine(machine), cell.jobs.get(&id))
        else {
            return false;
        };
        let residents = distinct_jobs(&record.tasks);
        let context = self.context(cell);
        let spec = job.spec();
        !context.admits(
            JobRef { id, spec },
            constraints,
            0,
            machine_context(&context, class, record, &residents),
        )
    }

    /// Whether a task that has not started must be stopped, because rules no longer allow its job on machines of this
    /// class.
    pub fn forbids_start(&self, cell: &CellState, machine: MachineId, id: JobId) -> bool {
        let Some(constraints) = self.jobs.get(id) else {
            return false;
        };
        cell.classes
            .class_of_machine(machine)
            .is_some_and(|class| !constraints.may_run_on(class, 0))
    }

    fn context<'a>(&'a self, cell: &'a CellState) -> PlacementContext<'a> {
        PlacementContext {
            jobs: &cell.jobs,
            job_constraints: self.jobs.constraints(),
            rules_test_colocation: self.jobs.tests_colocation(),
        }
    }
}

impl Controller {
    /// Sets the rule set that the controller is started with.
    pub fn with_rules(mut self, own: Option<Arc<RuleSet>>) -> Controller {
        self.rules = Rules::of(own);
        self
    }

    /// The record format that this controller aims for. Rules need a format of their own; the record format is raised to
    /// it only if rules are used.
    pub(super) fn target_format(&self) -> u32 {
        let uses_rules = self.rules.own.is_some() || self.enforces_rules();
        let required = if uses_rules {
            LATEST_FORMAT
        } else {
            LATEST_FORMAT_WITHOUT_RULES
        };
        self.record_format
            .min(required.max(self.cell.record_format()))
    }

    /// Whether every controller enforces rules.
    fn enforces_rules(&self) -> bool {
        format_has_rules(self.cell.record_format())
    }

    /// The current state that rules are evaluated against.
    pub(super) fn context(&self) -> PlacementContext<'_> {
        self.rules.context(&self.cell)
    }

    /// Rule sets were declared or withdrawn, or prices changed: pending tasks are planned again.
    pub(super) fn on_rules_changed(&mut self) {
        self.rules.schedule_check();
        self.refresh_rules();
        self.rounds.request();
        self.autoscaler.schedule_check();
    }
}

/// The distinct jobs of some assignments.
pub(super) fn distinct_jobs(tasks: &[Assignment]) -> Vec<JobId> {
    let mut jobs: Vec<JobId> = tasks.iter().map(|assignment| assignment.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs
}

/// The state of a machine that rules may depend on. `resident_jobs`: the jobs that have tasks on the machine.
fn machine_context<'a>(
    context: &PlacementContext<'_>,
    class: ClassId,
    record: &'a MachineRecord,
    resident_jobs: &'a [JobId],
) -> MachineContext<'a> {
    MachineContext {
        class,
        images: &record.images,
        fetching_image: None,
        residents: resident_jobs,
        restricts_colocation: resident_jobs
            .iter()
            .any(|job| context.restricts_colocation(*job)),
    }
}

/// Logs that rules forbid the launch of an assigned task.
pub(super) fn log_forbidden_launch(task: TaskId, machine: MachineId) {
    tracing::info!(%task, %machine, "task launch forbidden by rules");
}
