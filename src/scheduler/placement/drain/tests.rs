//! Tests of `drain`.

use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CAPACITY: u64 = 8_000;

fn cores(thousandths: u64) -> Amount {
    Amount {
        cores: thousandths,
        accelerators: 0,
        memory: 0,
    }
}

/// A machine of eight cores, full of tasks of one core with these run times in seconds; what is left is free.
fn machine(id: u64, runtimes: &[u64]) -> DrainCandidate<'static> {
    let task = |seconds: &u64| EndingTask {
        estimated_runtime: Micros::secs(*seconds),
        need: cores(1_000),
    };
    DrainCandidate {
        machine: MachineId(id),
        zone: if id.is_multiple_of(2) { "a" } else { "b" },
        free: cores(CAPACITY - runtimes.len() as u64 * 1_000),
        ending: runtimes.iter().map(task).collect(),
    }
}

fn whole_machines(tasks: u64) -> DrainDemand {
    DrainDemand {
        need: cores(CAPACITY),
        tasks,
        single_zone: false,
        zone_limit: tasks,
    }
}

fn ids(drain: &Drain) -> Vec<u64> {
    drain.machines.iter().map(|machine| machine.0).collect()
}

#[test]
fn full_machines_that_are_free_soonest_are_held_for_all_tasks() {
    let machines = [
        machine(1, &[300; 8]),
        machine(2, &[10; 8]),
        machine(3, &[10, 10, 90]),
        machine(4, &[]),
        machine(5, &[12; 8]),
    ];
    let held = drain(&machines, &whole_machines(3));
    assert_eq!(ids(&held), [2, 4, 5]);
    assert_eq!((held.tasks, held.duration), (3, Micros::secs(12)));
    assert_eq!(drain(&machines, &whole_machines(5)).tasks, 5);
    assert_eq!(drain(&machines, &whole_machines(6)).tasks, 5);
}

#[test]
fn tasks_that_never_end_leave_no_room() {
    let mut occupied = machine(1, &[10; 4]);
    occupied.free = cores(0);
    let held = drain(&[occupied.clone()], &whole_machines(1));
    assert_eq!(held, Drain::default());
    let demand = DrainDemand {
        need: cores(2_000),
        ..whole_machines(3)
    };
    assert_eq!(drain(&[occupied], &demand).tasks, 2);
}

#[test]
fn zones_are_kept_together_or_apart() {
    let machines: Vec<_> = (1..=7).map(|id| machine(id, &[10; 8])).collect();
    let together = DrainDemand {
        single_zone: true,
        ..whole_machines(4)
    };
    assert_eq!(ids(&drain(&machines, &together)), [1, 3, 5, 7]);
    let apart = DrainDemand {
        zone_limit: 2,
        ..whole_machines(4)
    };
    assert_eq!(ids(&drain(&machines, &apart)), [1, 2, 3, 4]);
}

/// Machines that are not held are filled again with work of any length whenever a task ends; held ones are not. In no
/// order of ends does the set wait longer than twice the longest task: once for the machines that are held first, once
/// more where one was exchanged for another whose tasks are shorter.
#[test]
fn a_set_is_drained_within_twice_the_longest_task_whatever_ends_when() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = 0;
        // By machine: the tasks' run times, and when they end.
        let mut running: Vec<Vec<(u64, u64)>> = vec![Vec::new(); 10];
        let start = |rng: &mut StdRng, now: u64| {
            let runtime = rng.random_range(3..40);
            (runtime, now + runtime)
        };
        for tasks in &mut running {
            tasks.extend((0..8).map(|_| start(&mut rng, 0)));
        }
        let demand = whole_machines(6);
        let drained_at = loop {
            let machines: Vec<_> = (0..)
                .zip(&running)
                .map(|(id, tasks)| {
                    let runtimes: Vec<u64> = tasks.iter().map(|(runtime, _)| *runtime).collect();
                    machine(id, &runtimes)
                })
                .collect();
            let held = drain(&machines, &demand);
            if held.duration == Micros::ZERO {
                break now;
            }
            now += 1;
            for (id, tasks) in (0..).zip(&mut running) {
                tasks.retain(|(_, ends_at)| *ends_at > now);
                if !held.machines.contains(&MachineId(id)) {
                    tasks.resize_with(8, || start(&mut rng, now));
                }
            }
        };
        assert!(
            drained_at <= 2 * 40,
            "seed {seed}: drained after {drained_at} s"
        );
    }
}
