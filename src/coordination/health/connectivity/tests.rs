//! Tests of `connectivity`.

use super::*;

#[test]
fn withdrawals_soon_after_a_return_double_up_to_the_longest() {
    let mut connectivity = Connectivity::default();
    let mut now = Micros::secs(1_000);
    for expected in [3, 6, 12, 24, 48, 60, 60] {
        connectivity.withdraw(now);
        assert!(connectivity.is_withdrawn());
        assert_eq!(connectivity.withdrawal, Micros::secs(expected));
        now += connectivity.withdrawal;
        connectivity.end_withdrawal(now);
        assert!(!connectivity.is_withdrawn());
    }
    connectivity.withdraw(now + REPEATED_WITHDRAWAL_PERIOD);
    assert_eq!(connectivity.withdrawal, MIN_WITHDRAWAL);
}

#[test]
fn a_withdrawal_ends_only_after_new_contact_and_its_shortest_time() {
    let withdrawn = Micros::secs(100);
    let mut connectivity = Connectivity::default();
    connectivity.on_agent_contact(Micros::secs(99));
    connectivity.withdraw(withdrawn);
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_agent_contact(Micros::secs(102));
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(103)));
    connectivity.on_agent_contact(Micros::secs(104));
    assert!(connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_probe_answer(false, Micros::secs(104));
    assert!(connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_probe_answer(false, Micros::secs(104));
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(104)));
}
