//! Evaluation of rules against the current state of a machine: its images and the jobs that have tasks there.

use super::evaluation::{JobConstraints, RequiredPreferences};
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::storage::live_job::Job;
use crate::storage::machine_classes::ClassId;
use cometlead_constraints::MachineState;
use cometlead_constraints::expr::{Field, Words};
use std::collections::HashMap;
use std::sync::Arc;

/// A job and its specification.
#[derive(Clone, Copy, Debug)]
pub struct JobRef<'a> {
    /// The job.
    pub id: JobId,
    /// Its specification.
    pub spec: &'a JobSpec,
}

impl JobRef<'_> {
    /// Whether a property of the job is one of these words.
    fn matches(&self, field: Field, words: &Words) -> bool {
        match field {
            Field::JobClass => words.contains(&self.spec.job_class),
            Field::Team => words.contains(&self.spec.team),
            Field::Image => words.contains(&self.spec.image),
            Field::Priority => words.contains(self.spec.priority.name()),
            Field::Job => words.contains(&self.id.to_string()),
        }
    }
}

/// Jobs and their constraints, as far as rules about the current state of machines need them.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Live jobs.
    pub jobs: &'a HashMap<JobId, Job>,
    /// Constraints of the jobs that some rule concerns.
    pub job_constraints: &'a HashMap<JobId, JobConstraints>,
    /// Whether any rule tests colocated jobs.
    pub rules_test_colocation: bool,
}

/// The current state of a machine, as far as rules may test it.
#[derive(Clone, Copy, Debug)]
pub struct MachineContext<'a> {
    /// Its class.
    pub class: ClassId,
    /// Images that it holds or fetches.
    pub images: &'a [(Arc<str>, u64)],
    /// An additional image, which it has to fetch for tasks placed by the plan.
    pub fetching_image: Option<&'a str>,
    /// Jobs with tasks there.
    pub residents: &'a [JobId],
    /// Whether the rules of any of these jobs restrict which jobs may be colocated with it.
    pub restricts_colocation: bool,
}

/// A machine as the rules of one job see it.
pub(super) struct MachineView<'a> {
    context: &'a PlacementContext<'a>,
    machine: MachineContext<'a>,
    job: JobId,
    image: &'a str,
    /// A further job that is to be placed on the machine.
    incoming_job: Option<JobRef<'a>>,
}

impl MachineView<'_> {
    fn has_image(&self, image: &str) -> bool {
        self.machine.fetching_image == Some(image)
            || self.machine.images.iter().any(|(name, _)| **name == *image)
    }
}

impl MachineState for MachineView<'_> {
    fn has_own_image(&self) -> bool {
        self.has_image(self.image)
    }

    fn has_any_image(&self, images: &Words) -> bool {
        images.iter().any(|image| self.has_image(image))
    }

    fn has_colocated(&self, field: Field, words: &Words) -> bool {
        let other_residents = self.machine.residents.iter().filter(|id| **id != self.job);
        let other_jobs = other_residents.filter_map(|id| {
            let spec = self.context.jobs.get(id)?.spec();
            Some(JobRef { id: *id, spec })
        });
        other_jobs
            .chain(self.incoming_job)
            .any(|job| job.matches(field, words))
    }
}

impl PlacementContext<'_> {
    /// Whether rules of a job restrict which jobs may be colocated with it.
    pub fn restricts_colocation(&self, job: JobId) -> bool {
        self.rules_test_colocation
            && self
                .job_constraints
                .get(&job)
                .is_some_and(JobConstraints::tests_colocation)
    }

    /// Whether rules admit a task of a job to a machine: its own and those of the jobs there.
    pub fn admits(
        &self,
        job: JobRef<'_>,
        constraints: Option<&JobConstraints>,
        required_preferences: RequiredPreferences,
        machine: MachineContext<'_>,
    ) -> bool {
        let view = self.machine_view(job, machine);
        let own_rules_hold = constraints.is_none_or(|constraints| {
            constraints.holds(machine.class, required_preferences, &view)
        });
        own_rules_hold && self.residents_admit(job, machine)
    }

    /// Whether the rules of all jobs on a machine admit another job.
    fn residents_admit(&self, incoming_job: JobRef<'_>, machine: MachineContext<'_>) -> bool {
        !machine.restricts_colocation
            || machine.residents.iter().all(|resident| {
                *resident == incoming_job.id
                    || self.resident_admits(*resident, incoming_job, machine)
            })
    }

    /// Whether the rules of a job with tasks on a machine admit another job.
    fn resident_admits(
        &self,
        resident: JobId,
        incoming_job: JobRef<'_>,
        machine: MachineContext<'_>,
    ) -> bool {
        let Some(constraints) = self.job_constraints.get(&resident) else {
            return true;
        };
        let view = MachineView {
            context: self,
            machine,
            job: resident,
            image: self.jobs.get(&resident).map_or("", |job| &job.spec().image),
            incoming_job: Some(incoming_job),
        };
        constraints.requirements().iter().all(|requirement| {
            !requirement.tests_job(|field, words| incoming_job.matches(field, words))
                || requirement.holds(machine.class, &view)
        })
    }

    /// Total weight of the job's preferences that a machine meets.
    pub fn score(
        &self,
        job: JobRef<'_>,
        constraints: Option<&JobConstraints>,
        machine: MachineContext<'_>,
    ) -> u32 {
        constraints.map_or(0, |constraints| {
            constraints.score(machine.class, &self.machine_view(job, machine))
        })
    }

    /// A machine as the rules of a job see it.
    pub(super) fn machine_view<'a>(
        &'a self,
        job: JobRef<'a>,
        machine: MachineContext<'a>,
    ) -> MachineView<'a> {
        MachineView {
            context: self,
            machine,
            job: job.id,
            image: &job.spec.image,
            incoming_job: None,
        }
    }
}
