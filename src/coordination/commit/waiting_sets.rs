//! Log lines about sets of tasks that wait for room to start together.

use crate::coordination::Controller;
use crate::scheduler::placement::{Candidate, Claim, PlacementRequest};
use crate::time::Micros;

impl Controller {
    /// Logs each set of this controller that found no room, with the machines that it could use.
    pub(super) fn log_waiting_sets(
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
                self.log_waiting_set(request, candidates);
            }
        }
    }

    fn log_waiting_set(&self, request: &PlacementRequest<'_>, candidates: &[Candidate<'_>]) {
        let need = request.spec.need;
        let count = |filter: &dyn Fn(&Candidate<'_>) -> bool| {
            let usable = candidates
                .iter()
                .filter(|machine| need.fits(&machine.capacity));
            usable.filter(|machine| filter(machine)).count()
        };
        let waits: Option<Micros> = self
            .cell
            .jobs
            .get(&request.job)
            .map(|job| self.now.day.since(job.record.submitted));
        tracing::debug!(
            job = %request.job,
            tasks = request.tasks.len(),
            within_quota = request.most.min(request.tasks.len() as u64),
            machines = count(&|_| true),
            reserved = count(&|machine| machine.reserved),
            with_room = count(&|machine| need.fits(&machine.free)),
            reserved_with_room = count(&|machine| machine.reserved && need.fits(&machine.free)),
            waits = waits.map(|waits| waits.0 / 1_000_000),
            "set waits for room"
        );
    }
}
