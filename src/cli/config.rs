//! Reads the files that the command line names.

use super::error::CliError;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead_constraints::RuleSet;
use std::path::Path;
use std::sync::Arc;

/// The configuration of a controller, from all files.
pub struct Config {
    /// The deploy file, if the command line names one.
    pub settings: Option<Settings>,
    /// The operator's settings, or their defaults.
    pub operator: OperatorSettings,
    /// The placement rules that the operator's settings name.
    pub rules: Option<Arc<RuleSet>>,
}

impl Config {
    /// Reads and validates the deploy file, the operator's settings file and the rules file that the settings name.
    pub fn load(
        deploy_path: Option<&str>,
        operator_path: Option<&str>,
    ) -> Result<Config, CliError> {
        let settings = deploy_path.map(Settings::load).transpose()?;
        let operator = load_operator_settings(operator_path)?;
        let rules = load_rules(operator_path, &operator)?;
        if let (Some(settings), Some(rules)) = (&settings, &rules) {
            check_rules_size(rules, settings)?;
        }
        Ok(Config {
            settings,
            operator,
            rules,
        })
    }
}

/// Reads a file.
pub fn read(path: &str) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|source| CliError::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads and validates a rules file.
pub fn read_rules(path: &str) -> Result<RuleSet, CliError> {
    RuleSet::parse(&read(path)?).map_err(|source| CliError::Rules {
        path: path.to_owned(),
        source,
    })
}

/// The folder of a settings file. Relative paths in the file are relative to it.
pub fn folder_of(path: &str) -> &Path {
    Path::new(path).parent().unwrap_or(Path::new(""))
}

fn load_operator_settings(path: Option<&str>) -> Result<OperatorSettings, CliError> {
    let Some(path) = path else {
        return Ok(OperatorSettings::default());
    };
    OperatorSettings::parse(&read(path)?).map_err(|source| CliError::OperatorSettings {
        path: path.to_owned(),
        source,
    })
}

fn load_rules(
    operator_path: Option<&str>,
    operator: &OperatorSettings,
) -> Result<Option<Arc<RuleSet>>, CliError> {
    let (Some(operator_path), Some(rules)) = (operator_path, &operator.rules) else {
        return Ok(None);
    };
    let path = folder_of(operator_path).join(rules);
    let rules = read_rules(&path.to_string_lossy())?;
    Ok(Some(Arc::new(rules)))
}

/// Checks the size of the rules: they are stored as one value, which has to fit the current and the announced limits.
fn check_rules_size(rules: &RuleSet, settings: &Settings) -> Result<(), CliError> {
    let bytes = serde_json::to_vec(rules).map_or(usize::MAX, |value| value.len());
    let limit = settings
        .state_limits
        .value_bytes
        .min(settings.announced_state_limits.value_bytes);
    if bytes > limit {
        return Err(CliError::RulesTooLarge { bytes, limit });
    }
    Ok(())
}
