//! Days as small text files: what a day has, what happens when, and what is expected of it.
//!
//! `messages 40` and the like say how much of everything comes at random; `at 10 drop 0` says what happens at a second;
//! `at 10 send a req-000001` sends a message by a name, and `at 12 copy a` makes a copy of it.

use super::{Day, Happening, Key, Micros, SECOND, World};
use cometlead_queues::Message;
use cometlead_queues::answer::Outcome;
use std::collections::BTreeMap;

/// A day of which nothing is said.
const CALM: Day = Day {
    messages: 0,
    fronts: 2,
    drops: 0,
    kills: 0,
    hangs: 0,
    copies: 0,
    restarts: 0,
    loses: false,
    outages: false,
    at_commits: 0.0,
    stops: 0,
    forgets: 0,
    value_bytes: 2_048,
    end: 400 * SECOND,
};

/// A scenario as it is read.
pub struct Script {
    pub seeds: u64,
    day: Day,
    happenings: Vec<(Micros, Happening)>,
    named: BTreeMap<String, Message>,
    expected: Vec<(String, String)>,
}

fn number<T: std::str::FromStr>(line: &str, word: Option<&str>) -> T {
    word.and_then(|w| w.parse().ok())
        .unwrap_or_else(|| panic!("no number: {line}"))
}

fn seconds(line: &str, word: Option<&str>) -> Micros {
    (number::<f64>(line, word) * SECOND as f64) as Micros
}

impl Script {
    pub fn parse(text: &str) -> Script {
        let (happenings, named, expected) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut s = Script {
            seeds: 20,
            day: CALM,
            happenings,
            named,
            expected,
        };
        for line in text
            .lines()
            .map(str::trim)
            .filter(|l| !l.is_empty() && !l.starts_with('#'))
        {
            let mut words = line.split_whitespace();
            let first = words.next().unwrap_or_default();
            let d = &mut s.day;
            match first {
                "seeds" => s.seeds = number(line, words.next()),
                "messages" => d.messages = number(line, words.next()),
                "fronts" => d.fronts = number(line, words.next()),
                "drops" => d.drops = number(line, words.next()),
                "kills" => d.kills = number(line, words.next()),
                "hangs" => d.hangs = number(line, words.next()),
                "copies" => d.copies = number(line, words.next()),
                "restarts" => d.restarts = number(line, words.next()),
                "loses" => d.loses = true,
                "outages" => d.outages = true,
                "at-commits" => d.at_commits = number(line, words.next()),
                "stops" => d.stops = number(line, words.next()),
                "forgets" => d.forgets = number(line, words.next()),
                "value-bytes" => d.value_bytes = number(line, words.next()),
                "end" => d.end = seconds(line, words.next()),
                "at" => {
                    let at = seconds(line, words.next());
                    s.happens(line, at, &words.collect::<Vec<_>>());
                }
                "expect" => {
                    let of = words.next().unwrap_or_default().to_owned();
                    s.expected.push((of, words.collect::<Vec<_>>().join(" ")));
                }
                _ => panic!("not understood: {line}"),
            }
        }
        s
    }

    fn happens(&mut self, line: &str, at: Micros, words: &[&str]) {
        let front = || number(line, words.get(1).copied());
        let what = match words {
            ["send" | "cancel", name, job, rest @ ..] => {
                let body = match *job {
                    "poison" => rest.join(" "),
                    job => format!(r#"{{"nameId":"{job}","lane":"a"}}"#),
                };
                let message = Message {
                    queue: "work".to_owned(),
                    id: Some((*name).to_owned()),
                    reply_to: Some("answers".to_owned()),
                    correlation: Some(format!("of {name}")),
                    cancel: words[0] == "cancel",
                    body: body.into_bytes(),
                    ..Message::default()
                };
                self.named.insert((*name).to_owned(), message.clone());
                Happening::Publish(message)
            }
            ["copy", name] => Happening::Publish(self.named[*name].clone()),
            ["drop", _] => Happening::Drop(front()),
            ["kill", _] => Happening::Kill(front()),
            ["stop", _] => Happening::Stop(front()),
            ["hang", _, span] => Happening::Hang(front(), seconds(line, Some(span))),
            ["restart"] => Happening::Restart,
            ["forget"] => Happening::Forget,
            ["out", span] => Happening::Out(seconds(line, Some(span))),
            _ => panic!("not understood: {line}"),
        };
        self.happenings.push((at, what));
    }

    /// Plays it and returns what a client would complain of.
    pub fn play(&self, seed: u64) -> Vec<String> {
        let mut world = World::new(seed, self.day);
        for (at, what) in &self.happenings {
            world.at(*at, what.clone());
        }
        world.run();
        let mut bad = world.verdict();
        if world.in_hand() > 0 {
            bad.push(format!("{} messages are still in hand", world.in_hand()));
        }
        if world.left_behind() > 0 {
            bad.push(format!(
                "{} dead connections are left on record",
                world.left_behind()
            ));
        }
        for (name, expected) in &self.expected {
            let key: Key = self.named[name].key();
            let of = world.answers.iter().filter(|a| a.of == key);
            let told: Vec<&str> = of
                .map(|a| match a.outcome {
                    Outcome::Done => "done",
                    Outcome::Cancelled => "cancelled",
                    Outcome::Refused(_) => "refused",
                })
                .collect();
            if !told
                .first()
                .is_some_and(|t| expected.split('|').any(|e| e == *t))
                || told.len() != 1
            {
                bad.push(format!("{name}: {told:?} instead of {expected}"));
            }
        }
        bad
    }
}
