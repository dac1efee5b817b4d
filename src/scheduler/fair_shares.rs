//! Who is left behind while room is short for long: parts of it by class and by team.
//!
//! The order of jobs (guarantee, urgency, latest start) says who comes first, and under a lasting shortage whoever comes
//! last would get nothing at all. So a class or a team that is late, and has less than half of what would be its fair
//! part while another has more than half of its own, goes first until it has that half. On ordinary days nobody is late
//! for long, and nothing changes.

/// What one class or one team has booked and still wants, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Booked now.
    pub assigned: u64,
    /// Wanted beyond that, as far as limits allow it.
    pub waiting: u64,
    /// Something of it should have started long ago.
    pub late: bool,
}

/// Fair parts of so much room, by as many parts: as even as can be, and none gets more than it wants (max-min fair).
pub fn fair(room: u64, shares: &[Share]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..shares.len()).collect();
    let wants = |i: usize| shares[i].assigned.saturating_add(shares[i].waiting);
    order.sort_unstable_by_key(|i| wants(*i));
    let mut given = vec![0; shares.len()];
    let mut left = room;
    for (n, i) in order.iter().enumerate() {
        let even = left / (shares.len() - n) as u64;
        given[*i] = wants(*i).min(even);
        left -= given[*i];
    }
    given
}

/// What a part is due under a lasting shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deficit {
    /// How much it may take ahead of its turn: what it lacks to half of its fair part, if it is late.
    pub ahead: u64,
    /// What is late of it is not stopped for others: it has no more than its fair part. Were this only up to the half,
    /// what it was given ahead of its turn would be taken again as soon as the half is full.
    pub protected: bool,
}

/// What each is due, as long as another has more than half of its own fair part.
pub fn deficits(room: u64, shares: &[Share]) -> Vec<Deficit> {
    let fair = fair(room, shares);
    let past_half = |i: usize| shares[i].assigned > fair[i] / 2;
    (0..shares.len())
        .map(|i| {
            let Share { assigned, late, .. } = shares[i];
            if !late || !(0..shares.len()).any(|o| o != i && past_half(o)) {
                return Deficit::default();
            }
            Deficit {
                ahead: (fair[i] / 2).saturating_sub(assigned),
                protected: assigned <= fair[i],
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
