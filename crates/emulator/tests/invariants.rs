//! The invariant checker reports each kind of violation, and reports none without a violation.

use cometlead_emulator::fakes::worker::TaskEvent;
use cometlead_emulator::invariants::{InvariantChecker, ReportedState, Rule, UNANSWERED_LIMIT_US};

const CANCEL_LIMIT_US: u64 = 40_000_000;
const FIRST_REGION_MACHINE: (usize, u64) = (0, 1);
const SECOND_REGION_MACHINE: (usize, u64) = (1, 1);

/// A checker for two teams with 4 cores each; job 1 has two tasks of 2 cores.
fn new_checker() -> InvariantChecker {
    let mut checker = InvariantChecker::new(CANCEL_LIMIT_US, vec![4.0, 4.0]);
    checker.job_submitted(1, 0, 2.0, 2);
    checker.state_reported(0, 0, 1, ReportedState::Live);
    checker
}

fn count(checker: &InvariantChecker, rule: Rule) -> u64 {
    checker.counts().get(&rule).copied().unwrap_or(0)
}

#[test]
fn run_without_faults_has_no_violations() {
    let mut checker = new_checker();
    for task in 0..2 {
        checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, task)));
        checker.task_event(
            20,
            FIRST_REGION_MACHINE,
            &TaskEvent::Ended((1, task), "done"),
        );
    }
    checker.state_reported(30, 25, 1, ReportedState::Done);
    checker.check_timeouts(UNANSWERED_LIMIT_US * 3);
    assert!(checker.counts().is_empty(), "{:?}", checker.violations());
    assert_eq!(
        (checker.starts(), checker.completions(), checker.running()),
        (2, 2, 0)
    );
}

#[test]
fn task_running_on_two_workers_is_a_violation() {
    for (other, expected) in [(SECOND_REGION_MACHINE, 1), (FIRST_REGION_MACHINE, 0)] {
        let mut checker = new_checker();
        checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 0)));
        checker.task_event(11, other, &TaskEvent::Started((1, 0)));
        assert_eq!(count(&checker, Rule::RanTwice), expected, "{other:?}");
    }
}

#[test]
fn team_above_its_quota_over_all_regions_is_a_violation() {
    let mut checker = new_checker();
    checker.job_submitted(2, 0, 2.0, 1);
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 0)));
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 1)));
    assert_eq!(count(&checker, Rule::Quota), 0);
    checker.task_event(11, SECOND_REGION_MACHINE, &TaskEvent::Started((2, 0)));
    assert_eq!(count(&checker, Rule::Quota), 1);
}

#[test]
fn ended_tasks_do_not_count_toward_the_quota() {
    let mut checker = new_checker();
    checker.job_submitted(2, 0, 2.0, 1);
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 0)));
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 1)));
    checker.task_event(
        11,
        FIRST_REGION_MACHINE,
        &TaskEvent::Ended((1, 1), "killed"),
    );
    checker.task_event(12, SECOND_REGION_MACHINE, &TaskEvent::Started((2, 0)));
    assert!(checker.counts().is_empty(), "{:?}", checker.violations());
}

#[test]
fn task_running_or_starting_after_the_cancellation_limit_is_a_violation() {
    let mut checker = new_checker();
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 0)));
    checker.state_reported(1_000, 900, 1, ReportedState::Cancelled);
    checker.check_timeouts(1_000 + CANCEL_LIMIT_US);
    assert!(checker.counts().is_empty(), "it may run until then");
    checker.check_timeouts(1_001 + CANCEL_LIMIT_US);
    assert_eq!(count(&checker, Rule::RanCancelled), 1, "it still runs");
    checker.task_event(
        1_002 + CANCEL_LIMIT_US,
        FIRST_REGION_MACHINE,
        &TaskEvent::Started((1, 1)),
    );
    assert_eq!(count(&checker, Rule::RanCancelled), 2, "it starts");
}

#[test]
fn accepted_job_unknown_to_a_controller_is_a_violation() {
    let mut checker = new_checker();
    checker.job_submitted(2, 1, 1.0, 1);
    checker.job_unknown(10, 2);
    assert!(
        checker.counts().is_empty(),
        "no response has confirmed that it is accepted"
    );
    checker.job_unknown(11, 1);
    assert_eq!(count(&checker, Rule::Forgotten), 1);
}

#[test]
fn job_without_answered_status_queries_is_a_violation() {
    let mut checker = new_checker();
    checker.exempt_unanswered_until(5_000_000);
    checker.check_timeouts(5_000_000 + UNANSWERED_LIMIT_US);
    assert!(checker.counts().is_empty());
    checker.check_timeouts(5_000_001 + UNANSWERED_LIMIT_US);
    assert_eq!(count(&checker, Rule::Unanswered), 1);
}

#[test]
fn job_reported_done_before_its_tasks_is_a_violation() {
    let mut checker = new_checker();
    checker.task_event(10, FIRST_REGION_MACHINE, &TaskEvent::Started((1, 0)));
    checker.task_event(20, FIRST_REGION_MACHINE, &TaskEvent::Ended((1, 0), "done"));
    checker.state_reported(30, 25, 1, ReportedState::Done);
    assert_eq!(count(&checker, Rule::NotDone), 1);
}

#[test]
fn job_leaving_its_final_state_is_a_violation() {
    let mut checker = new_checker();
    checker.state_reported(100, 90, 1, ReportedState::Cancelled);
    checker.state_reported(110, 95, 1, ReportedState::Live);
    assert!(
        checker.counts().is_empty(),
        "that request was sent before the cancellation"
    );
    checker.state_reported(120, 101, 1, ReportedState::Live);
    assert_eq!(count(&checker, Rule::WentBack), 1);
}

#[test]
fn request_beyond_the_state_service_limits_is_a_violation() {
    let mut checker = new_checker();
    checker.limit_exceeded(1, "too many changes");
    assert_eq!(count(&checker, Rule::BeyondLimits), 1);
}

#[test]
fn attempt_started_by_a_late_copy_is_a_violation() {
    let mut checker = new_checker();
    checker.attempt_started_by_copy(1, FIRST_REGION_MACHINE, (1, 0), 7);
    assert_eq!(count(&checker, Rule::StartedByCopy), 1);
}
