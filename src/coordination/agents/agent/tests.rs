//! Tests of when an agent's lease has certainly expired.

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

/// A duplicate of an old heartbeat is acknowledged, and then the response to a pushed command reports an incarnation that began
/// later. The lease of the new incarnation counts from its own beginning: when it was counted from the acknowledgement, tasks
/// were placed elsewhere while they still ran on the machine.
#[test]
fn lease_of_new_incarnation_counts_from_its_first_report() {
    let mut agent = Agent::new("", "g8", "a", true);
    assert_eq!(MachineId(7), heartbeat(1, 1, 0).machine);
    agent.adopt_id_and_token(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    agent.acknowledged_at = Some(Micros::secs(10));
    assert_eq!(
        unrenewed_s(&agent, 30),
        None,
        "an earlier leader may still command the agent"
    );
    agent.adopt_id_and_token(Micros::secs(14), &heartbeat(2, 1, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(16));
    // The incarnation is the same, so no new lease began.
    agent.adopt_id_and_token(Micros::secs(16), &heartbeat(2, 2, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(16));
    agent.acknowledged_at = Some(Micros::secs(17));
    assert_eq!(unrenewed_s(&agent, 30), Some(13));
}

/// The response to the agent's last heartbeat was lost, and an earlier leader responded to the next one. An earlier leader can
/// renew the lease until the agent has a token of this term.
#[test]
fn lease_counts_from_first_report_of_current_term_token() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(10), &heartbeat(1, 4, TERM - 5), TERM);
    agent.acknowledged_at = Some(Micros::secs(10));
    agent.adopt_id_and_token(Micros::secs(19), &heartbeat(1, 6, TERM + 2), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(11));
    // A higher token later changes nothing.
    agent.adopt_id_and_token(Micros::secs(25), &heartbeat(1, 7, TERM + 9), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(11));
}

/// Without an acknowledgement in this term there is no time from which the lease could be counted.
#[test]
fn lease_expiry_is_unknown_without_acknowledgement() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(1), &heartbeat(1, 1, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 1_000), None);
}
