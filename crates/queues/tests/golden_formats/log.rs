//! Formats of the segments of the replicated log.

use super::{assert_golden, closed_segment, consumer, read_golden_text};
use cometlead_queues::progress::{ConsumerState, VersionedEntry};
use cometlead_queues::replicated_log::{
    ClosedSegment, CompareAndSwap, LogLimits, OpenSegment, ReplicatedLog, StateRequest,
    StateResponse,
};
use cometlead_queues::time::SECOND;
use cometlead_queues::{MessageKey, ProgressEntry};

const LIMITS: LogLimits = LogLimits {
    max_value_bytes: 700,
    batches_per_s: 1_000,
    retention: 3_600 * SECOND,
};

/// A log that has read an empty open segment.
fn empty_log() -> ReplicatedLog {
    let mut log = ReplicatedLog::new(LIMITS);
    assert_eq!(log.next_request(0), Some(StateRequest::ReadOpenSegment));
    log.handle_response(0, StateResponse::OpenSegment(None));
    log
}

fn claim(connection: u64, at_s: u64) -> ProgressEntry {
    ProgressEntry::Claimed {
        by: consumer(connection),
        at_s,
    }
}

fn first_version(entry: ProgressEntry) -> Option<VersionedEntry> {
    Some(VersionedEntry { entry, version: 1 })
}

#[test]
fn encoded_open_segment_with_all_entry_kinds_matches_golden_file() {
    let mut log = empty_log();
    let states = [
        ConsumerState::Registered,
        ConsumerState::Active,
        ConsumerState::Settled,
        ConsumerState::ReceiptsLost,
    ];
    for (connection, state) in (1..).zip(states) {
        log.change_consumer(consumer(connection), None, Some(state));
    }
    log.write_entry(MessageKey(1), 0, claim(1, 1_700_000_000));
    log.write_entry(MessageKey(u128::MAX), 0, claim(2, 1_700_000_001));
    log.write_entry(
        MessageKey(3),
        0,
        ProgressEntry::Answered {
            at_s: 1_700_000_002,
        },
    );
    let Some(StateRequest::CompareAndSwap(CompareAndSwap {
        expected_revision: 0,
        open,
        close: None,
        remove: None,
    })) = log.next_request(SECOND)
    else {
        panic!("no compare-and-swap of the first open segment")
    };
    assert_golden("log-open-segment-v1.json", open.as_bytes());
}

#[test]
fn open_segment_of_golden_file_is_decoded_with_all_entry_kinds() {
    let log = log_with_open_segment(read_golden_text("log-open-segment-v1.json"), 7);
    let states = [
        (consumer(1), ConsumerState::Registered),
        (consumer(2), ConsumerState::Active),
        (consumer(3), ConsumerState::Settled),
        (consumer(4), ConsumerState::ReceiptsLost),
    ];
    assert_eq!(log.consumers(), &states.into_iter().collect());
    assert_eq!(
        log.entry(MessageKey(1)),
        first_version(claim(1, 1_700_000_000))
    );
    assert_eq!(
        log.entry(MessageKey(u128::MAX)),
        first_version(claim(2, 1_700_000_001))
    );
    assert_eq!(
        log.entry(MessageKey(3)),
        first_version(ProgressEntry::Answered {
            at_s: 1_700_000_002
        })
    );
}

/// A log that has read an open segment with the given text and revision.
fn log_with_open_segment(text: String, revision: u64) -> ReplicatedLog {
    let mut log = ReplicatedLog::new(LIMITS);
    assert_eq!(log.next_request(0), Some(StateRequest::ReadOpenSegment));
    let open = OpenSegment { text, revision };
    log.handle_response(0, StateResponse::OpenSegment(Some(open)));
    log
}

/// Claim number `n`; two consumers claim in turn.
fn alternating_claim(n: u128) -> ProgressEntry {
    claim(1 + n as u64 % 2, 1_700_000_000)
}

#[test]
fn encoded_closed_segment_matches_golden_file() {
    let mut log = empty_log();
    for n in 0..30 {
        log.write_entry(MessageKey(n), 0, alternating_claim(n));
    }
    let Some(StateRequest::CompareAndSwap(_)) = log.next_request(SECOND) else {
        panic!("no first compare-and-swap")
    };
    log.handle_response(SECOND, StateResponse::Applied { revision: 1 });
    let Some(StateRequest::CompareAndSwap(CompareAndSwap {
        open,
        close: Some(ClosedSegment { number: 0, text }),
        ..
    })) = log.next_request(2 * SECOND)
    else {
        panic!("no compare-and-swap that closes the first segment")
    };
    assert_golden("log-closed-segment-v1.json", text.as_bytes());
    assert_golden("log-open-segment-after-close-v1.json", open.as_bytes());
}

#[test]
fn closed_segment_of_golden_file_is_decoded() {
    let open = read_golden_text("log-open-segment-after-close-v1.json");
    let mut reader = log_with_open_segment(open, 2);
    assert_eq!(
        reader.next_request(1),
        Some(StateRequest::ReadClosedSegments { from: 0 })
    );
    let closed = read_golden_text("log-closed-segment-v1.json");
    let response = StateResponse::ClosedSegments {
        segments: vec![closed_segment(0, &closed)],
        has_more: false,
    };
    reader.handle_response(1, response);
    let mut keys = 0..reader.len() as u128;
    let is_decoded = |n| reader.entry(MessageKey(n)) == first_version(alternating_claim(n));
    assert!(keys.all(is_decoded));
    assert!(reader.len() > 20, "{} entries", reader.len());
}
