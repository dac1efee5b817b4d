//! Scenarios as small text files: settings of the simulation, events at given times, and expected outcomes.
//!
//! Settings such as `messages 40` give the number of random messages and faults. `at 10 drop 0` schedules an event at
//! second 10. `at 10 send a req-000001` sends a message that later lines refer to as `a`, `at 12 duplicate a`
//! duplicates it, and `expect a done` gives its expected outcome.

use super::Simulation;
use super::config::SimulationConfig;
use super::event::SimulationEvent;
use cometlead_queues::Message;
use cometlead_queues::reply::Outcome;
use cometlead_queues::time::{Micros, from_seconds};
use std::collections::BTreeMap;
use std::str::FromStr;

const DEFAULT_SEED_COUNT: u64 = 20;

struct Expectation {
    message: String,
    /// Permitted outcomes, separated by `|`.
    outcomes: String,
}

pub struct Scenario {
    pub seed_count: u64,
    config: SimulationConfig,
    events: Vec<(Micros, SimulationEvent)>,
    named_messages: BTreeMap<String, Message>,
    expectations: Vec<Expectation>,
}

fn parse_number<T: FromStr>(line: &str, word: Option<&str>) -> T {
    word.and_then(|w| w.parse().ok())
        .unwrap_or_else(|| panic!("missing or invalid number: {line}"))
}

fn parse_seconds(line: &str, word: Option<&str>) -> Micros {
    from_seconds(parse_number(line, word))
}

impl Scenario {
    /// Parses a scenario; panics at an invalid line.
    pub fn parse(text: &str) -> Scenario {
        let mut scenario = Scenario {
            seed_count: DEFAULT_SEED_COUNT,
            config: SimulationConfig::default(),
            events: Vec::new(),
            named_messages: BTreeMap::new(),
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
            "seeds" => self.seed_count = parse_number(line, words.next()),
            "at" => {
                let at = parse_seconds(line, words.next());
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
            "messages" => config.messages = parse_number(line, value),
            "processes" => config.processes = parse_number(line, value),
            "drops" => config.connection_drops = parse_number(line, value),
            "kills" => config.process_kills = parse_number(line, value),
            "hangs" => config.process_hangs = parse_number(line, value),
            "duplicates" => config.duplicate_messages = parse_number(line, value),
            "restarts" => config.broker_restarts = parse_number(line, value),
            "restarts-lose-unacked" => config.restarts_lose_unacked = true,
            "outages" => config.has_faulty_services = true,
            "at-commits" => config.drop_probability_at_commit = parse_number(line, value),
            "shutdowns" => config.process_shutdowns = parse_number(line, value),
            "lost-receipt-queues" => config.lost_receipt_queues = parse_number(line, value),
            "value-bytes" => config.max_value_bytes = parse_number(line, value),
            "end" => config.end = parse_seconds(line, value),
            _ => panic!("unknown setting: {line}"),
        }
    }

    fn parse_event(&mut self, line: &str, words: &[&str]) -> SimulationEvent {
        let slot = || parse_number(line, words.get(1).copied());
        match words {
            ["send", name, job, body @ ..] => self.define_named_message(name, job, body, false),
            ["cancel", name, job, body @ ..] => self.define_named_message(name, job, body, true),
            ["duplicate", name] => SimulationEvent::Publish(self.named_messages[*name].clone()),
            ["drop", _] => SimulationEvent::DropConnection(slot()),
            ["kill", _] => SimulationEvent::Kill(slot()),
            ["shutdown", _] => SimulationEvent::ShutDown(slot()),
            ["hang", _, span] => {
                SimulationEvent::Hang(slot(), Some(parse_seconds(line, Some(span))))
            }
            ["restart"] => SimulationEvent::RestartBroker,
            ["lose-receipt-queue"] => SimulationEvent::LoseReceiptQueue,
            ["outage", span] => SimulationEvent::Outage(parse_seconds(line, Some(span))),
            _ => panic!("unknown event: {line}"),
        }
    }

    fn define_named_message(
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
        self.named_messages.insert(name.to_owned(), message.clone());
        SimulationEvent::Publish(message)
    }

    /// Runs the scenario with one seed and returns all violations.
    pub fn run(&self, seed: u64) -> Vec<String> {
        let mut simulation = Simulation::new(seed, self.config);
        for (at, event) in &self.events {
            simulation.schedule(*at, event.clone());
        }
        simulation.run();
        let mut violations = simulation.violations();
        for expectation in &self.expectations {
            violations.extend(self.check_expectation(expectation, &simulation));
        }
        violations
    }

    fn check_expectation(
        &self,
        expectation: &Expectation,
        simulation: &Simulation,
    ) -> Option<String> {
        let Expectation { message, outcomes } = expectation;
        let key = self.named_messages[message].key();
        let answers = simulation.answers_to(key).into_iter();
        let received: Vec<&str> = answers.map(|a| outcome_name(&a.outcome)).collect();
        let is_expected = match received.as_slice() {
            [actual] => outcomes.split('|').any(|permitted| permitted == *actual),
            _ => false,
        };
        (!is_expected).then(|| format!("{message}: outcomes {received:?}, expected {outcomes}"))
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Cancelled => "cancelled",
        Outcome::Refused(_) => "refused",
    }
}
