//! Whoever gets nothing for long is told from whoever gets something now and then.

use super::*;

#[test]
fn a_booking_begins_the_wait_anew_and_a_loss_does_not() {
    let (a, b) = (JobId(1), JobId(2));
    let mut p = StarvationPrevention::default();
    let long = StarvationPrevention::THRESHOLD.as_millis() / 1_000;
    p.note(Micros::secs(10), [(a, 5), (b, 5)].into_iter());
    // Of the second job a task is booked, of the first one a booking is lost with its machine.
    p.note(Micros::secs(30), [(a, 6), (b, 4)].into_iter());
    assert!(!p.is_starved(a, Micros::secs(10 + long)));
    assert!(p.is_starved(a, Micros::secs(11 + long)));
    assert!(!p.is_starved(b, Micros::secs(11 + long)));
    assert!(p.is_starved(b, Micros::secs(31 + long)));
    // What was lost counts as had: once it is booked again the wait begins anew.
    p.note(Micros::secs(11 + long), [(a, 5), (b, 4)].into_iter());
    assert!(!p.is_starved(a, Micros::secs(12 + long)));
    // Who has nothing to place waits for nothing.
    p.note(Micros::secs(40 + long), [(a, 5)].into_iter());
    assert!(!p.is_starved(b, Micros::secs(400)));
}
