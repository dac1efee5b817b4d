//! When a job has to start, and what its machines may cost.

use crate::coordination::Controller;
use crate::protocol::settings::ObjectiveKind;
use crate::scheduler::provisioning::{core_price, price_limit};
use crate::storage::cell_state::Job;
use crate::storage::dependency_graph::expected_run;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::time::Micros;
use std::collections::BTreeSet;

impl Controller {
    /// The time of day by which a job's tasks should start to end as they should: an estimate is
    /// often wrong, of many tasks some run longer, and the image may have to be fetched.
    pub(in crate::coordination) fn latest_start(&self, job: &Job) -> Micros {
        let spec = job.spec();
        // Deadlines count from the submission, everything else from when the job could begin.
        let ready = job.record.submitted.max(job.dependency_state.ready_at);
        let due = spec.deadline.map_or_else(
            || ready + self.finish_aim(spec),
            |d| job.record.submitted + d,
        );
        let due = job.dependency_state.wanted_by.map_or(due, |by| by.min(due));
        let types = self.cell.machine_types();
        let fetch = types
            .filter(|t| spec.need.fits(&t.room))
            .map(|t| t.fetch_time(spec.size))
            .min();
        let start = due - (expected_run(spec) + fetch.unwrap_or_default());
        let aim = self
            .start_aim(spec)
            .filter(|aim| *aim >= self.shortest_boot());
        aim.map_or(start, |aim| start.min(ready + aim))
    }

    /// Most that a core may cost for a job: what is dear is for those that would be late, or have
    /// to start at once.
    pub(in crate::coordination) fn price_limit(&self, job: &Job) -> u64 {
        let spec = job.spec();
        let margin = Micros::secs(10) + Micros(spec.estimated_runtime.0 / 4);

        if self.starts_at_once(spec) || self.latest_start(job) < self.now.day + margin {
            u64::MAX
        } else {
            self.fair_price(spec)
        }
    }

    /// The same for placing: where nothing but what is dear is up, waiting for better would leave
    /// it idle, and paid for.
    pub(super) fn price_limit_among(
        &self,
        id: JobId,
        job: &Job,
        kinds: &BTreeSet<(&str, &str, bool)>,
    ) -> u64 {
        let spec = job.spec();
        if self.is_job_starved(id) {
            return u64::MAX;
        }
        let limit = self.price_limit(job);
        let cheap = |(machine_type, zone, spot): &(&str, &str, bool)| {
            self.cell.machine_type(machine_type).is_some_and(|t| {
                spec.need.fits(&t.room)
                    && spec.allows(machine_type, zone, *spot)
                    && core_price(t, *spot) <= limit
                    && self.may_provision(id, machine_type, zone, *spot)
            })
        };
        if limit < u64::MAX && !kinds.iter().any(cheap) {
            u64::MAX
        } else {
            limit
        }
    }

    pub(super) fn fair_price(&self, spec: &JobSpec) -> u64 {
        let allows =
            |machine_type: &str, zone: &str, spot: bool| spec.allows(machine_type, zone, spot);
        self.cell
            .types
            .value
            .as_ref()
            .map_or(u64::MAX, |catalog| price_limit(catalog, spec, &allows))
    }

    /// Whether the objectives want tasks of this class started at once.
    pub(super) fn starts_at_once(&self, spec: &JobSpec) -> bool {
        self.start_aim(spec)
            .is_some_and(|aim| aim < self.shortest_boot())
    }

    /// Within what time the objectives want tasks of this class started.
    fn start_aim(&self, spec: &JobSpec) -> Option<Micros> {
        let aims = self.objectives(spec).filter_map(|o| match o {
            ObjectiveKind::Wait(t) => Some(t),
            _ => None,
        });
        aims.min()
    }

    /// The least time that a machine takes to come up: what may start later than that has time.
    fn shortest_boot(&self) -> Micros {
        let types = self.cell.machine_types();
        types.map(|t| t.boot).min().unwrap_or(Micros::FOREVER)
    }

    fn objectives<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = ObjectiveKind> + 'a {
        let of_class = |class: &Option<String>| class.as_ref().is_none_or(|c| *c == spec.job_class);
        self.settings
            .objectives
            .iter()
            .filter(move |o| of_class(&o.class))
            .map(|o| o.kind)
    }

    /// Within what time a job without a deadline should be done: as the objectives want it, or
    /// some time that is long for it.
    fn finish_aim(&self, spec: &JobSpec) -> Micros {
        let aim = self.objectives(spec).find_map(|o| match o {
            ObjectiveKind::Finished(t) => Some(t),
            _ => None,
        });
        aim.unwrap_or(spec.estimated_runtime * 2 + Micros::secs(300))
    }
}
