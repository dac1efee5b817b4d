//! Tests by format, and the comparison with golden files.

mod amqp;
mod http;
mod log;
mod settings_and_metrics;

use cometlead_queues::ConsumerId;
use cometlead_queues::replicated_log::ClosedSegment;
use std::path::PathBuf;

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> Vec<u8> {
    let path = golden_path(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn read_golden_text(name: &str) -> String {
    String::from_utf8(read_golden(name)).expect("a golden file in UTF-8")
}

/// Compares `actual` with the golden file. Writes the file first if `UPDATE_GOLDEN` is set.
fn assert_golden(name: &str, actual: &[u8]) {
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(golden_path(name), actual).expect("a writable golden file");
    }
    let expected = read_golden(name);
    assert!(
        expected == actual,
        "{name} changed:\n  golden: {}\n  actual: {}",
        String::from_utf8_lossy(&expected),
        String::from_utf8_lossy(actual)
    );
}

fn consumer(connection: u64) -> ConsumerId {
    ConsumerId {
        process: 0x0123_4567_89ab_cdef,
        connection,
    }
}

fn closed_segment(number: u64, text: &str) -> ClosedSegment {
    ClosedSegment {
        number,
        text: text.to_owned(),
    }
}
