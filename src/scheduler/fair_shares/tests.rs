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

/// The cores that each share may be assigned ahead of the order.
fn ahead(room: u64, shares: &[Share]) -> Vec<u64> {
    deficits(room, shares)
        .into_iter()
        .map(|d| d.cores_ahead_of_order)
        .collect()
}

#[test]
fn room_is_shared_evenly_by_those_whose_demand_exceeds_their_share() {
    let shares = [
        share(10, 0, false),
        share(0, 500, false),
        share(900, 500, false),
    ];
    assert_eq!(max_min_fair_shares(610, &shares), [10, 300, 300]);
    assert_eq!(max_min_fair_shares(5_000, &shares), [10, 500, 1_400]);
}

#[test]
fn only_a_late_share_below_half_goes_ahead_while_another_exceeds_half() {
    let (starved, above_half) = (share(40, 900, true), share(560, 900, false));
    assert_eq!(ahead(600, &[starved, above_half]), [110, 0]);
    assert_eq!(
        ahead(
            600,
            &[
                Share {
                    late: false,
                    ..starved
                },
                above_half
            ]
        ),
        [0, 0]
    );
    // A small demand is satisfied already.
    assert_eq!(ahead(600, &[share(40, 10, true), above_half]), [0, 0]);
    // Nothing is assigned to anyone, so the order is not the cause.
    assert_eq!(
        ahead(600, &[share(0, 900, true), share(0, 900, true)]),
        [0, 0]
    );
}

fn any_shares() -> impl Strategy<Value = Vec<Share>> {
    let any_share = (0..5_000u64, 0..5_000u64, any::<bool>())
        .prop_map(|(assigned, waiting, late)| share(assigned, waiting, late));
    prop::collection::vec(any_share, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn fair_shares_fill_the_room_and_no_more(room in 0..20_000u64, shares in any_shares()) {
        let fair_shares = max_min_fair_shares(room, &shares);
        let wanted: u64 = shares.iter().map(|share| share.assigned + share.waiting).sum();
        prop_assert!(fair_shares.iter().sum::<u64>() <= room);
        // The room is used completely except for the remainders of divisions.
        prop_assert!(fair_shares.iter().sum::<u64>() + shares.len() as u64 >= room.min(wanted));
    }

    /// In each iteration, tasks of the largest share end, and their room goes to a share that takes precedence over
    /// the order. Once all room was reassigned, no late share is below half of its fair share.
    #[test]
    fn late_shares_reach_half_while_others_exceed_it(mut shares in any_shares(), step in 1..200u64) {
        let room: u64 = shares.iter().map(|share| share.assigned).sum();
        for _ in 0..(room / step + 1) * 2 {
            // Tasks of the largest share end, and as many become pending.
            let Some(largest) = (0..shares.len()).max_by_key(|i| shares[*i].assigned) else { break };
            let freed = shares[largest].assigned.min(step);
            shares[largest].assigned -= freed;
            shares[largest].waiting += freed;
            let ahead = ahead(room, &shares);
            let first = (0..shares.len()).find(|i| ahead[*i] > 0).unwrap_or(largest);
            let taken = freed.min(shares[first].waiting).min(if ahead[first] > 0 { ahead[first] } else { freed });
            shares[first].assigned += taken;
            shares[first].waiting -= taken;
            // The rest is assigned by the order.
            shares[largest].assigned += freed - taken;
            shares[largest].waiting -= freed - taken;
        }
        let fair_shares = max_min_fair_shares(room, &shares);
        for (share, fair) in shares.iter().zip(&fair_shares) {
            prop_assert!(!share.late || share.assigned + step >= fair / 2, "{share:?} of {fair}, {shares:?}");
        }
    }
}
