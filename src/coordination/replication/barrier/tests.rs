//! Tests of `barrier`.

use super::*;

#[test]
fn barrier_for_queries_is_due_later_than_urgent_barrier() {
    let sent = Micros::secs(1);
    let mut barrier = ReadBarrier::default();
    assert_eq!(barrier.urgency(), None);
    barrier.request_for_queries();
    assert_eq!(barrier.urgency(), Some(Urgency::Queries));
    barrier.request();
    assert_eq!(barrier.urgency(), Some(Urgency::Urgent));
    barrier.on_sent(CallId(7), sent);
    assert_eq!(barrier.urgency(), None);
    assert_eq!(barrier.due(Urgency::Urgent), sent + MIN_BARRIER_INTERVAL);
    assert_eq!(
        barrier.due(Urgency::Queries),
        sent + MIN_QUERY_BARRIER_INTERVAL
    );
}

#[test]
fn barrier_ends_only_with_its_own_response_and_is_retried_after_failure() {
    let mut barrier = ReadBarrier::default();
    barrier.on_sent(CallId(7), Micros::secs(1));
    barrier.on_answered(CallId(6));
    assert!(barrier.is_in_flight());
    barrier.on_answered(CallId(7));
    assert!(!barrier.is_in_flight());
    barrier.on_failed(Micros::secs(2));
    assert_eq!(barrier.urgency(), Some(Urgency::Urgent));
    assert_eq!(barrier.due(Urgency::Urgent), Micros::secs(2) + RETRY_DELAY);
}
