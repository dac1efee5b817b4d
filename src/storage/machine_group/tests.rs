//! Tests of `machine_group`.

use super::*;

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

/// Every estimate must be at least what the written form really grows by: a round that outgrew
/// the store's limit would be refused for ever.
#[test]
fn estimates_are_upper_bounds_and_records_survive_the_store() {
    grows_as_estimated(false);
    grows_as_estimated(true);
}

fn grows_as_estimated(terse: bool) {
    let size = |g: &GroupRecord| serde_json::to_string(g).unwrap().len();
    let mut g = GroupRecord {
        terse,
        ..GroupRecord::default()
    };
    for i in 0..130u64 {
        let id = MachineId(900 + i * 997);
        let mut new = machine(&format!("10.1.{}.{}:9000", i / 200, 1 + i % 200));
        new.fenced_incarnation = i % 3 * 1_000_000;
        let before = size(&g);
        let most = GroupRecord::machine_bytes(id, &new);
        g.machines.insert(id, new);
        assert!(size(&g) <= before + most, "a machine");
        for n in 0..i % 5 {
            let task = TaskId {
                job: JobId(999_990 + i * n),
                index: 99_999 - (i * n) as u32,
            };
            let a = Attempt {
                task,
                number: 1_000_000 + n,
            };
            let image = format!("image-{}", i % 40);
            let before = size(&g);
            let most = GroupRecord::assignment_bytes(&a, &image, 123_456);
            let r = g.machines.get_mut(&id).unwrap();
            r.tasks.push(Assignment::of(a));
            r.use_image(&image, 123_456, u64::MAX);
            assert!(size(&g) <= before + most, "a booking");
            let before = size(&g);
            let r = g.machines.get_mut(&id).unwrap();
            r.preempted.extend(r.tasks.last().copied());
            // The list's own key is part of the spare room.
            assert!(
                size(&g) <= before + GroupRecord::PREEMPTED_BYTES + 8,
                "a preemption"
            );
        }
    }
    let text = serde_json::to_string(&g).unwrap();
    let mut back = serde_json::from_str::<GroupRecord>(&text).unwrap();
    back.machines
        .values_mut()
        .chain(g.machines.values_mut())
        .for_each(|r| r.tasks.sort_unstable());
    assert_eq!(back, g);
    assert!(
        serde_json::from_str::<GroupRecord>(r#"{"k":[],"i":[],"a":[],"m":[[1,0,0,0,0]]}"#).is_err()
    );
    assert!(
        serde_json::from_str::<GroupRecord>(r#"{"m":{}}"#).is_err(),
        "the first layout"
    );
}

#[test]
fn many_machines_fit_a_small_value() {
    let mut g = GroupRecord::default();
    for i in 1..=100 {
        let mut r = machine(&format!("10.1.0.{i}:9000"));
        let task = TaskId {
            job: JobId(400_000 + i / 8),
            index: i as u32,
        };
        r.tasks.push(Assignment::of(Attempt {
            task,
            number: 10_000 + i / 8,
        }));
        r.use_image("img-07", 900, u64::MAX);
        g.machines.insert(MachineId(i), r);
    }
    assert!(serde_json::to_string(&g).unwrap().len() < 3_000);
}
