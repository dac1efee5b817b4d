//! Rules: a file of the operators', and those that a job brings.

use super::expr::{Expr, Operand, Test};
use super::judge::Traits;
use super::parse::ParseError;
use super::value::{Dimension, Quantity, Sort, Value};
use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Most rules of one file.
pub const FILE_LIMIT: usize = 40;
/// Most rules of one job.
pub const JOB_LIMIT: usize = 12;
/// Largest weight of a preference.
pub const WEIGHT_LIMIT: u32 = 1_000;
/// Longest wait for a preference, in seconds.
pub const WAIT_LIMIT: f64 = 86_400.0;
const NAME_LIMIT: usize = 64;

/// Why rules are refused. One line, which names the rule or label.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadRules {
    /// Not JSON of the right form, or with an unknown key.
    #[error("{0}")]
    Form(String),
    /// Something about one rule.
    #[error("rule {0}: {1}")]
    Rule(String, String),
    /// A rule's expression.
    #[error("rule {0}: {1}")]
    Expression(String, ParseError),
    /// Something about one label.
    #[error("label {0}: {1}")]
    Label(String, String),
}

/// The value of a label.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum LabelValue {
    /// Yes or no.
    Flag(bool),
    /// A plain number, up to a billion, with at most three decimals.
    Number(f64),
    /// One word.
    Word(String),
    /// A set of words.
    Words(BTreeSet<String>),
}

impl LabelValue {
    fn value(&self) -> Result<Value, String> {
        Ok(match self {
            LabelValue::Flag(set) => Value::Flag(*set),
            LabelValue::Number(n) if (0.0..=1e9).contains(n) => Value::Number(
                Quantity::thousandths((n * 1e3).round() as u64, Dimension::Plain),
            ),
            LabelValue::Number(_) => return Err("must be 0 to 1e9".to_owned()),
            LabelValue::Word(w) if !w.is_empty() => Value::Word(w.clone()),
            LabelValue::Words(set) if set.iter().all(|w| !w.is_empty()) => {
                Value::Words(set.clone())
            }
            _ => return Err("has an empty word".to_owned()),
        })
    }
}

/// Labels of one type, zone or machine, by name.
pub type LabelTable = BTreeMap<String, LabelValue>;

/// What operators know of their machines that the cloud's catalogue does not say. Of one label the
/// machine's value counts before its type's, and that before its zone's; sets are put together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Labels {
    /// By machine type.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub types: BTreeMap<String, LabelTable>,
    /// By zone.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<String, LabelTable>,
    /// By machine, for machines that have names of their own.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<String, LabelTable>,
}

/// For which jobs a rule holds: those that each list which is given names. No list: for all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Scope {
    /// Classes of jobs.
    #[serde(rename = "lanes", skip_serializing_if = "Option::is_none")]
    pub job_classes: Option<BTreeSet<String>>,
    /// Teams.
    #[serde(rename = "crews", skip_serializing_if = "Option::is_none")]
    pub teams: Option<BTreeSet<String>>,
    /// Images.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub images: Option<BTreeSet<String>>,
    /// Urgencies: critical, high, standard, low.
    #[serde(rename = "urgencies", skip_serializing_if = "Option::is_none")]
    pub priorities: Option<BTreeSet<String>>,
}

/// A rule as it is written: with `require` it is hard, with `prefer` it is a preference.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RuleText {
    /// Its name, by which answers and logs tell it: lower-case letters, digits, `-`, `_` and `.`.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// For which jobs it holds. Not for rules that a job brings: they are its own.
    #[serde(rename = "for", default, skip_serializing_if = "is_everybody")]
    pub scope: Scope,
    /// What a machine must meet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub require: Option<String>,
    /// What a machine had better meet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefer: Option<String>,
    /// How much a preference counts, 1 if it is not given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1_000))]
    pub weight: Option<u32>,
    /// How long a preference is worth waiting for, in seconds from when the job could begin; not at all
    /// if it is not given, and never past its latest start.
    #[serde(rename = "waitS", default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub wait_s: Option<f64>,
}

fn is_everybody(s: &Scope) -> bool {
    *s == Scope::default()
}

/// The operators' rules file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RulesFile {
    /// What is known of machines.
    #[serde(skip_serializing_if = "is_unlabelled")]
    pub labels: Labels,
    /// The rules, in the order in which they are named where several would do.
    pub rules: Vec<RuleText>,
}

fn is_unlabelled(l: &Labels) -> bool {
    *l == Labels::default()
}

/// Hard or soft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It must hold.
    Require,
    /// It had better hold.
    Prefer {
        /// How much it counts.
        weight: u32,
        /// How long it is worth waiting for, in microseconds.
        wait: u64,
    },
}

/// A rule, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// For which jobs it holds.
    pub scope: Scope,
    /// Hard or soft.
    pub kind: Kind,
    /// What it says.
    pub expr: Expr,
}

/// Urgencies as they are written.
const URGENCIES: [&str; 4] = ["critical", "high", "standard", "low"];

impl RuleText {
    /// Reads it. Whether its traits are known is checked by [`Rule::check`].
    pub fn read(&self) -> Result<Rule, BadRules> {
        let bad = |what: &str| Err(BadRules::Rule(self.name.clone(), what.to_owned()));
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        if self.name.is_empty() || self.name.len() > NAME_LIMIT || !self.name.chars().all(allowed) {
            let name = self.name.chars().take(NAME_LIMIT).collect();
            let what = "a name is 1 to 64 lower-case letters, digits, `-`, `_` and `.`";
            return Err(BadRules::Rule(name, what.to_owned()));
        }
        let known = |u: &String| URGENCIES.contains(&u.as_str());
        if !self.scope.priorities.iter().flatten().all(known) {
            return bad("for.urgencies: must be critical, high, standard or low");
        }
        let (text, kind) = match (&self.require, &self.prefer) {
            (Some(text), None) => {
                if self.weight.is_some() || self.wait_s.is_some() {
                    return bad("weight and waitS are for `prefer`");
                }
                (text, Kind::Require)
            }
            (None, Some(text)) => {
                let weight = self.weight.unwrap_or(1);
                let wait = self.wait_s.unwrap_or(0.0);
                if !(1..=WEIGHT_LIMIT).contains(&weight) {
                    return bad("weight: must be 1 to 1000");
                }
                if !(0.0..=WAIT_LIMIT).contains(&wait) {
                    return bad("waitS: must be 0 to 86400");
                }
                (
                    text,
                    Kind::Prefer {
                        weight,
                        wait: (wait * 1e6) as u64,
                    },
                )
            }
            _ => return bad("must have either `require` or `prefer`"),
        };
        let expr = text
            .parse()
            .map_err(|e| BadRules::Expression(self.name.clone(), e))?;
        Ok(Rule {
            name: self.name.clone(),
            scope: self.scope.clone(),
            kind,
            expr,
        })
    }
}

/// Reads the rules that a job brings.
pub fn read_own(texts: &[RuleText]) -> Result<Vec<Rule>, BadRules> {
    if texts.len() > JOB_LIMIT {
        return Err(BadRules::Form(format!("more than {JOB_LIMIT} rules")));
    }
    if let Some(t) = texts.iter().find(|t| !is_everybody(&t.scope)) {
        return Err(BadRules::Rule(
            t.name.clone(),
            "`for` is not for a job's own rules".to_owned(),
        ));
    }
    let rules = texts
        .iter()
        .map(RuleText::read)
        .collect::<Result<Vec<_>, _>>()?;
    unlike(&rules)?;
    Ok(rules)
}

fn unlike(rules: &[Rule]) -> Result<(), BadRules> {
    let mut seen = BTreeSet::new();
    match rules.iter().find(|r| !seen.insert(&r.name)) {
        Some(r) => Err(BadRules::Rule(
            r.name.clone(),
            "the name is used twice".to_owned(),
        )),
        None => Ok(()),
    }
}

/// A job, as far as rules tell jobs apart.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Its class.
    pub job_class: &'a str,
    /// Its team.
    pub team: &'a str,
    /// Its image.
    pub image: &'a str,
    /// Its urgency, as it was submitted.
    pub priority: &'a str,
}

impl Rule {
    /// Whether it must hold.
    pub fn is_hard(&self) -> bool {
        self.kind == Kind::Require
    }

    /// Whether it holds for a job.
    pub fn concerns(&self, job: &Subject<'_>) -> bool {
        let names = |list: &Option<BTreeSet<String>>, one: &str| {
            list.as_ref().is_none_or(|l| l.contains(one))
        };
        names(&self.scope.job_classes, job.job_class)
            && names(&self.scope.teams, job.team)
            && names(&self.scope.images, job.image)
            && names(&self.scope.priorities, job.priority)
    }

    /// Checks that every trait is known and asked what it can answer.
    pub fn check(&self, vocabulary: &Vocabulary) -> Result<(), BadRules> {
        let mut bad = None;
        self.expr.tests(&mut |t| {
            if bad.is_none() {
                bad = vocabulary.mismatch(t);
            }
        });
        bad.map_or(Ok(()), |e| Err(BadRules::Expression(self.name.clone(), e)))
    }
}

/// A rule that a job brings, as its record has it: name and text, and of a preference weight and wait.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Written<'a> {
    Hard(std::borrow::Cow<'a, str>, String),
    Soft(std::borrow::Cow<'a, str>, String, u32, u64),
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let (name, text) = (self.name.as_str().into(), self.expr.to_string());
        match self.kind {
            Kind::Require => Written::Hard(name, text).serialize(s),
            Kind::Prefer { weight, wait } => Written::Soft(name, text, weight, wait).serialize(s),
        }
    }
}

impl<'de> Deserialize<'de> for Rule {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Rule, D::Error> {
        let (name, text, kind) = match Written::deserialize(d)? {
            Written::Hard(name, text) => (name, text, Kind::Require),
            Written::Soft(name, text, weight, wait) => (name, text, Kind::Prefer { weight, wait }),
        };
        let expr = text.parse().map_err(serde::de::Error::custom)?;
        Ok(Rule {
            name: name.into_owned(),
            scope: Scope::default(),
            kind,
            expr,
        })
    }
}

/// Traits that every machine has by its type, zone and kind.
pub const BUILT_IN: [(&str, Sort); 10] = [
    ("type", Sort::Word),
    ("zone", Sort::Word),
    ("spot", Sort::Flag),
    ("cores", Sort::Number(Dimension::Plain)),
    ("accelerators", Sort::Number(Dimension::Plain)),
    ("memory", Sort::Number(Dimension::Size)),
    ("cache", Sort::Number(Dimension::Size)),
    ("fetch", Sort::Number(Dimension::Rate)),
    ("price", Sort::Number(Dimension::Plain)),
    ("boot", Sort::Number(Dimension::Time)),
];

/// The traits that rules may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vocabulary(BTreeMap<String, Sort>);

impl Vocabulary {
    /// The traits that machines have by themselves, and those that operators give them.
    fn of(labels: &Labels) -> Result<Vocabulary, BadRules> {
        let mut known: BTreeMap<String, Sort> = BTreeMap::new();
        let tables = [&labels.types, &labels.zones, &labels.machines]
            .into_iter()
            .flat_map(|t| t.values());
        for (name, value) in tables.flatten() {
            let bad = |what: String| Err(BadRules::Label(name.clone(), what));
            if BUILT_IN.iter().any(|(b, _)| b == name) {
                return bad("is what machines have by themselves".to_owned());
            }
            if !matches!(name.parse(), Ok(Expr::Trait(n, Test::Flag, _)) if n == *name) {
                return bad(
                    "a name is lower-case letters, digits, `-` and `_`, and no keyword".to_owned(),
                );
            }
            let sort = match value.value() {
                Ok(value) => value.sort(),
                Err(what) => return bad(what),
            };
            if let Some(other) = known.insert(name.clone(), sort).filter(|o| *o != sort) {
                return bad(format!(
                    "is {} here and {} there",
                    sort.described(),
                    other.described()
                ));
            }
        }
        known.extend(BUILT_IN.map(|(name, sort)| (name.to_owned(), sort)));
        Ok(Vocabulary(known))
    }

    /// What is wrong with a test.
    fn mismatch(&self, test: &Expr) -> Option<ParseError> {
        let Expr::Trait(name, test, at) = test else {
            return None;
        };
        let Some(sort) = self.0.get(name) else {
            let near = self.0.keys().map(|k| (strsim::jaro_winkler(k, name), k));
            let near = near
                .filter(|(likeness, _)| *likeness > 0.8)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let hint = near.map_or(String::new(), |(_, k)| format!("; is `{k}` meant?"));
            return Some(ParseError::at(
                *at,
                format!("no machine has a trait `{name}`{hint}"),
            ));
        };
        let wanted = match test {
            Test::Present => return None,
            Test::Flag => Sort::Flag,
            Test::Within(_) => Sort::Word,
            Test::HasAny(_) | Test::HasAll(_) => Sort::Words,
            Test::Compare(c, Operand::Word(_)) => {
                use super::expr::Comparison::{Equal, Unequal};
                if *sort == Sort::Word && !matches!(c, Equal | Unequal) {
                    return Some(ParseError::at(
                        *at,
                        format!("`{name}` is a word: only = and != are for words"),
                    ));
                }
                Sort::Word
            }
            Test::Compare(_, Operand::Number(n)) => Sort::Number(n.unit.dimension),
        };
        (*sort != wanted).then(|| {
            let what = format!(
                "`{name}` is {}, and is asked as if it were {}",
                sort.described(),
                wanted.described()
            );
            ParseError::at(*at, what)
        })
    }
}

/// A rules file, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// What it was read from.
    pub file: RulesFile,
    /// Its rules, in their order.
    pub rules: Vec<Rule>,
    /// Traits that may be asked for.
    pub vocabulary: Vocabulary,
    /// Tells it from other versions.
    pub digest: u64,
}

impl RuleSet {
    /// Reads the text of a rules file. The error is one line that names what is wrong.
    pub fn parse(text: &[u8]) -> Result<RuleSet, BadRules> {
        let file: RulesFile =
            serde_json::from_slice(text).map_err(|e| BadRules::Form(e.to_string()))?;
        RuleSet::of(file)
    }

    /// Reads a rules file.
    pub fn of(file: RulesFile) -> Result<RuleSet, BadRules> {
        if file.rules.len() > FILE_LIMIT {
            return Err(BadRules::Form(format!("rules: more than {FILE_LIMIT}")));
        }
        let vocabulary = Vocabulary::of(&file.labels)?;
        let rules = file
            .rules
            .iter()
            .map(RuleText::read)
            .collect::<Result<Vec<_>, _>>()?;
        unlike(&rules)?;
        rules.iter().try_for_each(|r| r.check(&vocabulary))?;
        let text = serde_json::to_vec(&file).map_err(|e| BadRules::Form(e.to_string()))?;
        Ok(RuleSet {
            rules,
            vocabulary,
            digest: xxh3_64(&text),
            file,
        })
    }

    /// The rules that hold for a job, its own ones aside.
    pub fn concerning<'a>(&'a self, job: &'a Subject<'a>) -> impl Iterator<Item = &'a Rule> {
        self.rules.iter().filter(|r| r.concerns(job))
    }

    /// Adds the labels of a machine of this type and zone to its traits. `machine`: its name, if it has one.
    pub fn label(
        &self,
        traits: &mut Traits,
        machine_type: &str,
        zone: &str,
        machine: Option<&str>,
    ) {
        let labels = &self.file.labels;
        let of_machine = machine.and_then(|m| labels.machines.get(m));
        let tables = [
            of_machine,
            labels.types.get(machine_type),
            labels.zones.get(zone),
        ];
        for (name, value) in tables.into_iter().flatten().flatten() {
            let Ok(value) = value.value() else { continue };
            match (traits.get_mut(name), value) {
                (Some(Value::Words(all)), Value::Words(more)) => all.extend(more),
                (Some(_), _) => {}
                (None, value) => {
                    traits.insert(name.clone(), value);
                }
            }
        }
    }

    /// The published schema of rules files.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(RulesFile)).unwrap_or_default()
    }
}

impl Serialize for RuleSet {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.file.serialize(s)
    }
}

impl<'de> Deserialize<'de> for RuleSet {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<RuleSet, D::Error> {
        RuleSet::of(RulesFile::deserialize(d)?).map_err(serde::de::Error::custom)
    }
}
