//! The operator's settings file, in addition to the platform's deploy file.

use schemars::JsonSchema;
use serde::Deserialize;
use std::ops::RangeInclusive;
use thiserror::Error;

const SHARDS_RANGE: RangeInclusive<usize> = 1..=64;
const ROUND_MS_RANGE: RangeInclusive<u64> = 10..=10_000;
const NODE_LEASE_MS_RANGE: RangeInclusive<u64> = 1_000..=60_000;
const IDLE_S_RANGE: RangeInclusive<f64> = 1.0..=86_400.0;

/// Why an operator's settings file cannot be used; one line.
#[derive(Debug, Error)]
pub enum OperatorSettingsError {
    /// Not JSON, an unknown field or a value of the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A field's value is out of range.
    #[error("{field}: must be {allowed}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The values that it may have.
        allowed: &'static str,
    },
}

/// What an operator may set. Every field has a sound default.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Number of slices that jobs and machines are divided into when a deployment first starts.
    /// Later starts take the number that the state service keeps. Absent: one for each controller,
    /// or for each team with a guarantee or a limit if these are more.
    #[schemars(range(min = 1, max = 64))]
    #[serde(rename = "slices")]
    pub shards: Option<usize>,
    /// Shortest time between two rounds of one controller, in milliseconds.
    #[schemars(range(min = 10, max = 10_000))]
    #[serde(rename = "round_ms")]
    pub round_ms: u64,
    /// Life of a controller's lease at the state service, in milliseconds.
    #[schemars(range(min = 1_000, max = 60_000))]
    #[serde(rename = "node_lease_ms")]
    pub node_lease_ms: u64,
    /// How long a machine may be without work before it is returned, in seconds. Absent: derived
    /// from what its next boot would cost.
    #[schemars(range(min = 1.0, max = 86_400.0))]
    #[serde(rename = "idle_s")]
    pub idle_s: Option<f64>,
    /// A file with rules for where jobs run (see `cometlead rules schema`), beside the settings file unless
    /// its path is absolute. Absent: no rules, and jobs may bring none.
    #[schemars(length(min = 1))]
    #[serde(rename = "rules")]
    pub rules: Option<String>,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            shards: None,
            round_ms: 150,
            node_lease_ms: 2_000,
            idle_s: None,
            rules: None,
        }
    }
}

impl OperatorSettings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// [`OperatorSettingsError`] with the first field that is out of range.
    pub fn parse(text: &[u8]) -> Result<OperatorSettings, OperatorSettingsError> {
        let settings: OperatorSettings = serde_json::from_slice(text)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), OperatorSettingsError> {
        let shards_valid = self
            .shards
            .is_none_or(|shards| SHARDS_RANGE.contains(&shards));
        check_field("slices", shards_valid, "1 to 64")?;
        check_field(
            "round_ms",
            ROUND_MS_RANGE.contains(&self.round_ms),
            "10 to 10000",
        )?;
        let lease_valid = NODE_LEASE_MS_RANGE.contains(&self.node_lease_ms);
        check_field("node_lease_ms", lease_valid, "1000 to 60000")?;
        let idle_valid = self.idle_s.is_none_or(|idle| IDLE_S_RANGE.contains(&idle));
        check_field("idle_s", idle_valid, "1 to 86400")?;
        let rules_valid = self.rules.as_ref().is_none_or(|path| !path.is_empty());
        check_field("rules", rules_valid, "the path of a file")
    }

    /// The JSON schema of the settings file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(OperatorSettings);
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

fn check_field(
    field: &'static str,
    valid: bool,
    allowed: &'static str,
) -> Result<(), OperatorSettingsError> {
    if valid {
        Ok(())
    } else {
        Err(OperatorSettingsError::OutOfRange { field, allowed })
    }
}
