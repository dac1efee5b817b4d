//! Tests of `gang_reservation`.

use super::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MACHINE_MILLICORES: u64 = 8_000;

fn cores(thousandths: u64) -> Amount {
    Amount {
        cores: thousandths,
        accelerators: 0,
        memory: 0,
    }
}

/// A machine of eight cores, with a task of one core for each of these estimated runtimes in seconds; the remaining
/// cores are free.
fn machine(id: u64, runtimes: &[u64]) -> ReservationCandidate<'static> {
    let task = |seconds: &u64| EndingTask {
        estimated_runtime: Micros::secs(*seconds),
        need: cores(1_000),
    };
    ReservationCandidate {
        machine: MachineId(id),
        zone: if id.is_multiple_of(2) { "a" } else { "b" },
        free: cores(MACHINE_MILLICORES - runtimes.len() as u64 * 1_000),
        ending_tasks: runtimes.iter().map(task).collect(),
    }
}

fn whole_machines(tasks: u64) -> GangDemand {
    GangDemand {
        need: cores(MACHINE_MILLICORES),
        tasks,
        single_zone: false,
        zone_limit: tasks,
    }
}

fn ids(reservation: &ReservedMachines) -> Vec<u64> {
    reservation
        .machines
        .iter()
        .map(|machine| machine.0)
        .collect()
}

#[test]
fn machines_expected_free_soonest_are_reserved_for_all_tasks() {
    let machines = [
        machine(1, &[300; 8]),
        machine(2, &[10; 8]),
        machine(3, &[10, 10, 90]),
        machine(4, &[]),
        machine(5, &[12; 8]),
    ];
    let reservation = select_reserved_machines(&machines, &whole_machines(3));
    assert_eq!(ids(&reservation), [2, 4, 5]);
    assert_eq!(
        (reservation.tasks, reservation.longest_runtime),
        (3, Micros::secs(12))
    );
    assert_eq!(
        select_reserved_machines(&machines, &whole_machines(5)).tasks,
        5
    );
    assert_eq!(
        select_reserved_machines(&machines, &whole_machines(6)).tasks,
        5
    );
}

#[test]
fn resources_of_endless_tasks_are_not_counted_as_room() {
    let mut with_endless_tasks = machine(1, &[10; 4]);
    with_endless_tasks.free = cores(0);
    let reservation = select_reserved_machines(&[with_endless_tasks.clone()], &whole_machines(1));
    assert_eq!(reservation, ReservedMachines::default());
    let demand = GangDemand {
        need: cores(2_000),
        ..whole_machines(3)
    };
    assert_eq!(
        select_reserved_machines(&[with_endless_tasks], &demand).tasks,
        2
    );
}

#[test]
fn reservation_respects_single_zone_and_zone_limit() {
    let machines: Vec<_> = (1..=7).map(|id| machine(id, &[10; 8])).collect();
    let one_zone = GangDemand {
        single_zone: true,
        ..whole_machines(4)
    };
    assert_eq!(
        ids(&select_reserved_machines(&machines, &one_zone)),
        [1, 3, 5, 7]
    );
    let two_per_zone = GangDemand {
        zone_limit: 2,
        ..whole_machines(4)
    };
    assert_eq!(
        ids(&select_reserved_machines(&machines, &two_per_zone)),
        [1, 2, 3, 4]
    );
}

/// Machines that are not reserved are filled again with tasks of any runtime whenever a task ends; reserved ones are
/// not. Whatever the order in which tasks end, the gang waits at most twice the longest runtime: once for the machines
/// that are reserved first, and once more if one of them was replaced by a machine with shorter tasks.
#[test]
fn reservation_completes_within_twice_the_longest_runtime() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = 0;
        // By machine: the tasks' runtimes, and when they end.
        let mut running: Vec<Vec<(u64, u64)>> = vec![Vec::new(); 10];
        let start = |rng: &mut StdRng, now: u64| {
            let runtime = rng.random_range(3..40);
            (runtime, now + runtime)
        };
        for tasks in &mut running {
            tasks.extend((0..8).map(|_| start(&mut rng, 0)));
        }
        let demand = whole_machines(6);
        let completed_at = loop {
            let machines: Vec<_> = (0..)
                .zip(&running)
                .map(|(id, tasks)| {
                    let runtimes: Vec<u64> = tasks.iter().map(|(runtime, _)| *runtime).collect();
                    machine(id, &runtimes)
                })
                .collect();
            let reservation = select_reserved_machines(&machines, &demand);
            if reservation.longest_runtime == Micros::ZERO {
                break now;
            }
            now += 1;
            for (id, tasks) in (0..).zip(&mut running) {
                tasks.retain(|(_, ends_at)| *ends_at > now);
                if !reservation.machines.contains(&MachineId(id)) {
                    tasks.resize_with(8, || start(&mut rng, now));
                }
            }
        };
        assert!(
            completed_at <= 2 * 40,
            "seed {seed}: reservation complete after {completed_at} s"
        );
    }
}
