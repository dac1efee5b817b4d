//! Tests of `boot_times`.

use super::*;

const NOMINAL: Micros = Micros::secs(30);

#[test]
fn late_boots_raise_the_estimate_before_they_end() {
    let estimates = BootTimeEstimates::default();
    let expected = |ages: &[u64]| {
        estimates.expected_boot_time(
            "x",
            NOMINAL,
            Micros::secs(99),
            ages.iter().map(|a| Micros::secs(*a)),
        )
    };
    assert_eq!(expected(&[]), NOMINAL);
    assert_eq!(expected(&[20, 25]), NOMINAL, "nothing is late yet");
    assert_eq!(expected(&[90]), NOMINAL, "a single late boot may be stuck");
    assert_eq!(expected(&[80, 80, 80, 80]), Micros::secs(100));
}

#[test]
fn quick_boots_lower_the_estimate_until_they_are_too_old() {
    let mut estimates = BootTimeEstimates::default();
    for i in 0..4 {
        estimates.record_boot("x", Micros::secs(100 + i), Micros::secs(1));
    }
    let expected = |now: u64, ages: &[u64]| {
        estimates.expected_boot_time(
            "x",
            NOMINAL,
            Micros::secs(now),
            ages.iter().map(|a| Micros::secs(*a)),
        )
    };
    assert_eq!(expected(110, &[]), Micros::secs(1));
    assert_eq!(
        expected(110, &[5, 5, 5]),
        NOMINAL,
        "boots in progress take longer"
    );
    assert_eq!(expected(300, &[]), NOMINAL);
    assert_eq!(
        expected(180, &[90, 90, 90, 90, 90, 90]),
        Micros::secs(1),
        "stuck boots do not count: boots that started later have ended"
    );
}
