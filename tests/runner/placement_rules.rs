//! Checks task starts against the placement rules. Only the parser of the rule language is shared with the scheduler; the
//! evaluation is implemented here a second time, machine by machine and without machine classes.

use super::invariants::{JobRequest, MachineInfo};
use super::script::{Script, TypeSpec};
use cometlead_constraints::expr::{Comparison, Expr, Field, Operand, Test, Words};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Rules files by name, and since when all controllers have had each.
#[derive(Default)]
pub struct PlacementRuleChecker {
    files: BTreeMap<String, Value>,
    types: Vec<TypeSpec>,
    in_force_since: BTreeMap<String, u64>,
    /// For how long after rules have come into force starts are not checked against them, in microseconds.
    grace_us: u64,
}

/// What a rule is evaluated against: the traits of a machine and the other jobs on it.
struct MachineContext<'a> {
    traits: &'a BTreeMap<String, Value>,
    colocated: Vec<(u64, &'a JobRequest)>,
}

fn matches_job(words: &Words, field: Field, job: u64, request: &JobRequest) -> bool {
    words.contains(&match field {
        Field::JobClass => request.job_class.clone(),
        Field::Team => request.team.clone(),
        Field::Image => request.image.clone(),
        Field::Priority => request.priority.clone(),
        Field::Job => format!("req-{job:06}"),
    })
}

/// Evaluates an expression; `None` if it contains a test that is not implemented here.
fn evaluate(e: &Expr, s: &MachineContext<'_>) -> Option<bool> {
    Some(match e {
        Expr::Or(all) => all
            .iter()
            .map(|e| evaluate(e, s))
            .collect::<Option<Vec<_>>>()?
            .contains(&true),
        Expr::And(all) => !all
            .iter()
            .map(|e| evaluate(e, s))
            .collect::<Option<Vec<_>>>()?
            .contains(&false),
        Expr::Not(e) => !evaluate(e, s)?,
        Expr::HasOwnImage | Expr::HasAnyImage(_) => return None,
        Expr::Colocated(field, words) => s
            .colocated
            .iter()
            .any(|(job, request)| matches_job(words, *field, *job, request)),
        Expr::Trait(name, test, _) => s
            .traits
            .get(name)
            .is_some_and(|value| passes_test(value, test)),
    })
}

fn passes_test(value: &Value, test: &Test) -> bool {
    let installed_rules = |w: &String| {
        value
            .as_array()
            .is_some_and(|all| all.iter().any(|x| x == w.as_str()))
    };
    match test {
        Test::Present => true,
        Test::Flag => value == &json!(true),
        Test::Within(words) => value.as_str().is_some_and(|w| words.contains(w)),
        Test::HasAny(words) => words.iter().any(installed_rules),
        Test::HasAll(words) => words.iter().all(installed_rules),
        Test::Compare(c, Operand::Word(w)) => match c {
            Comparison::Equal => value == w.as_str(),
            _ => value.as_str().is_some_and(|v| v != w),
        },
        Test::Compare(c, Operand::Number(n)) => {
            let (Some(v), n) = (value.as_f64(), n.millionths as f64 / 1e6) else {
                return false;
            };
            match c {
                Comparison::Equal => v == n,
                Comparison::Unequal => v != n,
                Comparison::Less => v < n,
                Comparison::AtMost => v <= n,
                Comparison::More => v > n,
                Comparison::AtLeast => v >= n,
            }
        }
    }
}

fn in_scope_list(scope: &Value, list: &str, value: &str) -> bool {
    scope[list]
        .as_array()
        .is_none_or(|all| all.iter().any(|x| x == value))
}

fn applies_to(rule: &Value, request: &JobRequest) -> bool {
    let scope = &rule["for"];
    in_scope_list(scope, "lanes", &request.job_class)
        && in_scope_list(scope, "crews", &request.team)
        && in_scope_list(scope, "images", &request.image)
        && in_scope_list(scope, "urgencies", &request.priority)
}

/// The required rules that apply to a job, with their names.
fn required_rules(file: &Value, request: &JobRequest) -> Vec<(String, Expr)> {
    let of_file = file["rules"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|r| applies_to(r, request));
    let own = request
        .own_rules
        .iter()
        .flat_map(|r| r.as_array())
        .flatten();
    let texts = of_file
        .chain(own)
        .filter_map(|r| Some((r["name"].as_str()?, r["require"].as_str()?)));
    texts
        .map(|(name, text)| (name.to_owned(), text.parse().expect("a rule")))
        .collect()
}

impl PlacementRuleChecker {
    pub fn new(script: &Script) -> PlacementRuleChecker {
        PlacementRuleChecker {
            files: script.rules.clone(),
            types: script.types.clone(),
            in_force_since: BTreeMap::new(),
            grace_us: (script.rules_grace_s * 1e6) as u64,
        }
    }

    /// Records which rules the controllers have. Rules are in force once all controllers have them and the record format
    /// guarantees that all keep them, until no controller has them any more.
    pub fn observe_rules(
        &mut self,
        now: u64,
        rules_enabled: bool,
        installed_rules: &[Option<String>],
    ) {
        self.in_force_since
            .retain(|name, _| installed_rules.iter().any(|h| h.as_ref() == Some(name)));
        if let Some(Some(name)) = installed_rules
            .first()
            .filter(|first| rules_enabled && installed_rules.iter().all(|h| h == *first))
        {
            self.in_force_since.entry(name.clone()).or_insert(now);
        }
    }

    fn machine_traits(
        &self,
        file: &Value,
        machine: u64,
        info: &MachineInfo,
    ) -> BTreeMap<String, Value> {
        let t = self
            .types
            .iter()
            .find(|t| t.name == info.machine_type)
            .expect("a type");
        let price = if info.spot { t.spot_price } else { t.price };
        let mut traits: BTreeMap<String, Value> = [
            ("type", json!(t.name)),
            ("zone", json!(info.zone)),
            ("spot", json!(info.spot)),
            ("cores", json!(t.cores)),
            ("memory", json!(t.memory_gb)),
            ("price", json!(price)),
            ("boot", json!(t.boot_s)),
        ]
        .map(|(k, v)| (k.to_owned(), v))
        .into();
        let labels = &file["labels"];
        let label_tables = [
            &labels["machines"][format!("i-{machine:06}")],
            &labels["types"][&t.name],
            &labels["zones"][&info.zone],
        ];
        for (name, value) in label_tables
            .into_iter()
            .filter_map(Value::as_object)
            .flatten()
        {
            match (traits.get_mut(name), value) {
                (Some(Value::Array(all)), Value::Array(more)) => all.extend(more.iter().cloned()),
                (Some(_), _) => {}
                (None, value) => {
                    traits.insert(name.clone(), value.clone());
                }
            }
        }
        traits
    }

    /// The rule that the start of a job's task breaks: one of its own, or one of another job on the machine.
    pub fn broken_rule(
        &self,
        now: u64,
        requests: &BTreeMap<u64, JobRequest>,
        job: u64,
        (machine, info): (u64, &MachineInfo),
        colocated: &BTreeSet<u64>,
    ) -> Option<String> {
        let no_rules = Value::Null;
        let rules_in_force = self
            .in_force_since
            .iter()
            .filter(|(_, since)| **since + self.grace_us <= now)
            .map(|(name, _)| &self.files[name]);
        let mut files: Vec<&Value> = rules_in_force.collect();
        if files.is_empty() && self.in_force_since.is_empty() && self.files.is_empty() {
            files.push(&no_rules);
        }
        let others = |of: u64, and: Option<u64>| -> Vec<(u64, &JobRequest)> {
            colocated
                .iter()
                .copied()
                .chain(and)
                .filter(|j| *j != of)
                .filter_map(|j| Some((j, requests.get(&j)?)))
                .collect()
        };
        for file in files {
            let traits = self.machine_traits(file, machine, info);
            let context = MachineContext {
                traits: &traits,
                colocated: others(job, None),
            };
            if let Some((name, _)) = required_rules(file, requests.get(&job)?)
                .iter()
                .find(|(_, e)| evaluate(e, &context) == Some(false))
            {
                return Some(name.clone());
            }
            for other in colocated {
                let Some(other_request) = requests.get(other) else {
                    continue;
                };
                let context = MachineContext {
                    traits: &traits,
                    colocated: others(*other, Some(job)),
                };
                for (name, e) in required_rules(file, other_request) {
                    let mut tests_this_job = false;
                    e.visit_tests(&mut |t| {
                        tests_this_job |=
                            matches!(t, Expr::Colocated(f, w) if matches_job(w, *f, job, &requests[&job]));
                    });
                    if tests_this_job && evaluate(&e, &context) == Some(false) {
                        return Some(format!("{name} of req-{other:06}"));
                    }
                }
            }
        }
        None
    }
}
