//! Tests of `state`.

use super::*;
use crate::storage::cell_state::{CellChanges, CellState};

/// Only groups may be passed over: without the record that was cancelled the copy would take the job for done.
#[test]
fn of_an_answer_with_many_changes_groups_are_read_once_and_jobs_each_time() {
    let spec = serde_json::json!({"nameId": "req-000007", "lane": "x", "crew": "free", "shape": "sweep",
        "urgency": "high", "pieces": 2, "cores": 1.0, "accelerators": 0, "memGb": 1.0, "bundle": "i", "sizeGb": 0.1,
        "oneZone": false, "apart": false, "loaners": true, "guessS": 1.0, "bookmarkS": 0, "stashS": 0});
    let (id, spec) = crate::protocol::user::parse_submission(spec.to_string().as_bytes()).unwrap();
    let record = |cancelled| {
        let plain =
            serde_json::json!({"s": serde_json::to_value(&spec).unwrap(), "t": 0, "x": cancelled});
        plain
    };
    let group = |m: u64| serde_json::json!({"k": [["small", "a", 1, null]], "i": [], "a": [], "m": [[m, 0, 0, 0, 0]]});
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
    let Ok(StateReply::Changes(changes, 17)) = parse(&request, 200, body.as_bytes()) else {
        panic!("no changes")
    };
    let stamps: Vec<u64> = changes.iter().map(|c| c.mod_revision).collect();
    assert_eq!(stamps, [12, 14, 15, 16, 17]);
    let (mut cell, mut changes_seen) = (CellState::default(), CellChanges::default());
    cell.apply(changes, &mut changes_seen);
    assert_eq!(
        cell.machines().map(|(_, m, _)| m.0).collect::<Vec<_>>(),
        [2]
    );
    assert!(
        matches!(&changes_seen.ended[..], [ended] if ended.job == id && ended.how.is_some_and(|f| f.cancelled))
    );
}
