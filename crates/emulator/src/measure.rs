//! What processes and threads have used, as the system tells it.

use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;

/// What a process or a group of threads has used since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Processor time in seconds.
    pub processor_s: f64,
    /// Memory held now, in MB. Zero for threads.
    pub memory_mb: f64,
    /// The most memory that was held, in MB. Zero for threads.
    pub peak_memory_mb: f64,
    /// Open files, sockets included. Zero for threads.
    pub files: usize,
}

/// Processor time in seconds from the text of a `stat` file.
fn processor_seconds(stat: &str) -> Option<f64> {
    // The name may hold spaces; fields are counted from behind it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<u64>().ok();
    let (user, system) = (ticks(11)?, ticks(12)?);
    Some((user + system) as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// A size in MB from the text of a `status` file.
fn megabytes(status: &str, field: &str) -> Option<f64> {
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix(field)?.strip_prefix(':'))?;
    let kib: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

/// What a process has used; `None` once it is gone.
pub fn process(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage {
        processor_s: processor_seconds(&stat)?,
        memory_mb: megabytes(&status, "VmRSS").unwrap_or(0.0),
        peak_memory_mb: megabytes(&status, "VmHWM").unwrap_or(0.0),
        files: fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count),
    })
}

/// Processor seconds that this process's threads have used, by their names.
pub fn own_thread_times() -> BTreeMap<String, f64> {
    let mut used = BTreeMap::new();
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    for task in tasks {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        *used.entry(name.trim().to_owned()).or_insert(0.0) +=
            processor_seconds(&stat).unwrap_or(0.0);
    }
    used
}

/// Whether a machine is busy: the part of all processors' time that was not idle between two readings.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTime {
    busy: u64,
    all: u64,
}

impl MachineTime {
    /// Reads it now.
    pub fn now() -> MachineTime {
        let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = stat.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = line
            .split_whitespace()
            .skip(1)
            .filter_map(|t| t.parse().ok())
            .collect();
        let all = ticks.iter().take(8).sum();
        // Idle, and idle while waiting for a disk.
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        MachineTime {
            busy: all - idle,
            all,
        }
    }

    /// The busy part since an earlier reading, 0 to 1.
    pub fn busy_since(&self, earlier: &MachineTime) -> f64 {
        let all = self.all.saturating_sub(earlier.all).max(1);
        self.busy.saturating_sub(earlier.busy) as f64 / all as f64
    }
}
