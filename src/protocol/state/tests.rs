//! Tests of the decoding of changes.

use super::*;
use crate::storage::cell_state::{CellChanges, CellState};

/// Only changes of groups may be skipped: if the record that is marked as cancelled were skipped, the replica would
/// take the job for completed.
#[test]
fn changes_response_decodes_last_change_of_each_group_and_every_change_of_a_job() {
    let spec = serde_json::json!({"nameId": "req-000007", "lane": "x", "crew": "free", "shape": "sweep",
        "urgency": "high", "pieces": 2, "cores": 1.0, "accelerators": 0, "memGb": 1.0, "bundle": "i", "sizeGb": 0.1,
        "oneZone": false, "apart": false, "loaners": true, "guessS": 1.0, "bookmarkS": 0, "stashS": 0});
    let (id, spec) = crate::protocol::user::parse_submission(spec.to_string().as_bytes()).unwrap();
    let record = |cancelled| serde_json::json!({"s": serde_json::to_value(&spec).unwrap(), "t": 0, "x": cancelled});
    let group = |machine: u64| serde_json::json!({"k": [["small", "a", 1, null]], "i": [], "a": [], "m": [[machine, 0, 0, 0, 0]]});
    let log = serde_json::json!([
        {"write": "c/group/0/0", "value": group(1), "stamp": 11},
        {"write": "c/job/7", "value": record(false), "stamp": 12},
        {"write": "c/group/0/1", "value": group(3), "stamp": 13},
        {"write": "c/job/7", "value": record(true), "stamp": 14},
        {"remove": "c/group/0/1", "stamp": 15},
        {"write": "c/group/0/0", "value": group(2), "stamp": 16},
        {"remove": "c/job/7", "stamp": 17},
    ]);
    let body = serde_json::json!({"epoch": 17, "log": log}).to_string();
    let request = StateRequest::Changes {
        after: 10,
        wait: Micros::ZERO,
    };
    let Ok(StateResponse::Changes(changes, 17)) = parse(&request, 200, body.as_bytes()) else {
        panic!("no changes")
    };
    let revisions: Vec<u64> = changes.iter().map(|change| change.mod_revision).collect();
    assert_eq!(revisions, [12, 14, 15, 16, 17]);
    let (mut cell, mut changes_seen) = (CellState::default(), CellChanges::default());
    cell.apply(changes, &mut changes_seen);
    assert_eq!(
        cell.machines().map(|(_, m, _)| m.0).collect::<Vec<_>>(),
        [2]
    );
    assert!(
        matches!(&changes_seen.ended[..], [ended] if ended.job == id && ended.outcome.is_some_and(|f| f.cancelled))
    );
}
