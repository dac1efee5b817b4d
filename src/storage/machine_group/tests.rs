//! Tests of `machine_group`.

use super::*;

const IMAGE_SIZE: u64 = 123_456;

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

fn attempt(job: u64, index: u32, number: u64) -> Attempt {
    Attempt {
        task: TaskId {
            job: JobId(job),
            index,
        },
        number,
    }
}

fn stored_bytes(group: &GroupRecord) -> usize {
    serde_json::to_string(group).unwrap().len()
}

/// A group of which every addition is checked to grow the stored form by no more than the upper bound.
struct SizeCheckedGroup(GroupRecord);

impl SizeCheckedGroup {
    fn add_machine(&mut self, id: MachineId, record: MachineRecord) {
        let before = stored_bytes(&self.0);
        let max_growth = GroupRecord::max_machine_bytes(id, &record);
        self.0.machines.insert(id, record);
        assert!(
            stored_bytes(&self.0) <= before + max_growth,
            "machine exceeds its upper bound"
        );
    }

    fn add_assignment(&mut self, id: MachineId, attempt: Attempt, image: &str) {
        let before = stored_bytes(&self.0);
        let max_growth = GroupRecord::max_assignment_bytes(&attempt, image, IMAGE_SIZE);
        let record = self.0.machines.get_mut(&id).unwrap();
        record.tasks.push(Assignment::of(attempt));
        record.record_image_use(image, IMAGE_SIZE, u64::MAX);
        assert!(
            stored_bytes(&self.0) <= before + max_growth,
            "assignment exceeds its upper bound"
        );
    }

    fn preempt_last(&mut self, id: MachineId) {
        // Key of the list of preempted assignments, which the spare bytes of a group's record cover.
        const LIST_KEY_BYTES: usize = 8;
        let before = stored_bytes(&self.0);
        let record = self.0.machines.get_mut(&id).unwrap();
        record.preempted.extend(record.tasks.last().copied());
        assert!(
            stored_bytes(&self.0)
                <= before + GroupRecord::MAX_PREEMPTED_ENTRY_BYTES + LIST_KEY_BYTES,
            "preemption exceeds its upper bound"
        );
    }
}

fn size_checked_group(compact: bool) -> GroupRecord {
    let mut group = SizeCheckedGroup(GroupRecord {
        compact_encoding: compact,
        ..GroupRecord::default()
    });
    for i in 0..130u64 {
        let id = MachineId(900 + i * 997);
        let mut record = machine(&format!("10.1.{}.{}:9000", i / 200, 1 + i % 200));
        record.fenced_incarnation = i % 3 * 1_000_000;
        group.add_machine(id, record);
        for n in 0..i % 5 {
            let attempt = attempt(999_990 + i * n, 99_999 - (i * n) as u32, 1_000_000 + n);
            group.add_assignment(id, attempt, &format!("image-{}", i % 40));
            group.preempt_last(id);
        }
    }
    group.0
}

/// Guards against a group that outgrows the store's size limit because an upper bound is too low: the store would
/// refuse the transaction of the commit round again and again.
#[test]
fn size_upper_bounds_hold_and_groups_round_trip() {
    for compact in [false, true] {
        let mut group = size_checked_group(compact);
        let text = serde_json::to_string(&group).unwrap();
        let mut read = serde_json::from_str::<GroupRecord>(&text).unwrap();
        read.machines
            .values_mut()
            .chain(group.machines.values_mut())
            .for_each(|record| record.tasks.sort_unstable());
        assert_eq!(read, group);
    }
}

#[test]
fn machine_that_refers_to_no_kind_is_rejected() {
    let text = r#"{"k":[],"i":[],"a":[],"m":[[1,0,0,0,0]]}"#;
    assert!(serde_json::from_str::<GroupRecord>(text).is_err());
}

#[test]
fn group_in_the_first_format_is_rejected() {
    assert!(serde_json::from_str::<GroupRecord>(r#"{"m":{}}"#).is_err());
}

#[test]
fn group_of_100_machines_takes_less_than_3000_bytes() {
    let mut group = GroupRecord::default();
    for i in 1..=100 {
        let mut record = machine(&format!("10.1.0.{i}:9000"));
        let attempt = attempt(400_000 + i / 8, i as u32, 10_000 + i / 8);
        record.tasks.push(Assignment::of(attempt));
        record.record_image_use("img-07", 900, u64::MAX);
        group.machines.insert(MachineId(i), record);
    }
    assert!(stored_bytes(&group) < 3_000);
}

/// Guards against a record that outgrows a value of the state store because one more attempt lengthens the numbers of all others: the store refuses
/// it, and the same assignment is planned again for ever.
#[test]
fn size_upper_bound_holds_for_attempts_that_lengthen_the_numbers_of_others() {
    let mut group = GroupRecord {
        compact_encoding: true,
        ..GroupRecord::default()
    };
    let mut record = machine("10.0.0.1:9000");
    for job in 0..200 {
        let added = attempt(100 + job, 0, 1_000 + job / 8);
        record.tasks.push(Assignment::of(added));
    }
    group.machines.insert(MachineId(1), record);
    for number in [1_025, 1_100, 1_152, 1_281, 66_000, 70_000, 1 << 33] {
        let added = attempt(7, 0, number);
        let bound = GroupRecord::max_assignment_bytes(&added, "img", IMAGE_SIZE)
            + group.max_renumbering_bytes(number);
        let mut larger = group.clone();
        let record = larger.machines.get_mut(&MachineId(1)).unwrap();
        record.tasks.push(Assignment::of(added));
        record.record_image_use("img", IMAGE_SIZE, u64::MAX);
        let growth = stored_bytes(&larger) - stored_bytes(&group);
        assert!(growth <= bound, "{number}: {growth} bytes, bound {bound}");
    }
}
