//! Tests of placement rules without a simulated run: the example in `deploy/`, the `explain` report, provisioning, and plans
//! that drop a gang.

use cometlead::explain::report;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::scheduler::constraints::{JobConstraints, PlacementContext, traits};
use cometlead::scheduler::placement::{
    Candidate, GroupWriteLimit, PlacementRequest, PlacementRules, plan,
};
use cometlead::scheduler::provisioning::{self, Demand, MachinePools, PlacementFilter};
use cometlead::storage::catalog::{Catalog, MachineType};
use cometlead::storage::cell_state::Job;
use cometlead::storage::completion_bitmap::CompletionBitmap;
use cometlead::storage::dependency_graph::DependencyState;
use cometlead::storage::ids::{JobId, MachineId};
use cometlead::storage::job::{JobRecord, JobSpec};
use cometlead::storage::machine_classes::Classes;
use cometlead::storage::resources::Amount;
use cometlead::time::Micros;
use cometlead_constraints::RuleSet;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const EXAMPLE: &[u8] = include_bytes!("../deploy/rules.example.json");
const JOB: &str = include_str!("rules/job.json");
const MACHINES: &[u8] = include_bytes!("rules/machines.json");

#[test]
fn example_rules_and_settings_are_valid() {
    let set = RuleSet::parse(EXAMPLE).unwrap();
    assert_eq!(set.rules.len(), 3);
    let settings =
        OperatorSettings::parse(include_bytes!("../deploy/settings.rules.example.json")).unwrap();
    assert_eq!(settings.rules.as_deref(), Some("rules.example.json"));
    assert!(
        OperatorSettings::parse(br#"{"rules": ""}"#)
            .unwrap_err()
            .to_string()
            .starts_with("rules:")
    );
}

#[test]
fn report_lists_every_machine_and_the_clauses_of_a_rule() {
    let found = report(EXAMPLE, JOB.as_bytes(), MACHINES).unwrap();
    let allowed: Vec<(&str, bool, u32)> = found
        .machines
        .iter()
        .map(|m| (m.host.as_str(), m.allowed, m.explanation.total_weight))
        .collect();
    assert_eq!(
        allowed,
        [
            ("i-000200", false, 0),
            ("i-000230", false, 2),
            ("i-000231", false, 2),
            ("i-000232", true, 2)
        ]
    );
    assert!(found.possible && found.conflicting_rules.is_empty());
    let masters = &found.machines[1].explanation.findings[1];
    assert_eq!(masters.rule, "no-masters-beside");
    let clauses: Vec<(&str, bool)> = masters
        .clauses
        .iter()
        .map(|c| (c.text.as_str(), c.met))
        .collect();
    assert_eq!(
        clauses,
        [("not exposed", true), ("not beside lane masters", false)]
    );
}

#[test]
fn report_covers_rules_of_running_jobs_and_unsatisfiable_jobs() {
    // The rule also keeps a job of class masters away from a machine that runs watermarks.
    let masters = JOB
        .replace("watermarks", "masters")
        .replace("oromo-render", "cut");
    let machines = String::from_utf8_lossy(MACHINES)
        .replace("\"lane\": \"masters\"", "\"lane\": \"watermarks\"");
    let found = report(EXAMPLE, masters.as_bytes(), machines.as_bytes()).unwrap();
    assert_eq!(
        found.machines[1].exclusions,
        ["no-masters-beside of req-000007"]
    );
    assert!(found.machines[3].allowed);
    let never = JOB.replace(r#""builds": null"#, r#""builds": ["kiosk-box"]"#);
    let found = report(EXAMPLE, never.as_bytes(), MACHINES).unwrap();
    assert!(!found.possible);
    assert_eq!(
        found.conflicting_rules,
        ["submission: builds", "oromo-fonts"]
    );
    for (rules, job, machines, error) in [
        (&b"{}x"[..], JOB, MACHINES, "rules: "),
        (EXAMPLE, "{}", MACHINES, "job: "),
        (EXAMPLE, JOB, &b"[]"[..], "machines: "),
    ] {
        let e = report(rules, job.as_bytes(), machines)
            .unwrap_err()
            .to_string();
        assert!(e.starts_with(error) && !e.contains('\n'), "{e}");
    }
}

fn spec(job_class: &str, task_count: u32, cores: u64) -> JobSpec {
    let text = format!(
        r#"{{"l":"{job_class}","w":"free","u":"2","n":{task_count},"r":{{"c":{cores}000}},"i":"img","g":9000000}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn job(spec: JobSpec) -> Job {
    let record: JobRecord = serde_json::from_value(
        serde_json::json!({"s": serde_json::to_value(&spec).unwrap(), "t": 1}),
    )
    .unwrap();
    let dependency_state = DependencyState::independent(&spec);
    Job {
        record,
        mod_revision: 1,
        chunks: BTreeMap::new(),
        recorded_finished_tasks: CompletionBitmap::default(),
        dependency_state,
    }
}

fn machine_type(name: &str) -> MachineType {
    MachineType {
        name: name.to_owned(),
        capacity: Amount {
            cores: 8_000,
            accelerators: 0,
            memory: 32_000,
        },
        cache_size: 0,
        fetch_rate: 1_000,
        price: 1_000,
        spot_price: 400,
        boot_time: Micros::secs(4),
        zones: vec!["a".to_owned()],
    }
}

/// Allows only machines of the second class and type.
struct SecondTypeOnly;

impl PlacementFilter for SecondTypeOnly {
    fn allows_class(&self, class: usize) -> bool {
        class == 1
    }
    fn allows_machine(&self, class: usize, _: Option<MachineId>) -> bool {
        class == 1
    }
    fn offer_score(&self, machine_type: &str, _: &str, _: bool) -> Option<u32> {
        (machine_type == "second").then_some(0)
    }
}

/// Machines that a job's rules exclude do not count as capacity for the work ahead of it. Otherwise they would seem to finish
/// that work before any machine that the job may use is up, and no machine would be provisioned.
#[test]
fn machines_excluded_by_rules_do_not_prevent_provisioning() {
    let catalog = Catalog {
        types: vec![machine_type("first"), machine_type("second")],
    };
    let spec = spec("lane", 4, 8);
    let mut pools = MachinePools::default();
    pools.add(
        ("first", "a", false),
        &catalog,
        Some(0),
        100,
        Some((Amount::default(), None)),
        0,
    );
    let placement_filter: Box<dyn PlacementFilter> = Box::new(SecondTypeOnly);
    let demand = Demand {
        spec: &spec,
        task_count: 4,
        slack: Micros::secs(500),
        estimated_runtime: Micros::secs(10),
        price_limit: u64::MAX,
        placement_filter: Some(placement_filter),
    };
    let provisions = provisioning::plan(&catalog, &[demand], &mut pools, &|_| true, &|o| {
        Some(usize::from(o.machine_type == "second"))
    });
    assert!(
        !provisions.is_empty() && provisions.iter().all(|(o, _)| o.machine_type == "second"),
        "{provisions:?}"
    );
}

/// A gang that a plan drops because it cannot be placed whole leaves no claims: a job that may not share a machine with it is
/// still placed.
#[test]
fn dropped_gang_does_not_exclude_other_jobs() {
    let set = RuleSet::parse(
        br#"{"rules": [{"name": "apart", "for": {"lanes": ["shy"]}, "require": "not beside lane gang"}]}"#,
    );
    let rule_sets = [Arc::new(set.unwrap())];
    let room = machine_type("small").capacity;
    let catalog = Catalog {
        types: vec![machine_type("small")],
    };
    let mut classes = Classes::default();
    classes.set_catalog(&catalog);
    let class = classes.class_of_offer("small", "a", false).unwrap();
    let class_traits: Vec<_> = classes
        .all()
        .iter()
        .map(|c| traits(c, &rule_sets, &catalog))
        .collect();
    let jobs: HashMap<JobId, Job> = [
        (JobId(1), job(spec("gang", 3, 4))),
        (JobId(2), job(spec("shy", 1, 4))),
    ]
    .into_iter()
    .collect();
    let job_constraints: HashMap<JobId, JobConstraints> = jobs
        .iter()
        .filter_map(|(id, j)| {
            Some((
                *id,
                JobConstraints::of(j.spec(), &rule_sets, &class_traits)?,
            ))
        })
        .collect();
    assert!(job_constraints.contains_key(&JobId(2)) && !job_constraints.contains_key(&JobId(1)));
    let context = PlacementContext {
        jobs: &jobs,
        job_constraints: &job_constraints,
        rules_test_colocation: true,
    };
    let request = |id: u64, gang: bool| {
        let spec = jobs[&JobId(id)].spec();
        PlacementRequest {
            job: JobId(id),
            spec,
            priority: spec.priority,
            tasks: (0..spec.task_count).collect(),
            zones: BTreeMap::new(),
            remaining_task_quota: 100,
            price_limit: u64::MAX,
            owner: 0,
            is_local: true,
            may_preempt: false,
            guaranteed: false,
            never_reserves: true,
            may_use_gang_reservations: true,
            gang,
            avoided_machines: &[],
            rules: Some(PlacementRules {
                context: &context,
                constraints: job_constraints.get(&JobId(id)),
                required_preferences: 0,
            }),
        }
    };
    let placed = |gang: bool| {
        let mut candidates = [Candidate {
            machine: MachineId(1),
            group: 0,
            owner: 0,
            machine_type: "small",
            zone: "a",
            spot: false,
            price: 1,
            capacity: room,
            free: room,
            reserved_in_plan: false,
            in_gang_reservation: false,
            images: &[],
            fetching_image: None,
            preemptible_tasks: Vec::new(),
            class,
            residents: Vec::new(),
            restricts_colocation: false,
        }];
        let mut groups = GroupWriteLimit {
            written: vec![false],
            remaining: 5,
        };
        let claims = plan(
            &mut candidates,
            &mut [request(1, gang), request(2, false)],
            &mut groups,
            100,
        );
        claims.into_iter().map(|c| c.job.0).collect::<Vec<_>>()
    };
    assert_eq!(
        placed(true),
        [2],
        "only two of the three tasks of the gang fit, so none is placed"
    );
    assert_eq!(
        placed(false),
        [1, 1],
        "placed tasks keep the other job off the machine"
    );
}
