//! Log lines about gangs that wait for enough free capacity to start together.

use crate::coordination::Controller;
use crate::scheduler::placement::{Candidate, Claim, PlacementRequest};
use crate::time::Micros;

impl Controller {
    /// Logs each gang of this controller that was not placed, with the machines that it could use.
    pub(super) fn log_waiting_gangs(
        &self,
        requests: &[PlacementRequest<'_>],
        candidates: &[Candidate<'_>],
        claims: &[Claim],
    ) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let is_placed =
            |request: &PlacementRequest<'_>| claims.iter().any(|claim| claim.job == request.job);
        for request in requests {
            if request.is_local && request.gang && !is_placed(request) {
                self.log_waiting_gang(request, candidates);
            }
        }
    }

    fn log_waiting_gang(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>]) {
        let need = request.spec.need;
        let count = |filter: &dyn Fn(&Candidate<'_>) -> bool| {
            let usable = candidates
                .iter()
                .filter(|machine| need.fits(&machine.capacity));
            usable.filter(|machine| filter(machine)).count()
        };
        let waiting_time: Option<Micros> = self
            .cell
            .jobs
            .get(&request.job)
            .map(|job| self.now.time_of_day.since(job.record.submitted));
        tracing::debug!(
            job = %request.job,
            tasks = request.tasks.len(),
            within_quota = request.remaining_task_quota.min(request.tasks.len() as u64),
            machines = count(&|_| true),
            reserved = count(&|machine| machine.reserved_in_plan),
            with_room = count(&|machine| need.fits(&machine.free)),
            reserved_with_room = count(&|machine| machine.reserved_in_plan && need.fits(&machine.free)),
            waits = waiting_time.map(|waited| waited.0 / 1_000_000),
            "gang waits for free machines"
        );
    }
}
