//! Counters at two moments of a run, and the result that they make.

use super::{OUTSIDE_THREADS, Run, WORKER_THREADS};
use crate::controllers::Controller;
use crate::fleet::HollowWorker;
use crate::judge::Machine;
use crate::measure::{self, MachineTime, Usage};
use crate::region::Region;
use crate::report::{ControllerResult, RegionResult, RunResult, Spread};
use crate::users::{Balancer, new_histogram};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Counters of a region at one moment, since the begin of the run.
struct RegionCounters {
    requests: u64,
    changes: u64,
    commits: u64,
    throttled: u64,
    bytes_in: u64,
    bytes_out: u64,
    cloud_requests: u64,
    user_bytes: u64,
    user_requests: u64,
}

impl RegionCounters {
    fn of(region: &Region, balancer: &Balancer) -> RegionCounters {
        let state = region.state.lock();
        RegionCounters {
            requests: state.came.0,
            changes: state.came.1,
            commits: state.commits,
            throttled: state.throttled,
            bytes_in: load(&region.state_traffic.read),
            bytes_out: load(&region.state_traffic.written),
            cloud_requests: load(&region.cloud_traffic.requests),
            user_bytes: balancer.traffic.bytes(),
            user_requests: load(&balancer.traffic.requests),
        }
    }
}

/// Counters of a worker at one moment, since it began.
struct WorkerCounters {
    bytes: u64,
    requests: u64,
    connections: u64,
    reports_failed: u64,
}

impl WorkerCounters {
    fn of(worker: &HollowWorker) -> WorkerCounters {
        let traffic = &worker.traffic;
        WorkerCounters {
            bytes: traffic.bytes(),
            requests: load(&traffic.requests),
            connections: load(&traffic.connections),
            reports_failed: load(&worker.reports_failed),
        }
    }
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Counters at one moment; two of them make a measurement.
pub(super) struct Reading {
    at: Instant,
    seconds: usize,
    starts: u64,
    completions: u64,
    controllers: Vec<Option<Usage>>,
    threads: BTreeMap<String, f64>,
    machine: MachineTime,
    regions: Vec<RegionCounters>,
    workers: BTreeMap<Machine, WorkerCounters>,
    submitted: u64,
    accepted: u64,
    prompt: u64,
    given_up: u64,
    statuses: BTreeMap<u16, u64>,
    now: u64,
}

impl Reading {
    pub(super) fn take(run: &Run) -> Reading {
        let judge = run.world.judge.lock();
        let (starts, completions) = (judge.starts(), judge.completions());
        drop(judge);
        let service = &run.service;
        let by_worker = |region: &Arc<Region>| {
            let index = region.index;
            let fleet = region.fleet.lock();
            fleet
                .iter()
                .map(|(m, w)| ((index, *m), WorkerCounters::of(w)))
                .collect::<Vec<_>>()
        };
        Reading {
            at: Instant::now(),
            seconds: run.seconds.lock().len(),
            starts,
            completions,
            controllers: run
                .controllers
                .lock()
                .iter()
                .map(Controller::usage)
                .collect(),
            threads: measure::own_threads(),
            machine: MachineTime::now(),
            regions: run
                .regions
                .iter()
                .zip(&run.balancers)
                .map(|(r, b)| RegionCounters::of(r, b))
                .collect(),
            workers: run.regions.iter().flat_map(by_worker).collect(),
            submitted: load(&service.submitted),
            accepted: load(&service.accepted),
            prompt: load(&service.prompt),
            given_up: load(&service.given_up),
            statuses: service.statuses.lock().clone(),
            now: run.world.now(),
        }
    }
}

impl Run {
    pub(super) fn result(
        &self,
        before: &Reading,
        after: &Reading,
        ramped: bool,
        ramp_s: f64,
    ) -> RunResult {
        let scenario = &self.world.scenario;
        let span = (after.at - before.at).as_secs_f64();
        let seconds = self.seconds.lock().clone();
        let measured =
            &seconds[before.seconds.min(seconds.len())..after.seconds.min(seconds.len())];
        let count = measured.len().max(1) as f64;
        let (urgent_s, urgent_not_started) = self.urgent(before.now, after.now);
        let accepted = after.accepted - before.accepted;
        let worker_bytes = self.worker_spread(before, after, span);
        let of_workers = |value: fn(&WorkerCounters) -> u64| -> u64 {
            let grown = |(k, now): (&Machine, &WorkerCounters)| {
                value(now) - before.workers.get(k).map_or(0, value)
            };
            after.workers.iter().map(grown).sum()
        };
        let workers = after.workers.len();
        let per_worker = |total: u64| total as f64 / span / workers.max(1) as f64;
        let thread_cores = |name: &str| {
            let used = |r: &Reading| r.threads.get(name).copied().unwrap_or(0.0);
            (used(after) - used(before)) / span
        };
        let statuses = after
            .statuses
            .iter()
            .map(|(s, n)| (*s, n - before.statuses.get(s).copied().unwrap_or(0)));
        let accepted_s = Spread::of(&self.service.accept_times.lock(), 1e6);
        let (broken, violations) = {
            let judge = self.world.judge.lock();
            (judge.counts().clone(), judge.violations().to_vec())
        };
        RunResult {
            name: scenario.name.clone(),
            ramped,
            ramp_s,
            measured_s: span,
            wanted_workers: scenario.all_workers(),
            wanted_running: scenario.wanted_running(),
            wanted_starts_per_s: scenario.load.starts_per_s + scenario.load.urgent_per_s,
            workers,
            running: measured.iter().map(|s| s.running as f64).sum::<f64>() / count,
            most_running: seconds.iter().map(|s| s.running).max().unwrap_or(0),
            starts_per_s: (after.starts - before.starts) as f64 / span,
            completions_per_s: (after.completions - before.completions) as f64 / span,
            most_starts_in_a_second: seconds.iter().map(|s| s.starts).max().unwrap_or(0),
            urgent_s,
            urgent_not_started,
            submitted: after.submitted - before.submitted,
            accepted_in_300_ms: (after.prompt - before.prompt) as f64 / accepted.max(1) as f64,
            accepted_s,
            given_up: after.given_up - before.given_up,
            user_statuses: statuses.collect(),
            worker_bytes_per_s: worker_bytes,
            worker_requests_per_s: per_worker(of_workers(|w| w.requests)),
            worker_connections_per_s: per_worker(of_workers(|w| w.connections)),
            worker_cores: thread_cores(WORKER_THREADS) / workers.max(1) as f64,
            outside_cores: thread_cores(OUTSIDE_THREADS),
            hollow_memory_mb: measure::process(std::process::id()).map_or(0.0, |u| u.memory_mb),
            machine_busy: after.machine.busy_since(&before.machine),
            reports_failed: of_workers(|w| w.reports_failed),
            lost_leases: self.lost_leases(),
            ended_by_themselves: self.ended_by_themselves(),
            hollow_delay_s: self.delay.load(Ordering::Relaxed) as f64 / 1e6,
            controllers: self.controller_results(before, after, span),
            regions: self.region_results(before, after, span),
            broken,
            violations,
            seconds,
        }
    }

    fn lost_leases(&self) -> u64 {
        let of = |region: &Arc<Region>| {
            region
                .fleet
                .lock()
                .values()
                .map(|w| w.lost_leases())
                .sum::<u64>()
        };
        self.regions.iter().map(of).sum()
    }

    fn ended_by_themselves(&self) -> usize {
        let mut controllers = self.controllers.lock();
        controllers
            .iter_mut()
            .filter_map(|c| c.has_ended().then_some(()))
            .count()
    }

    /// Urgent jobs that were submitted within the measurement: times to running, and how many did not start in it.
    fn urgent(&self, from: u64, until: u64) -> (Spread, u64) {
        let mut times = new_histogram();
        let mut not_started = 0;
        let judge = self.world.judge.lock();
        // Those of the last seconds had no time to start.
        let enough = until.saturating_sub(6_000_000);
        for (job, submitted) in self
            .service
            .urgent
            .lock()
            .range(..)
            .filter(|(_, t)| (from..enough).contains(*t))
        {
            match judge.first_start(*job) {
                // A histogram that grows by itself takes every value.
                Some(at) => drop(times.record(at - submitted)),
                None => not_started += 1,
            }
        }
        (Spread::of(&times, 1e6), not_started)
    }

    fn worker_spread(&self, before: &Reading, after: &Reading, span: f64) -> Spread {
        let mut bytes = new_histogram();
        for (worker, now) in &after.workers {
            if let Some(then) = before.workers.get(worker) {
                // As above.
                let _ = bytes.record(((now.bytes - then.bytes) as f64 / span) as u64);
            }
        }
        Spread::of(&bytes, 1.0)
    }

    fn controller_results(
        &self,
        before: &Reading,
        after: &Reading,
        span: f64,
    ) -> Vec<ControllerResult> {
        let controllers = self.controllers.lock();
        let readings = before
            .controllers
            .iter()
            .zip(&after.controllers)
            .zip(controllers.iter());
        readings
            .map(|((before, after), controller)| {
                let now = after.unwrap_or_default();
                let then = before.unwrap_or_default();
                // One that was started anew begins at zero.
                let used = if now.processor_s >= then.processor_s {
                    now.processor_s - then.processor_s
                } else {
                    now.processor_s
                };
                ControllerResult {
                    region: controller.region,
                    node: controller.node,
                    cores: used / span,
                    memory_mb: now.memory_mb,
                    peak_memory_mb: now.peak_memory_mb,
                    files: now.files,
                }
            })
            .collect()
    }

    fn region_results(&self, before: &Reading, after: &Reading, span: f64) -> Vec<RegionResult> {
        self.regions
            .iter()
            .map(|region| {
                let (then, now) = (&before.regions[region.index], &after.regions[region.index]);
                let rate =
                    |value: fn(&RegionCounters) -> u64| (value(now) - value(then)) as f64 / span;
                let state = region.state.lock();
                RegionResult {
                    region: region.index,
                    workers: region.fleet.lock().len(),
                    state_requests: rate(|c| c.requests),
                    state_changes: rate(|c| c.changes),
                    state_commits: rate(|c| c.commits),
                    state_throttled: rate(|c| c.throttled),
                    state_bytes_in: rate(|c| c.bytes_in),
                    state_bytes_out: rate(|c| c.bytes_out),
                    state_bytes_kept: state
                        .values("")
                        .map(|(k, v)| (k.len() + v.to_string().len()) as u64)
                        .sum(),
                    cloud_requests: rate(|c| c.cloud_requests),
                    user_bytes: rate(|c| c.user_bytes),
                    user_requests: rate(|c| c.user_requests),
                }
            })
            .collect()
    }
}
