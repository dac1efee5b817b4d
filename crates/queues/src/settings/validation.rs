//! Checks of the values that the types of the settings do not exclude.

use super::{BrokerSettings, QueueSettings, ServedQueue, SettingsError, StateSettings};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

/// Largest length of names in AMQP, in bytes.
const MAX_NAME_BYTES: usize = 255;
/// Longest key prefix at the state service, in bytes.
const MAX_PREFIX_BYTES: usize = 64;
/// Key prefixes that other parts of cometlead use.
const RESERVED_PREFIXES: [&str; 2] = ["c/", "final/"];

/// Checks every field.
///
/// # Errors
///
/// [`SettingsError::InvalidField`] for the first field that has an invalid value.
pub(super) fn validate(settings: &QueueSettings) -> Result<(), SettingsError> {
    validate_addresses(settings)?;
    validate_state(&settings.state)?;
    validate_broker(&settings.broker)?;
    validate_rates(settings)?;
    validate_queues(&settings.queues)
}

fn require(
    field: &'static str,
    is_valid: bool,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError::InvalidField { field, requirement })
    }
}

fn require_in<T: PartialOrd>(
    field: &'static str,
    value: T,
    range: RangeInclusive<T>,
    requirement: &'static str,
) -> Result<(), SettingsError> {
    require(field, range.contains(&value), requirement)
}

fn validate_addresses(settings: &QueueSettings) -> Result<(), SettingsError> {
    let controllers = &settings.controllers;
    require(
        "controllers",
        !controllers.is_empty() && controllers.iter().all(|a| is_address(a)),
        "one or more of host:port",
    )?;
    require(
        "state.address",
        is_address(&settings.state.address),
        "host:port",
    )?;
    require(
        "metrics",
        settings.metrics_address.as_deref().is_none_or(is_address),
        "host:port",
    )
}

fn is_address(text: &str) -> bool {
    text.rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}

fn validate_state(state: &StateSettings) -> Result<(), SettingsError> {
    require(
        "state.prefix",
        is_valid_prefix(&state.key_prefix),
        "a prefix of its own that ends with /",
    )?;
    let batches_per_s = state.batches_per_s;
    require_in("state.rounds_per_s", batches_per_s, 1..=1_000, "1 to 1000")?;
    require_in(
        "state.value_bytes",
        state.max_value_bytes,
        700..=60_000,
        "700 to 60000",
    )
}

fn is_valid_prefix(prefix: &str) -> bool {
    let is_reserved = RESERVED_PREFIXES
        .iter()
        .any(|reserved| prefix.starts_with(reserved));
    let has_valid_characters = prefix
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"/-_.".contains(&b));
    let has_valid_length = (2..=MAX_PREFIX_BYTES).contains(&prefix.len());
    !is_reserved && has_valid_characters && has_valid_length && prefix.ends_with('/')
}

fn validate_broker(broker: &BrokerSettings) -> Result<(), SettingsError> {
    let has_host = !broker.host.is_empty();
    require("broker.host", has_host, "a name or an address")?;
    require("broker.port", broker.port > 0, "1 to 65535")?;
    require(
        "broker.vhost",
        broker.vhost.len() <= MAX_NAME_BYTES,
        "at most 255 bytes",
    )?;
    require_in(
        "broker.heartbeat_s",
        broker.heartbeat_s,
        1..=600,
        "1 to 600",
    )?;
    let has_credentials = !broker.credentials_file.as_os_str().is_empty();
    require("broker.credentials", has_credentials, "the path of a file")
}

fn validate_rates(settings: &QueueSettings) -> Result<(), SettingsError> {
    let (submissions, queries) = (settings.submissions_per_s, settings.queries_per_s);
    require_in("calls", settings.max_requests, 1..=256, "1 to 256")?;
    require_in("submits_per_s", submissions, 1..=10_000, "1 to 10000")?;
    require_in("polls_per_s", queries, 1..=10_000, "1 to 10000")?;
    require_in(
        "poll_s",
        settings.query_interval_s,
        0.1..=300.0,
        "0.1 to 300",
    )?;
    require_in("keep_days", settings.retention_days, 1..=365, "1 to 365")?;
    require_in("stop_s", settings.shutdown_grace_s, 1..=300, "1 to 300")
}

fn validate_queues(queues: &[ServedQueue]) -> Result<(), SettingsError> {
    let names: BTreeSet<&String> = queues.iter().map(|queue| &queue.name).collect();
    require(
        "queues",
        !names.is_empty() && names.len() == queues.len(),
        "one or more, each named once",
    )?;
    for queue in queues {
        validate_queue(queue, &names)?;
    }
    Ok(())
}

fn validate_queue(queue: &ServedQueue, names: &BTreeSet<&String>) -> Result<(), SettingsError> {
    let is_name = |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len());
    require("queues.name", is_name(&queue.name), "1 to 255 bytes")?;
    require_in("queues.prefetch", queue.prefetch, 1..=10_000, "1 to 10000")?;
    let dead_letter = queue.dead_letter.as_ref();
    require(
        "queues.dead_letter",
        dead_letter.is_none_or(is_name),
        "1 to 255 bytes",
    )?;
    require(
        "queues.dead_letter",
        dead_letter.is_none_or(|name| !names.contains(name)),
        "a queue that is not served",
    )
}
