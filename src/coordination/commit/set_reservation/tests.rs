//! Tests of `set_reservation`.

use super::*;

const JOB: JobId = JobId(1);
const OTHER: JobId = JobId(2);

fn drain_of(seconds: u64) -> Drain {
    Drain {
        machines: BTreeSet::from([MachineId(seconds)]),
        duration: Micros::secs(seconds),
        tasks: 1,
    }
}

#[test]
fn the_end_of_a_drain_is_not_put_off_for_longer_tasks() {
    let mut sets = SetReservations::default();
    sets.update(Micros::secs(100), JOB, drain_of(10), true);
    sets.update(Micros::secs(105), JOB, drain_of(30), true);
    let held = sets.current().expect("a reservation");
    assert_eq!(held.drained_at, Micros::secs(110));
    assert_eq!(held.machines, BTreeSet::from([MachineId(30)]));
    sets.update(Micros::secs(106), OTHER, drain_of(30), true);
    let held = sets.current().expect("a reservation");
    assert_eq!((held.job, held.drained_at), (OTHER, Micros::secs(136)));
}

#[test]
fn the_pause_is_as_long_as_the_reservation_up_to_its_bound() {
    for (lasted, pause) in [(8, Micros::secs(8)), (500, MAX_PAUSE)] {
        let mut sets = SetReservations::default();
        sets.update(Micros::secs(100), JOB, drain_of(10), true);
        let end = Micros::secs(100 + lasted);
        sets.end(end);
        assert!(sets.current().is_none());
        assert_eq!(sets.paused_until, end + pause);
    }
}

#[test]
fn a_job_that_is_not_placed_long_after_its_drain_is_deferred() {
    let mut sets = SetReservations::default();
    sets.update(Micros::secs(100), JOB, drain_of(10), true);
    let last = Micros::secs(100 + 2 * 10) + OVERRUN;
    assert!(!sets.defer_overrun(last));
    assert!(sets.is_due(last, JOB));
    let later = last + Micros::secs(1);
    assert!(sets.defer_overrun(later));
    assert!(!sets.is_due(later, JOB));
    assert!(sets.is_due(later + RETRY_DELAY, JOB));
}
