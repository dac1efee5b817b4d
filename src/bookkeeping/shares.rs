//! Who is left behind while room is short for long: parts of it by class and by team.
//!
//! The order of jobs (guarantee, urgency, latest start) says who comes first, and under a lasting shortage whoever comes
//! last would get nothing at all. So a class or a team that is late, and has less than half of what would be its fair
//! part while another has more than half of its own, goes first until it has that half. On ordinary days nobody is late
//! for long, and nothing changes.

/// What one class or one team has booked and still wants, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Booked now.
    pub booked: u64,
    /// Wanted beyond that, as far as limits allow it.
    pub waiting: u64,
    /// Something of it should have started long ago.
    pub late: bool,
}

/// Fair parts of so much room, by as many parts: as even as can be, and none gets more than it wants (max-min fair).
pub fn fair(room: u64, parts: &[Part]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..parts.len()).collect();
    let wants = |i: usize| parts[i].booked.saturating_add(parts[i].waiting);
    order.sort_unstable_by_key(|i| wants(*i));
    let mut given = vec![0; parts.len()];
    let mut left = room;
    for (n, i) in order.iter().enumerate() {
        let even = left / (parts.len() - n) as u64;
        given[*i] = wants(*i).min(even);
        left -= given[*i];
    }
    given
}

/// What a part is due under a lasting shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// How much it may take ahead of its turn: what it lacks to half of its fair part, if it is late.
    pub ahead: u64,
    /// What is late of it is not stopped for others: it has no more than its fair part. Were this only up to the half,
    /// what it was given ahead of its turn would be taken again as soon as the half is full.
    pub shielded: bool,
}

/// What each is due, as long as another has more than half of its own fair part.
pub fn dues(room: u64, parts: &[Part]) -> Vec<Due> {
    let fair = fair(room, parts);
    let past_half = |i: usize| parts[i].booked > fair[i] / 2;
    (0..parts.len())
        .map(|i| {
            let Part { booked, late, .. } = parts[i];
            if !late || !(0..parts.len()).any(|o| o != i && past_half(o)) {
                return Due::default();
            }
            Due {
                ahead: (fair[i] / 2).saturating_sub(booked),
                shielded: booked <= fair[i],
            }
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn part(booked: u64, waiting: u64, late: bool) -> Part {
        Part {
            booked,
            waiting,
            late,
        }
    }

    /// How much each may take ahead of its turn.
    fn left_behind(room: u64, parts: &[Part]) -> Vec<u64> {
        dues(room, parts).into_iter().map(|d| d.ahead).collect()
    }

    #[test]
    fn room_is_shared_evenly_by_those_who_want_more_than_their_part() {
        let parts = [
            part(10, 0, false),
            part(0, 500, false),
            part(900, 500, false),
        ];
        assert_eq!(fair(610, &parts), [10, 300, 300]);
        assert_eq!(fair(5_000, &parts), [10, 500, 1_400]);
    }

    #[test]
    fn only_who_is_late_and_has_less_than_half_while_another_has_more_goes_first() {
        let (hungry, full) = (part(40, 900, true), part(560, 900, false));
        assert_eq!(left_behind(600, &[hungry, full]), [110, 0]);
        assert_eq!(
            left_behind(
                600,
                &[
                    Part {
                        late: false,
                        ..hungry
                    },
                    full
                ]
            ),
            [0, 0]
        );
        // What wants little has its part already.
        assert_eq!(left_behind(600, &[part(40, 10, true), full]), [0, 0]);
        // Nobody has anything: it is not the order that is to blame.
        assert_eq!(
            left_behind(600, &[part(0, 900, true), part(0, 900, true)]),
            [0, 0]
        );
    }

    fn any_parts() -> impl Strategy<Value = Vec<Part>> {
        let one =
            (0..5_000u64, 0..5_000u64, any::<bool>()).prop_map(|(b, w, late)| part(b, w, late));
        prop::collection::vec(one, 1..8)
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn fair_parts_fill_the_room_and_no_more(room in 0..20_000u64, parts in any_parts()) {
            let given = fair(room, &parts);
            let wanted: u64 = parts.iter().map(|p| p.booked + p.waiting).sum();
            prop_assert!(given.iter().sum::<u64>() <= room);
            // But for what a division leaves.
            prop_assert!(given.iter().sum::<u64>() + parts.len() as u64 >= room.min(wanted));
        }

        /// Rounds that take room from whoever is first in the ordinary order, as their tasks end, and give it as told
        /// here: after as many as it takes to turn everything over nobody who is late is left below half.
        #[test]
        fn nobody_late_stays_below_half_while_others_have_more(mut parts in any_parts(), step in 1..200u64) {
            let room: u64 = parts.iter().map(|p| p.booked).sum();
            for _ in 0..(room / step + 1) * 2 {
                // Something of the largest ends; it wants as much again.
                let Some(most) = (0..parts.len()).max_by_key(|i| parts[*i].booked) else { break };
                let freed = parts[most].booked.min(step);
                parts[most].booked -= freed;
                parts[most].waiting += freed;
                let ahead = left_behind(room, &parts);
                let first = (0..parts.len()).find(|i| ahead[*i] > 0).unwrap_or(most);
                let taken = freed.min(parts[first].waiting).min(if ahead[first] > 0 { ahead[first] } else { freed });
                parts[first].booked += taken;
                parts[first].waiting -= taken;
                // What is left of it goes by the ordinary order.
                parts[most].booked += freed - taken;
                parts[most].waiting -= freed - taken;
            }
            let given = fair(room, &parts);
            for (p, fair) in parts.iter().zip(&given) {
                prop_assert!(!p.late || p.booked + step >= fair / 2, "{p:?} of {fair}, {parts:?}");
            }
        }
    }
}
