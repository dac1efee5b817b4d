//! The constraints of each job that a rule concerns, kept up to date with the cell state.

use super::{Rules, distinct_jobs, machine_context};
use crate::coordination::Controller;
use crate::scheduler::constraints::{ClassTraits, JobConstraints, JobRef, traits};
use crate::storage::catalog::Catalog;
use crate::storage::cell_state::CellState;
use crate::storage::ids::JobId;
use crate::storage::machine_classes::ClassId;
use crate::storage::records::MachineRecord;
use cometlead_constraints::RuleSet;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// The version of the cell state that class traits were derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TraitsVersion {
    catalog_revision: u64,
    class_generation: u64,
}

impl TraitsVersion {
    fn of(cell: &CellState) -> TraitsVersion {
        TraitsVersion {
            catalog_revision: cell.types.mod_revision,
            class_generation: cell.classes.generation(),
        }
    }
}

/// The jobs that some rule concerns.
#[derive(Debug, Default)]
pub(super) struct ConstrainedJobs {
    /// Traits of each class under each rule set.
    traits: Vec<ClassTraits>,
    traits_version: TraitsVersion,
    constraints: HashMap<JobId, JobConstraints>,
    /// Jobs that no machine that is up may run.
    unschedulable: HashSet<JobId>,
    /// Why jobs wait, where rules are the cause.
    reasons: HashMap<JobId, Arc<str>>,
    /// Whether any rule depends on the jobs that share a machine.
    tests_colocation: bool,
    /// Jobs that were submitted, changed or ended since the last refresh.
    changed: BTreeSet<JobId>,
}

impl ConstrainedJobs {
    pub(super) fn is_empty(&self) -> bool {
        self.constraints.is_empty()
    }

    pub(super) fn get(&self, id: JobId) -> Option<&JobConstraints> {
        self.constraints.get(&id)
    }

    pub(super) fn constraints(&self) -> &HashMap<JobId, JobConstraints> {
        &self.constraints
    }

    /// Traits of each class under each rule set.
    pub(super) fn traits(&self) -> &[ClassTraits] {
        &self.traits
    }

    /// Whether any rule depends on the jobs that share a machine.
    pub(super) fn tests_colocation(&self) -> bool {
        self.tests_colocation
    }

    pub(super) fn is_unschedulable(&self, id: JobId) -> bool {
        self.unschedulable.contains(&id)
    }

    pub(super) fn reason(&self, id: JobId) -> Option<Arc<str>> {
        self.reasons.get(&id).cloned()
    }

    /// Replaces the reason why a job waits; returns whether it differs from the last one.
    pub(super) fn set_reason(&mut self, id: JobId, reason: Option<String>) -> bool {
        if self.reasons.get(&id).map(|known| &**known) == reason.as_deref() {
            return false;
        }
        match reason {
            Some(reason) => self.reasons.insert(id, reason.into()),
            None => self.reasons.remove(&id),
        };
        true
    }

    /// Brings the constraints up to date with the cell state. `sets_changed`: whether the rule sets were read again.
    fn refresh(&mut self, sets: &[Arc<RuleSet>], sets_changed: bool, cell: &CellState) {
        let is_unused = sets.is_empty() && self.constraints.is_empty() && self.changed.is_empty();
        if is_unused && !sets_changed {
            return;
        }
        let Some(catalog) = &cell.types.value else {
            return;
        };
        if sets_changed || self.traits_version != TraitsVersion::of(cell) {
            self.refresh_traits(sets, catalog, cell);
        }
        if self.changed.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.changed) {
            self.refresh_job(id, sets, cell);
        }
        self.tests_colocation = self
            .constraints
            .values()
            .any(JobConstraints::tests_colocation);
    }

    fn refresh_traits(&mut self, sets: &[Arc<RuleSet>], catalog: &Catalog, cell: &CellState) {
        self.traits = cell
            .classes
            .all()
            .iter()
            .map(|class| traits(class, sets, catalog))
            .collect();
        self.traits_version = TraitsVersion::of(cell);
        self.changed.extend(cell.jobs.keys().copied());
        self.changed.extend(self.constraints.keys().copied());
    }

    /// Evaluates the rules of a job again. The reason why the job waits is kept until the next update of the reasons.
    fn refresh_job(&mut self, id: JobId, sets: &[Arc<RuleSet>], cell: &CellState) {
        self.unschedulable.remove(&id);
        let constraints = cell
            .jobs
            .get(&id)
            .and_then(|job| JobConstraints::of(job.spec(), sets, &self.traits));
        match constraints {
            Some(constraints) => {
                self.constraints.insert(id, constraints);
            }
            None => {
                self.constraints.remove(&id);
                self.reasons.remove(&id);
            }
        }
    }
}

impl Rules {
    /// Brings the rule sets and the constraints of all jobs up to date with the cell state.
    fn refresh(&mut self, cell: &mut CellState) {
        if cell.types.value.is_none() {
            return;
        }
        let sets_changed = self.in_force.refresh(self.own.as_ref(), cell);
        self.jobs.refresh(self.in_force.sets(), sets_changed, cell);
    }

    /// Marks a job as changed, if rules may concern it.
    fn mark_job_changed(&mut self, cell: &CellState, id: JobId) {
        let has_own_rules = || {
            cell.jobs
                .get(&id)
                .is_some_and(|job| !job.spec().rules.is_empty())
        };
        let may_concern = !self.in_force.sets().is_empty()
            || self.jobs.constraints.contains_key(&id)
            || has_own_rules();
        if may_concern {
            self.jobs.changed.insert(id);
        }
    }

    fn refresh_unschedulable_jobs(&mut self, cell: &CellState) {
        let unschedulable = self
            .jobs
            .constraints
            .iter()
            .filter(|(id, constraints)| self.no_machine_admits(cell, **id, constraints))
            .map(|(id, _)| *id)
            .collect();
        self.jobs.unschedulable = unschedulable;
    }

    /// Whether a job has pending tasks and no machine that is up may run them in its current state.
    fn no_machine_admits(&self, cell: &CellState, id: JobId, constraints: &JobConstraints) -> bool {
        let Some(job) = cell
            .jobs
            .get(&id)
            .filter(|job| cell.pending_count(id, job) > 0)
        else {
            return false;
        };
        let job = JobRef {
            id,
            spec: job.spec(),
        };
        let classes = &cell.classes;
        let mut admitting = (0..classes.all().len())
            .filter(|class| classes.is_up(*class) && constraints.may_run_on(*class, 0))
            .peekable();
        if admitting.peek().is_none() {
            return true;
        }
        // The machines are examined one by one only if, in every class, it depends on their state whether the job may run.
        admitting.all(|class| constraints.depends_on_state(class))
            && !self.any_machine_admits(cell, job, constraints)
    }

    fn any_machine_admits(
        &self,
        cell: &CellState,
        job: JobRef<'_>,
        constraints: &JobConstraints,
    ) -> bool {
        let context = self.context(cell);
        let admits = |class: ClassId, record: &MachineRecord| {
            let residents = distinct_jobs(&record.tasks);
            let machine = machine_context(&context, class, record, &residents);
            context.admits(job, Some(constraints), 0, machine)
        };
        cell.schedulable_machines().any(|(machine, record)| {
            cell.classes
                .class_of_machine(machine)
                .is_some_and(|class| admits(class, record))
        })
    }
}

impl Controller {
    /// A job was submitted, changed or ended.
    pub(in crate::coordination) fn on_rules_of_job_changed(&mut self, id: JobId) {
        self.rules.mark_job_changed(&self.cell, id);
    }

    /// Brings the rules up to date with the cell state.
    pub(in crate::coordination) fn refresh_rules(&mut self) {
        self.rules.refresh(&mut self.cell);
    }

    /// Brings the rules up to date, and then the jobs that no machine that is up may run: such jobs are left out of the
    /// plan.
    pub(in crate::coordination) fn refresh_unschedulable_jobs(&mut self) {
        self.refresh_rules();
        if self.rules.active() {
            self.rules.refresh_unschedulable_jobs(&self.cell);
        }
    }
}
