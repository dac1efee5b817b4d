//! The smallest set of conflicting rules.
//!
//! A class of machines that could be provisioned is excluded by each rule that it does not meet. Rules conflict if
//! every class is excluded by at least one of them. The smallest such set is a minimum hitting set, which is found by
//! trying increasing sizes. With a few dozen rules and classes this is fast. Many classes that share no rule would make
//! it exponential: their number is a lower bound of the size, which prunes the search.

/// A set of rules: bit `n` stands for the rule of number `n`.
pub type RuleMask = u128;

/// Largest number of rules in a mask.
pub const MAX_RULES: usize = RuleMask::BITS as usize;

/// The smallest set of rules that exclude every class; `None` if some class meets all rules. Among sets of equal size
/// the one with the lowest numbers is chosen, so that all controllers report the same set. Without classes the set is
/// empty.
///
/// `excluded_by`: for each class, the rules that it does not meet.
pub fn smallest_conflict(excluded_by: &[RuleMask]) -> Option<RuleMask> {
    if excluded_by.contains(&0) {
        return None;
    }
    let classes = without_supersets(excluded_by);
    (0..=classes.len()).find_map(|size| hitting_set(&classes, 0, size))
}

/// The masks of the classes, without those that are supersets of another mask: a set of rules that hits the smaller
/// mask hits the larger one too.
fn without_supersets(excluded_by: &[RuleMask]) -> Vec<RuleMask> {
    let mut classes: Vec<RuleMask> = excluded_by.to_vec();
    classes.sort_unstable_by_key(|class| (class.count_ones(), *class));
    let mut minimal: Vec<RuleMask> = Vec::new();
    for class in classes {
        if !minimal.iter().any(|subset| subset & class == *subset) {
            minimal.push(class);
        }
    }
    minimal
}

/// A set of rules that hits every class and consists of `chosen` and at most `size` more rules; `None` if there is
/// none.
fn hitting_set(classes: &[RuleMask], chosen: RuleMask, size: usize) -> Option<RuleMask> {
    let remaining = classes.iter().filter(|class| *class & chosen == 0);
    let Some(smallest_mask) = remaining.clone().min_by_key(|class| class.count_ones()) else {
        return Some(chosen);
    };
    if count_disjoint(remaining) > size {
        return None;
    }
    (0..MAX_RULES)
        .filter(|rule| smallest_mask >> rule & 1 == 1)
        .filter_map(|rule| hitting_set(classes, chosen | 1 << rule, size - 1))
        .min_by_key(|set| (set.count_ones(), set.reverse_bits()))
}

/// Number of classes that share no rule with those counted before. Each of them needs a rule of its own in a hitting
/// set.
fn count_disjoint<'a>(classes: impl Iterator<Item = &'a RuleMask>) -> usize {
    let mut counted: RuleMask = 0;
    let mut count = 0;
    for class in classes {
        if class & counted == 0 {
            counted |= class;
            count += 1;
        }
    }
    count
}
