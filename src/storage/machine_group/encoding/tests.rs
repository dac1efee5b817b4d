//! Tests of `encoding`: that the stored form is as documented.

use super::*;
use crate::storage::ids::{JobId, MachineId};
use crate::storage::machine_group::{Assignment, GroupRecord, MachineHealth, MachineRecord};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// First address of the machines' subnet, 10.0.0.0, as a number.
const SUBNET_BASE: i64 = 10 << 24;

fn assignment(job: u64, index: u32, attempt_number: u64) -> Assignment {
    Assignment {
        job: JobId(job),
        index,
        attempt_number,
    }
}

fn machine(endpoint: &str) -> MachineRecord {
    MachineRecord {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: true,
        endpoint: endpoint.parse().ok(),
        health: MachineHealth::Schedulable,
        fenced_incarnation: 0,
        images: Vec::new(),
        tasks: Vec::new(),
        preempted: Vec::new(),
    }
}

fn group(compact: bool) -> GroupRecord {
    let fenced = MachineRecord {
        health: MachineHealth::Cordoned,
        fenced_incarnation: 7,
        images: vec![("image".into(), 900)],
        tasks: vec![assignment(3, 0, 11), assignment(3, 2, 11)],
        preempted: vec![assignment(3, 2, 11)],
        ..machine("10.0.0.5:9000")
    };
    let plain = MachineRecord {
        tasks: vec![assignment(2, 1, 10)],
        ..machine("10.0.0.9:9000")
    };
    GroupRecord {
        machines: [(MachineId(5), fenced), (MachineId(9), plain)].into(),
        compact_encoding: compact,
    }
}

#[test]
fn plain_form_writes_machines_as_numbers_that_refer_to_tables() {
    let text = serde_json::to_string(&group(false)).unwrap();
    assert_eq!(
        text,
        concat!(
            r#"{"k":[["small","a",1,[9000,167772160]]],"i":[["image",900]],"a":[[3,11],[2,10]],"#,
            r#""m":[[5,0,1,7,1,0,0,0,0,2],[4,0,0,0,0,1,1]],"p":[[5,0,2]]}"#
        )
    );
    assert_eq!(
        serde_json::from_str::<GroupRecord>(&text).unwrap(),
        group(false)
    );
}

#[test]
fn compact_form_writes_sorted_attempts_as_differences_and_tasks_as_masks() {
    let text = serde_json::to_string(&group(true)).unwrap();
    let bytes = URL_SAFE_NO_PAD.decode(text.trim_matches('"')).unwrap();
    let (kinds, images, attempts, machines, preempted): CompactFields<'_> =
        rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(
        kinds,
        [("small".into(), "a".into(), 1, Some((9000, SUBNET_BASE)))]
    );
    assert_eq!(images, [("image".into(), 900)]);
    assert_eq!(attempts, [11, 2, 1, 1, 0]);
    assert_eq!(
        machines,
        [
            vec![5, 0, 0b1101, 7, 0, 1, 0, 0b101],
            vec![4, 0, 0, 0, 1, 1]
        ]
    );
    assert_eq!(preempted, [(5, 1, 2)]);
    assert_eq!(
        serde_json::from_str::<GroupRecord>(&text).unwrap(),
        group(true)
    );
}
