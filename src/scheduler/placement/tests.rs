//! Tests of `placement`.

use super::*;
use crate::storage::ids::JobId;
use crate::storage::job::JobSpec;
use crate::storage::resources::Amount;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MACHINES_PER_GROUP: usize = 3;

fn cores(thousandths: u64) -> Amount {
    Amount {
        cores: thousandths,
        accelerators: 0,
        memory: 0,
    }
}

fn random_spec(rng: &mut StdRng) -> JobSpec {
    let gang = if rng.random_range(0..6) == 0 {
        r#""q":true,"#
    } else {
        ""
    };
    let zone = if rng.random_range(0..5) == 0 {
        r#""y":"a","#
    } else {
        ""
    };
    let (tasks, cores) = (rng.random_range(1..6), rng.random_range(1..5));
    let record = format!(
        r#"{{"l":"x","w":"t","u":"2","n":{tasks},{gang}{zone}"r":{{"c":{cores}000}},"i":"i","g":1}}"#
    );
    serde_json::from_str(&record).expect("a job")
}

fn candidate(index: usize, free_cores: u64) -> Candidate<'static> {
    Candidate {
        machine: MachineId(index as u64),
        group: index / MACHINES_PER_GROUP,
        owner: index % 2,
        machine_type: "small",
        zone: if index.is_multiple_of(2) { "a" } else { "b" },
        spot: false,
        price: 1,
        capacity: cores(6_000),
        free: cores(free_cores),
        reserved_in_plan: false,
        in_gang_reservation: false,
        images: &[],
        fetching_image: None,
        preemptible_tasks: Vec::new(),
        class: 0,
        restricts_colocation: false,
        residents: Vec::new(),
    }
}

fn request(index: usize, spec: &JobSpec, is_local: bool, price_limit: u64) -> PlacementRequest<'_> {
    PlacementRequest {
        job: JobId(index as u64),
        spec,
        priority: spec.priority,
        tasks: (0..spec.task_count).collect(),
        zones: BTreeMap::new(),
        remaining_task_quota: u64::MAX,
        price_limit,
        owner: 0,
        is_local,
        may_preempt: false,
        guaranteed: false,
        never_reserves: false,
        may_use_gang_reservations: true,
        gang: spec.runs_all_tasks_at_once(),
        avoided_machines: &[],
        rules: None,
    }
}

/// Distinct price limits that exclude no machine make all request shapes distinct, so that no request is skipped. The
/// plan must be the same as with equal price limits, where requests of unplaceable shapes are skipped.
#[test]
fn skipping_requests_of_unplaceable_shape_leaves_the_plan_unchanged() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let specs: Vec<JobSpec> = (0..30).map(|_| random_spec(&mut rng)).collect();
        let free: Vec<u64> = (0..12).map(|_| rng.random_range(0..6) * 1_000).collect();
        let is_local: Vec<bool> = specs.iter().map(|_| rng.random()).collect();
        let claims = |distinct_shapes: bool| {
            let mut candidates: Vec<Candidate<'_>> = free
                .iter()
                .enumerate()
                .map(|(index, free)| candidate(index, *free))
                .collect();
            let price_limit =
                |index: usize| u64::MAX - if distinct_shapes { index as u64 } else { 0 };
            let mut requests: Vec<PlacementRequest<'_>> = specs
                .iter()
                .enumerate()
                .map(|(index, spec)| request(index, spec, is_local[index], price_limit(index)))
                .collect();
            let mut groups = GroupWriteLimit {
                written: vec![false; free.len() / MACHINES_PER_GROUP],
                remaining: 3,
            };
            plan(&mut candidates, &mut requests, &mut groups, 20)
        };
        assert_eq!(claims(false), claims(true), "seed {seed}");
    }
}
