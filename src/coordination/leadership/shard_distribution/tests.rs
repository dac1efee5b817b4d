//! Tests of `shard_distribution`.

use super::*;
use crate::storage::cell_state::Versioned;
use crate::storage::records::{
    INITIAL_FORMAT, Incarnation, MetaRecord, NodeRecord, ShardLeaderRecord,
};

const CURRENT: Incarnation = Incarnation(2);
const EARLIER: Incarnation = Incarnation(1);

/// A cell in which these controllers are alive, and shards have these leaders.
fn cell(controllers: &[&str], leaders: &[Option<(&str, Incarnation)>]) -> CellState {
    let mut cell = CellState::default();
    cell.meta.value = Some(MetaRecord {
        record_format: INITIAL_FORMAT,
        shards: leaders.len(),
        teams: BTreeMap::new(),
    });
    for controller in controllers {
        let record = NodeRecord {
            incarnation: CURRENT,
            record_format: None,
            rules: None,
            restart_history: Default::default(),
        };
        let node = Versioned {
            value: record,
            mod_revision: 1,
        };
        cell.nodes.insert((*controller).to_owned(), node);
    }
    cell.leaders = leaders
        .iter()
        .map(|leader| Versioned {
            value: leader.map(|(node, run)| ShardLeaderRecord {
                node: node.to_owned(),
                incarnation: run,
            }),
            mod_revision: 1,
        })
        .collect();
    cell
}

#[test]
fn shards_of_earlier_incarnations_and_dead_controllers_have_no_leader() {
    let leaders = [
        Some(("a", CURRENT)),
        Some(("a", EARLIER)),
        Some(("gone", CURRENT)),
        None,
    ];
    let cell = cell(&["a", "b"], &leaders);
    let distribution = ShardDistribution::of(&cell, |_| true);
    assert_eq!(distribution.without_leader, [1, 2, 3]);
    assert_eq!(distribution.led_by("a").collect::<Vec<_>>(), [0]);
    assert_eq!(distribution.led_by("gone").count(), 0);
}

#[test]
fn least_loaded_controller_gets_next_shard_and_names_break_ties() {
    let cell = cell(&["a", "b", "c"], &[Some(("b", CURRENT)), None, None, None]);
    let mut distribution = ShardDistribution::of(&cell, |_| true);
    let most = distribution.most_loaded().unwrap();
    assert_eq!((most.controller, most.shards), ("b", 1));
    let assigned: Vec<&str> = (0..4)
        .filter_map(|_| distribution.add_to_least_loaded())
        .collect();
    assert_eq!(assigned, ["a", "c", "a", "b"]);
    assert_eq!(distribution.least_loaded().unwrap().controller, "c");
    assert_eq!(distribution.most_loaded().unwrap().controller, "b");
}

#[test]
fn controller_that_may_not_claim_keeps_its_shards_and_gets_no_others() {
    let cell = cell(&["a", "b"], &[Some(("a", CURRENT)), None]);
    let mut distribution = ShardDistribution::of(&cell, |controller| controller != "a");
    assert!(!distribution.may_claim("a") && distribution.may_claim("b"));
    assert_eq!(distribution.led_by("a").collect::<Vec<_>>(), [0]);
    assert_eq!(distribution.without_leader, [1]);
    assert_eq!(distribution.add_to_least_loaded(), Some("b"));
    assert_eq!(distribution.most_loaded().unwrap().controller, "b");
}

#[test]
fn no_shard_is_distributed_if_no_controller_may_claim() {
    let cell = cell(&["a"], &[None]);
    let mut distribution = ShardDistribution::of(&cell, |_| false);
    assert_eq!(distribution.add_to_least_loaded(), None);
    assert_eq!(distribution.least_loaded(), None);
}
