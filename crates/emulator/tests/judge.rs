//! The judge: each check is seen to fail on a planted fault, and not without it.

use cometlead_emulator::judge::{Judge, Rule, Told, UNANSWERED_LIMIT};
use cometlead_emulator::standins::worker::Deed;

const CANCEL: u64 = 40_000_000;
const HERE: (usize, u64) = (0, 1);
const ELSEWHERE: (usize, u64) = (1, 1);

/// A judge of two teams with 4 cores each; job 1 has two tasks of 2 cores.
fn judge() -> Judge {
    let mut judge = Judge::new(CANCEL, vec![4.0, 4.0]);
    judge.submits(1, 0, 2.0, 2);
    judge.told(0, 0, 1, Told::Live);
    judge
}

fn count(judge: &Judge, rule: Rule) -> u64 {
    judge.counts().get(&rule).copied().unwrap_or(0)
}

#[test]
fn a_day_without_faults_breaks_nothing() {
    let mut judge = judge();
    for task in 0..2 {
        judge.deed(10, HERE, &Deed::Started((1, task)));
        judge.deed(20, HERE, &Deed::Ended((1, task), "done"));
    }
    judge.told(30, 25, 1, Told::Done);
    judge.sweep(UNANSWERED_LIMIT * 3);
    assert!(judge.counts().is_empty(), "{:?}", judge.violations());
    assert_eq!(
        (judge.starts(), judge.completions(), judge.running()),
        (2, 2, 0)
    );
}

#[test]
fn a_task_on_two_workers_is_seen() {
    for (other, broken) in [(ELSEWHERE, 1), (HERE, 0)] {
        let mut judge = judge();
        judge.deed(10, HERE, &Deed::Started((1, 0)));
        judge.deed(11, other, &Deed::Started((1, 0)));
        assert_eq!(count(&judge, Rule::RanTwice), broken, "{other:?}");
    }
}

#[test]
fn a_team_above_its_quota_over_regions_is_seen() {
    let mut judge = judge();
    judge.submits(2, 0, 2.0, 1);
    judge.deed(10, HERE, &Deed::Started((1, 0)));
    judge.deed(10, HERE, &Deed::Started((1, 1)));
    assert_eq!(count(&judge, Rule::Quota), 0);
    judge.deed(11, ELSEWHERE, &Deed::Started((2, 0)));
    assert_eq!(count(&judge, Rule::Quota), 1);
}

#[test]
fn what_ended_counts_against_no_quota() {
    let mut judge = judge();
    judge.submits(2, 0, 2.0, 1);
    judge.deed(10, HERE, &Deed::Started((1, 0)));
    judge.deed(10, HERE, &Deed::Started((1, 1)));
    judge.deed(11, HERE, &Deed::Ended((1, 1), "killed"));
    judge.deed(12, ELSEWHERE, &Deed::Started((2, 0)));
    assert!(judge.counts().is_empty(), "{:?}", judge.violations());
}

#[test]
fn a_task_after_a_confirmed_cancellation_is_seen() {
    let mut judge = judge();
    judge.deed(10, HERE, &Deed::Started((1, 0)));
    judge.told(1_000, 900, 1, Told::Cancelled);
    judge.sweep(1_000 + CANCEL);
    assert!(judge.counts().is_empty(), "it may be there until then");
    judge.sweep(1_001 + CANCEL);
    assert_eq!(count(&judge, Rule::RanCancelled), 1, "it is still there");
    judge.deed(1_002 + CANCEL, HERE, &Deed::Started((1, 1)));
    assert_eq!(count(&judge, Rule::RanCancelled), 2, "it starts");
}

#[test]
fn an_accepted_job_that_is_unknown_is_seen() {
    let mut judge = judge();
    judge.submits(2, 1, 1.0, 1);
    judge.unknown(10, 2);
    assert!(
        judge.counts().is_empty(),
        "nobody was told that it is accepted"
    );
    judge.unknown(11, 1);
    assert_eq!(count(&judge, Rule::Forgotten), 1);
}

#[test]
fn a_job_about_which_nobody_is_answered_is_seen() {
    let mut judge = judge();
    judge.excuse_until(5_000_000);
    judge.sweep(5_000_000 + UNANSWERED_LIMIT);
    assert!(judge.counts().is_empty());
    judge.sweep(5_000_001 + UNANSWERED_LIMIT);
    assert_eq!(count(&judge, Rule::Unanswered), 1);
}

#[test]
fn a_job_called_done_too_early_is_seen() {
    let mut judge = judge();
    judge.deed(10, HERE, &Deed::Started((1, 0)));
    judge.deed(20, HERE, &Deed::Ended((1, 0), "done"));
    judge.told(30, 25, 1, Told::Done);
    assert_eq!(count(&judge, Rule::NotDone), 1);
}

#[test]
fn a_job_that_goes_back_is_seen() {
    let mut judge = judge();
    judge.told(100, 90, 1, Told::Cancelled);
    judge.told(110, 95, 1, Told::Live);
    assert!(
        judge.counts().is_empty(),
        "that answer was on its way already"
    );
    judge.told(120, 101, 1, Told::Live);
    assert_eq!(count(&judge, Rule::WentBack), 1);
}

#[test]
fn a_request_beyond_the_state_services_limits_is_seen() {
    let mut judge = judge();
    judge.beyond_limits(1, "too many changes");
    assert_eq!(count(&judge, Rule::BeyondLimits), 1);
}
