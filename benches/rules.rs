//! Cost of placement rules in a plan: 2,000 machines and 500 waiting jobs, a fifth of them with rules, compared with the same
//! jobs without rules. Run with `cargo bench --bench rules`; not part of the tests.

mod common;

use cometlead::scheduler::constraints::{ClassTraits, JobConstraints, PlacementContext, traits};
use cometlead::scheduler::placement::{
    Candidate, GroupWriteLimit, PlacementRequest, PlacementRules, plan,
};
use cometlead::storage::catalog::Catalog;
use cometlead::storage::cell_state::Job;
use cometlead::storage::completion_bitmap::CompletionBitmap;
use cometlead::storage::dependency_graph::DependencyState;
use cometlead::storage::ids::{JobId, MachineId};
use cometlead::storage::job::{JobRecord, JobSpec};
use cometlead::storage::machine_classes::{Class, Classes};
use cometlead::storage::resources::Amount;
use cometlead_constraints::RuleSet;
use common::{MAX_CLAIMS_PER_PLAN, catalog};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::Arc;

const MACHINES: u64 = 2_000;
const JOBS: u64 = 500;

const RULES: &[u8] = br#"{"labels": {"types": {"large": {"fonts": ["latin", "oromo"]}, "small": {"fonts": ["latin"]}},
    "zones": {"b": {"near": ["print"]}}}, "rules": [
    {"name": "fonts", "for": {"lanes": ["ruled"]}, "require": "fonts has oromo or zone = b and memory >= 16 GB"},
    {"name": "print", "for": {"lanes": ["ruled"]}, "prefer": "near has print", "weight": 5},
    {"name": "apart", "for": {"crews": ["shy"]}, "require": "not beside lane masters"}]}"#;

struct Cluster {
    catalog: Catalog,
    classes: Classes,
    traits: Vec<ClassTraits>,
    rule_sets: Vec<Arc<RuleSet>>,
    jobs: HashMap<JobId, Job>,
    job_constraints: HashMap<JobId, JobConstraints>,
    order: Vec<JobId>,
    images: Vec<Vec<(Arc<str>, u64)>>,
}

fn job(i: u64, colocated: bool) -> Job {
    let (job_class, team) = match i % 10 {
        0 => ("ruled", "team"),
        1 if colocated => ("ruled", "shy"),
        1 => ("ruled", "team"),
        2 => ("masters", "team"),
        _ => ("plain", "team"),
    };
    let text = format!(
        r#"{{"l":"{job_class}","w":"{team}","u":"2","n":{},"r":{{"c":{}000,"m":1000}},"i":"img-{}","s":true,"g":9000000}}"#,
        1 + i % 7,
        1 + i % 4,
        i % 40
    );
    let spec: JobSpec = serde_json::from_str(&text).expect("a job");
    let record: JobRecord = serde_json::from_value(
        serde_json::json!({"s": serde_json::to_value(&spec).expect("a job"), "t": i}),
    )
    .expect("");
    let dependency_state = DependencyState::independent(&spec);
    Job {
        record,
        mod_revision: 1,
        chunks: BTreeMap::new(),
        recorded_finished_tasks: CompletionBitmap::default(),
        dependency_state,
    }
}

impl Cluster {
    fn new(colocated: bool) -> Cluster {
        let catalog = catalog();
        let mut classes = Classes::default();
        classes.set_catalog(&catalog);
        for m in 0..MACHINES {
            let machine_type = if m % 5 == 0 { "large" } else { "small" };
            let zone = if m % 2 == 0 { "a" } else { "b" };
            let class = Class {
                machine_type: machine_type.into(),
                zone: zone.into(),
                spot: m % 3 > 0,
                machine: None,
            };
            classes.add_to_class(MachineId(m), class);
        }
        let rule_sets = vec![Arc::new(RuleSet::parse(RULES).expect("rules"))];
        let traits: Vec<ClassTraits> = classes
            .all()
            .iter()
            .map(|c| traits(c, &rule_sets, &catalog))
            .collect();
        let jobs: HashMap<JobId, Job> = (0..JOBS).map(|i| (JobId(i), job(i, colocated))).collect();
        let job_constraints = jobs
            .iter()
            .filter_map(|(id, j)| Some((*id, JobConstraints::of(j.spec(), &rule_sets, &traits)?)))
            .collect();
        let images = (0..MACHINES)
            .map(|m| vec![(format!("img-{}", m % 40).into(), 500)])
            .collect();
        Cluster {
            catalog,
            classes,
            traits,
            rule_sets,
            jobs,
            job_constraints,
            order: (0..JOBS).map(JobId).collect(),
            images,
        }
    }

    fn candidates(&self, colocated: bool) -> Vec<Candidate<'_>> {
        (0..MACHINES)
            .map(|m| {
                let class = self
                    .classes
                    .class_of_machine(MachineId(m))
                    .expect("a class");
                let c = &self.classes.all()[class];
                let t = self.catalog.get(&c.machine_type).expect("a type");
                // Half of the machines are full.
                let left = if m % 2 == 0 {
                    0
                } else {
                    t.capacity.cores / (1 + m % 4)
                };
                Candidate {
                    machine: MachineId(m),
                    group: (m / 50) as usize,
                    owner: (m % 3) as usize,
                    machine_type: &c.machine_type,
                    zone: &c.zone,
                    spot: c.spot,
                    price: t.price_of(c.spot),
                    capacity: t.capacity,
                    free: Amount {
                        cores: left,
                        ..t.capacity
                    },
                    reserved_in_plan: false,
                    in_gang_reservation: false,
                    images: &self.images[m as usize],
                    fetching_image: None,
                    preemptible_tasks: Vec::new(),
                    class,
                    restricts_colocation: colocated
                        && self
                            .job_constraints
                            .get(&JobId(m % JOBS))
                            .is_some_and(JobConstraints::tests_colocation),
                    residents: if colocated {
                        vec![JobId(m % JOBS)]
                    } else {
                        Vec::new()
                    },
                }
            })
            .collect()
    }

    fn requests<'a>(
        &'a self,
        context: Option<&'a PlacementContext<'a>>,
    ) -> Vec<PlacementRequest<'a>> {
        let request = |id: &JobId| {
            let spec = self.jobs[id].spec();
            let constraints = self.job_constraints.get(id);
            let rules = context.filter(|c| constraints.is_some() || c.rules_test_colocation);
            PlacementRequest {
                job: *id,
                spec,
                priority: spec.priority,
                tasks: (0..spec.task_count).collect(),
                zones: BTreeMap::new(),
                remaining_task_quota: u64::MAX,
                price_limit: u64::MAX,
                owner: (id.0 % 3) as usize,
                is_local: true,
                may_preempt: false,
                guaranteed: false,
                never_reserves: false,
                may_use_gang_reservations: true,
                gang: false,
                avoided_machines: &[],
                rules: rules.map(|context| PlacementRules {
                    context,
                    constraints,
                    required_preferences: 0,
                }),
            }
        };
        self.order.iter().map(request).collect()
    }
}

fn bench_plan(
    c: &mut Criterion,
    name: &str,
    cluster: &Cluster,
    context: Option<&PlacementContext<'_>>,
) {
    let colocated = context.is_some_and(|context| context.rules_test_colocation);
    c.bench_function(name, |b| {
        b.iter_batched(
            || {
                (
                    cluster.candidates(colocated),
                    cluster.requests(context),
                    GroupWriteLimit {
                        written: vec![false; 40],
                        remaining: 11,
                    },
                )
            },
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
    });
}

fn plans(c: &mut Criterion) {
    for colocated in [false, true] {
        let cluster = Cluster::new(colocated);
        let context = PlacementContext {
            jobs: &cluster.jobs,
            job_constraints: &cluster.job_constraints,
            rules_test_colocation: colocated,
        };
        let bench_name = if colocated {
            "a fifth with rules, some of them about what is beside"
        } else {
            "a fifth with rules"
        };
        bench_plan(c, "no rules", &cluster, None);
        bench_plan(c, bench_name, &cluster, Some(&context));
    }
    let cluster = Cluster::new(true);
    c.bench_function("rules judged for 100 jobs, all classes", |b| {
        b.iter(|| {
            let of = |id: &JobId| {
                JobConstraints::of(cluster.jobs[id].spec(), &cluster.rule_sets, &cluster.traits)
            };
            cluster.order.iter().filter_map(of).count()
        });
    });
}

criterion_group! { name = all; config = Criterion::default().sample_size(60); targets = plans }
criterion_main!(all);
