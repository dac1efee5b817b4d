//! The operators' own settings, beyond the platform's deploy file.

use schemars::JsonSchema;
use serde::Deserialize;

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
    /// Reads the text of a settings file. The error is one line that names the field.
    pub fn parse(text: &[u8]) -> Result<OperatorSettings, String> {
        let s: OperatorSettings = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let check = |field: &str, ok: bool, range: &str| {
            if ok {
                Ok(())
            } else {
                Err(format!("{field}: must be {range}"))
            }
        };
        check(
            "slices",
            s.shards.is_none_or(|n| (1..=64).contains(&n)),
            "1 to 64",
        )?;
        check(
            "round_ms",
            (10..=10_000).contains(&s.round_ms),
            "10 to 10000",
        )?;
        check(
            "node_lease_ms",
            (1_000..=60_000).contains(&s.node_lease_ms),
            "1000 to 60000",
        )?;
        check(
            "idle_s",
            s.idle_s.is_none_or(|t| (1.0..=86_400.0).contains(&t)),
            "1 to 86400",
        )?;
        check(
            "rules",
            s.rules.as_ref().is_none_or(|r| !r.is_empty()),
            "the path of a file",
        )?;
        Ok(s)
    }

    /// The published schema.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(OperatorSettings);
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}
