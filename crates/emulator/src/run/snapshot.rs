//! Counters at the start and the end of the measurement, and the result computed from them.

use super::{Run, SERVICE_THREAD_NAME, WORKER_THREAD_NAME};
use crate::controllers::Controller;
use crate::invariants::Machine;
use crate::measure::{self, MachineTime, Usage};
use crate::region::Region;
use crate::report::{ControllerResult, Distribution, RegionResult, RunResult};
use crate::users::{LoadBalancer, new_histogram};
use crate::workers::FakeWorker;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Counters of a region since the start of the run.
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
    fn of(region: &Region, balancer: &LoadBalancer) -> RegionCounters {
        let state = region.state.lock();
        RegionCounters {
            requests: state.received.0,
            changes: state.received.1,
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

/// Counters of a worker since it started.
struct WorkerCounters {
    bytes: u64,
    requests: u64,
    connections: u64,
    reports_failed: u64,
}

impl WorkerCounters {
    fn of(worker: &FakeWorker) -> WorkerCounters {
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

/// All counters at one time; a measurement is the difference of two.
pub(super) struct Snapshot {
    taken_at: Instant,
    sample_count: usize,
    starts: u64,
    completions: u64,
    controllers: Vec<Option<Usage>>,
    threads: BTreeMap<String, f64>,
    machine: MachineTime,
    regions: Vec<RegionCounters>,
    workers: BTreeMap<Machine, WorkerCounters>,
    submitted: u64,
    accepted: u64,
    accepted_promptly: u64,
    given_up: u64,
    statuses: BTreeMap<u16, u64>,
    taken_at_us: u64,
}

impl Snapshot {
    pub(super) fn take(run: &Run) -> Snapshot {
        let checker = run.context.checker.lock();
        let (starts, completions) = (checker.starts(), checker.completions());
        drop(checker);
        let user_stats = &run.user_stats;
        let by_worker = |region: &Arc<Region>| {
            let index = region.index;
            let fleet = region.fleet.lock();
            fleet
                .iter()
                .map(|(m, w)| ((index, *m), WorkerCounters::of(w)))
                .collect::<Vec<_>>()
        };
        Snapshot {
            taken_at: Instant::now(),
            sample_count: run.samples.lock().len(),
            starts,
            completions,
            controllers: run
                .controllers
                .lock()
                .iter()
                .map(Controller::usage)
                .collect(),
            threads: measure::own_thread_times(),
            machine: MachineTime::now(),
            regions: run
                .regions
                .iter()
                .zip(&run.balancers)
                .map(|(r, b)| RegionCounters::of(r, b))
                .collect(),
            workers: run.regions.iter().flat_map(by_worker).collect(),
            submitted: load(&user_stats.submitted),
            accepted: load(&user_stats.accepted),
            accepted_promptly: load(&user_stats.accepted_promptly),
            given_up: load(&user_stats.given_up),
            statuses: user_stats.statuses.lock().clone(),
            taken_at_us: run.context.now(),
        }
    }
}

impl Run {
    pub(super) fn result(
        &self,
        before: &Snapshot,
        after: &Snapshot,
        ramped: bool,
        ramp_s: f64,
    ) -> RunResult {
        let scenario = &self.context.scenario;
        let duration_s = (after.taken_at - before.taken_at).as_secs_f64();
        let samples = self.samples.lock().clone();
        let measured =
            &samples[before.sample_count.min(samples.len())..after.sample_count.min(samples.len())];
        let count = measured.len().max(1) as f64;
        let (urgent_s, urgent_not_started) =
            self.urgent_start_times(before.taken_at_us, after.taken_at_us);
        let accepted = after.accepted - before.accepted;
        let worker_bytes = self.worker_bytes_per_second(before, after, duration_s);
        let sum_over_workers = |value: fn(&WorkerCounters) -> u64| -> u64 {
            let increase = |(k, now): (&Machine, &WorkerCounters)| {
                value(now) - before.workers.get(k).map_or(0, value)
            };
            after.workers.iter().map(increase).sum()
        };
        let workers = after.workers.len();
        let per_worker = |total: u64| total as f64 / duration_s / workers.max(1) as f64;
        let thread_cores = |name: &str| {
            let used = |r: &Snapshot| r.threads.get(name).copied().unwrap_or(0.0);
            (used(after) - used(before)) / duration_s
        };
        let statuses = after
            .statuses
            .iter()
            .map(|(s, n)| (*s, n - before.statuses.get(s).copied().unwrap_or(0)));
        let accepted_s = Distribution::of(&self.user_stats.accept_times.lock(), 1e6);
        let (violation_counts, violations) = {
            let checker = self.context.checker.lock();
            (checker.counts().clone(), checker.violations().to_vec())
        };
        RunResult {
            name: scenario.name.clone(),
            ramped,
            ramp_s,
            measured_s: duration_s,
            wanted_workers: scenario.total_workers(),
            wanted_running: scenario.wanted_running(),
            wanted_starts_per_s: scenario.load.starts_per_s + scenario.load.urgent_per_s,
            workers,
            running: measured.iter().map(|s| s.running as f64).sum::<f64>() / count,
            most_running: samples.iter().map(|s| s.running).max().unwrap_or(0),
            starts_per_s: (after.starts - before.starts) as f64 / duration_s,
            completions_per_s: (after.completions - before.completions) as f64 / duration_s,
            most_starts_in_a_second: samples.iter().map(|s| s.starts).max().unwrap_or(0),
            urgent_s,
            urgent_not_started,
            submitted: after.submitted - before.submitted,
            accepted_in_300_ms: (after.accepted_promptly - before.accepted_promptly) as f64
                / accepted.max(1) as f64,
            accepted_s,
            given_up: after.given_up - before.given_up,
            user_statuses: statuses.collect(),
            worker_bytes_per_s: worker_bytes,
            worker_requests_per_s: per_worker(sum_over_workers(|w| w.requests)),
            worker_connections_per_s: per_worker(sum_over_workers(|w| w.connections)),
            worker_cores: thread_cores(WORKER_THREAD_NAME) / workers.max(1) as f64,
            service_cores: thread_cores(SERVICE_THREAD_NAME),
            emulator_memory_mb: measure::process_usage(std::process::id())
                .map_or(0.0, |u| u.memory_mb),
            machine_busy: after.machine.busy_since(&before.machine),
            reports_failed: sum_over_workers(|w| w.reports_failed),
            lost_leases: self.lost_leases(),
            exited_controllers: self.exited_controllers(),
            max_timer_delay_s: self.max_timer_delay_us.load(Ordering::Relaxed) as f64 / 1e6,
            controllers: self.controller_results(before, after, duration_s),
            regions: self.region_results(before, after, duration_s),
            late_copies: self.context.copies.snapshot(),
            violation_counts,
            violations,
            samples,
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

    fn exited_controllers(&self) -> usize {
        let mut controllers = self.controllers.lock();
        controllers
            .iter_mut()
            .filter_map(|c| c.has_exited().then_some(()))
            .count()
    }

    /// Urgent jobs submitted during the measurement: their start latencies, and how many did not start during it.
    fn urgent_start_times(&self, from: u64, until: u64) -> (Distribution, u64) {
        let mut times = new_histogram();
        let mut not_started = 0;
        let checker = self.context.checker.lock();
        // Jobs submitted in the last six seconds may not have had time to start.
        let submitted_until = until.saturating_sub(6_000_000);
        for (job, submitted) in self
            .user_stats
            .urgent_submitted_at
            .lock()
            .range(..)
            .filter(|(_, t)| (from..submitted_until).contains(*t))
        {
            match checker.first_start(*job) {
                // An auto-resizing histogram accepts every value.
                Some(at) => drop(times.record(at - submitted)),
                None => not_started += 1,
            }
        }
        (Distribution::of(&times, 1e6), not_started)
    }

    fn worker_bytes_per_second(
        &self,
        before: &Snapshot,
        after: &Snapshot,
        duration_s: f64,
    ) -> Distribution {
        let mut bytes = new_histogram();
        for (worker, now) in &after.workers {
            if let Some(earlier) = before.workers.get(worker) {
                // An auto-resizing histogram accepts every value.
                let _ = bytes.record(((now.bytes - earlier.bytes) as f64 / duration_s) as u64);
            }
        }
        Distribution::of(&bytes, 1.0)
    }

    fn controller_results(
        &self,
        before: &Snapshot,
        after: &Snapshot,
        duration_s: f64,
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
                let earlier = before.unwrap_or_default();
                // The processor time of a restarted controller begins at zero.
                let used = if now.processor_s >= earlier.processor_s {
                    now.processor_s - earlier.processor_s
                } else {
                    now.processor_s
                };
                ControllerResult {
                    region: controller.region,
                    node: controller.node,
                    cores: used / duration_s,
                    memory_mb: now.memory_mb,
                    peak_memory_mb: now.peak_memory_mb,
                    files: now.files,
                }
            })
            .collect()
    }

    fn region_results(
        &self,
        before: &Snapshot,
        after: &Snapshot,
        duration_s: f64,
    ) -> Vec<RegionResult> {
        self.regions
            .iter()
            .map(|region| {
                let (earlier, now) = (&before.regions[region.index], &after.regions[region.index]);
                let rate = |value: fn(&RegionCounters) -> u64| {
                    (value(now) - value(earlier)) as f64 / duration_s
                };
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
