//! Fair shares of classes and teams under a lasting shortage of room.
//!
//! Jobs are ordered by guarantee, priority and latest start. Under a lasting shortage, the classes and teams that come
//! last in this order would be starved. Therefore, a class or team that is late and has less than half of its fair
//! share, while another one has more than half of its own, takes precedence until it has that half. Without a shortage
//! no class or team is late for long, and the order is unchanged.

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
pub fn max_min_fair_shares(room: u64, shares: &[Share]) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..shares.len()).collect();
    by_demand.sort_unstable_by_key(|index| shares[*index].demand());
    let mut fair = vec![0; shares.len()];
    let mut remaining_room = room;
    for (served, index) in by_demand.iter().enumerate() {
        let even_share = remaining_room / (shares.len() - served) as u64;
        fair[*index] = shares[*index].demand().min(even_share);
        remaining_room -= fair[*index];
    }
    fair
}

/// What a class or team lacks of its fair share under a lasting shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deficit {
    /// Cores that it may be assigned ahead of the order, in thousandths: what it lacks of half of its fair share.
    pub cores_ahead_of_order: u64,
    /// Whether its late tasks are protected from preemption: it has no more than its fair share. If they were protected
    /// only up to half of it, the room assigned ahead of the order would be preempted as soon as that half is reached.
    pub protected_from_preemption: bool,
}

/// The deficit of each class or team; none unless it is late and another one has more than half of its own fair share.
pub fn deficits(room: u64, shares: &[Share]) -> Vec<Deficit> {
    let fair = max_min_fair_shares(room, shares);
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
                cores_ahead_of_order: (fair[index] / 2).saturating_sub(share.assigned),
                protected_from_preemption: share.assigned <= fair[index],
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
