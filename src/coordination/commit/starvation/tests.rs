//! Tests of `starvation`.

use super::*;

#[test]
fn wait_restarts_after_an_assignment_but_not_after_a_lost_task() {
    let (job_losing_task, job_gaining_assignment) = (JobId(1), JobId(2));
    let mut prevention = StarvationPrevention::default();
    let threshold = StarvationPrevention::THRESHOLD.as_millis() / 1_000;
    let after_threshold = |secs: u64| Micros::secs(secs + threshold);
    prevention.update(
        Micros::secs(10),
        [(job_losing_task, 5), (job_gaining_assignment, 5)].into_iter(),
    );
    // The first job loses an assignment with its machine, a task of the second job is assigned.
    prevention.update(
        Micros::secs(30),
        [(job_losing_task, 6), (job_gaining_assignment, 4)].into_iter(),
    );
    assert!(!prevention.is_starved(job_losing_task, after_threshold(10)));
    assert!(prevention.is_starved(job_losing_task, after_threshold(11)));
    assert!(!prevention.is_starved(job_gaining_assignment, after_threshold(11)));
    assert!(prevention.is_starved(job_gaining_assignment, after_threshold(31)));
    // The lost task counts as pending, so the wait restarts once it is assigned again.
    prevention.update(
        after_threshold(11),
        [(job_losing_task, 5), (job_gaining_assignment, 4)].into_iter(),
    );
    assert!(!prevention.is_starved(job_losing_task, after_threshold(12)));
    // A job without tasks to place is not starved.
    prevention.update(after_threshold(40), [(job_losing_task, 5)].into_iter());
    assert!(!prevention.is_starved(job_gaining_assignment, Micros::secs(400)));
}
