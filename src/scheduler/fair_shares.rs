//! Fair shares of classes and teams under a lasting shortage of room.
//!
//! Jobs are ordered by guarantee, priority and latest start. Under a lasting shortage, whatever comes last in this
//! order would get nothing. So a class or team that is late and has less than half of its fair share, while another
//! has more than half of its own, goes ahead until it has that half. Without a shortage nothing is late for long,
//! and the order is unchanged.

/// Assigned and pending cores of one class or one team, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Assigned now.
    pub assigned: u64,
    /// Pending beyond that, as far as quotas allow.
    pub waiting: u64,
    /// Whether some of its work should have started long ago.
    pub late: bool,
}

impl Share {
    fn demand(&self) -> u64 {
        self.assigned.saturating_add(self.waiting)
    }
}

/// Max-min fair shares of `room`, one for each of `shares`: as even as possible, and none exceeds its demand.
pub fn fair(room: u64, shares: &[Share]) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..shares.len()).collect();
    by_demand.sort_unstable_by_key(|index| shares[*index].demand());
    let mut fair = vec![0; shares.len()];
    let mut unshared = room;
    for (served, index) in by_demand.iter().enumerate() {
        let even_part = unshared / (shares.len() - served) as u64;
        fair[*index] = shares[*index].demand().min(even_part);
        unshared -= fair[*index];
    }
    fair
}

/// What a class or team is due under a lasting shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deficit {
    /// Cores that it may be assigned ahead of the order, in thousandths: what it lacks to half of its fair share.
    pub ahead: u64,
    /// Whether its late tasks are protected from preemption: it has no more than its fair share. Were they protected
    /// only up to the half, the room assigned ahead of the order would be preempted as soon as the half is reached.
    pub protected: bool,
}

/// What each class or team is due, while another has more than half of its own fair share.
pub fn deficits(room: u64, shares: &[Share]) -> Vec<Deficit> {
    let fair = fair(room, shares);
    let exceeds_half = |index: usize| shares[index].assigned > fair[index] / 2;
    let other_exceeds_half =
        |index: usize| (0..shares.len()).any(|other| other != index && exceeds_half(other));
    shares
        .iter()
        .enumerate()
        .map(|(index, share)| {
            if !share.late || !other_exceeds_half(index) {
                return Deficit::default();
            }
            Deficit {
                ahead: (fair[index] / 2).saturating_sub(share.assigned),
                protected: share.assigned <= fair[index],
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
