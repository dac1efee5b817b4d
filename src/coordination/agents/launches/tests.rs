//! Tests of when launches are settled.

use super::*;
use crate::storage::ids::{JobId, TaskId};

const TOKEN: u64 = 40;
const INCARNATION: u64 = 3;

fn attempt() -> Attempt {
    Attempt {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        number: 7,
    }
}

fn heartbeat(incarnation: u64, fencing_token: u64) -> Heartbeat {
    let body = format!(
        r#"{{"host":"i-000007","endpoint":"10.1.0.7:9000","build":"g8","yard":"a","loaners":true,"shift":{incarnation},"tally":1,"baton":{fencing_token},"recallS":null,"pieces":[]}}"#
    );
    Heartbeat::parse(body.as_bytes()).expect("a heartbeat")
}

fn with_push() -> Launches {
    let mut launches = Launches::default();
    launches.note_sent(attempt());
    launches.begin_push(PushedCommand {
        call: CallId(5),
        fencing_token: TOKEN,
        incarnation: INCARNATION,
        launches: vec![attempt()],
    });
    launches
}

/// Launches whose pushed command is given up without a response at 10 s.
fn with_lost_push() -> Launches {
    let mut launches = with_push();
    let command = launches.end_push(CallId(5)).expect("a pushed command");
    launches.on_push_lost(Micros::secs(10), command);
    launches
}

#[test]
fn launch_is_settled_by_push_response() {
    let mut launches = with_push();
    assert!(!launches.is_settled(&attempt()));
    assert!(launches.end_push(CallId(4)).is_none());
    assert!(launches.end_push(CallId(5)).is_some());
    assert!(launches.is_settled(&attempt()));
    assert!(launches.was_sent(&attempt()));
}

#[test]
fn launch_without_push_response_stays_unsettled_while_agent_accepts_it() {
    let mut launches = with_lost_push();
    launches.settle(&heartbeat(INCARNATION, TOKEN));
    assert!(launches.has_unsettled());
    assert!(!launches.is_settled(&attempt()));
    assert!(!launches.was_sent(&attempt()));
    assert_eq!(launches.unsettled_since(), Micros::secs(10));
}

#[test]
fn higher_token_or_new_incarnation_settles_launch_without_push_response() {
    for (incarnation, token) in [(INCARNATION, TOKEN + 1), (INCARNATION + 1, TOKEN)] {
        let mut launches = with_lost_push();
        launches.settle(&heartbeat(incarnation, token));
        assert!(!launches.has_unsettled());
        assert!(launches.is_settled(&attempt()));
    }
}
