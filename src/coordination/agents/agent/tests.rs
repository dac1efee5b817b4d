//! When an agent's lease has ended for certain.

use super::*;
use crate::storage::ids::MachineId;

const TERM: u64 = 40;

fn heartbeat(incarnation: u64, sequence: u64, fencing_token: u64) -> Heartbeat {
    let body = format!(
        r#"{{"host":"i-000007","endpoint":"10.1.0.7:9000","build":"g8","yard":"a","loaners":true,"shift":{incarnation},"tally":{sequence},"baton":{fencing_token},"recallS":null,"pieces":[]}}"#
    );
    Heartbeat::parse(body.as_bytes()).expect("a heartbeat")
}

fn unrenewed_s(agent: &Agent, now: u64) -> Option<u64> {
    agent
        .lease_unrenewed_for(Micros::secs(now))
        .map(|t| t.as_millis() / 1_000)
}

/// A duplicate of an old heartbeat is acknowledged, and then the answer to a pushed command reports an incarnation that began
/// after it: its lease runs from its own beginning. Counted from the acknowledgement, tasks were placed elsewhere while they
/// ran there.
#[test]
fn an_incarnation_that_began_after_the_last_acknowledgement_has_its_own_lease() {
    let mut agent = Agent::new("", "g8", "a", true);
    assert_eq!(MachineId(7), heartbeat(1, 1, 0).machine);
    agent.adopt_id_and_token(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    agent.acknowledged_at = Some(Micros::secs(10));
    assert_eq!(
        unrenewed_s(&agent, 30),
        None,
        "an earlier leader may command it"
    );
    agent.adopt_id_and_token(Micros::secs(14), &heartbeat(2, 1, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(16));
    // The incarnation is the same, so its lease did not begin anew.
    agent.adopt_id_and_token(Micros::secs(16), &heartbeat(2, 2, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(16));
    agent.acknowledged_at = Some(Micros::secs(17));
    assert_eq!(unrenewed_s(&agent, 30), Some(13));
}

/// The answer to its last heartbeat was lost, and an earlier leader answered the next: that renews the lease until the agent
/// has a token of this term.
#[test]
fn an_earlier_leader_may_renew_the_lease_until_the_token_is_reported() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    agent.acknowledged_at = Some(Micros::secs(10));
    agent.adopt_id_and_token(Micros::secs(19), &heartbeat(1, 6, TERM + 2), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(11));
    // A higher token later changes nothing.
    agent.adopt_id_and_token(Micros::secs(25), &heartbeat(1, 7, TERM + 9), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(11));
}

/// Without an acknowledgement in this term there is nothing to count from.
#[test]
fn an_agent_that_was_never_acknowledged_has_no_proven_lease_end() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(1), &heartbeat(1, 1, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 1_000), None);
}
