//! Formats of the settings, their schema and the metrics page.

use super::{assert_golden, read_golden};
use cometlead_queues::counters::Counters;
use cometlead_queues::runtime::metrics::{SharedMetrics, Snapshot, render};
use cometlead_queues::settings::QueueSettings;

#[test]
fn settings_schema_matches_golden_file() {
    assert_golden("settings-schema.json", QueueSettings::schema().as_bytes());
}

#[test]
fn parsed_settings_match_golden_files_field_by_field() {
    let parsed = |name| QueueSettings::parse(&read_golden(name)).expect(name);
    assert_golden(
        "settings-full.debug.txt",
        debug_without_names(&parsed("settings-full.json")).as_bytes(),
    );
    assert_golden(
        "settings-defaults.debug.txt",
        debug_without_names(&parsed("settings-defaults.json")).as_bytes(),
    );
}

/// Debug output of the settings without the names of types and fields, so that it holds only the values in their order.
fn debug_without_names(settings: &QueueSettings) -> String {
    let lines = format!("{settings:#?}");
    let value = |line: &str| {
        let line = line.trim();
        line.split_once(": ")
            .map_or(line, |(_, value)| value)
            .to_owned()
    };
    let values: Vec<String> = lines.lines().map(value).collect();
    let is_struct = |v: &String| v.ends_with(" {") && v != "{";
    let values = values
        .into_iter()
        .map(|v| if is_struct(&v) { "{".to_owned() } else { v });
    values.collect::<Vec<_>>().join("\n")
}

#[test]
fn metrics_page_matches_golden_file() {
    let counters = Counters {
        received: 1,
        redelivered: 2,
        duplicate_deliveries: 3,
        accepted: 4,
        refused: 5,
        overload_responses: 6,
        lost_responses: 7,
        status_queries: 8,
        answered: 9,
        possible_duplicates: 10,
        commits: 11,
        claims_taken_over: 12,
    };
    let snapshot = Snapshot {
        counters,
        pending_messages: 13,
        oldest_pending_s: 14,
        log_entries: 15,
        applied_batches: 16,
        log_conflicts: 17,
    };
    let page = render(SharedMetrics::new(snapshot)).expect("a page");
    assert_golden("metrics.txt", page.as_bytes());
}
