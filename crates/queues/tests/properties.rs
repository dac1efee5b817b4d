//! Properties that hold whatever happens: versions are granted once, rates are kept, and no input causes a panic.

mod fakes;

use cometlead_queues::message::{Message, MessageKey};
use cometlead_queues::progress::{ConsumerId, ConsumerState, ProgressEntry};
use cometlead_queues::replicated_log::{
    ChangeOutcome, LogLimits, OpenSegment, ReplicatedLog, StateRequest, StateResponse,
};
use cometlead_queues::schedule::{RequestSchedule, ScheduledRequest};
use cometlead_queues::time::{Micros, SECOND};
use fakes::state_service::FakeStateService;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use std::collections::BTreeMap;

const REPLICAS: usize = 3;
const KEYS: u8 = 40;
const LIMITS: LogLimits = LogLimits {
    max_value_bytes: 800,
    batches_per_s: 1_000,
    retention: 3_600 * SECOND,
};

fn consumer(replica: usize) -> ConsumerId {
    ConsumerId {
        process: replica as u64,
        connection: 1,
    }
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Carried out later, without a response.
    Late,
    /// Carried out, and the response is lost.
    ResponseLost,
    /// Never carried out.
    RequestLost,
    /// Carried out; after it, the oldest late request.
    ServedWithLate,
    Served,
}

fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        1 => Just(Fate::Late),
        1 => Just(Fate::ResponseLost),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::ServedWithLate),
        6 => Just(Fate::Served),
    ]
}

/// A replica wants to claim a message and sends its next request.
#[derive(Clone, Copy, Debug)]
struct Step {
    replica: usize,
    key: u8,
    fate: Fate,
}

fn any_step() -> impl Strategy<Value = Step> {
    (0..REPLICAS, 0..KEYS, any_fate()).prop_map(|(replica, key, fate)| Step { replica, key, fate })
}

/// Replicas that write beside one another, over a network that loses and delays.
struct Cluster {
    now: Micros,
    service: FakeStateService,
    replicas: Vec<ReplicatedLog>,
    late: Vec<StateRequest>,
    /// Who was granted a version of an entry.
    granted: BTreeMap<(MessageKey, u16), usize>,
    /// Changes without an outcome.
    open_changes: usize,
}

impl Cluster {
    fn new() -> Cluster {
        Cluster {
            now: 0,
            service: FakeStateService::new(LIMITS.max_value_bytes),
            replicas: (0..REPLICAS).map(|_| ReplicatedLog::new(LIMITS)).collect(),
            late: Vec::new(),
            granted: BTreeMap::new(),
            open_changes: 0,
        }
    }

    fn has_claim(&self, replica: usize, key: MessageKey) -> bool {
        let entry = self.replicas[replica].entry(key);
        entry.is_some_and(|e| e.entry.claimant() == Some(consumer(replica)))
    }

    fn take(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now += 50_000;
        let key = MessageKey(u128::from(step.key));
        if !self.has_claim(step.replica, key) {
            self.claim(step.replica, key);
        }
        if let Some(request) = self.replicas[step.replica].next_request(self.now) {
            let response = self.exchange(request, step.fate);
            self.replicas[step.replica].handle_response(self.now, response);
        }
        if matches!(step.fate, Fate::ServedWithLate) && !self.late.is_empty() {
            let request = self.late.remove(0);
            self.service.respond(&request);
        }
        self.check_outcomes(step.replica)
    }

    fn claim(&mut self, replica: usize, key: MessageKey) {
        let log = &mut self.replicas[replica];
        let version = log.entry(key).map_or(0, |e| e.version);
        let claim = ProgressEntry::Claimed {
            by: consumer(replica),
            at_s: self.now / SECOND,
        };
        log.write_entry(key, version, claim);
        self.open_changes += 1;
    }

    fn exchange(&mut self, request: StateRequest, fate: Fate) -> StateResponse {
        match fate {
            Fate::Late => self.late.push(request),
            Fate::RequestLost => {}
            Fate::ResponseLost => {
                self.service.respond(&request);
            }
            Fate::Served | Fate::ServedWithLate => return self.service.respond(&request),
        }
        StateResponse::NoResponse
    }

    /// A version is granted to the replica whose claim stands there, and to no other.
    fn check_outcomes(&mut self, replica: usize) -> Result<(), TestCaseError> {
        for outcome in self.replicas[replica].take_outcomes() {
            self.open_changes -= 1;
            let ChangeOutcome::Entry {
                key,
                written_version: Some(version),
            } = outcome
            else {
                continue;
            };
            let entry = self.replicas[replica].entry(key);
            if self.has_claim(replica, key) && entry.is_some_and(|e| e.version == version) {
                let first = *self.granted.entry((key, version)).or_insert(replica);
                prop_assert_eq!(first, replica, "{} {} was granted twice", key, version);
            }
        }
        Ok(())
    }

    /// Without faults, everything gets an outcome.
    fn settle(&mut self, replica: usize) -> Result<(), TestCaseError> {
        self.replicas[replica].refresh();
        for _ in 0..2_000 {
            self.now += 10_000;
            if let Some(request) = self.replicas[replica].next_request(self.now) {
                let response = self.service.respond(&request);
                self.replicas[replica].handle_response(self.now, response);
                self.check_outcomes(replica)?;
            }
        }
        Ok(())
    }

    fn versions(&self, key: MessageKey) -> Vec<Option<u16>> {
        let version = |log: &ReplicatedLog| log.entry(key).map(|e| e.version);
        self.replicas.iter().map(version).collect()
    }
}

proptest! {
    // The same cases every time; `PROPTEST_CASES` plays more of them.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn each_version_of_an_entry_is_granted_once_and_replicas_converge(
        steps in prop::collection::vec(any_step(), 1..400),
    ) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.take(step)?;
        }
        for replica in (0..REPLICAS).chain(0..REPLICAS) {
            cluster.settle(replica)?;
        }
        prop_assert_eq!(cluster.open_changes, 0, "a change never got an outcome");
        for key in 0..KEYS {
            let versions = cluster.versions(MessageKey(u128::from(key)));
            prop_assert!(versions[1..].iter().all(|v| *v == versions[0]), "{key}: {versions:?}");
        }
    }

    #[test]
    fn submissions_keep_the_rate_and_the_order_of_ranks(
        ranks in prop::collection::vec(0..4u8, 1..200),
        rate in 1..50u32,
    ) {
        let mut schedule = RequestSchedule::new(rate, 1);
        for (n, rank) in ranks.iter().enumerate() {
            let request = ScheduledRequest::Submit { rank: *rank, arrival: n as u64 };
            schedule.add(0, request, MessageKey(n as u128));
        }
        let (mut now, mut taken) = (0, Vec::new());
        while taken.len() < ranks.len() {
            prop_assert!(schedule.next_wake() < Micros::MAX, "something waits");
            now = now.max(schedule.next_wake());
            let before = taken.len();
            taken.extend(schedule.take(now, usize::MAX));
            prop_assert!(taken.len() > before, "it wakes for something");
            let permitted = (now * u64::from(rate)).div_ceil(SECOND) + u64::from(rate);
            prop_assert!(taken.len() as u64 <= permitted);
        }
        let order: Vec<u8> = taken.iter().map(|key| ranks[key.0 as usize]).collect();
        prop_assert!(order.is_sorted(), "{order:?}");
    }

    #[test]
    fn any_message_is_read_or_refused_the_same_way_every_time(
        body in prop::collection::vec(any::<u8>(), 0..200),
        deadline_s in any::<f64>(),
        text in ".*",
        cancel in any::<bool>(),
        is_json in any::<bool>(),
    ) {
        let json = || format!(r#"{{"nameId":{text:?},"guessS":{deadline_s:?}}}"#).into_bytes();
        let message = Message {
            queue: "q".into(),
            body: if is_json { json() } else { body },
            cancel,
            deadline_s: Some(deadline_s),
            dependencies: Some(text.clone()),
            priority: Some(text),
            ..Message::default()
        };
        prop_assert_eq!(message.job_request(), message.clone().job_request());
        prop_assert_eq!(message.key(), message.clone().key());
    }

    #[test]
    fn segments_that_cannot_be_decoded_are_never_overwritten(text in ".*", version in 2..9u32) {
        let other_version = format!(r#"{{"v":{version},"h":[],"e":""}}"#);
        let truncated = r#"{"v":1,"h":[],"e":"AAAA"}"#.to_owned();
        for text in [text, other_version, truncated] {
            let mut log = ReplicatedLog::new(LIMITS);
            log.write_entry(MessageKey(1), 0, ProgressEntry::Answered { at_s: 0 });
            for now in (1..=20).map(|n| n * 10 * SECOND) {
                let open = OpenSegment { text: text.clone(), revision: 1 };
                match log.next_request(now) {
                    Some(StateRequest::ReadOpenSegment) => {
                        log.handle_response(now, StateResponse::OpenSegment(Some(open)));
                    }
                    Some(other) => prop_assert!(false, "{other:?}"),
                    None => {}
                }
            }
        }
    }
}

/// Lets a replica exchange requests without faults during a span of time.
fn exchange(
    log: &mut ReplicatedLog,
    service: &mut FakeStateService,
    span: std::ops::Range<Micros>,
) {
    for now in span.step_by(20_000) {
        if let Some(request) = log.next_request(now) {
            let response = service.respond(&request);
            log.handle_response(now, response);
        }
        log.take_outcomes();
    }
}

#[test]
fn expired_segments_are_removed_unless_a_registered_consumer_has_claims_there() {
    let limits = LogLimits {
        retention: 5 * SECOND,
        ..LIMITS
    };
    let mut service = FakeStateService::new(limits.max_value_bytes);
    let (mut writer, mut reader) = (ReplicatedLog::new(limits), ReplicatedLog::new(limits));
    writer.change_consumer(consumer(1), None, Some(ConsumerState::Active));
    let claim = ProgressEntry::Claimed {
        by: consumer(1),
        at_s: 1,
    };
    for n in 0..200 {
        writer.write_entry(MessageKey(n), 0, claim);
    }
    exchange(&mut writer, &mut service, SECOND..3 * SECOND);
    reader.refresh();
    exchange(&mut reader, &mut service, SECOND..3 * SECOND);
    assert_eq!((writer.len(), reader.len()), (200, 200));
    let closed = service.closed_segments.len();
    assert!(closed > 5, "{closed} closed segments");

    exchange(&mut writer, &mut service, 3 * SECOND..100 * SECOND);
    assert_eq!(writer.len(), 200, "receipts may still settle the claims");

    writer.change_consumer(consumer(1), Some(ConsumerState::Active), None);
    exchange(&mut writer, &mut service, 100 * SECOND..200 * SECOND);
    let left = writer.len();
    assert!(
        service.closed_segments.is_empty() && left < 30,
        "{left} are left"
    );
    reader.refresh();
    exchange(&mut reader, &mut service, 200 * SECOND..201 * SECOND);
    assert_eq!(writer.len(), reader.len());
}
