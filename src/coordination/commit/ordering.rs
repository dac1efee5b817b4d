//! When a job has to start.

use crate::coordination::Controller;
use crate::protocol::settings::ObjectiveKind;
use crate::storage::cell_state::Job;
use crate::storage::dependency_graph::expected_runtime;
use crate::storage::job::JobSpec;
use crate::time::Micros;

impl Controller {
    /// The time of day by which a job's tasks should start in order to end in time: an estimate is
    /// often wrong, of many tasks some run longer, and the image may have to be fetched.
    pub(in crate::coordination) fn latest_start(&self, job: &Job) -> Micros {
        let spec = job.spec();
        // Deadlines count from the submission, everything else from when the job could begin.
        let ready_at = job.ready_since();
        let own_due = spec.deadline.map_or_else(
            || ready_at + self.finish_objective(spec),
            |deadline| job.record.submitted + deadline,
        );
        let due = job
            .dependency_state
            .required_by
            .map_or(own_due, |required_by| required_by.min(own_due));
        let latest_start = due - (expected_runtime(spec) + self.shortest_fetch(spec));
        let start_objective = self
            .start_objective(spec)
            .filter(|objective| *objective >= self.shortest_boot());
        start_objective.map_or(latest_start, |objective| {
            latest_start.min(ready_at + objective)
        })
    }

    /// The least time that a machine with room for a task takes to fetch its image.
    fn shortest_fetch(&self, spec: &JobSpec) -> Micros {
        self.cell
            .machine_types()
            .filter(|machine_type| spec.need.fits(&machine_type.room))
            .map(|machine_type| machine_type.fetch_time(spec.size))
            .min()
            .unwrap_or_default()
    }

    /// Whether the objectives require tasks of this class to start sooner than a machine boots.
    pub(super) fn starts_at_once(&self, spec: &JobSpec) -> bool {
        self.start_objective(spec)
            .is_some_and(|objective| objective < self.shortest_boot())
    }

    /// Within what time the objectives require tasks of this class to start.
    fn start_objective(&self, spec: &JobSpec) -> Option<Micros> {
        self.objectives(spec)
            .filter_map(|objective| match objective {
                ObjectiveKind::Wait(within) => Some(within),
                _ => None,
            })
            .min()
    }

    /// Within what time a job without a deadline should be done: as the objectives require it, or
    /// some time that is long for it.
    fn finish_objective(&self, spec: &JobSpec) -> Micros {
        const DEFAULT_RUNTIMES: u64 = 2;
        const DEFAULT_DELAY: Micros = Micros::secs(300);
        let objective = self.objectives(spec).find_map(|objective| match objective {
            ObjectiveKind::Finished(within) => Some(within),
            _ => None,
        });
        objective.unwrap_or(spec.estimated_runtime * DEFAULT_RUNTIMES + DEFAULT_DELAY)
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

    /// The least time that a machine takes to boot: what may start later than that has time.
    fn shortest_boot(&self) -> Micros {
        self.cell
            .machine_types()
            .map(|machine_type| machine_type.boot)
            .min()
            .unwrap_or(Micros::FOREVER)
    }
}
