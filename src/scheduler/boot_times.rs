//! Estimates of boot times. The nominal boot time of the catalog is only the first estimate.

use crate::time::Micros;
use std::collections::{HashMap, VecDeque};

/// A completed boot.
#[derive(Clone, Copy, Debug)]
struct BootRecord {
    ended_at: Micros,
    duration: Micros,
}

impl BootRecord {
    fn started_at(&self) -> Micros {
        self.ended_at - self.duration
    }
}

/// Recent boots, by machine type.
#[derive(Debug, Default)]
pub struct BootTimeEstimates {
    boot_records: HashMap<String, VecDeque<BootRecord>>,
}

impl BootTimeEstimates {
    /// Largest number of completed boots that are kept of a machine type.
    const MAX_BOOT_RECORDS_PER_TYPE: usize = 8;
    /// Age at which a completed boot no longer counts.
    const MAX_BOOT_AGE: Micros = Micros::secs(90);
    /// A boot is stuck if it takes more than this many times as long as the boot of a machine that was requested after
    /// it.
    const STUCK_BOOT_FACTOR: u64 = 2;
    /// A late boot is expected to take its age divided by this number longer.
    const LATE_BOOT_MARGIN_DIVISOR: u64 = 4;

    /// Records that a machine has come up.
    pub fn record_boot(&mut self, machine_type: &str, at: Micros, duration: Micros) {
        let records = self
            .boot_records
            .entry(machine_type.to_owned())
            .or_default();
        records.push_back(BootRecord {
            ended_at: at,
            duration,
        });
        if records.len() > Self::MAX_BOOT_RECORDS_PER_TYPE {
            records.pop_front();
        }
    }

    /// Expected duration of a boot of this type: the median of recent boots and of late boots in progress, so that a
    /// slowdown is noticed before any boot ends.
    ///
    /// `nominal`: the boot time of the catalog. It counts twice, so that a single boot does not determine the result.
    /// `ages_in_progress`: ages of the boots in progress. Stuck ones are ignored, because they do not indicate how long
    /// other boots take.
    pub fn expected_boot_time(
        &self,
        machine_type: &str,
        nominal: Micros,
        now: Micros,
        ages_in_progress: impl Iterator<Item = Micros>,
    ) -> Micros {
        let type_boot_records = || self.boot_records.get(machine_type).into_iter().flatten();
        let recent = type_boot_records()
            .filter(|boot| now.since(boot.ended_at) < Self::MAX_BOOT_AGE)
            .map(|boot| boot.duration);
        let mut durations: Vec<Micros> = recent.chain([nominal, nominal]).collect();
        let usual_duration = median(&mut durations);
        // Boot times of machines that are requested together differ, so a boot is not stuck merely because a boot that
        // started later has ended.
        let is_stuck = |age: Micros| {
            type_boot_records().any(|boot| {
                boot.started_at() >= now - age && age > boot.duration * Self::STUCK_BOOT_FACTOR
            })
        };
        let late = ages_in_progress.filter(|age| *age > usual_duration && !is_stuck(*age));
        durations.extend(
            late.map(|age| nominal.max(age + Micros(age.0 / Self::LATE_BOOT_MARGIN_DIVISOR))),
        );
        median(&mut durations)
    }
}

/// The upper median of at least one duration.
fn median(durations: &mut [Micros]) -> Micros {
    durations.sort_unstable();
    durations[durations.len() / 2]
}

#[cfg(test)]
mod tests;
