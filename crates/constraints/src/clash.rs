//! The smallest set of rules that clash.
//!
//! A place (a class of machines that could be had) is ruled out by each rule that it does not meet. Rules
//! clash if every place is ruled out by one of them; the smallest such set is a minimum hitting set, found
//! by trying ever larger sizes. A few dozen rules and places make that small; what could blow it up, many
//! places that share no rule, is cut off by counting them.

/// Rules by number, as bits.
pub type RuleMask = u128;

/// Most rules that can be told apart.
pub const MOST: usize = 128;

/// The smallest set of rules that rule out every place; `None` if some place meets all. Of several as
/// small, the one with the lowest numbers, so that everybody names the same. `ruled_out`: for each place,
/// the rules that it does not meet. No places at all are ruled out by nothing: an empty set.
pub fn smallest(ruled_out: &[RuleMask]) -> Option<RuleMask> {
    if ruled_out.contains(&0) {
        return None;
    }
    // Whoever rules out the place with fewer against it rules out the one with more.
    let mut places: Vec<RuleMask> = ruled_out.to_vec();
    places.sort_unstable_by_key(|p| (p.count_ones(), *p));
    let mut least: Vec<RuleMask> = Vec::new();
    for p in places {
        if !least.iter().any(|q| q & p == *q) {
            least.push(p);
        }
    }
    (0..=least.len()).find_map(|size| hit(&least, 0, size))
}

/// A set of at most `size` more rules that hits every place.
fn hit(places: &[RuleMask], chosen: RuleMask, size: usize) -> Option<RuleMask> {
    let mut open = places.iter().filter(|p| *p & chosen == 0);
    let Some(first) = open.clone().min_by_key(|p| p.count_ones()) else {
        return Some(chosen);
    };
    // Places that share no rule take one each.
    let mut seen = 0;
    let apart = open
        .by_ref()
        .filter(|p| {
            *p & seen == 0 && {
                seen |= **p;
                true
            }
        })
        .count();
    if apart > size {
        return None;
    }
    let tried = (0..MOST).filter(|i| first >> i & 1 == 1);
    tried
        .filter_map(|i| hit(places, chosen | 1 << i, size - 1))
        .min_by_key(|s| (s.count_ones(), s.reverse_bits()))
}
