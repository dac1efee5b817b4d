//! What was broken, or not as a scenario expects it.

use super::World;
use super::script::Expect;
use cometlead::storage::records::GroupRecord;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// The machines that have a record. None may have two.
    pub(super) fn recorded(&mut self) -> BTreeSet<u64> {
        let mut all = BTreeSet::new();
        let mut of_shard: BTreeMap<String, u64> = BTreeMap::new();
        // Keys of the first layout had no part.
        for (key, value) in self
            .state
            .values("c/group/")
            .filter(|(k, _)| k.split('/').count() == 4)
        {
            let group: GroupRecord = serde_json::from_value(value.clone()).expect("a group");
            let shard = key.split('/').nth(2).unwrap_or_default();
            *of_shard.entry(shard.to_owned()).or_default() += 1;
            for m in group.machines.keys() {
                if !all.insert(m.0) {
                    self.check
                        .broken
                        .push(format!("{}: i-{:06} is in two records", self.now, m.0));
                }
            }
        }
        // One that was gone when it got its record: only an old report can have spoken for it.
        self.ghosts += all
            .difference(&self.known)
            .filter(|m| !self.workers.contains_key(m))
            .count() as u64;
        self.known.clone_from(&all);
        self.most_groups = self
            .most_groups
            .max(of_shard.into_values().max().unwrap_or(0));
        all
    }

    /// Whether a controller says that it can take requests.
    pub fn any_healthy(&self) -> bool {
        (0..self.script.nodes).any(|n| {
            self.nodes[n]
                .as_ref()
                .is_some_and(|x| x.controller.healthy(self.time(n)))
        })
    }

    /// What was broken or not as expected.
    pub fn verdict(&mut self) -> Vec<String> {
        let recorded = self.recorded();
        // One that has just come up may still be on its way into a record.
        let unrecorded = self
            .workers
            .values()
            .filter(|w| w.tally > 12 && !recorded.contains(&w.id))
            .count();
        let mut bad = self.check.broken.clone();
        for e in &self.script.expects {
            let good = match e {
                Expect::Done(j) => self.check.is_done(*j),
                Expect::FewRefused(n) => self.state.refused <= *n,
                Expect::AllSmall => {
                    self.state.largest().1
                        <= self.script.next.map_or(0, |n| (n.1 * 1024.0) as usize)
                }
                Expect::Layout(n) => self
                    .state
                    .values("c/meta")
                    .all(|(_, v)| v["layout"] == json!(n)),
                Expect::Follows(j, within) => {
                    self.check.followed_after(*j).is_some_and(|t| t <= *within)
                }
                Expect::Before(a, b) => {
                    let first = &self.check.first_start;
                    first
                        .get(a)
                        .is_some_and(|at| first.get(b).is_none_or(|other| at < other))
                }
                Expect::Refused(j, name) => {
                    self.check
                        .refusals
                        .get(j)
                        .is_some_and(|why| why.contains(name))
                        && !self.check.is_accepted(*j)
                }
                Expect::Reason(j, name) => self
                    .check
                    .reasons
                    .get(j)
                    .is_some_and(|all| all.iter().any(|why| why.contains(name))),
                Expect::Ran { job, place, share } => {
                    let all = self.check.places.get(job).map_or(&[][..], |p| &p[..]);
                    let good = all
                        .iter()
                        .filter(|m| m.yard == *place || m.build == *place)
                        .count();
                    !all.is_empty() && good as f64 >= all.len() as f64 * share
                }
                Expect::StartsBy(j, at) => self.check.first_start.get(j).is_some_and(|t| t <= at),
                Expect::StartsAfter(j, at) => self.check.first_start.get(j).is_some_and(|t| t > at),
                Expect::ManyClashes(n) => self.counters.clashes >= *n,
                Expect::Cancelled(j) => self.check.is_cancelled(*j),
                Expect::Unknown(j) => !self.check.is_accepted(*j),
                Expect::AllDone => self.check.open().is_empty(),
                Expect::Clashes => self.counters.clashes > 0,
                Expect::Takeovers(n) => self.failovers >= *n,
                Expect::FewTakeovers(n) => self.failovers <= *n,
                Expect::LostLeases(n) => self.lost_leases <= *n,
                Expect::Groups(n) => self.most_groups >= *n,
                Expect::AllRecorded => unrecorded == 0,
                Expect::Throttled => self.state.throttled + self.throttles > 0,
                Expect::Started {
                    lane,
                    within,
                    share,
                } => self.started_in_time(lane, *within) >= *share,
                Expect::Starts(j, n) => self.check.starts.get(j).copied().unwrap_or(0) <= *n,
                Expect::DoneBy(j, at) => self.check.done_at(*j).is_some_and(|t| t <= *at),
                Expect::Requests(n) => self.state.came.0 <= *n,
                Expect::Changes(n) => self.state.came.1 <= *n,
                Expect::Owners(n) => {
                    let all: BTreeSet<&str> = self
                        .state
                        .values("c/own/")
                        .filter_map(|(_, v)| v["node"].as_str())
                        .collect();
                    all.len() >= *n
                }
                Expect::Absences(n) => self.counters.stalls >= *n,
                Expect::FewReturned(zone, n) => {
                    self.cloud
                        .hosts
                        .values()
                        .filter(|h| h.yard == *zone && h.in_vain)
                        .count() as u64
                        <= *n
                }
                Expect::Machines(zone, n) => {
                    let up = self
                        .workers
                        .keys()
                        .filter(|m| self.cloud.hosts[*m].yard == *zone);
                    up.count() as u64 >= *n
                }
                Expect::LostWithZones(n) => self.counters.lost_with_zones >= *n,
                Expect::FewLostWithZones(n) => self.counters.lost_with_zones <= *n,
                Expect::FewHired(zone, n) => {
                    self.cloud
                        .hosts
                        .values()
                        .filter(|h| h.yard == *zone && h.hired_in_vain)
                        .count() as u64
                        <= *n
                }
                Expect::FewSilenced(n) => self.counters.silenced <= *n,
                Expect::FewUnneeded(n) => self.counters.unneeded <= *n,
                Expect::Throughput {
                    name,
                    within,
                    share,
                } => self.served(name, *within) >= *share,
                Expect::Polled(share) => {
                    self.check.polls.1 as f64 >= self.check.polls.0 as f64 * share
                }
                Expect::Fair => {
                    bad.extend(self.unfair());
                    true
                }
                Expect::FewLateStarts(n) => self.check.late_starts <= *n,
                Expect::ManyCancelled(n) => {
                    let jobs = self.check.asked.keys();
                    jobs.filter(|j| self.check.is_cancelled(**j)).count() >= *n
                }
                Expect::Played(what, n) => self
                    .played
                    .get(what.as_str())
                    .is_some_and(|times| times >= n),
                Expect::FewGhosts(n) => self.ghosts <= *n,
                Expect::Margin(least) => self.check.margin.is_some_and(|m| m >= *least),
                Expect::FewerMachines(n) => self.cloud.hosts.len() as u64 <= *n,
            };
            if !good {
                bad.push(format!(
                    "expected {e:?}; open: {:?}, margin {:?}, ghosts {}, late starts {}, played {:?}, clashes {}, takeovers {}, lost leases {}, hosts {}, groups {}, \
                     without a record {unrecorded}, returned in vain {:?}, lost with zones {}, absences, silenced, unneeded {:?}, \
                     refused {}, largest {:?}, state {:?}, polls {:?}, starts {:?}, urgent in 2 s {:.3}, done {:?}",
                    self.check.open(),
                    self.check.margin,
                    self.ghosts,
                    self.check.late_starts,
                    self.played,
                    self.counters.clashes,
                    self.failovers,
                    self.lost_leases,
                    self.cloud.hosts.len(),
                    self.most_groups,
                    self.in_vain(),
                    self.counters.lost_with_zones,
                    (self.counters.stalls, self.counters.silenced, self.counters.unneeded),
                    self.state.refused,
                    self.state.largest(),
                    self.state.came,
                    self.check.polls,
                    self.check.starts.iter().take(12).collect::<Vec<_>>(),
                    self.started_in_time("urgent", 2_000_000),
                    self.check.done(),
                ));
                let names: BTreeSet<&str> = self
                    .check
                    .asked
                    .values()
                    .flat_map(|a| [&*a.lane, &*a.team])
                    .collect();
                let shares = |n: &str| {
                    [60, 120, 240].map(|s| (self.served(n, s * 1_000_000) * 1e3).round() / 1e3)
                };
                let served: BTreeMap<&str, _> = names.into_iter().map(|n| (n, shares(n))).collect();
                bad.push(format!("served within 60, 120 and 240 s: {served:?}"));
                let told = (
                    &self.check.refusals,
                    &self.check.reasons,
                    &self.check.first_start,
                );
                bad.push(format!("refusals, reasons, first starts: {told:?}"));
            }
        }
        bad
    }

    /// Of the tasks of a lane, the share that started within some time of their submission.
    fn started_in_time(&self, lane: &str, within: u64) -> f64 {
        let of_lane = self.check.asked.iter().filter(|(_, a)| a.lane == lane);
        let (mut all, mut good) = (0, 0);
        for (job, asked) in of_lane {
            all += asked.pieces;
            let waited = |i: &u32| {
                self.check
                    .waited
                    .get(&(*job, *i))
                    .is_some_and(|w| *w <= within)
            };
            good += (0..asked.pieces).filter(waited).count();
        }
        good as f64 / f64::from(all.max(1))
    }

    /// Machines that were returned while their zones were cut off, by zone.
    fn in_vain(&self) -> BTreeMap<&str, usize> {
        let mut by_zone = BTreeMap::new();
        for h in self.cloud.hosts.values().filter(|h| h.in_vain) {
            *by_zone.entry(&*h.yard).or_default() += 1;
        }
        by_zone
    }

    /// Of the jobs of a class or a team that were not cancelled, the share that was done within some time.
    fn served(&self, name: &str, within: u64) -> f64 {
        let wanted = self.check.asked.iter().filter(|(j, a)| {
            (a.lane == name || a.team == name)
                && self.check.is_accepted(**j)
                && !self.check.is_cancelled(**j)
        });
        let (mut all, mut good) = (0, 0);
        for (job, _) in wanted {
            all += 1;
            let came = self.check.submitted.get(job).copied().unwrap_or(0);
            good += u32::from(
                self.check
                    .done_at(*job)
                    .is_some_and(|t| t.saturating_sub(came) <= within),
            );
        }
        f64::from(good) / f64::from(all.max(1))
    }

    /// What was served less than half, of classes, teams and the classes' largest jobs, and which of the largest
    /// did not begin within four minutes. Jobs that came too late for that, or were cancelled, do not count.
    fn unfair(&self) -> Vec<String> {
        const FOUR_MINUTES: u64 = 240_000_000;
        let came = |j: &u64| self.check.submitted.get(j).copied().unwrap_or(0);
        let counts = |j: &u64| {
            self.check.is_accepted(*j)
                && !self.check.is_cancelled(*j)
                && came(j) + FOUR_MINUTES <= self.script.end
        };
        let jobs: Vec<_> = self.check.asked.iter().filter(|(j, _)| counts(j)).collect();
        let mut groups: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (j, a) in &jobs {
            groups
                .entry(format!("class {}", a.lane))
                .or_default()
                .push(**j);
            groups
                .entry(format!("team {}", a.team))
                .or_default()
                .push(**j);
        }
        let mut bad = Vec::new();
        let lanes: BTreeSet<&str> = jobs.iter().map(|(_, a)| &*a.lane).collect();
        for lane in lanes {
            let mut of: Vec<_> = jobs.iter().filter(|(_, a)| a.lane == lane).collect();
            of.sort_by_key(|(_, a)| std::cmp::Reverse(a.pieces));
            let largest: Vec<u64> = of
                .iter()
                .take(of.len().div_ceil(10))
                .map(|(j, _)| **j)
                .collect();
            for j in &largest {
                // One that awaits others has its time from their end.
                let ready = if self.check.asked[j].awaits.is_empty() {
                    Some(came(j))
                } else {
                    self.check.ready_at(*j)
                };
                let Some(ready) = ready.filter(|t| t + FOUR_MINUTES <= self.script.end) else {
                    continue;
                };
                if self
                    .check
                    .first_start
                    .get(j)
                    .is_none_or(|t| *t > ready + FOUR_MINUTES)
                {
                    bad.push(format!(
                        "unfair: req-{j:06}, one of the largest of {lane}, did not begin in four minutes"
                    ));
                }
            }
            groups.insert(format!("largest of {lane}"), largest);
        }
        for (name, of) in groups {
            let done = of.iter().filter(|j| self.check.is_done(**j)).count();
            if done * 2 < of.len() {
                bad.push(format!("unfair: {done} of {} done of {name}", of.len()));
            }
        }
        bad
    }

    /// How many tasks were started.
    pub fn started(&self) -> u64 {
        self.check.started
    }
}
