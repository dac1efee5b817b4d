//! How long machines take to come up: what the catalogue says is a first guess.

use crate::time::Micros;
use std::collections::{HashMap, VecDeque};

/// A machine that has come up: when, and how long it took.
#[derive(Clone, Copy, Debug)]
struct BootRecord {
    at: Micros,
    took: Micros,
}

/// Boots that ended lately, by type.
#[derive(Debug, Default)]
pub struct BootTimeEstimates {
    ended: HashMap<String, VecDeque<BootRecord>>,
}

impl BootTimeEstimates {
    /// Boots remembered of a type, and for how long.
    const MOST: usize = 8;
    const MEMORY: Micros = Micros::secs(90);

    /// A machine has come up.
    pub fn ended(&mut self, machine_type: &str, at: Micros, took: Micros) {
        let ended = self.ended.entry(machine_type.to_owned()).or_default();
        ended.push_back(BootRecord { at, took });
        if ended.len() > Self::MOST {
            ended.pop_front();
        }
    }

    /// How long a boot of this type takes now: the median of the last that ended and of those that
    /// have taken longer than that already, which shows that all are late before any of them ends.
    /// `waiting`: their ages. One that takes twice as long as a machine hired after it is stuck, and
    /// says nothing of the others. Two boots as the catalogue says are always counted, so that a single one
    /// decides nothing.
    pub fn expected(
        &self,
        machine_type: &str,
        nominal: Micros,
        now: Micros,
        waiting: impl Iterator<Item = Micros>,
    ) -> Micros {
        let ended = self.ended.get(machine_type).into_iter().flatten();
        let lately = ended
            .clone()
            .filter(|b| now.since(b.at) < Self::MEMORY)
            .map(|b| b.took);
        let mut all: Vec<Micros> = lately.chain([nominal, nominal]).collect();
        let usual = median(&mut all);
        // Machines hired at once take some more, some less.
        let overtaken = |age: Micros| {
            ended
                .clone()
                .any(|b| b.at - b.took >= now - age && age > b.took * 2)
        };
        // One that takes longer than usual is at least as far from its end as the catalogue says.
        let late = waiting.filter(|age| *age > usual && !overtaken(*age));
        all.extend(late.map(|age| nominal.max(age + Micros(age.0 / 4))));
        median(&mut all)
    }
}

fn median(all: &mut [Micros]) -> Micros {
    all.sort_unstable();
    all[all.len() / 2]
}

#[cfg(test)]
mod tests;
