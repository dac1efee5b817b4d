//! Reservation within one plan: machines that are kept free for requests that found no room.

use super::candidate::Candidate;
use super::request::PlacementRequest;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Of all machines, one in this many may be reserved for a single request.
const RESERVABLE_MACHINES_DIVISOR: usize = 3;

/// Reserves the machines with the most free room for the `missing` tasks of a request, so that smaller tasks of
/// lower precedence do not take the room as it becomes free. `available`: indexes of the machines with free room.
pub(super) fn reserve(
    candidates: &mut [Candidate<'_>],
    available: &[usize],
    request: &PlacementRequest<'_>,
    missing: u64,
) {
    let mut missing = missing.min(request.remaining_task_quota);
    if missing == 0 || request.never_reserves {
        return;
    }
    let suitable = suitable_machines(candidates, available, request);
    if !request.gang && has_room(candidates, &suitable, request) {
        // The tasks were not placed because of the limits of the commit round, not for lack of room.
        return;
    }
    // A heap instead of a sort, because only a few of many machines are needed.
    let with_free_room = |index: usize| {
        let free = &candidates[index].free;
        (free.cores, free.memory, Reverse(index))
    };
    let mut most_free: BinaryHeap<_> = suitable.into_iter().map(with_free_room).collect();
    for _ in 0..candidates.len().div_ceil(RESERVABLE_MACHINES_DIVISOR) {
        if missing == 0 {
            return;
        }
        let Some((_, _, Reverse(index))) = most_free.pop() else {
            return;
        };
        let candidate = &mut candidates[index];
        candidate.reserved_in_plan = true;
        let capacity = request
            .spec
            .need
            .count_fitting_in(&candidate.capacity, missing);
        missing = missing.saturating_sub(capacity);
    }
}

/// The machines that could run a task of the request if they were empty.
fn suitable_machines(
    candidates: &[Candidate<'_>],
    available: &[usize],
    request: &PlacementRequest<'_>,
) -> Vec<usize> {
    let fits = |candidate: &Candidate<'_>| {
        request.spec.need.fits(&candidate.capacity) && request.is_feasible(candidate)
    };
    available
        .iter()
        .copied()
        .filter(|index| fits(&candidates[*index]))
        .collect()
}

/// Whether one of these machines has room for a task now.
fn has_room(
    candidates: &[Candidate<'_>],
    indexes: &[usize],
    request: &PlacementRequest<'_>,
) -> bool {
    indexes
        .iter()
        .any(|index| request.spec.need.fits(&candidates[*index].free))
}
