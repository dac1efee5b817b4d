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
    ended: HashMap<String, VecDeque<BootRecord>>,
}

impl BootTimeEstimates {
    /// Most boots that are kept of a type.
    const MAX_RECORDS: usize = 8;
    /// How long a completed boot counts.
    const MAX_AGE: Micros = Micros::secs(90);
    /// A boot is stuck if it takes so many times as long as the boot of a machine that was requested after it.
    const STUCK_FACTOR: u64 = 2;
    /// A boot that is late is expected to take one in so many parts of its age more.
    const LATE_MARGIN: u64 = 4;

    /// Records that a machine has come up.
    pub fn ended(&mut self, machine_type: &str, at: Micros, took: Micros) {
        let records = self.ended.entry(machine_type.to_owned()).or_default();
        records.push_back(BootRecord {
            ended_at: at,
            duration: took,
        });
        if records.len() > Self::MAX_RECORDS {
            records.pop_front();
        }
    }

    /// Expected duration of a boot of this type: the median of recent boots and of boots under way that are late,
    /// so that a slowdown shows before any boot ends.
    ///
    /// `nominal`: the boot time of the catalog. It counts twice, so that a single boot does not decide. `waiting`:
    /// ages of the boots under way. Stuck ones are ignored: they say nothing about the others.
    pub fn expected(
        &self,
        machine_type: &str,
        nominal: Micros,
        now: Micros,
        waiting: impl Iterator<Item = Micros>,
    ) -> Micros {
        let records = || self.ended.get(machine_type).into_iter().flatten();
        let recent = records()
            .filter(|boot| now.since(boot.ended_at) < Self::MAX_AGE)
            .map(|boot| boot.duration);
        let mut durations: Vec<Micros> = recent.chain([nominal, nominal]).collect();
        let usual = median(&mut durations);
        // Machines that are requested together differ in their boot times, so being overtaken is not enough.
        let is_stuck = |age: Micros| {
            records().any(|boot| {
                boot.started_at() >= now - age && age > boot.duration * Self::STUCK_FACTOR
            })
        };
        let late = waiting.filter(|age| *age > usual && !is_stuck(*age));
        durations.extend(late.map(|age| nominal.max(age + Micros(age.0 / Self::LATE_MARGIN))));
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
