//! How the work of a controller grows with the number of machines and waiting jobs: a plan, the choice of machines for a gang
//! reservation, a batch of changes from the watch, reading all records at startup, and the usage of teams. Run with
//! `cargo bench --bench scale`; not part of the tests.

mod common;

use cometlead::protocol::state::{decode, encode};
use cometlead::scheduler::placement::{
    Candidate, EndingTask, GangDemand, GroupWriteLimit, PlacementRequest, ReservationCandidate,
    plan, select_reserved_machines,
};
use cometlead::storage::cell_state::{CellChanges, CellState, Change, Content};
use cometlead::storage::ids::{Attempt, JobId, MachineId, TaskId};
use cometlead::storage::job::JobRecord;
use cometlead::storage::records::{
    Assignment, GroupRecord, Key, LATEST_FORMAT, MachineHealth, MachineRecord, MetaRecord,
};
use cometlead::storage::resources::Amount;
use cometlead::time::Micros;
use common::{MAX_CLAIMS_PER_PLAN, catalog};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::hint::black_box;

/// Cluster sizes in machines.
const MACHINE_COUNTS: [u64; 4] = [1_000, 5_500, 10_000, 50_000];
/// Numbers of waiting jobs.
const WAITING_JOB_COUNTS: [u64; 2] = [1_000, 4_000];
const MACHINES_PER_GROUP: u64 = 50;
const SHARDS: u64 = 5;
const TASKS_PER_MACHINE: u64 = 4;
const TASKS_PER_JOB: u64 = 40;

fn job(i: u64) -> JobRecord {
    let text = format!(
        r#"{{"s":{{"l":"lane","w":"team","u":"2","n":{TASKS_PER_JOB},"r":{{"c":{}000,"m":1000}},"i":"img-{}","s":true,"g":9000000}},"t":{i}}}"#,
        1 + i % 4,
        i % 40
    );
    serde_json::from_str(&text).expect("a job")
}

fn machine(m: u64) -> MachineRecord {
    let tasks = (0..TASKS_PER_MACHINE).map(|t| {
        let n = m * TASKS_PER_MACHINE + t;
        let task = TaskId {
            job: JobId(1_000_000 + n / TASKS_PER_JOB),
            index: (n % TASKS_PER_JOB) as u32,
        };
        Assignment::of(Attempt {
            task,
            number: 70_000 + n,
        })
    });
    MachineRecord {
        machine_type: if m.is_multiple_of(5) {
            "large"
        } else {
            "small"
        }
        .into(),
        zone: if m.is_multiple_of(2) { "a" } else { "b" }.into(),
        spot: !m.is_multiple_of(3),
        endpoint: format!("10.0.{}.{}:9000", m / 250, m % 250).parse().ok(),
        health: MachineHealth::Schedulable,
        fenced_incarnation: 0,
        images: vec![(format!("img-{}", m % 40).into(), 500)],
        tasks: tasks.collect(),
        preempted: Vec::new(),
    }
}

/// The records of a cluster in the state service.
fn records(machines: u64, waiting: u64) -> Vec<(Key, Content)> {
    let meta = MetaRecord {
        record_format: LATEST_FORMAT,
        shards: SHARDS as usize,
        teams: BTreeMap::new(),
    };
    let mut all = vec![
        (Key::Meta, Content::Meta(meta)),
        (Key::Types, Content::Types(catalog())),
    ];
    let mut groups: BTreeMap<(u64, u64), GroupRecord> = BTreeMap::new();
    for m in 0..machines {
        let at = (m % SHARDS, m / SHARDS / MACHINES_PER_GROUP);
        groups
            .entry(at)
            .or_default()
            .machines
            .insert(MachineId(m), machine(m));
    }
    let groups = groups.into_iter().map(|((k, n), g)| {
        let g = GroupRecord {
            compact_encoding: true,
            ..g
        };
        (Key::Group(k as usize, n as u32), Content::Group(g))
    });
    all.extend(groups);
    let running = (machines * TASKS_PER_MACHINE).div_ceil(TASKS_PER_JOB);
    let jobs = (0..running)
        .map(|i| 1_000_000 + i)
        .chain(2_000_000..2_000_000 + waiting);
    all.extend(jobs.map(|i| (Key::Job(JobId(i)), Content::Job(Box::new(job(i))))));
    all
}

fn cell_state(records: &[(Key, Content)]) -> CellState {
    let mut cell = CellState::default();
    let changes = records.iter().map(|(k, c)| Change {
        key: k.clone(),
        content: Some(c.clone()),
        mod_revision: 1,
    });
    cell.apply(changes, &mut CellChanges::default());
    cell.advance(1);
    cell
}

fn encode_content(content: &Content) -> Box<RawValue> {
    let text = match content {
        Content::Meta(r) => encode(r),
        Content::Types(r) => encode(r),
        Content::Group(r) => encode(r),
        Content::Job(r) => encode(&**r),
        _ => None,
    };
    text.expect("a record")
}

/// The choice of machines for the gang reservation of a gang that needs a third of them.
fn gang_reservations(c: &mut Criterion) {
    const ENDING_TASKS_PER_MACHINE: u64 = 11;
    let mut group = c.benchmark_group("drain");
    for machines in MACHINE_COUNTS {
        let ending = |machine: u64| {
            (0..ENDING_TASKS_PER_MACHINE)
                .map(|task| EndingTask {
                    estimated_runtime: Micros::secs(5 + (machine * 7 + task * 13) % 60),
                    need: Amount {
                        cores: 1_000,
                        ..Amount::default()
                    },
                })
                .collect()
        };
        let candidates: Vec<ReservationCandidate<'_>> = (0..machines)
            .map(|machine| ReservationCandidate {
                machine: MachineId(machine),
                zone: "a",
                free: Amount::default(),
                ending_tasks: ending(machine),
            })
            .collect();
        let demand = GangDemand {
            need: Amount {
                cores: ENDING_TASKS_PER_MACHINE * 1_000,
                ..Amount::default()
            },
            tasks: machines / 3,
            single_zone: false,
            zone_limit: machines,
        };
        group.bench_function(
            BenchmarkId::from_parameter(format!("{machines} machines")),
            |b| b.iter(|| black_box(select_reserved_machines(&candidates, &demand))),
        );
    }
    group.finish();
}

/// A plan over all machines, half of which have no room, for waiting jobs. Only the first few of them find room.
fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    for (machines, waiting) in MACHINE_COUNTS
        .map(|m| (m, 100))
        .into_iter()
        .chain(WAITING_JOB_COUNTS.map(|w| (1_000, w)))
    {
        let cell = cell_state(&records(machines, waiting));
        let candidates = || -> Vec<Candidate<'_>> {
            let candidate = |(k, m, r): (usize, MachineId, &'_ MachineRecord)| {
                let r = cell.machine(m).unwrap_or_else(|| panic!("{r:?}"));
                let t = cell.machine_type(&r.machine_type).expect("a type");
                Candidate {
                    machine: m,
                    group: (m.0 / MACHINES_PER_GROUP) as usize,
                    owner: k,
                    machine_type: &r.machine_type,
                    zone: &r.zone,
                    spot: r.spot,
                    price: t.price_of(r.spot),
                    capacity: t.capacity,
                    free: if m.0 % 2 == 0 {
                        Amount::default()
                    } else {
                        cell.free_resources(r)
                    },
                    reserved_in_plan: false,
                    in_gang_reservation: false,
                    images: &r.images,
                    fetching_image: None,
                    preemptible_tasks: Vec::new(),
                    class: 0,
                    restricts_colocation: false,
                    residents: Vec::new(),
                }
            };
            cell.machines().map(candidate).collect()
        };
        let requests = || -> Vec<PlacementRequest<'_>> {
            let ids = (0..waiting).map(|i| JobId(2_000_000 + i));
            ids.map(|id| {
                let spec = cell.jobs[&id].spec();
                PlacementRequest {
                    job: id,
                    spec,
                    priority: spec.priority,
                    tasks: (0..spec.task_count).collect(),
                    zones: BTreeMap::new(),
                    remaining_task_quota: u64::MAX,
                    price_limit: u64::MAX,
                    owner: (id.0 % SHARDS) as usize,
                    // A fifth of the jobs are placed by this controller; the plan follows those of other controllers as well.
                    is_local: id.0 % SHARDS == 0,
                    may_preempt: false,
                    guaranteed: false,
                    never_reserves: false,
                    may_use_gang_reservations: true,
                    gang: false,
                    avoided_machines: &[],
                    rules: None,
                }
            })
            .collect()
        };
        group.bench_function(
            BenchmarkId::from_parameter(format!("{machines} machines, {waiting} waiting")),
            |b| {
                let groups = || GroupWriteLimit {
                    written: vec![false; (machines / MACHINES_PER_GROUP) as usize + 1],
                    remaining: 11,
                };
                b.iter_batched(
                    || (candidates(), requests(), groups()),
                    |(mut candidates, mut requests, mut groups)| {
                        black_box(plan(
                            &mut candidates,
                            &mut requests,
                            &mut groups,
                            MAX_CLAIMS_PER_PLAN,
                        ))
                    },
                    BatchSize::LargeInput,
                );
            },
        );
    }
    group.finish();
}

/// A batch in which one task changes in each of ten machine groups, for different sizes of the cluster.
fn watch_batches(c: &mut Criterion) {
    let mut group = c.benchmark_group("watch batch of ten groups");
    for machines in MACHINE_COUNTS {
        let records = records(machines, 100);
        let mut cell = cell_state(&records);
        let mut mod_revision = 1;
        group.bench_function(
            BenchmarkId::from_parameter(format!("{machines} machines")),
            |b| {
                b.iter_batched(
                    || {
                        mod_revision += 1;
                        let groups = records
                            .iter()
                            .filter(|(k, _)| matches!(k, Key::Group(..)))
                            .take(10);
                        let change = |(key, content): &(Key, Content)| {
                            let mut content = content.clone();
                            if let Content::Group(g) = &mut content
                                && let Some(r) = g.machines.values_mut().next()
                            {
                                r.tasks.truncate(
                                    TASKS_PER_MACHINE as usize - (mod_revision % 2) as usize,
                                );
                            }
                            Change {
                                key: key.clone(),
                                content: Some(content),
                                mod_revision,
                            }
                        };
                        groups.map(change).collect::<Vec<_>>()
                    },
                    |changes| {
                        let mut changes_seen = CellChanges::default();
                        cell.apply(changes, &mut changes_seen);
                        cell.advance(cell.latest);
                        black_box(changes_seen)
                    },
                    BatchSize::SmallInput,
                );
            },
        );
    }
    group.finish();
}

/// All records are read, as after a restart.
fn starts(c: &mut Criterion) {
    let mut group = c.benchmark_group("start");
    group.sample_size(10);
    for machines in MACHINE_COUNTS {
        let texts: Vec<(Key, Box<RawValue>)> = records(machines, 1_000)
            .iter()
            .map(|(k, content)| (k.clone(), encode_content(content)))
            .collect();
        let bytes: usize = texts.iter().map(|(_, t)| t.get().len()).sum();
        group.throughput(Throughput::Bytes(bytes as u64));
        group.bench_function(
            BenchmarkId::from_parameter(format!("{machines} machines, 1000 waiting")),
            |b| {
                b.iter(|| {
                    let read = texts
                        .iter()
                        .map(|(k, t)| (k.clone(), decode(k, t).expect("a record")));
                    black_box(cell_state(&read.collect::<Vec<_>>()).latest)
                });
            },
        );
    }
    group.finish();
}

/// The usage of teams is summed up again after each change.
fn usage(c: &mut Criterion) {
    let mut group = c.benchmark_group("usage after a change");
    for machines in MACHINE_COUNTS {
        let records = records(machines, 100);
        let mut cell = cell_state(&records);
        let changed = records
            .iter()
            .find(|(k, _)| matches!(k, Key::Group(..)))
            .expect("a group")
            .clone();
        let mut mod_revision = 1;
        group.bench_function(
            BenchmarkId::from_parameter(format!("{machines} machines")),
            |b| {
                b.iter(|| {
                    mod_revision += 1;
                    let change = Change {
                        key: changed.0.clone(),
                        content: Some(changed.1.clone()),
                        mod_revision,
                    };
                    cell.apply([change], &mut CellChanges::default());
                    black_box(cell.assigned_to_team(0, "team"))
                });
            },
        );
    }
    group.finish();
}

criterion_group!(
    scale,
    plans,
    gang_reservations,
    watch_batches,
    starts,
    usage
);
criterion_main!(scale);
