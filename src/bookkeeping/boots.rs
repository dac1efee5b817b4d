//! How long machines take to come up: what the catalogue says is a first guess.

use super::time::Micros;
use std::collections::{HashMap, VecDeque};

/// Boots that ended lately, by type.
#[derive(Debug, Default)]
pub struct Boots {
    ended: HashMap<String, VecDeque<(Micros, Micros)>>,
}

impl Boots {
    /// Boots remembered of a type, and for how long.
    const MOST: usize = 256;
    const MEMORY: Micros = Micros::secs(240);

    /// A machine has come up.
    pub fn ended(&mut self, build: &str, now: Micros, took: Micros) {
        let ended = self.ended.entry(build.to_owned()).or_default();
        ended.push_back((now, took));
        if ended.len() > Self::MOST {
            ended.pop_front();
        }
    }

    /// How long a boot of this type takes now: the median of those that ended lately and of those that
    /// have taken longer than that already, which shows that all are late before any of them ends.
    /// Two boots as the catalogue says are always counted, so that a single one decides nothing.
    pub fn expected(&self, build: &str, nominal: Micros, now: Micros, waiting: impl Iterator<Item = Micros>) -> Micros {
        let ended = self.ended.get(build).into_iter().flatten();
        let lately = ended.filter(|(at, _)| now.since(*at) < Self::MEMORY).map(|(_, took)| *took);
        let mut all: Vec<Micros> = lately.chain([nominal, nominal]).collect();
        let usual = median(&mut all);
        // One that takes longer than usual is at least as far from its end as the catalogue says.
        all.extend(waiting.filter(|age| *age > usual).map(|age| nominal.max(age + Micros(age.0 / 4))));
        median(&mut all)
    }
}

fn median(all: &mut [Micros]) -> Micros {
    all.sort_unstable();
    all[all.len() / 2]
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOMINAL: Micros = Micros::secs(30);

    #[test]
    fn late_boots_show_before_they_end() {
        let boots = Boots::default();
        let expected =
            |ages: &[u64]| boots.expected("x", NOMINAL, Micros::secs(99), ages.iter().map(|a| Micros::secs(*a)));
        assert_eq!(expected(&[]), NOMINAL);
        assert_eq!(expected(&[20, 25]), NOMINAL, "nothing is late yet");
        assert_eq!(expected(&[90]), NOMINAL, "a single one may be stuck");
        assert_eq!(expected(&[80, 80, 80, 80]), Micros::secs(100));
    }

    #[test]
    fn quick_boots_are_learned_and_forgotten() {
        let mut boots = Boots::default();
        for i in 0..4 {
            boots.ended("x", Micros::secs(100 + i), Micros::secs(1));
        }
        let expected = |now: u64, ages: &[u64]| {
            boots.expected("x", NOMINAL, Micros::secs(now), ages.iter().map(|a| Micros::secs(*a)))
        };
        assert_eq!(expected(110, &[]), Micros::secs(1));
        assert_eq!(expected(110, &[5, 5, 5]), NOMINAL, "those that come now are not as quick");
        assert_eq!(expected(500, &[]), NOMINAL);
    }
}
