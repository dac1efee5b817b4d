//! Tests of `restart_history`.

use super::*;

fn after(starts: &[u64]) -> RestartHistory {
    starts.iter().fold(RestartHistory::default(), |s, t| {
        s.with_start(Micros::secs(*t))
    })
}

#[test]
fn a_few_starts_say_nothing_and_more_ask_for_a_longer_life_each() {
    for (starts, lives) in [
        (vec![1_000], 0),
        (vec![1_000, 1_002], 0),
        // Long ago does not count.
        (vec![1_000, 1_002, 1_100, 1_102], 0),
        (vec![1_000, 1_002, 1_004], 5),
        (vec![1_000, 1_002, 1_004, 1_006], 10),
        ((1_000..1_024).collect(), 40),
    ] {
        let last = *starts.last().unwrap();
        let all = after(&starts);
        assert_eq!(all.is_stable(Micros::secs(last)), lives == 0, "{starts:?}");
        assert!(all.is_stable(Micros::secs(last + lives)), "{starts:?}");
        assert!(
            lives == 0 || !all.is_stable(Micros::secs(last + lives - 1)),
            "{starts:?}"
        );
        assert!(serde_json::to_string(&all).unwrap().len() < 100);
    }
}
