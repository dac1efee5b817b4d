//! The smallest set of rules that clash.
//!
//! A place (a class of machines that could be provisioned) is excluded by each rule that it does not meet. Rules
//! clash if every place is excluded by one of them; the smallest such set is a minimum hitting set, found by trying
//! ever larger sizes. With a few dozen rules and places this is fast. Many places that share no rule would make it
//! exponential; they are counted, which bounds the search.

/// Rules by number, as bits.
pub type RuleMask = u128;

/// Most rules that can be distinguished.
pub const MAX_RULES: usize = RuleMask::BITS as usize;

/// The smallest set of rules that exclude every place; `None` if some place meets all rules. Among sets of equal
/// size the one with the lowest numbers is chosen, so that all controllers report the same. Without places the set is
/// empty.
///
/// `excluded_by`: for each place, the rules that it does not meet.
pub fn smallest(excluded_by: &[RuleMask]) -> Option<RuleMask> {
    if excluded_by.contains(&0) {
        return None;
    }
    let places = without_supersets(excluded_by);
    (0..=places.len()).find_map(|size| hitting_set(&places, 0, size))
}

/// The places without those that are excluded by a superset of the rules of another: whatever hits the smaller set
/// hits the larger one.
fn without_supersets(excluded_by: &[RuleMask]) -> Vec<RuleMask> {
    let mut places: Vec<RuleMask> = excluded_by.to_vec();
    places.sort_unstable_by_key(|place| (place.count_ones(), *place));
    let mut minimal: Vec<RuleMask> = Vec::new();
    for place in places {
        if !minimal.iter().any(|subset| subset & place == *subset) {
            minimal.push(place);
        }
    }
    minimal
}

/// A set that hits every place, made of `chosen` and at most `size` more rules.
fn hitting_set(places: &[RuleMask], chosen: RuleMask, size: usize) -> Option<RuleMask> {
    let open = places.iter().filter(|place| *place & chosen == 0);
    let Some(fewest) = open.clone().min_by_key(|place| place.count_ones()) else {
        return Some(chosen);
    };
    if count_disjoint(open) > size {
        return None;
    }
    (0..MAX_RULES)
        .filter(|rule| fewest >> rule & 1 == 1)
        .filter_map(|rule| hitting_set(places, chosen | 1 << rule, size - 1))
        .min_by_key(|set| (set.count_ones(), set.reverse_bits()))
}

/// Number of places that share no rule with those counted before. Each of them needs a rule of its own.
fn count_disjoint<'a>(places: impl Iterator<Item = &'a RuleMask>) -> usize {
    let mut counted: RuleMask = 0;
    let mut count = 0;
    for place in places {
        if place & counted == 0 {
            counted |= place;
            count += 1;
        }
    }
    count
}
