//! Why machines may or may not run a job: what `cometlead rules explain` shows.
//!
//! Works on files alone: a submission as `POST /work` takes it, a rules file, and the machines to judge
//! together with the cloud's catalogue.

use crate::protocol::cloud::{self, CloudReply, CloudRequest};
use crate::protocol::user::parse_submission;
use crate::scheduler::constraints::{self, JobConstraints, clash, subject};
use crate::storage::catalog::Catalog;
use crate::storage::job::JobSpec;
use crate::storage::machine_classes::{Class, Classes};
use cometlead_constraints::explain::{Verdict, explain};
use cometlead_constraints::expr::{Expr, Field, Words};
use cometlead_constraints::{Now, Rule, RuleSet, Subject, Traits};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A job that has tasks on a machine, as far as rules tell jobs apart.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resident {
    /// Its name.
    #[serde(rename = "nameId", default)]
    pub name_id: String,
    /// Its class.
    #[serde(rename = "lane")]
    pub job_class: String,
    /// Its team.
    #[serde(rename = "crew")]
    pub team: String,
    /// Its image.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Its urgency.
    #[serde(rename = "urgency")]
    pub priority: String,
}

/// A machine to judge.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its name.
    #[serde(rename = "host")]
    pub host: String,
    /// Type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot.
    #[serde(rename = "loaners", default)]
    pub spot_allowed: bool,
    /// Images that it has or is fetching.
    #[serde(rename = "images", default)]
    pub images: Vec<String>,
    /// Jobs that have tasks there.
    #[serde(rename = "jobs", default)]
    pub jobs: Vec<Resident>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MachinesFile {
    /// What the cloud answers to `GET /catalog`.
    #[serde(rename = "catalog")]
    catalog: serde_json::Value,
    #[serde(rename = "machines")]
    machines: Vec<Machine>,
}

/// What was found of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Judgement {
    /// Its name.
    #[serde(rename = "host")]
    pub host: String,
    /// Whether it may run the job now.
    #[serde(rename = "allowed")]
    pub allowed: bool,
    /// What of the submission itself keeps the job away, and rules of jobs that are there.
    #[serde(rename = "against")]
    pub against: Vec<String>,
    /// Rule by rule.
    #[serde(rename = "verdict")]
    pub verdict: Verdict,
}

/// What was found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether some machine that the catalogue offers, or that is listed, could run the job.
    #[serde(rename = "possible")]
    pub possible: bool,
    /// The smallest set of rules that clash, if it is not possible.
    #[serde(rename = "clash")]
    pub clash: Vec<String>,
    /// Machine by machine.
    #[serde(rename = "machines")]
    pub machines: Vec<Judgement>,
}

/// What the job finds on a machine.
struct Found<'a> {
    machine: &'a Machine,
    image: &'a str,
    beside: Vec<(&'a str, Subject<'a>)>,
}

impl Now for Found<'_> {
    fn holds_own(&self) -> bool {
        self.machine.images.iter().any(|i| i == self.image)
    }

    fn holds(&self, images: &Words) -> bool {
        self.machine.images.iter().any(|i| images.contains(i))
    }

    fn beside(&self, field: Field, words: &Words) -> bool {
        self.beside.iter().any(|(name, job)| {
            words.contains(match field {
                Field::JobClass => job.job_class,
                Field::Team => job.team,
                Field::Image => job.image,
                Field::Priority => job.priority,
                Field::Job => name,
            })
        })
    }
}

impl Resident {
    fn subject(&self) -> Subject<'_> {
        Subject {
            job_class: &self.job_class,
            team: &self.team,
            image: &self.image,
            priority: &self.priority,
        }
    }
}

/// Rules of jobs that are on a machine which keep another from coming there.
fn kept_away(m: &Machine, set: &RuleSet, own: (&str, Subject<'_>), traits: &Traits) -> Vec<String> {
    let mut away = Vec::new();
    for (i, there) in m.jobs.iter().enumerate() {
        let others = m
            .jobs
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(_, r)| (r.name_id.as_str(), r.subject()));
        let found = Found {
            machine: m,
            image: &there.image,
            beside: others.chain([own]).collect(),
        };
        let job = there.subject();
        let asks = |r: &&Rule| r.is_hard() && r.expr.tests_colocation();
        for rule in set.concerning(&job).filter(asks) {
            let alone = Found {
                machine: m,
                image: &there.image,
                beside: vec![own],
            };
            let mut about = false;
            rule.expr
                .tests(&mut |t| about |= matches!(t, Expr::Colocated(f, w) if alone.beside(*f, w)));
            if about && !rule.expr.holds(traits, &found) {
                away.push(format!("{} of {}", rule.name, there.name_id));
            }
        }
    }
    away
}

fn against(spec: &JobSpec, class: &Class, catalog: &Catalog) -> Vec<String> {
    let mut found = constraints::fields_against(spec, class, catalog);
    if catalog.get(&class.machine_type).is_none() {
        // Its size, which comes last, is not known to be too small.
        found.pop();
        found.push("its type is not in the catalogue");
    }
    found.into_iter().map(str::to_owned).collect()
}

/// Judges every machine of a file. The error is one line.
pub fn report(rules: &[u8], job: &[u8], machines: &[u8]) -> Result<Report, String> {
    let set = Arc::new(RuleSet::parse(rules).map_err(|e| format!("rules: {e}"))?);
    let (id, spec) = parse_submission(job).map_err(|e| format!("job: {e}"))?;
    let file: MachinesFile =
        serde_json::from_slice(machines).map_err(|e| format!("machines: {e}"))?;
    let body = file.catalog.to_string().into_bytes();
    let catalog = match cloud::parse(&CloudRequest::Catalog, 200, &body) {
        Ok(CloudReply::Catalog(c)) => c,
        _ => return Err("machines: catalog: not as the cloud answers".to_owned()),
    };
    for rule in &spec.rules {
        rule.check(&set.vocabulary)
            .map_err(|e| format!("job: {e}"))?;
    }
    let sets = [Arc::clone(&set)];
    let labelled = constraints::labelled(&sets);
    let own = (id.to_string(), subject(&spec));
    let mut judged = Vec::new();
    let mut classes = Classes::default();
    classes.label(labelled.clone(), std::iter::empty());
    classes.offer(&catalog);
    for m in &file.machines {
        let machine = m.host.parse().ok().filter(|id| labelled.contains(id));
        let class = Class {
            machine_type: m.machine_type.as_str().into(),
            zone: m.zone.as_str().into(),
            spot: m.spot_allowed,
            machine,
        };
        let traits = constraints::traits(&class, &sets, &catalog).map(|mut t| t.remove(0));
        let beside = m
            .jobs
            .iter()
            .filter(|r| r.name_id != own.0)
            .map(|r| (r.name_id.as_str(), r.subject()))
            .collect();
        let found = Found {
            machine: m,
            image: &spec.image,
            beside,
        };
        let verdict = explain(
            set.concerning(&own.1).chain(&spec.rules),
            traits.as_ref().unwrap_or(&Traits::new()),
            &found,
        );
        let mut against = against(&spec, &class, &catalog);
        against.extend(
            traits
                .iter()
                .flat_map(|t| kept_away(m, &set, (own.0.as_str(), own.1), t)),
        );
        judged.push(Judgement {
            host: m.host.clone(),
            allowed: verdict.allowed && against.is_empty(),
            against,
            verdict,
        });
        if let Ok(id) = m.host.parse() {
            classes.come(id, class);
        }
    }
    let traits: Vec<_> = classes
        .all()
        .iter()
        .map(|c| constraints::traits(c, &sets, &catalog))
        .collect();
    let constraints = JobConstraints::of(&spec, &sets, &traits).unwrap_or_default();
    let clash = clash(&spec, &constraints, &sets, &classes, &catalog);
    Ok(Report {
        possible: clash.is_none(),
        clash: clash.unwrap_or_default(),
        machines: judged,
    })
}
