//! Since when jobs may have been called cancelled.

use super::*;
use crate::storage::ids::TaskId;

#[test]
fn the_first_time_counts_and_the_earliest_of_all_launches() {
    let launch = |job| Attempt {
        task: TaskId {
            job: JobId(job),
            index: 0,
        },
        number: 7,
    };
    let mut c = Cancellations::default();
    c.note(JobId(1), Micros::secs(5));
    c.note(JobId(1), Micros::secs(9));
    c.note(JobId(2), Micros::secs(4));
    assert_eq!(
        c.earliest([launch(1), launch(3)].iter()),
        Some(Micros::secs(5))
    );
    assert_eq!(
        c.earliest([launch(1), launch(2)].iter()),
        Some(Micros::secs(4))
    );
    assert_eq!(c.earliest([launch(3)].iter()), None);
    c.forget(Micros::secs(5));
    assert_eq!(
        c.earliest([launch(1), launch(2)].iter()),
        Some(Micros::secs(5))
    );
}
