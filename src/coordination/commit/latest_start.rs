//! The latest start of a job, from its deadline and the objectives.

use crate::coordination::Controller;
use crate::protocol::settings::ObjectiveKind;
use crate::storage::cell_state::Job;
use crate::storage::dependency_graph::expected_runtime;
use crate::storage::job::JobSpec;
use crate::time::Micros;

impl Controller {
    /// The time of day by which a job's tasks should start in order to end in time. The expected
    /// runtime is longer than the estimate, since estimates are often wrong and some of many tasks run
    /// longer; the image may have to be fetched, too.
    pub(in crate::coordination) fn latest_start(&self, job: &Job) -> Micros {
        let spec = job.spec();
        // Deadlines count from the submission, objectives from when the job was ready to start.
        let ready_at = job.ready_since();
        let own_due_at = spec.deadline.map_or_else(
            || ready_at + self.finish_objective(spec),
            |deadline| job.record.submitted + deadline,
        );
        let due_at = job
            .dependency_state
            .required_by
            .map_or(own_due_at, |required_by| required_by.min(own_due_at));
        let latest_start = due_at - (expected_runtime(spec) + self.shortest_fetch(spec));
        let start_objective = self
            .start_objective(spec)
            .filter(|objective| *objective >= self.shortest_boot());
        start_objective.map_or(latest_start, |objective| {
            latest_start.min(ready_at + objective)
        })
    }

    /// The shortest time in which a machine that is large enough for a task can fetch its image.
    fn shortest_fetch(&self, spec: &JobSpec) -> Micros {
        self.cell
            .machine_types()
            .filter(|machine_type| spec.need.fits(&machine_type.capacity))
            .map(|machine_type| machine_type.fetch_time(spec.image_size))
            .min()
            .unwrap_or_default()
    }

    /// Whether the objectives require tasks of this class to start sooner than a machine boots.
    pub(super) fn starts_at_once(&self, spec: &JobSpec) -> bool {
        self.start_objective(spec)
            .is_some_and(|objective| objective < self.shortest_boot())
    }

    /// The time within which the objectives require tasks of this class to start.
    fn start_objective(&self, spec: &JobSpec) -> Option<Micros> {
        self.objectives(spec)
            .filter_map(|objective| match objective {
                ObjectiveKind::Wait(within) => Some(within),
                _ => None,
            })
            .min()
    }

    /// The time within which a job without a deadline should be done: as the objectives require, or a
    /// time that is long compared to its estimated runtime.
    fn finish_objective(&self, spec: &JobSpec) -> Micros {
        const DEFAULT_RUNTIME_FACTOR: u64 = 2;
        const DEFAULT_EXTRA_DELAY: Micros = Micros::secs(300);
        let objective = self.objectives(spec).find_map(|objective| match objective {
            ObjectiveKind::Finished(within) => Some(within),
            _ => None,
        });
        objective.unwrap_or(spec.estimated_runtime * DEFAULT_RUNTIME_FACTOR + DEFAULT_EXTRA_DELAY)
    }

    fn objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = ObjectiveKind> + 'a {
        let is_for_class =
            |class: &Option<String>| class.as_ref().is_none_or(|class| *class == spec.job_class);
        self.settings
            .objectives
            .iter()
            .filter(move |objective| is_for_class(&objective.class))
            .map(|objective| objective.kind)
    }

    /// The shortest boot time of all machine types: work that may start later than that is not urgent.
    fn shortest_boot(&self) -> Micros {
        self.cell
            .machine_types()
            .map(|machine_type| machine_type.boot_time)
            .min()
            .unwrap_or(Micros::FOREVER)
    }
}
