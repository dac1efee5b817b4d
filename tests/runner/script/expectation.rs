//! Expectations of a scenario.

use super::Expect;
use super::words::{StatementWords, job, micros, parse_amount, parse_count, parse_text};

/// Reads an expectation; also returns how many words without a key it takes.
pub(super) fn expectation(w: &mut StatementWords<'_>) -> Result<(Expect, usize), String> {
    let mut positional_count = 3;
    let e = match *w.positional.get(1).ok_or("a word is missing")? {
        "done" => Expect::Done(w.positional(2, job)?),
        "refused-at-most" => Expect::RefusedAtMost(w.positional(2, parse_count)?),
        "all-small" => Expect::ValuesWithinNextLimits,
        "layout" => Expect::RecordFormat(w.positional(2, parse_count)?),
        "follows" => Expect::StartsAfterDependenciesWithin(
            w.positional(2, job)?,
            w.required("within", micros)?,
        ),
        "before" => {
            positional_count = 4;
            Expect::StartsBefore(w.positional(2, job)?, w.positional(3, job)?)
        }
        "refused" => {
            Expect::RefusedNaming(w.positional(2, job)?, w.required("naming", parse_text)?)
        }
        "reason" => Expect::ReasonNaming(w.positional(2, job)?, w.required("naming", parse_text)?),
        "ran" => Expect::RanOn {
            job: w.positional(2, job)?,
            place: w.required("on", parse_text)?,
            share: w.required("share", parse_amount)?,
        },
        "starts-by" => Expect::StartsBy(w.positional(2, job)?, w.required("at", micros)?),
        "starts-after" => Expect::StartsAfter(w.positional(2, job)?, w.required("at", micros)?),
        "clashes-at-least" => Expect::ConflictsAtLeast(w.positional(2, parse_count)?),
        "cancelled" => Expect::Cancelled(w.positional(2, job)?),
        "unknown" => Expect::NotAccepted(w.positional(2, job)?),
        "all-done" => Expect::AllDone,
        "clashes" => Expect::AnyConflict,
        "takeovers-at-most" => Expect::FailoversAtMost(w.positional(2, parse_count)?),
        "takeovers" => Expect::FailoversAtLeast(w.positional(2, parse_count)?),
        "lost-leases" => Expect::LostLeasesAtMost(w.positional(2, parse_count)?),
        "groups" => Expect::MachineGroupsAtLeast(w.positional(2, parse_count)?),
        "all-recorded" => Expect::AllMachinesRecorded,
        "throttled" => Expect::Throttled,
        "started" => Expect::StartedWithin {
            job_class: w.positional(2, parse_text)?,
            within: w.required("within", micros)?,
            share: w.required("share", parse_amount)?,
        },
        "owners" => Expect::ShardLeadersAtLeast(w.positional(2, parse_count)? as usize),
        "returned-at-most" => Expect::ReleasedWhileCutOffAtMost(
            w.required("zone", parse_text)?,
            w.positional(2, parse_count)?,
        ),
        "machines-at-least" => Expect::MachinesAtLeast(
            w.required("zone", parse_text)?,
            w.positional(2, parse_count)?,
        ),
        "lost-with-zones" => Expect::UnreachableWithZonesAtLeast(w.positional(2, parse_count)?),
        "lost-with-zones-at-most" => {
            Expect::UnreachableWithZonesAtMost(w.positional(2, parse_count)?)
        }
        "hired-at-most" => Expect::ProvisionedWhileCutOffAtMost(
            w.required("zone", parse_text)?,
            w.positional(2, parse_count)?,
        ),
        "absences" => Expect::StallsAtLeast(w.positional(2, parse_count)?),
        "silenced-at-most" => Expect::ExpiredLeasesAtMost(w.positional(2, parse_count)?),
        "unneeded-at-most" => Expect::SurplusMachinesAtMost(w.positional(2, parse_count)?),
        "served" => Expect::DoneWithin {
            name: w.positional(2, parse_text)?,
            within: w.required("within", micros)?,
            share: w.required("share", parse_amount)?,
        },
        "starts-at-most" => {
            Expect::StartsAtMost(w.positional(2, job)?, w.required("count", parse_count)?)
        }
        "submissions-answered" => {
            Expect::SubmissionsAnsweredWithin(w.positional(2, job)?, w.required("within", micros)?)
        }
        "done-by" => Expect::DoneBy(w.positional(2, job)?, w.required("at", micros)?),
        "requests-at-most" => Expect::StateRequestsAtMost(w.positional(2, parse_count)?),
        "changes-at-most" => Expect::StateChangesAtMost(w.positional(2, parse_count)?),
        "polls-answered" => Expect::PollsAnswered(w.positional(2, parse_amount)?),
        "fair" => {
            positional_count = 2;
            Expect::Fair
        }
        "late-starts-at-most" => {
            Expect::StartsAfterCancellationAtMost(w.positional(2, parse_count)?)
        }
        "cancelled-at-least" => Expect::CancelledAtLeast(w.positional(2, parse_count)? as usize),
        "played" => {
            positional_count = 4;
            Expect::InjectedAtLeast(w.positional(2, parse_text)?, w.positional(3, parse_count)?)
        }
        "heartbeat-bytes-at-most" => Expect::HeartbeatBytesAtMost(w.positional(2, parse_count)?),
        "ghosts-at-most" => Expect::LateMachineRecordsAtMost(w.positional(2, parse_count)?),
        "margin" => Expect::CancelMarginAtLeast(w.positional(2, micros)?),
        "machines-at-most" => Expect::MachinesAtMost(w.positional(2, parse_count)?),
        other => return Err(format!("unknown expectation {other}")),
    };
    Ok((e, positional_count))
}
