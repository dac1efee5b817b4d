//! Tests of when an agent's lease has certainly expired, and of the fencing token of its commands.

use super::*;
use crate::coordination::CallId;
use crate::storage::ids::{MachineId, TaskId};

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

const RANGE: TokenRange = TokenRange {
    leader_term: TERM,
    replica_revision: TERM + 20,
};

fn range_at(replica_revision: u64) -> TokenRange {
    TokenRange {
        replica_revision,
        ..RANGE
    }
}

/// An agent to which a launch is pushed under this token; no response has arrived.
fn agent_with_push(fencing_token: u64) -> Agent {
    let mut agent = Agent::new("", "g8", "a", true);
    let attempt = Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number: 7,
    };
    agent.launches.begin_push(PushedCommand {
        call: CallId(5),
        fencing_token,
        incarnation: 1,
        launches: vec![attempt],
    });
    agent
}

/// A copy of a pushed launch may arrive after the response.
#[test]
fn token_rises_above_that_of_answered_launches() {
    let mut agent = agent_with_push(TERM);
    assert!(agent.launches.end_push(CallId(5)).is_some());
    assert_eq!(agent.command_token(RANGE), TERM);
    assert!(!agent.is_fenced_from_pushed_launches(RANGE));
    assert!(agent.fence_pushed_launches(RANGE));
    assert_eq!(agent.command_token(RANGE), TERM + 20);
    // Nothing was pushed since: the token stays.
    assert!(agent.fence_pushed_launches(range_at(TERM + 30)));
    assert_eq!(agent.command_token(range_at(TERM + 30)), TERM + 20);
}

/// A higher token makes the agent refuse the command in flight, and an equal one lets it accept copies.
#[test]
fn token_stays_while_a_push_is_in_flight_or_the_replica_is_no_newer_than_the_last_push() {
    let mut agent = agent_with_push(TERM + 20);
    assert!(!agent.fence_pushed_launches(range_at(TERM + 30)));
    assert!(agent.launches.end_push(CallId(5)).is_some());
    assert!(!agent.fence_pushed_launches(RANGE));
    assert!(agent.fence_pushed_launches(range_at(TERM + 21)));
    assert_eq!(agent.command_token(range_at(TERM + 21)), TERM + 21);
}

/// An agent that is registered anew may have a raised token already.
#[test]
fn token_is_that_which_the_agent_reports_unless_a_later_leader_gave_it() {
    for (reported, expected) in [(TERM + 9, TERM + 9), (TERM + 21, TERM), (TERM - 5, TERM)] {
        let mut agent = Agent::new("", "g8", "a", true);
        let heartbeat = heartbeat(1, 1, reported);
        agent.on_new_heartbeat(Micros::secs(1), &heartbeat, TERM, false);
        assert_eq!(agent.command_token(RANGE), expected);
    }
}

/// Copies of old heartbeats arrive for minutes and are acknowledged.
#[test]
fn acknowledged_copies_of_heartbeats_do_not_put_off_the_end_of_the_lease() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(10), &heartbeat(1, 4, TERM), TERM);
    agent.acknowledge(heartbeat(1, 4, TERM).id);
    for sequence in [3, 4] {
        agent.acknowledge(heartbeat(1, sequence, TERM).id);
        assert_eq!(unrenewed_s(&agent, 30), Some(20));
    }
    // The response to a pushed command has a higher number; the heartbeat before it may have been sent until then.
    agent.adopt_id_and_token(Micros::secs(16), &heartbeat(1, 6, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 30), Some(20));
    agent.acknowledge(heartbeat(1, 5, TERM).id);
    assert_eq!(unrenewed_s(&agent, 30), Some(14));
}

/// Without an acknowledgement in this term there is no time from which the lease could be counted.
#[test]
fn lease_expiry_is_unknown_without_acknowledgement() {
    let mut agent = Agent::new("", "g8", "a", true);
    agent.adopt_id_and_token(Micros::secs(1), &heartbeat(1, 1, TERM), TERM);
    assert_eq!(unrenewed_s(&agent, 1_000), None);
}
