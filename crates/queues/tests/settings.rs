//! Invalid settings are refused with a one-line error that names the field.

use cometlead_queues::runtime::QueueService;
use cometlead_queues::settings::{QueueSettings, SettingsError};
use serde_json::{Value, json};
use std::path::Path;

fn minimal_settings() -> Value {
    json!({
        "broker": { "host": "mq", "credentials": "login" },
        "controllers": ["a:1"],
        "state": { "address": "b:2" },
        "queues": [{ "name": "work" }],
    })
}

fn parse(settings: &Value) -> Result<QueueSettings, SettingsError> {
    QueueSettings::parse(settings.to_string().as_bytes())
}

#[test]
fn minimal_settings_are_accepted_with_defaults() {
    parse(&minimal_settings()).expect("valid settings");
}

#[test]
fn invalid_value_is_refused_with_the_name_of_its_field() {
    let invalid_values: [(&str, Value, &str); 12] = [
        ("/calls", json!(0), "calls"),
        ("/pol_s", json!(1), "pol_s"),
        ("/poll_s", json!(0.01), "poll_s"),
        ("/keep_days", json!(1000), "keep_days"),
        ("/controllers", json!([]), "controllers"),
        ("/controllers", json!(["a"]), "controllers"),
        ("/state/prefix", json!("c/q/"), "state.prefix"),
        ("/state/prefix", json!("final/"), "state.prefix"),
        ("/state/value_bytes", json!(100), "state.value_bytes"),
        ("/broker/heartbeat_s", json!(0), "broker.heartbeat_s"),
        (
            "/queues",
            json!([{ "name": "a" }, { "name": "a" }]),
            "queues",
        ),
        (
            "/queues",
            json!([{ "name": "a", "dead_letter": "a" }]),
            "queues.dead_letter",
        ),
    ];
    for (pointer, value, field) in invalid_values {
        let mut settings = minimal_settings();
        let (parent, name) = pointer.rsplit_once('/').expect("a path");
        settings.pointer_mut(parent).expect("a parent")[name] = value;
        let error = parse(&settings).expect_err(pointer).to_string();
        assert!(
            error.contains(field) && !error.contains('\n'),
            "{pointer}: {error}"
        );
    }
}

#[test]
fn missing_credentials_file_is_refused_with_the_name_of_its_field() {
    let settings = parse(&minimal_settings()).expect("settings");
    let error = QueueService::new(settings, Path::new("/nowhere"))
        .expect_err("no such file")
        .to_string();
    assert!(error.starts_with("broker.credentials: "), "{error}");
}
