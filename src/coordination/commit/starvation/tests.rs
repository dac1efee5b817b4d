//! Tests of `starvation`.

use super::*;

#[test]
fn an_assignment_restarts_the_wait_and_a_loss_does_not() {
    let (loses_task, gets_task) = (JobId(1), JobId(2));
    let mut prevention = StarvationPrevention::default();
    let threshold = StarvationPrevention::THRESHOLD.as_millis() / 1_000;
    let after = |secs: u64| Micros::secs(secs + threshold);
    prevention.note(
        Micros::secs(10),
        [(loses_task, 5), (gets_task, 5)].into_iter(),
    );
    // Of the second job a task is assigned, of the first one an assignment is lost with its machine.
    prevention.note(
        Micros::secs(30),
        [(loses_task, 6), (gets_task, 4)].into_iter(),
    );
    assert!(!prevention.is_starved(loses_task, after(10)));
    assert!(prevention.is_starved(loses_task, after(11)));
    assert!(!prevention.is_starved(gets_task, after(11)));
    assert!(prevention.is_starved(gets_task, after(31)));
    // The lost task counts as pending: once it is assigned again the wait restarts.
    prevention.note(after(11), [(loses_task, 5), (gets_task, 4)].into_iter());
    assert!(!prevention.is_starved(loses_task, after(12)));
    // A job with nothing to place does not wait.
    prevention.note(after(40), [(loses_task, 5)].into_iter());
    assert!(!prevention.is_starved(gets_task, Micros::secs(400)));
}
