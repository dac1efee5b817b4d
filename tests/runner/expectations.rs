//! Failures of a run: violated invariants and unmet expectations of the scenario.

use super::World;
use super::script::Expect;
use cometlead::storage::records::GroupRecord;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// The machines that have a record. A machine with two records is a violation.
    pub(super) fn machines_with_records(&mut self) -> BTreeSet<u64> {
        let mut all = BTreeSet::new();
        let mut of_shard: BTreeMap<String, u64> = BTreeMap::new();
        // Keys of the first record format name no part of the shard.
        for (key, value) in self
            .state
            .values("c/group/")
            .filter(|(k, _)| k.split('/').count() == 4)
        {
            let group: GroupRecord =
                serde_json::from_value(value.clone()).expect("a machine group");
            let shard = key.split('/').nth(2).unwrap_or_default();
            *of_shard.entry(shard.to_owned()).or_default() += 1;
            for m in group.machines.keys() {
                if !all.insert(m.0) {
                    self.checker
                        .violations
                        .push(format!("{}: i-{:06} is in two records", self.now, m.0));
                }
            }
        }
        // Machines that were terminated before they got a record: only an old heartbeat can have caused it.
        self.late_machine_records += all
            .difference(&self.recorded_machines)
            .filter(|m| !self.workers.contains_key(m))
            .count() as u64;
        self.recorded_machines.clone_from(&all);
        self.max_groups_of_shard = self
            .max_groups_of_shard
            .max(of_shard.into_values().max().unwrap_or(0));
        all
    }

    /// Whether any controller reports itself healthy.
    pub fn any_healthy(&self) -> bool {
        (0..self.script.nodes).any(|n| {
            self.nodes[n]
                .as_ref()
                .is_some_and(|x| x.controller.healthy(self.time(n)))
        })
    }

    /// Violated invariants and unmet expectations.
    pub fn failures(&mut self) -> Vec<String> {
        let recorded = self.machines_with_records();
        // A machine that has just booted may not have a record yet.
        let unrecorded = self
            .workers
            .values()
            .filter(|w| w.heartbeat_sequence > 12 && !recorded.contains(&w.id))
            .count();
        let mut failures = self.checker.violations.clone();
        for e in &self.script.expects {
            let met = match e {
                Expect::Done(j) => self.checker.is_done(*j),
                Expect::RefusedAtMost(n) => self.state.refused <= *n,
                Expect::ValuesWithinNextLimits => {
                    self.state.largest_value().1
                        <= self
                            .script
                            .next_limits
                            .map_or(0, |n| (n.1 * 1024.0) as usize)
                }
                Expect::RecordFormat(n) => self
                    .state
                    .values("c/meta")
                    .all(|(_, v)| v["layout"] == json!(n)),
                Expect::StartsAfterDependenciesWithin(j, within) => self
                    .checker
                    .start_delay_after_dependencies(*j)
                    .is_some_and(|t| t <= *within),
                Expect::StartsBefore(a, b) => {
                    let first = &self.checker.first_start;
                    first
                        .get(a)
                        .is_some_and(|at| first.get(b).is_none_or(|other| at < other))
                }
                Expect::RefusedNaming(j, name) => {
                    self.checker
                        .refusals
                        .get(j)
                        .is_some_and(|why| why.contains(name))
                        && !self.checker.is_accepted(*j)
                }
                Expect::ReasonNaming(j, name) => self
                    .checker
                    .reasons
                    .get(j)
                    .is_some_and(|all| all.iter().any(|why| why.contains(name))),
                Expect::RanOn { job, place, share } => {
                    let all = self
                        .checker
                        .start_machines
                        .get(job)
                        .map_or(&[][..], |p| &p[..]);
                    let matching = all
                        .iter()
                        .filter(|m| m.zone == *place || m.machine_type == *place)
                        .count();
                    !all.is_empty() && matching as f64 >= all.len() as f64 * share
                }
                Expect::StartsBy(j, at) => self.checker.first_start.get(j).is_some_and(|t| t <= at),
                Expect::StartsAfter(j, at) => {
                    self.checker.first_start.get(j).is_some_and(|t| t > at)
                }
                Expect::ConflictsAtLeast(n) => self.counters.conflicts >= *n,
                Expect::Cancelled(j) => self.checker.is_cancelled(*j),
                Expect::NotAccepted(j) => !self.checker.is_accepted(*j),
                Expect::AllDone => self.checker.unfinished_jobs().is_empty(),
                Expect::AnyConflict => self.counters.conflicts > 0,
                Expect::FailoversAtLeast(n) => self.failovers >= *n,
                Expect::FailoversAtMost(n) => self.failovers <= *n,
                Expect::LostLeasesAtMost(n) => self.lost_leases <= *n,
                Expect::MachineGroupsAtLeast(n) => self.max_groups_of_shard >= *n,
                Expect::AllMachinesRecorded => unrecorded == 0,
                Expect::Throttled => self.state.throttled + self.throttled_requests > 0,
                Expect::StartedWithin {
                    job_class,
                    within,
                    share,
                } => self.fraction_started_within(job_class, *within) >= *share,
                Expect::StartsAtMost(j, n) => {
                    self.checker.start_counts.get(j).copied().unwrap_or(0) <= *n
                }
                Expect::SubmissionsAnsweredWithin(job, within) => {
                    self.submissions_answered_within(*job, *within)
                }
                Expect::DoneBy(j, at) => self
                    .checker
                    .completion_reported_at(*j)
                    .is_some_and(|t| t <= *at),
                Expect::StateRequestsAtMost(n) => self.state.received.0 <= *n,
                Expect::StateChangesAtMost(n) => self.state.received.1 <= *n,
                Expect::ShardLeadersAtLeast(n) => {
                    let all: BTreeSet<&str> = self
                        .state
                        .values("c/own/")
                        .filter_map(|(_, v)| v["node"].as_str())
                        .collect();
                    all.len() >= *n
                }
                Expect::StallsAtLeast(n) => self.counters.stalls >= *n,
                Expect::ReleasedWhileCutOffAtMost(zone, n) => {
                    self.cloud
                        .hosts
                        .values()
                        .filter(|h| h.zone == *zone && h.released_while_partitioned)
                        .count() as u64
                        <= *n
                }
                Expect::MachinesAtLeast(zone, n) => {
                    let up = self
                        .workers
                        .keys()
                        .filter(|m| self.cloud.hosts[*m].zone == *zone);
                    up.count() as u64 >= *n
                }
                Expect::UnreachableWithZonesAtLeast(n) => {
                    self.counters.unreachable_with_zones >= *n
                }
                Expect::UnreachableWithZonesAtMost(n) => self.counters.unreachable_with_zones <= *n,
                Expect::ProvisionedWhileCutOffAtMost(zone, n) => {
                    self.cloud
                        .hosts
                        .values()
                        .filter(|h| h.zone == *zone && h.provisioned_while_partitioned)
                        .count() as u64
                        <= *n
                }
                Expect::ExpiredLeasesAtMost(n) => self.counters.expired_agents <= *n,
                Expect::SurplusMachinesAtMost(n) => self.counters.idle_machines_scaled_in <= *n,
                Expect::DoneWithin {
                    name,
                    within,
                    share,
                } => self.fraction_done_within(name, *within) >= *share,
                Expect::PollsAnswered(share) => {
                    self.checker.polls.1 as f64 >= self.checker.polls.0 as f64 * share
                }
                Expect::Fair => {
                    failures.extend(self.fairness_violations());
                    true
                }
                Expect::StartsAfterCancellationAtMost(n) => {
                    self.checker.starts_after_cancellation <= *n
                }
                Expect::CancelledAtLeast(n) => {
                    let jobs = self.checker.job_requests.keys();
                    jobs.filter(|j| self.checker.is_cancelled(**j)).count() >= *n
                }
                Expect::InjectedAtLeast(what, n) => self
                    .fault_counts
                    .get(what.as_str())
                    .is_some_and(|times| times >= n),
                Expect::HeartbeatBytesAtMost(n) => self.max_heartbeat_bytes as u64 <= *n,
                Expect::LateMachineRecordsAtMost(n) => self.late_machine_records <= *n,
                Expect::CancelMarginAtLeast(least) => {
                    self.checker.cancel_margin.is_some_and(|m| m >= *least)
                }
                Expect::MachinesAtMost(n) => self.cloud.hosts.len() as u64 <= *n,
            };
            if !met {
                failures.push(format!(
                    "expected {e:?}; open: {:?}, margin {:?}, late machine records {}, largest heartbeat {}, starts after cancellation {}, injected {:?}, conflicts {}, failovers {}, lost leases {}, hosts {}, groups {}, \
                     without a record {unrecorded}, released while cut off {:?}, lost with zones {}, stalls, expired leases, surplus machines {:?}, \
                     refused {}, largest value {:?}, state requests and changes {:?}, polls {:?}, starts {:?}, urgent within 2 s {:.3}, done {:?}",
                    self.checker.unfinished_jobs(),
                    self.checker.cancel_margin,
                    self.late_machine_records,
                    self.max_heartbeat_bytes,
                    self.checker.starts_after_cancellation,
                    self.fault_counts,
                    self.counters.conflicts,
                    self.failovers,
                    self.lost_leases,
                    self.cloud.hosts.len(),
                    self.max_groups_of_shard,
                    self.released_while_cut_off(),
                    self.counters.unreachable_with_zones,
                    (self.counters.stalls, self.counters.expired_agents, self.counters.idle_machines_scaled_in),
                    self.state.refused,
                    self.state.largest_value(),
                    self.state.received,
                    self.checker.polls,
                    self.checker.start_counts.iter().take(12).collect::<Vec<_>>(),
                    self.fraction_started_within("urgent", 2_000_000),
                    self.checker.done_jobs(),
                ));
                let names: BTreeSet<&str> = self
                    .checker
                    .job_requests
                    .values()
                    .flat_map(|a| [&*a.job_class, &*a.team])
                    .collect();
                let fractions_of = |n: &str| {
                    [60, 120, 240]
                        .map(|s| (self.fraction_done_within(n, s * 1_000_000) * 1e3).round() / 1e3)
                };
                let fractions: BTreeMap<&str, _> =
                    names.into_iter().map(|n| (n, fractions_of(n))).collect();
                failures.push(format!("done within 60, 120 and 240 s: {fractions:?}"));
                let reported = (
                    &self.checker.refusals,
                    &self.checker.reasons,
                    &self.checker.first_start,
                );
                failures.push(format!("refusals, reasons, first starts: {reported:?}"));
            }
        }
        failures
    }

    /// The fraction of a job class's tasks that started within some time after submission.
    fn fraction_started_within(&self, job_class: &str, within: u64) -> f64 {
        let of_class = self
            .checker
            .job_requests
            .iter()
            .filter(|(_, a)| a.job_class == job_class);
        let (mut all, mut met_count) = (0, 0);
        for (job, request) in of_class {
            all += request.task_count;
            let waited = |i: &u32| {
                self.checker
                    .start_delays
                    .get(&(*job, *i))
                    .is_some_and(|w| *w <= within)
            };
            met_count += (0..request.task_count).filter(waited).count();
        }
        met_count as f64 / f64::from(all.max(1))
    }

    /// Number of machines that were released while their zone was cut off, by zone.
    fn released_while_cut_off(&self) -> BTreeMap<&str, usize> {
        let mut by_zone = BTreeMap::new();
        for h in self
            .cloud
            .hosts
            .values()
            .filter(|h| h.released_while_partitioned)
        {
            *by_zone.entry(&*h.zone).or_default() += 1;
        }
        by_zone
    }

    /// The fraction of the jobs of a class or a team that were done within some time after submission. Cancelled jobs do not
    /// count.
    fn fraction_done_within(&self, name: &str, within: u64) -> f64 {
        let wanted = self.checker.job_requests.iter().filter(|(j, a)| {
            (a.job_class == name || a.team == name)
                && self.checker.is_accepted(**j)
                && !self.checker.is_cancelled(**j)
        });
        let (mut all, mut met_count) = (0, 0);
        for (job, _) in wanted {
            all += 1;
            let submitted = self.checker.submitted_at.get(job).copied().unwrap_or(0);
            met_count += u32::from(
                self.checker
                    .completion_reported_at(*job)
                    .is_some_and(|t| t.saturating_sub(submitted) <= within),
            );
        }
        f64::from(met_count) / f64::from(all.max(1))
    }

    /// The classes, teams and sets of a class's largest jobs of which less than half is done, and the largest jobs that did
    /// not start within four minutes. Jobs that were submitted too late for that, or cancelled, do not count.
    fn fairness_violations(&self) -> Vec<String> {
        const MAX_START_DELAY_US: u64 = 240_000_000;
        let submitted = |j: &u64| self.checker.submitted_at.get(j).copied().unwrap_or(0);
        let is_counted = |j: &u64| {
            self.checker.is_accepted(*j)
                && !self.checker.is_cancelled(*j)
                && submitted(j) + MAX_START_DELAY_US <= self.script.end
        };
        let jobs: Vec<_> = self
            .checker
            .job_requests
            .iter()
            .filter(|(j, _)| is_counted(j))
            .collect();
        let mut groups: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (j, a) in &jobs {
            groups
                .entry(format!("class {}", a.job_class))
                .or_default()
                .push(**j);
            groups
                .entry(format!("team {}", a.team))
                .or_default()
                .push(**j);
        }
        let mut violations = Vec::new();
        let job_classes: BTreeSet<&str> = jobs.iter().map(|(_, a)| &*a.job_class).collect();
        for job_class in job_classes {
            let mut of: Vec<_> = jobs
                .iter()
                .filter(|(_, a)| a.job_class == job_class)
                .collect();
            of.sort_by_key(|(_, a)| std::cmp::Reverse(a.task_count));
            let largest: Vec<u64> = of
                .iter()
                .take(of.len().div_ceil(10))
                .map(|(j, _)| **j)
                .collect();
            for j in &largest {
                // The four minutes of a job with dependencies begin when the last dependency ends.
                let ready = if self.checker.job_requests[j].dependencies.is_empty() {
                    Some(submitted(j))
                } else {
                    self.checker.dependencies_completed_at(*j)
                };
                let Some(ready) = ready.filter(|t| t + MAX_START_DELAY_US <= self.script.end)
                else {
                    continue;
                };
                if self
                    .checker
                    .first_start
                    .get(j)
                    .is_none_or(|t| *t > ready + MAX_START_DELAY_US)
                {
                    violations.push(format!(
                        "unfair: req-{j:06}, one of the largest of {job_class}, did not start within four minutes"
                    ));
                }
            }
            groups.insert(format!("largest of {job_class}"), largest);
        }
        for (name, of) in groups {
            let done = of.iter().filter(|j| self.checker.is_done(**j)).count();
            if done * 2 < of.len() {
                violations.push(format!("unfair: {done} of {} done of {name}", of.len()));
            }
        }
        violations
    }

    /// Number of task starts.
    pub fn started_tasks(&self) -> u64 {
        self.checker.started_tasks
    }
}
