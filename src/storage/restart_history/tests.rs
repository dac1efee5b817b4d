//! Tests of `restart_history`.

use super::*;

fn history_of_starts(starts: &[u64]) -> RestartHistory {
    starts
        .iter()
        .fold(RestartHistory::default(), |history, start| {
            history.with_start(Micros::secs(*start))
        })
}

#[test]
fn required_uptime_doubles_with_each_start_beyond_two_up_to_a_maximum() {
    for (starts, uptime_secs) in [
        (vec![1_000], 0),
        (vec![1_000, 1_002], 0),
        // Starts outside the window are not counted.
        (vec![1_000, 1_002, 1_100, 1_102], 0),
        (vec![1_000, 1_002, 1_004], 5),
        (vec![1_000, 1_002, 1_004, 1_006], 10),
        ((1_000..1_024).collect(), 40),
    ] {
        let last = *starts.last().unwrap();
        let history = history_of_starts(&starts);
        assert_eq!(
            history.is_stable(Micros::secs(last)),
            uptime_secs == 0,
            "{starts:?}"
        );
        assert!(
            history.is_stable(Micros::secs(last + uptime_secs)),
            "{starts:?}"
        );
        assert!(
            uptime_secs == 0 || !history.is_stable(Micros::secs(last + uptime_secs - 1)),
            "{starts:?}"
        );
        assert!(serde_json::to_string(&history).unwrap().len() < 100);
    }
}
