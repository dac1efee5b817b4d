//! Resource usage of processes, threads and the machine, read from `/proc`.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;

/// Resource usage of a process or a group of threads since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time in seconds.
    pub processor_s: f64,
    /// Resident memory in MB; zero for threads.
    pub memory_mb: f64,
    /// Peak resident memory in MB; zero for threads.
    pub peak_memory_mb: f64,
    /// Open files, sockets included; zero for threads.
    pub files: usize,
}

/// Reads the processor time in seconds from the text of a `stat` file.
fn processor_seconds(stat: &str) -> Option<f64> {
    // The process name may contain spaces, so the fields are counted from its closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    let (user, system) = (ticks(11)?, ticks(12)?);
    Some((user + system) as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Reads a size in MB from the text of a `status` file.
fn megabytes(status: &str, field: &str) -> Option<f64> {
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix(field)?.strip_prefix(':'))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

/// Reads the resource usage of a process; `None` if it does not exist any more.
pub fn process_usage(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage {
        processor_s: processor_seconds(&stat)?,
        memory_mb: megabytes(&status, "VmRSS").unwrap_or(0.0),
        peak_memory_mb: megabytes(&status, "VmHWM").unwrap_or(0.0),
        files: fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count),
    })
}

/// Reads the processor seconds of this process's threads, summed by thread name.
pub fn own_thread_times() -> BTreeMap<String, f64> {
    let mut seconds_by_name = BTreeMap::new();
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    for task in tasks {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        *seconds_by_name.entry(name.trim().to_owned()).or_insert(0.0) +=
            processor_seconds(&stat).unwrap_or(0.0);
    }
    seconds_by_name
}

/// Processor time of all processors of this machine. Two values give the busy fraction of the time between them.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    busy: u64,
    total: u64,
}

impl MachineTime {
    /// Reads the current values.
    pub fn now() -> MachineTime {
        let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = stat.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = line
            .split_whitespace()
            .skip(1)
            .filter_map(|t| t.parse().ok())
            .collect();
        let total = ticks.iter().take(8).sum();
        // The fields `idle` and `iowait`.
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        MachineTime {
            busy: total - idle,
            total,
        }
    }

    /// Busy fraction of the time since an earlier value, 0 to 1.
    pub fn busy_since(&self, earlier: &MachineTime) -> f64 {
        let total = self.total.saturating_sub(earlier.total).max(1);
        self.busy.saturating_sub(earlier.busy) as f64 / total as f64
    }
}
