//! Tests of the duration and the end of withdrawals.

use super::*;

#[test]
fn repeated_withdrawals_double_in_duration_up_to_maximum() {
    let mut connectivity = Connectivity::default();
    let mut now = Micros::secs(1_000);
    for expected in [3, 6, 12, 24, 48, 60, 60] {
        connectivity.withdraw(now);
        assert!(connectivity.is_withdrawn());
        assert_eq!(connectivity.withdrawal_duration, Micros::secs(expected));
        now += connectivity.withdrawal_duration;
        connectivity.end_withdrawal(now);
        assert!(!connectivity.is_withdrawn());
    }
    connectivity.withdraw(now + REPEATED_WITHDRAWAL_PERIOD);
    assert_eq!(connectivity.withdrawal_duration, MIN_WITHDRAWAL_DURATION);
}

#[test]
fn withdrawal_ends_only_after_new_contact_and_minimum_duration() {
    let withdrawn = Micros::secs(100);
    let mut connectivity = Connectivity::default();
    connectivity.on_agent_contact(Micros::secs(99));
    connectivity.withdraw(withdrawn);
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_agent_contact(Micros::secs(102));
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(103)));
    connectivity.on_agent_contact(Micros::secs(104));
    assert!(connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_probe_result(false, Micros::secs(104));
    assert!(connectivity.is_restored(withdrawn, Micros::secs(104)));
    connectivity.on_probe_result(false, Micros::secs(104));
    assert!(!connectivity.is_restored(withdrawn, Micros::secs(104)));
}
