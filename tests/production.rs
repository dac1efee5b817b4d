//! Compatibility of this version with the version in production before jobs had dependencies: each reads what the other
//! writes.

#[path = "production/frozen.rs"]
#[rustfmt::skip] // The reader of the production version stays byte for byte.
mod frozen;
#[allow(dead_code)]
mod runner;

use cometlead::protocol::peer::PeerHint;
use cometlead::protocol::state::{decode, encode};
use cometlead::storage::cell_state::{CellChanges, CellState, Change, Content};
use cometlead::storage::records::{Key, NodeRecord};
use runner::World;
use runner::script::Script;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

const RECORDS: &str = include_str!("production/records.json");

/// A record, read and written again by the frozen code of the production version.
fn rewritten_by_production(key: &Key, text: &str) -> Option<Value> {
    fn rewrite<T: DeserializeOwned + Serialize>(text: &str) -> Option<Value> {
        serde_json::to_value(serde_json::from_str::<T>(text).ok()?).ok()
    }
    match key {
        Key::Meta => rewrite::<frozen::MetaRecord>(text),
        Key::Fleet => rewrite::<frozen::FleetRecord>(text),
        Key::Node(_) => rewrite::<frozen::NodeRecord>(text),
        Key::ShardLeader(_) => rewrite::<frozen::OwnRecord>(text),
        Key::Group(..) => rewrite::<frozen::GroupRecord>(text),
        Key::Usage(_) => rewrite::<frozen::UsageRecord>(text),
        Key::Job(_) => rewrite::<frozen::JobRecord>(text),
        Key::Chunk(..) => rewrite::<frozen::Finished>(text),
        Key::Final(_) => rewrite::<frozen::FinalRecord>(text),
        Key::Types => serde_json::from_str(text).ok(),
        Key::Rules(_) | Key::TypesPart(_) => None,
    }
}

/// A record, read and written again by this version.
fn rewritten_by_this_version(key: &Key, text: &str) -> Option<Value> {
    let raw = RawValue::from_string(text.to_owned()).ok()?;
    let written = match decode(key, &raw)? {
        Content::Meta(r) => encode(&r),
        Content::Types(r) => encode(&r),
        Content::Fleet(r) => encode(&r),
        Content::Node(r) => encode(&r),
        Content::ShardLeader(r) => encode(&r),
        Content::Group(mut r) => {
            r.compact_encoding = false;
            encode(&r)
        }
        Content::Usage(r) => encode(&r),
        Content::Job(r) => encode(&*r),
        Content::Chunk(r) => encode(&r),
        Content::Rules(r) => encode(&*r?),
    };
    serde_json::from_str(written?.get()).ok()
}

#[test]
fn records_of_production_are_read_without_loss() {
    let records: BTreeMap<String, Box<RawValue>> = serde_json::from_str(RECORDS).unwrap();
    let mut cell = CellState::default();
    for (i, (key, value)) in records.iter().enumerate() {
        let key = Key::parse(key).unwrap_or_else(|| panic!("{key}"));
        if matches!(key, Key::Final(_)) {
            let end: cometlead::storage::job::FinalRecord =
                serde_json::from_str(value.get()).unwrap();
            assert_eq!(end.ended_at.0, 0);
            continue;
        }
        let same: Value = serde_json::from_str(value.get()).unwrap();
        assert_eq!(
            rewritten_by_this_version(&key, value.get()),
            Some(same),
            "{key}"
        );
        let content = decode(&key, value);
        cell.apply(
            [Change {
                key,
                content,
                mod_revision: i as u64 + 1,
            }],
            &mut CellChanges::default(),
        );
    }
    assert!(!cell.is_format_unsupported(3) && cell.record_format() == 2);
    assert!(cell.machines().count() > 5 && cell.jobs.len() > 3);
    assert!(cell.jobs.values().all(|j| j.is_ready() || j.is_cancelled()));
    assert!(
        cell.jobs
            .values()
            .any(|j| !j.recorded_finished_tasks.is_empty()),
        "no task ends were read from a usage record"
    );
}

/// Until every controller has this version, the production version correctly reads all that this version writes.
#[test]
fn production_reads_records_written_before_the_format_is_raised() {
    let text = "seed 72\nold\nnext value_kb=2 txn_ops=4\nteam red cores=8 most=40\nend 40\n\
                at 0.5 upgrade n0 for=1\nat 0.5 upgrade n1 for=1\n\
                at 2 submit req-000001 pieces=90 cores=1 run=7 team=red due=90\n\
                at 4 submit req-000003 pieces=3 cores=1 run=400 bookmark=5 stash=2 urgency=low\n\
                at 5 submit req-000004 pieces=2 cores=1 run=3\nat 20 abort req-000003\n\
                at 22 submit req-000005 pieces=40 cores=2 run=300 urgency=high\n";
    let mut world = World::new(Script::parse(text).unwrap());
    world.run();
    assert!(world.failures().is_empty(), "{:?}", world.failures());
    let mut read = 0;
    for prefix in ["c/", "final/"] {
        for (key, value) in world.state.values(prefix) {
            let key = Key::parse(key).unwrap();
            let text = value.to_string();
            let theirs =
                rewritten_by_production(&key, &text).unwrap_or_else(|| panic!("{key}: {text}"));
            let mut ours = rewritten_by_this_version(&key, &text).unwrap_or_else(|| value.clone());
            // The production version drops the fields that it does not know from these records, which no other controller writes
            // again.
            let dropped: &[&str] = match key {
                Key::Node(_) => &["v", "s"],
                Key::Final(_) => &["t"],
                _ => &[],
            };
            ours.as_object_mut()
                .into_iter()
                .for_each(|o| o.retain(|name, _| !dropped.contains(&name.as_str())));
            assert_eq!(theirs, ours, "{key}");
            read += 1;
        }
    }
    assert!(read > 12, "only {read} records were read");
}

#[test]
fn hints_are_encoded_alike_by_both_versions() {
    let hex = include_str!("production/hint.hex").trim();
    let bytes: Vec<u8> = (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).unwrap())
        .collect();
    let ours: PeerHint = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(
        (
            ours.write_rate_milli,
            ours.last_heartbeat_ms,
            ours.saturated
        ),
        (3100, Some(40), true)
    );
    let written = rmp_serde::to_vec(&ours).unwrap();
    assert_eq!(written, bytes);
    let theirs: frozen::PeerHint = rmp_serde::from_slice(&written).unwrap();
    assert_eq!(theirs.terms, ours.shard_terms);
}

#[test]
fn node_record_with_a_format_is_read_by_production() {
    let new: NodeRecord = serde_json::from_str(r#"{"run":7,"v":3}"#).unwrap();
    assert_eq!(new.record_format, Some(3));
    let old: frozen::NodeRecord = serde_json::from_str(r#"{"run":7,"v":3}"#).unwrap();
    assert_eq!(old.run.0, 7);
    assert_eq!(
        serde_json::from_str::<NodeRecord>(r#"{"run":7}"#)
            .unwrap()
            .record_format,
        None
    );
}
