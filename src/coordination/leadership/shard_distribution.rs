//! How the shards are distributed over the live controllers.

use crate::storage::cell_state::CellState;
use crate::storage::ids::ShardId;
use std::collections::BTreeMap;

/// The shards led by each live controller, and those without a live leader.
#[derive(Debug)]
pub(super) struct ShardDistribution<'a> {
    /// Number of shards of each controller that may claim shards.
    loads: BTreeMap<&'a str, usize>,
    /// Live leaders by shard.
    leaders: Vec<Option<&'a str>>,
    /// Shards without a live leader, in ascending order.
    pub(super) without_leader: Vec<ShardId>,
}

/// A controller and the number of its shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Load<'a> {
    /// Number of shards. It is compared first.
    pub(super) shards: usize,
    /// Name of the controller; orders controllers with equal numbers of shards.
    pub(super) controller: &'a str,
}

impl<'a> ShardDistribution<'a> {
    /// The distribution in the cell. Controllers that may not claim shards keep those that they lead, but are left out of
    /// the loads.
    pub(super) fn of(cell: &'a CellState, may_claim: impl Fn(&str) -> bool) -> Self {
        let controllers = cell.nodes.keys().map(String::as_str);
        let mut distribution = ShardDistribution {
            loads: controllers
                .filter(|controller| may_claim(controller))
                .map(|controller| (controller, 0))
                .collect(),
            leaders: (0..cell.shards())
                .map(|shard| live_leader(cell, shard))
                .collect(),
            without_leader: Vec::new(),
        };
        for (shard, leader) in distribution.leaders.iter().enumerate() {
            match leader {
                Some(leader) => {
                    if let Some(shards) = distribution.loads.get_mut(leader) {
                        *shards += 1;
                    }
                }
                None => distribution.without_leader.push(shard),
            }
        }
        distribution
    }

    /// Whether a controller may claim shards.
    pub(super) fn may_claim(&self, controller: &str) -> bool {
        self.loads.contains_key(controller)
    }

    /// The shards that a live controller leads, in ascending order.
    pub(super) fn led_by(&self, controller: &str) -> impl Iterator<Item = ShardId> {
        self.leaders
            .iter()
            .enumerate()
            .filter(move |(_, leader)| **leader == Some(controller))
            .map(|(shard, _)| shard)
    }

    /// The controller with the fewest shards; among several, the first by name.
    pub(super) fn least_loaded(&self) -> Option<Load<'a>> {
        self.loads().min()
    }

    /// The controller with the most shards; among several, the last by name.
    pub(super) fn most_loaded(&self) -> Option<Load<'a>> {
        self.loads().max()
    }

    /// Counts one more shard for the controller with the fewest shards, and returns its name.
    pub(super) fn add_to_least_loaded(&mut self) -> Option<&'a str> {
        let controller = self.least_loaded()?.controller;
        *self.loads.get_mut(controller)? += 1;
        Some(controller)
    }

    fn loads(&self) -> impl Iterator<Item = Load<'a>> {
        self.loads.iter().map(|(controller, shards)| Load {
            shards: *shards,
            controller,
        })
    }
}

/// The leader of a shard, if the process that its record names is alive.
fn live_leader(cell: &CellState, shard: ShardId) -> Option<&str> {
    let leader = cell.leaders[shard].value.as_ref()?;
    let node = cell.nodes.get(&leader.node)?;
    (node.value.incarnation == leader.incarnation).then_some(&leader.node)
}

#[cfg(test)]
mod tests;
