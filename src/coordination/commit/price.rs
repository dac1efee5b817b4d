//! Price limits: the most that a machine may cost for a job.

use super::placement_requests::MachineKind;
use crate::coordination::Controller;
use crate::scheduler::provisioning::{core_price, price_limit};
use crate::storage::cell_state::Job;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::time::Micros;
use std::collections::BTreeSet;

impl Controller {
    /// Most that a core may cost for a job. Expensive machines are only for jobs that would be late
    /// otherwise, or that must start at once.
    pub(in crate::coordination) fn price_limit(&self, job: &Job) -> u64 {
        const MIN_LATENESS_MARGIN: Micros = Micros::secs(10);
        let spec = job.spec();
        let margin = MIN_LATENESS_MARGIN + Micros(spec.estimated_runtime.0 / 4);
        if self.starts_at_once(spec) || self.latest_start(job) < self.now.time_of_day + margin {
            u64::MAX
        } else {
            self.regular_price_limit(spec)
        }
    }

    /// Most that a core may cost for a job that is to be placed. There is no limit if only expensive
    /// machines are up that fit the job: waiting for cheaper ones would leave these idle at full cost.
    pub(super) fn placement_price_limit(
        &self,
        id: JobId,
        job: &Job,
        machine_kinds: &BTreeSet<MachineKind<'_>>,
    ) -> u64 {
        if self.is_job_starved(id) || self.has_reservation(id) {
            return u64::MAX;
        }
        let limit = self.price_limit(job);
        let is_affordable =
            |kind: &MachineKind<'_>| self.is_kind_affordable(id, job.spec(), kind, limit);
        if limit < u64::MAX && !machine_kinds.iter().any(is_affordable) {
            u64::MAX
        } else {
            limit
        }
    }

    fn is_kind_affordable(
        &self,
        id: JobId,
        spec: &JobSpec,
        kind: &MachineKind<'_>,
        limit: u64,
    ) -> bool {
        let MachineKind {
            machine_type,
            zone,
            spot,
        } = *kind;
        self.cell
            .machine_type(machine_type)
            .is_some_and(|catalog_type| {
                spec.need.fits(&catalog_type.capacity)
                    && spec.allows(machine_type, zone, spot)
                    && core_price(catalog_type, spot) <= limit
                    && self.rules_allow_offer(id, machine_type, zone, spot)
            })
    }

    /// Most that a core may cost for work that is not urgent.
    pub(super) fn regular_price_limit(&self, spec: &JobSpec) -> u64 {
        let allows =
            |machine_type: &str, zone: &str, spot: bool| spec.allows(machine_type, zone, spot);
        self.cell
            .types
            .value
            .as_ref()
            .map_or(u64::MAX, |catalog| price_limit(catalog, spec, &allows))
    }
}
