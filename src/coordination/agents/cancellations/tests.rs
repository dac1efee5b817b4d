//! The earliest times at which jobs may have been reported as cancelled.

use super::*;
use crate::storage::ids::TaskId;

#[test]
fn earliest_report_of_launched_jobs_is_returned_until_forgotten() {
    let launch = |job| Attempt {
        task: TaskId {
            job: JobId(job),
            index: 0,
        },
        number: 7,
    };
    let mut cancellations = Cancellations::default();
    cancellations.record(JobId(1), Micros::secs(5));
    cancellations.record(JobId(1), Micros::secs(9));
    cancellations.record(JobId(2), Micros::secs(4));
    assert_eq!(
        cancellations.earliest_report([launch(1), launch(3)].iter()),
        Some(Micros::secs(5))
    );
    assert_eq!(
        cancellations.earliest_report([launch(1), launch(2)].iter()),
        Some(Micros::secs(4))
    );
    assert_eq!(cancellations.earliest_report([launch(3)].iter()), None);
    cancellations.forget_before(Micros::secs(5));
    assert_eq!(
        cancellations.earliest_report([launch(1), launch(2)].iter()),
        Some(Micros::secs(5))
    );
}
