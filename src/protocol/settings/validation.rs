//! Validation of the deploy file. Errors name the field by its path in the file.

use super::file::{DeployFile, ObjectiveEntry, PeerEntry, StateSection, TeamEntry};
use super::{Objective, ObjectiveKind, Peer, Settings, SettingsError, StateLimits, Team};
use crate::storage::resources::thousandths_rounded_down;
use crate::time::Micros;
use std::net::SocketAddrV4;

/// Largest value of a numeric field.
const NUMBER_LIMIT: f64 = 1e9;
/// Longest name of a controller, in bytes.
const NAME_BYTES_LIMIT: usize = 100;
/// Smallest number of sockets that a controller can work with.
const MIN_CONNECTIONS: u64 = 32;
/// Smallest limit of the changes in a transaction: the end of a task writes its machine group, its team's usage, its
/// job and the job's final record.
const MIN_TXN_OPS: u64 = 4;
/// Smallest announced limit of a value's size, in bytes: a job's record has to fit, with the first chunk of its
/// completion bitmap.
const MIN_NEXT_VALUE_BYTES: usize = 2 * 1024;

impl Settings {
    /// Validates the fields. Their order here decides which of several invalid fields is reported.
    pub(super) fn from_file(file: DeployFile) -> Result<Settings, SettingsError> {
        let params = file.params;
        let teams = params
            .teams
            .into_iter()
            .map(team)
            .collect::<Result<_, _>>()?;
        let peers = file.peers.into_iter().map(peer).collect::<Result<_, _>>()?;
        let limits = state_limits("params.state", &params.state)?;
        let next_limits = next_state_limits(&params.state, limits)?;
        let max_connections = connections(params.quota.max_connections)?;
        let clock_error = clock_error(params.clock_error_ms)?;
        Ok(Settings {
            node: name("node", file.node)?,
            zone: file.zone,
            bind: address("bind", &file.bind)?,
            peer_bind: address("back", &file.peer_bind)?,
            peers,
            cloud_address: address("outside.cloud", &file.services.cloud)?,
            state_store_address: address("outside.state", &file.services.state)?,
            teams,
            objectives: params
                .objectives
                .into_iter()
                .filter_map(objective)
                .collect(),
            heartbeat_interval: duration(
                "params.workers.report_s",
                params.agents.heartbeat_interval_s,
            )?,
            agent_lease: duration("params.workers.lease_s", params.agents.lease_s)?,
            cancellation_timeout: duration("params.workers.cancel_s", params.agents.cancel_s)?,
            state_rps: positive("params.state.rps", params.state.rps)?,
            state_limits: limits,
            announced_state_limits: next_limits,
            cloud_rps: positive("params.cloud.rps", params.cloud.rps)?,
            max_list_lag: duration("params.cloud.list_lag_s", params.cloud.list_lag_s)?,
            core_share: positive("params.quota.core_share", params.quota.core_share)?,
            ram_mb: positive("params.quota.ram_mb", params.quota.ram_mb)?,
            max_connections,
            clock_error,
        })
    }
}

fn invalid<T>(field: impl Into<String>, problem: &'static str) -> Result<T, SettingsError> {
    Err(SettingsError::Invalid {
        field: field.into(),
        problem,
    })
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value > 0.0 && value <= NUMBER_LIMIT {
        Ok(value)
    } else {
        invalid(field, "must be above 0 and at most 1e9")
    }
}

fn duration(field: &str, seconds: f64) -> Result<Micros, SettingsError> {
    positive(field, seconds).map(Micros::from_secs_f64)
}

fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .or_else(|_| invalid(field, "must be an IPv4 address with a port"))
}

/// Validates a controller's name, which becomes part of keys in the state store.
fn name(field: &str, text: String) -> Result<String, SettingsError> {
    let printable = text
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if printable && (1..=NAME_BYTES_LIMIT).contains(&text.len()) {
        Ok(text)
    } else {
        invalid(
            field,
            "must be 1 to 100 printable characters without a slash",
        )
    }
}

fn peer(entry: PeerEntry) -> Result<Peer, SettingsError> {
    Ok(Peer {
        node: name("others.node", entry.node)?,
        address: address("others.peer_addr", &entry.address)?,
    })
}

fn team(entry: TeamEntry) -> Result<Team, SettingsError> {
    for (field, value) in [
        ("cpus", entry.guaranteed_cores),
        ("cpus_max", entry.cores_limit),
        ("gpus", entry.guaranteed_accelerators),
        ("gpus_max", entry.accelerators_limit),
    ] {
        if !(0.0..=NUMBER_LIMIT).contains(&value) {
            let field = format!("params.teams.{}.{field}", entry.name);
            return invalid(field, "must be 0 to 1e9");
        }
    }
    let limit = |amount: f64| (amount > 0.0).then(|| thousandths_rounded_down(amount));
    Ok(Team {
        name: entry.name,
        guarantee: (
            thousandths_rounded_down(entry.guaranteed_cores),
            thousandths_rounded_down(entry.guaranteed_accelerators),
        ),
        cores_limit: limit(entry.cores_limit),
        accelerators_limit: limit(entry.accelerators_limit),
    })
}

/// Validates the limits of the section at the path `section`.
fn state_limits(section: &str, state: &StateSection) -> Result<StateLimits, SettingsError> {
    let field = |name: &str| format!("{section}.{name}");
    let write_rps = positive(&field("write_rps"), state.write_rps)?;
    let value_kb = positive(&field("value_kb"), state.value_kb)?;
    if state.txn_ops < MIN_TXN_OPS {
        return invalid(field("txn_ops"), "must be at least 4");
    }
    Ok(StateLimits {
        write_rps,
        value_bytes: (value_kb * 1024.0) as usize,
        txn_ops: state.txn_ops as usize,
    })
}

/// Validates the limits that are announced for later; without an announcement they equal the current limits.
fn next_state_limits(
    state: &StateSection,
    limits: StateLimits,
) -> Result<StateLimits, SettingsError> {
    let next = state.next.as_ref();
    let announced = StateSection {
        rps: state.rps,
        write_rps: next.and_then(|n| n.write_rps).unwrap_or(state.write_rps),
        value_kb: next.and_then(|n| n.value_kb).unwrap_or(state.value_kb),
        txn_ops: next.and_then(|n| n.txn_ops).unwrap_or(state.txn_ops),
        next: None,
    };
    let next_limits = state_limits("params.state.next", &announced)?;
    if next_limits.value_bytes < limits.value_bytes.min(MIN_NEXT_VALUE_BYTES) {
        return invalid("params.state.next.value_kb", "must be at least 2");
    }
    Ok(next_limits)
}

fn connections(max_connections: u64) -> Result<usize, SettingsError> {
    if max_connections < MIN_CONNECTIONS {
        return invalid("params.quota.max_connections", "must be at least 32");
    }
    Ok(max_connections as usize)
}

fn clock_error(milliseconds: f64) -> Result<Micros, SettingsError> {
    if !(0.0..=NUMBER_LIMIT).contains(&milliseconds) {
        return invalid("params.clock_error_ms", "must be 0 to 1e9");
    }
    Ok(Micros::from_secs_f64(milliseconds / 1e3))
}

/// The objective; `None` if its form is unknown. Skipping it is safe, since objectives only influence the order of
/// work.
fn objective(value: serde_json::Value) -> Option<Objective> {
    let entry: ObjectiveEntry = serde_json::from_value(value).ok()?;
    let within = entry
        .within_s
        .filter(|seconds| (0.0..=NUMBER_LIMIT).contains(seconds))
        .map(Micros::from_secs_f64);
    let kind = match (entry.kind.as_str(), within) {
        ("deadline", _) => ObjectiveKind::Deadline,
        ("finished", Some(within)) => ObjectiveKind::Finished(within),
        ("wait", Some(within)) => ObjectiveKind::Wait(within),
        ("guarantee", Some(within)) => ObjectiveKind::Guarantee(within),
        _ => ObjectiveKind::Other,
    };
    Some(Objective {
        kind,
        class: entry.class,
    })
}
