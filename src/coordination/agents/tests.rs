//! What silence proves.

use super::*;
use crate::storage::ids::MachineId;

const TERM: u64 = 40;

fn heartbeat(incarnation: u64, number: u64, fencing_token: u64) -> Heartbeat {
    let body = format!(
        r#"{{"host":"i-000007","endpoint":"10.1.0.7:9000","build":"g8","yard":"a","loaners":true,"shift":{incarnation},"tally":{number},"baton":{fencing_token},"recallS":null,"pieces":[]}}"#
    );
    Heartbeat::parse(body.as_bytes()).expect("a report")
}

fn silent_for(s: &Agent, now: u64) -> Option<u64> {
    s.unrenewed_for(Micros::secs(now))
        .map(|t| t.as_millis() / 1_000)
}

/// A copy of an old report is answered, and then a direct command tells of a session that began after it: its lease runs from
/// its own beginning. Counted from the answer, tasks were placed elsewhere while they ran there.
#[test]
fn a_session_that_began_after_the_last_answer_has_its_own_lease() {
    let mut s = Agent::new("", "g8", "a", true);
    assert_eq!(MachineId(7), heartbeat(1, 1, 0).machine);
    s.takes(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    s.answered = Some(Micros::secs(10));
    assert_eq!(silent_for(&s, 30), None, "an earlier owner may command it");
    s.takes(Micros::secs(14), &heartbeat(2, 1, TERM), TERM);
    assert_eq!(silent_for(&s, 30), Some(16));
    // Nothing of the session itself is new then.
    s.takes(Micros::secs(16), &heartbeat(2, 2, TERM), TERM);
    assert_eq!(silent_for(&s, 30), Some(16));
    s.answered = Some(Micros::secs(17));
    assert_eq!(silent_for(&s, 30), Some(13));
}

/// The answer to its last report was lost, and an earlier owner answered the next: until the worker has this tenure's token
/// that renews its lease.
#[test]
fn an_earlier_owner_may_have_answered_until_the_token_was_reported() {
    let mut s = Agent::new("", "g8", "a", true);
    s.takes(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    s.answered = Some(Micros::secs(10));
    s.takes(Micros::secs(19), &heartbeat(1, 6, TERM + 2), TERM);
    assert_eq!(silent_for(&s, 30), Some(11));
    // A higher token later is nothing new.
    s.takes(Micros::secs(25), &heartbeat(1, 7, TERM + 9), TERM);
    assert_eq!(silent_for(&s, 30), Some(11));
}

/// Without an answer of this tenure there is nothing to count from.
#[test]
fn who_was_never_answered_is_not_proven_silent() {
    let mut s = Agent::new("", "g8", "a", true);
    s.takes(Micros::secs(1), &heartbeat(1, 1, TERM), TERM);
    assert_eq!(silent_for(&s, 1_000), None);
}
