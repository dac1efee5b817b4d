//! Judges by rules where tasks were started. Of the language only its reading is the scheduler's own; what
//! rules mean is written here once more, machine by machine and without classes.

use super::invariants::{JobRequest, MachineInfo};
use super::script::{Script, TypeSpec};
use cometlead_constraints::expr::{Comparison, Expr, Field, Operand, Test, Words};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Rules files by name, and since when all controllers have each.
#[derive(Default)]
pub struct PlacementRuleChecker {
    files: BTreeMap<String, Value>,
    types: Vec<TypeSpec>,
    in_force_since: BTreeMap<String, u64>,
    grace: u64,
}

/// What a rule sees of a machine and of what is on it.
struct MachineContext<'a> {
    traits: &'a BTreeMap<String, Value>,
    colocated: Vec<(u64, &'a JobRequest)>,
}

fn matches_job(words: &Words, field: Field, job: u64, asked: &JobRequest) -> bool {
    words.contains(&match field {
        Field::JobClass => asked.job_class.clone(),
        Field::Team => asked.team.clone(),
        Field::Image => asked.image.clone(),
        Field::Priority => asked.priority.clone(),
        Field::Job => format!("req-{job:06}"),
    })
}

/// `None`: it asks for what is not looked at here.
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
        Expr::HoldsOwn | Expr::Holds(_) => return None,
        Expr::Colocated(field, words) => s
            .colocated
            .iter()
            .any(|(job, asked)| matches_job(words, *field, *job, asked)),
        Expr::Trait(name, test, _) => s
            .traits
            .get(name)
            .is_some_and(|value| passes_test(value, test)),
    })
}

fn passes_test(value: &Value, test: &Test) -> bool {
    let has = |w: &String| {
        value
            .as_array()
            .is_some_and(|all| all.iter().any(|x| x == w.as_str()))
    };
    match test {
        Test::Present => true,
        Test::Flag => value == &json!(true),
        Test::Within(words) => value.as_str().is_some_and(|w| words.contains(w)),
        Test::HasAny(words) => words.iter().any(has),
        Test::HasAll(words) => words.iter().all(has),
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

fn applies_to(rule: &Value, asked: &JobRequest) -> bool {
    let scope = &rule["for"];
    in_scope_list(scope, "lanes", &asked.job_class)
        && in_scope_list(scope, "crews", &asked.team)
        && in_scope_list(scope, "images", &asked.image)
        && in_scope_list(scope, "urgencies", &asked.priority)
}

/// The hard rules for a job, by name.
fn required_rules(file: &Value, asked: &JobRequest) -> Vec<(String, Expr)> {
    let of_file = file["rules"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|r| applies_to(r, asked));
    let own = asked.own_rules.iter().flat_map(|r| r.as_array()).flatten();
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
            grace: (script.rules_grace_s * 1e6) as u64,
        }
    }

    /// Notes which rules controllers have. Rules hold once all have them and know that all keep them, until
    /// none has them any more.
    pub fn observe_rules(&mut self, now: u64, ruled: bool, has: &[Option<String>]) {
        self.in_force_since
            .retain(|name, _| has.iter().any(|h| h.as_ref() == Some(name)));
        if let Some(Some(name)) = has
            .first()
            .filter(|first| ruled && has.iter().all(|h| h == *first))
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
            ("memory", json!(t.mem)),
            ("price", json!(price)),
            ("boot", json!(t.boot)),
        ]
        .map(|(k, v)| (k.to_owned(), v))
        .into();
        let labels = &file["labels"];
        let of = [
            &labels["machines"][format!("i-{machine:06}")],
            &labels["types"][&t.name],
            &labels["zones"][&info.zone],
        ];
        for (name, value) in of.into_iter().filter_map(Value::as_object).flatten() {
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

    /// The rule that the start of a job's task breaks, its own or that of a job beside it.
    pub fn broken_rule(
        &self,
        now: u64,
        asked: &BTreeMap<u64, JobRequest>,
        job: u64,
        (machine, info): (u64, &MachineInfo),
        colocated: &BTreeSet<u64>,
    ) -> Option<String> {
        let none = Value::Null;
        let held = self
            .in_force_since
            .iter()
            .filter(|(_, since)| **since + self.grace <= now)
            .map(|(name, _)| &self.files[name]);
        let mut files: Vec<&Value> = held.collect();
        if files.is_empty() && self.in_force_since.is_empty() && self.files.is_empty() {
            files.push(&none);
        }
        let others = |of: u64, and: Option<u64>| -> Vec<(u64, &JobRequest)> {
            colocated
                .iter()
                .copied()
                .chain(and)
                .filter(|j| *j != of)
                .filter_map(|j| Some((j, asked.get(&j)?)))
                .collect()
        };
        for file in files {
            let traits = self.machine_traits(file, machine, info);
            let context = MachineContext {
                traits: &traits,
                colocated: others(job, None),
            };
            if let Some((name, _)) = required_rules(file, asked.get(&job)?)
                .iter()
                .find(|(_, e)| evaluate(e, &context) == Some(false))
            {
                return Some(name.clone());
            }
            for other in colocated {
                let Some(of) = asked.get(other) else { continue };
                let context = MachineContext {
                    traits: &traits,
                    colocated: others(*other, Some(job)),
                };
                for (name, e) in required_rules(file, of) {
                    let mut about = false;
                    e.tests(&mut |t| {
                        about |=
                            matches!(t, Expr::Colocated(f, w) if matches_job(w, *f, job, &asked[&job]));
                    });
                    if about && evaluate(&e, &context) == Some(false) {
                        return Some(format!("{name} of req-{other:06}"));
                    }
                }
            }
        }
        None
    }
}
