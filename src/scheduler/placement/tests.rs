//! Tests of `placement`.

use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Jobs whose shape found no room are passed over, and that changes no plan: with price limits that differ, and
/// forbid nothing, all are looked for.
#[test]
fn passing_over_shapes_changes_nothing() {
    let record = |text: String| serde_json::from_str::<JobSpec>(&text).expect("a job");
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let specs: Vec<JobSpec> = (0..30)
            .map(|_| {
                let set = if rng.random_range(0..6) == 0 { r#""q":true,"# } else { "" };
                let zone = if rng.random_range(0..5) == 0 { r#""y":"a","# } else { "" };
                let (n, cores) = (rng.random_range(1..6), rng.random_range(1..5));
                record(format!(
                    r#"{{"l":"x","w":"t","u":"2","n":{n},{set}{zone}"r":{{"c":{cores}000}},"i":"i","g":1}}"#
                ))
            })
            .collect();
        let free: Vec<u64> = (0..12).map(|_| rng.random_range(0..6) * 1_000).collect();
        let mine: Vec<bool> = specs.iter().map(|_| rng.random()).collect();
        let planned = |differ: bool| {
            let candidate = |(i, free): (usize, &u64)| Candidate {
                machine: MachineId(i as u64),
                group: i / 3,
                owner: i % 2,
                machine_type: "small",
                zone: if i % 2 == 0 { "a" } else { "b" },
                spot: false,
                price: 1,
                all: Amount {
                    cores: 6_000,
                    accelerators: 0,
                    memory: 0,
                },
                free: Amount {
                    cores: *free,
                    accelerators: 0,
                    memory: 0,
                },
                reserved: false,
                images: &[],
                fetches: None,
                running: Vec::new(),
                class: 0,
                has_exclusions: false,
                there: Vec::new(),
            };
            let mut candidates: Vec<Candidate<'_>> =
                free.iter().enumerate().map(candidate).collect();
            let mut requests: Vec<PlacementRequest<'_>> = specs
                .iter()
                .enumerate()
                .map(|(i, spec)| PlacementRequest {
                    job: JobId(i as u64),
                    spec,
                    priority: spec.priority,
                    tasks: (0..spec.task_count).collect(),
                    zones: BTreeMap::new(),
                    most: u64::MAX,
                    price_limit: u64::MAX - if differ { i as u64 } else { 0 },
                    owner: 0,
                    mine: mine[i],
                    preempts: false,
                    guaranteed: false,
                    takes_leftovers: false,
                    all_or_nothing: spec.together(),
                    avoid: &[],
                    rules: None,
                })
                .collect();
            let mut groups = GroupAllowance {
                open: vec![false; 4],
                left: 3,
            };
            plan(&mut candidates, &mut requests, &mut groups, 20)
        };
        assert_eq!(planned(false), planned(true), "seed {seed}");
    }
}
