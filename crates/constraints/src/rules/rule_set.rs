//! A parsed and checked rules file.

use super::file::{LabelTable, RuleText, RulesFile};
use super::vocabulary::Vocabulary;
use super::{Rule, RulesError, Subject, check_distinct};
use crate::evaluation::Traits;
use crate::value::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of rules in one file.
pub const RULES_PER_FILE_LIMIT: usize = 40;

/// A rules file, parsed and checked. Its serialized form is that of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// The file.
    pub file: RulesFile,
    /// Its rules, in their order.
    pub rules: Vec<Rule>,
    /// Traits that rules may test.
    pub vocabulary: Vocabulary,
    /// Hash of the file's content, which identifies this version.
    pub digest: u64,
}

impl RuleSet {
    /// Parses the text of a rules file.
    ///
    /// # Errors
    /// The first problem, in one line.
    pub fn parse(text: &[u8]) -> Result<RuleSet, RulesError> {
        let file: RulesFile = serde_json::from_slice(text)
            .map_err(|error| RulesError::Malformed(error.to_string()))?;
        RuleSet::of(file)
    }

    /// Parses the rules of a file and checks them.
    ///
    /// # Errors
    /// The first problem, in one line.
    pub fn of(file: RulesFile) -> Result<RuleSet, RulesError> {
        if file.rules.len() > RULES_PER_FILE_LIMIT {
            return Err(RulesError::TooManyInFile);
        }
        let vocabulary = Vocabulary::of(&file.labels)?;
        let rules = file
            .rules
            .iter()
            .map(RuleText::parse)
            .collect::<Result<Vec<_>, _>>()?;
        check_distinct(&rules)?;
        rules.iter().try_for_each(|rule| rule.check(&vocabulary))?;
        let text =
            serde_json::to_vec(&file).map_err(|error| RulesError::Malformed(error.to_string()))?;
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

    /// Adds the labels of a machine of this type and zone to its traits. `machine` is the machine's name, if it has
    /// one.
    pub fn add_labels(
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

/// Adds labels to traits: sets of words are merged, other values do not replace existing ones.
fn add_labels(traits: &mut Traits, labels: &LabelTable) {
    for (name, value) in labels {
        // Cannot fail: the values were validated when the file was parsed.
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
