//! Tests of `barrier`.

use super::*;

#[test]
fn a_barrier_for_queries_waits_longer_than_an_urgent_one() {
    let sent = Micros::secs(1);
    let mut barrier = ReadBarrier::default();
    assert_eq!(barrier.urgency(), None);
    barrier.request_for_queries();
    assert_eq!(barrier.urgency(), Some(Urgency::Queries));
    barrier.request();
    assert_eq!(barrier.urgency(), Some(Urgency::Urgent));
    barrier.on_sent(CallId(7), sent);
    assert_eq!(barrier.urgency(), None);
    assert_eq!(barrier.due(Urgency::Urgent), sent + SPACING);
    assert_eq!(barrier.due(Urgency::Queries), sent + QUERY_SPACING);
}

#[test]
fn only_the_answer_to_the_barrier_in_flight_ends_it_and_a_failure_requests_another() {
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
