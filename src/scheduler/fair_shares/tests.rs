//! Tests of `fair_shares`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn share(assigned: u64, waiting: u64, late: bool) -> Share {
    Share {
        assigned,
        waiting,
        late,
    }
}

/// How much each may take ahead of its turn.
fn left_behind(room: u64, shares: &[Share]) -> Vec<u64> {
    deficits(room, shares)
        .into_iter()
        .map(|d| d.ahead)
        .collect()
}

#[test]
fn room_is_shared_evenly_by_those_who_want_more_than_their_part() {
    let shares = [
        share(10, 0, false),
        share(0, 500, false),
        share(900, 500, false),
    ];
    assert_eq!(fair(610, &shares), [10, 300, 300]);
    assert_eq!(fair(5_000, &shares), [10, 500, 1_400]);
}

#[test]
fn only_who_is_late_and_has_less_than_half_while_another_has_more_goes_first() {
    let (hungry, full) = (share(40, 900, true), share(560, 900, false));
    assert_eq!(left_behind(600, &[hungry, full]), [110, 0]);
    assert_eq!(
        left_behind(
            600,
            &[
                Share {
                    late: false,
                    ..hungry
                },
                full
            ]
        ),
        [0, 0]
    );
    // What wants little has its part already.
    assert_eq!(left_behind(600, &[share(40, 10, true), full]), [0, 0]);
    // Nobody has anything: it is not the order that is to blame.
    assert_eq!(
        left_behind(600, &[share(0, 900, true), share(0, 900, true)]),
        [0, 0]
    );
}

fn any_parts() -> impl Strategy<Value = Vec<Share>> {
    let one = (0..5_000u64, 0..5_000u64, any::<bool>()).prop_map(|(b, w, late)| share(b, w, late));
    prop::collection::vec(one, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn fair_parts_fill_the_room_and_no_more(room in 0..20_000u64, shares in any_parts()) {
        let given = fair(room, &shares);
        let wanted: u64 = shares.iter().map(|p| p.assigned + p.waiting).sum();
        prop_assert!(given.iter().sum::<u64>() <= room);
        // But for what a division leaves.
        prop_assert!(given.iter().sum::<u64>() + shares.len() as u64 >= room.min(wanted));
    }

    /// Rounds that take room from whoever is first in the ordinary order, as their tasks end, and give it as told
    /// here: after as many as it takes to turn everything over nobody who is late is left below half.
    #[test]
    fn nobody_late_stays_below_half_while_others_have_more(mut shares in any_parts(), step in 1..200u64) {
        let room: u64 = shares.iter().map(|p| p.assigned).sum();
        for _ in 0..(room / step + 1) * 2 {
            // Something of the largest ends; it wants as much again.
            let Some(most) = (0..shares.len()).max_by_key(|i| shares[*i].assigned) else { break };
            let freed = shares[most].assigned.min(step);
            shares[most].assigned -= freed;
            shares[most].waiting += freed;
            let ahead = left_behind(room, &shares);
            let first = (0..shares.len()).find(|i| ahead[*i] > 0).unwrap_or(most);
            let taken = freed.min(shares[first].waiting).min(if ahead[first] > 0 { ahead[first] } else { freed });
            shares[first].assigned += taken;
            shares[first].waiting -= taken;
            // What is left of it goes by the ordinary order.
            shares[most].assigned += freed - taken;
            shares[most].waiting -= freed - taken;
        }
        let given = fair(room, &shares);
        for (p, fair) in shares.iter().zip(&given) {
            prop_assert!(!p.late || p.assigned + step >= fair / 2, "{p:?} of {fair}, {shares:?}");
        }
    }
}
