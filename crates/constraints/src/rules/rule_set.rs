//! A parsed and checked rules file.

use super::file::{LabelTable, RuleText, RulesFile};
use super::vocabulary::Vocabulary;
use super::{BadRules, Rule, Subject, check_distinct};
use crate::evaluation::Traits;
use crate::value::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Most rules of one file.
pub const FILE_LIMIT: usize = 40;

/// A rules file, parsed and checked. It is serialized as the file.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// The file.
    pub file: RulesFile,
    /// Its rules, in their order.
    pub rules: Vec<Rule>,
    /// Traits that rules may test.
    pub vocabulary: Vocabulary,
    /// Identifies this version of the file.
    pub digest: u64,
}

impl RuleSet {
    /// Parses the text of a rules file.
    ///
    /// # Errors
    /// The first thing that is wrong, in one line.
    pub fn parse(text: &[u8]) -> Result<RuleSet, BadRules> {
        let file: RulesFile =
            serde_json::from_slice(text).map_err(|error| BadRules::Form(error.to_string()))?;
        RuleSet::of(file)
    }

    /// Parses the rules of a file and checks them.
    ///
    /// # Errors
    /// The first thing that is wrong, in one line.
    pub fn of(file: RulesFile) -> Result<RuleSet, BadRules> {
        if file.rules.len() > FILE_LIMIT {
            return Err(BadRules::TooManyInFile);
        }
        let vocabulary = Vocabulary::of(&file.labels)?;
        let rules = file
            .rules
            .iter()
            .map(RuleText::parse)
            .collect::<Result<Vec<_>, _>>()?;
        check_distinct(&rules)?;
        rules.iter().try_for_each(|rule| rule.check(&vocabulary))?;
        let text = serde_json::to_vec(&file).map_err(|error| BadRules::Form(error.to_string()))?;
        Ok(RuleSet {
            rules,
            vocabulary,
            digest: xxh3_64(&text),
            file,
        })
    }

    /// The rules of the file that concern a job.
    pub fn concerning<'a>(&'a self, job: &'a Subject<'a>) -> impl Iterator<Item = &'a Rule> {
        self.rules.iter().filter(|rule| rule.concerns(job))
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
        let by_precedence = [
            machine.and_then(|machine| labels.machines.get(machine)),
            labels.types.get(machine_type),
            labels.zones.get(zone),
        ];
        for table in by_precedence.into_iter().flatten() {
            add_labels(traits, table);
        }
    }

    /// The published JSON schema of rules files.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(RulesFile)).unwrap_or_default()
    }
}

/// Adds labels to traits: sets are merged, other values do not replace those that are there.
fn add_labels(traits: &mut Traits, labels: &LabelTable) {
    for (name, value) in labels {
        // Values were checked with the file.
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

impl Serialize for RuleSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.file.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RuleSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RuleSet, D::Error> {
        RuleSet::of(RulesFile::deserialize(deserializer)?).map_err(serde::de::Error::custom)
    }
}
