//! The earliest times at which jobs may have been reported as cancelled.

use super::*;
use crate::storage::ids::TaskId;

#[test]
fn the_earliest_cancellation_of_the_launches_is_found_until_it_is_forgotten() {
    let launch = |job| Attempt {
        task: TaskId {
            job: JobId(job),
            index: 0,
        },
        number: 7,
    };
    let mut cancellations = Cancellations::default();
    cancellations.note(JobId(1), Micros::secs(5));
    cancellations.note(JobId(1), Micros::secs(9));
    cancellations.note(JobId(2), Micros::secs(4));
    assert_eq!(
        cancellations.earliest([launch(1), launch(3)].iter()),
        Some(Micros::secs(5))
    );
    assert_eq!(
        cancellations.earliest([launch(1), launch(2)].iter()),
        Some(Micros::secs(4))
    );
    assert_eq!(cancellations.earliest([launch(3)].iter()), None);
    cancellations.forget(Micros::secs(5));
    assert_eq!(
        cancellations.earliest([launch(1), launch(2)].iter()),
        Some(Micros::secs(5))
    );
}
