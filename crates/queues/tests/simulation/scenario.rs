//! Scenarios as small text files: what happens on a day, and what is expected of it.
//!
//! `messages 40` and the like say how much happens at random; `at 10 drop 0` says what happens at a second;
//! `at 10 send a req-000001` sends a message under a name, and `at 12 duplicate a` duplicates it.

use super::Simulation;
use super::config::SimulationConfig;
use super::event::SimulationEvent;
use cometlead_queues::Message;
use cometlead_queues::reply::Outcome;
use cometlead_queues::time::{Micros, from_seconds};
use std::collections::BTreeMap;
use std::str::FromStr;

const DEFAULT_SEEDS: u64 = 20;

struct Expectation {
    message: String,
    /// Permitted outcomes, separated by `|`.
    outcomes: String,
}

pub struct Scenario {
    pub seeds: u64,
    config: SimulationConfig,
    events: Vec<(Micros, SimulationEvent)>,
    named: BTreeMap<String, Message>,
    expectations: Vec<Expectation>,
}

fn number<T: FromStr>(line: &str, word: Option<&str>) -> T {
    word.and_then(|w| w.parse().ok())
        .unwrap_or_else(|| panic!("no number: {line}"))
}

fn seconds(line: &str, word: Option<&str>) -> Micros {
    from_seconds(number(line, word))
}

impl Scenario {
    /// Parses a scenario; panics at a line that it does not understand.
    pub fn parse(text: &str) -> Scenario {
        let mut scenario = Scenario {
            seeds: DEFAULT_SEEDS,
            config: SimulationConfig::default(),
            events: Vec::new(),
            named: BTreeMap::new(),
            expectations: Vec::new(),
        };
        let lines = text.lines().map(str::trim);
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
            scenario.parse_line(line);
        }
        scenario
    }

    fn parse_line(&mut self, line: &str) {
        let mut words = line.split_whitespace();
        let first = words.next().unwrap_or_default();
        match first {
            "seeds" => self.seeds = number(line, words.next()),
            "at" => {
                let at = seconds(line, words.next());
                let event = self.parse_event(line, &words.collect::<Vec<_>>());
                self.events.push((at, event));
            }
            "expect" => {
                let message = words.next().unwrap_or_default().to_owned();
                let outcomes = words.collect::<Vec<_>>().join(" ");
                self.expectations.push(Expectation { message, outcomes });
            }
            setting => self.parse_setting(line, setting, words.next()),
        }
    }

    fn parse_setting(&mut self, line: &str, setting: &str, value: Option<&str>) {
        let config = &mut self.config;
        match setting {
            "messages" => config.messages = number(line, value),
            "processes" => config.processes = number(line, value),
            "drops" => config.drops = number(line, value),
            "kills" => config.kills = number(line, value),
            "hangs" => config.hangs = number(line, value),
            "duplicates" => config.duplicates = number(line, value),
            "restarts" => config.restarts = number(line, value),
            "restarts-lose-unacked" => config.restarts_lose_unacked = true,
            "outages" => config.outages = true,
            "at-commits" => config.drop_at_commit = number(line, value),
            "shutdowns" => config.shutdowns = number(line, value),
            "lost-receipt-queues" => config.lost_receipt_queues = number(line, value),
            "value-bytes" => config.max_value_bytes = number(line, value),
            "end" => config.end = seconds(line, value),
            _ => panic!("not understood: {line}"),
        }
    }

    fn parse_event(&mut self, line: &str, words: &[&str]) -> SimulationEvent {
        let slot = || number(line, words.get(1).copied());
        match words {
            ["send", name, job, body @ ..] => self.named_message(name, job, body, false),
            ["cancel", name, job, body @ ..] => self.named_message(name, job, body, true),
            ["duplicate", name] => SimulationEvent::Publish(self.named[*name].clone()),
            ["drop", _] => SimulationEvent::DropConnection(slot()),
            ["kill", _] => SimulationEvent::Kill(slot()),
            ["shutdown", _] => SimulationEvent::ShutDown(slot()),
            ["hang", _, span] => SimulationEvent::Hang(slot(), Some(seconds(line, Some(span)))),
            ["restart"] => SimulationEvent::RestartBroker,
            ["lose-receipt-queue"] => SimulationEvent::LoseReceiptQueue,
            ["outage", span] => SimulationEvent::Outage(seconds(line, Some(span))),
            _ => panic!("not understood: {line}"),
        }
    }

    fn named_message(
        &mut self,
        name: &str,
        job: &str,
        body: &[&str],
        cancel: bool,
    ) -> SimulationEvent {
        let body = match job {
            "poison" => body.join(" "),
            job => format!(r#"{{"nameId":"{job}","lane":"a"}}"#),
        };
        let message = Message {
            queue: super::WORK_QUEUE.to_owned(),
            id: Some(name.to_owned()),
            reply_to: Some(super::ANSWER_QUEUE.to_owned()),
            correlation_id: Some(format!("of {name}")),
            cancel,
            body: body.into_bytes(),
            ..Message::default()
        };
        self.named.insert(name.to_owned(), message.clone());
        SimulationEvent::Publish(message)
    }

    /// Plays the scenario and returns everything that is wrong.
    pub fn play(&self, seed: u64) -> Vec<String> {
        let mut simulation = Simulation::new(seed, self.config);
        for (at, event) in &self.events {
            simulation.at(*at, event.clone());
        }
        simulation.run();
        let mut complaints = simulation.complaints();
        for expectation in &self.expectations {
            complaints.extend(self.check(expectation, &simulation));
        }
        complaints
    }

    fn check(&self, expectation: &Expectation, simulation: &Simulation) -> Option<String> {
        let Expectation { message, outcomes } = expectation;
        let key = self.named[message].key();
        let answers = simulation.answers_to(key).into_iter();
        let received: Vec<&str> = answers.map(|a| outcome_name(&a.outcome)).collect();
        let is_expected = match received.as_slice() {
            [one] => outcomes.split('|').any(|outcome| outcome == *one),
            _ => false,
        };
        (!is_expected).then(|| format!("{message}: {received:?} instead of {outcomes}"))
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Cancelled => "cancelled",
        Outcome::Refused(_) => "refused",
    }
}
