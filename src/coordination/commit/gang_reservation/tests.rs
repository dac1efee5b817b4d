//! Tests of `gang_reservation`.

use super::*;

const JOB: JobId = JobId(1);
const OTHER_JOB: JobId = JobId(2);

fn plan_of(seconds: u64) -> ReservedMachines {
    ReservedMachines {
        machines: BTreeSet::from([MachineId(seconds)]),
        longest_runtime: Micros::secs(seconds),
        tasks: 1,
    }
}

#[test]
fn expected_completion_is_not_postponed_for_longer_tasks() {
    let mut reservations = GangReservations::default();
    reservations.update(Micros::secs(100), JOB, plan_of(10), true);
    reservations.update(Micros::secs(105), JOB, plan_of(30), true);
    let reservation = reservations.current().expect("a reservation");
    assert_eq!(reservation.expected_complete_at, Micros::secs(110));
    assert_eq!(reservation.machines, BTreeSet::from([MachineId(30)]));
    reservations.update(Micros::secs(106), OTHER_JOB, plan_of(30), true);
    let reservation = reservations.current().expect("a reservation");
    assert_eq!(
        (reservation.job, reservation.expected_complete_at),
        (OTHER_JOB, Micros::secs(136))
    );
}

#[test]
fn pause_lasts_as_long_as_the_reservation_up_to_its_maximum() {
    for (lasted, pause) in [(8, Micros::secs(8)), (500, MAX_PAUSE_BETWEEN_RESERVATIONS)] {
        let mut reservations = GangReservations::default();
        reservations.update(Micros::secs(100), JOB, plan_of(10), true);
        let end = Micros::secs(100 + lasted);
        reservations.end(end);
        assert!(reservations.current().is_none());
        assert_eq!(reservations.paused_until, end + pause);
    }
}

#[test]
fn job_is_deferred_when_its_reservation_is_overdue() {
    let mut reservations = GangReservations::default();
    reservations.update(Micros::secs(100), JOB, plan_of(10), true);
    let last = Micros::secs(100 + 2 * 10) + OVERDUE_GRACE_PERIOD;
    assert!(!reservations.defer_overdue(last));
    assert!(reservations.is_retry_due(last, JOB));
    let later = last + Micros::secs(1);
    assert!(reservations.defer_overdue(later));
    assert!(!reservations.is_retry_due(later, JOB));
    assert!(reservations.is_retry_due(later + RETRY_DELAY, JOB));
}
