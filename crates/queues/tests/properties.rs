//! What holds whatever happens: the ledger grants each version of a mark once, rates are kept, readers never panic.

use cometlead_queues::ledger::{Done, Ledger, LedgerLimits, Request, Told};
use cometlead_queues::message::{Key, Message};
use cometlead_queues::schedule::{Schedule, Turn};
use cometlead_queues::{Holder, Mark};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const VALUE: usize = 800;
const LIMITS: LedgerLimits = LedgerLimits {
    value_bytes: VALUE,
    rounds_per_s: 1_000,
    keep: 3_600_000_000,
};

/// The state service, as far as a ledger uses it.
#[derive(Default)]
struct Store {
    open: Option<(String, u64)>,
    closed: BTreeMap<u64, String>,
    stamp: u64,
}

impl Store {
    fn act(&mut self, request: &Request) -> Told {
        match request {
            Request::Open => Told::Open(self.open.clone()),
            Request::Closed(from) => Told::Closed(
                self.closed
                    .range(from..)
                    .take(2)
                    .map(|(s, t)| (*s, t.clone()))
                    .collect(),
                true,
            ),
            Request::Round {
                stamp,
                open,
                close,
                remove,
            } => {
                if self.open.as_ref().map_or(0, |(_, s)| *s) != *stamp {
                    return Told::Clash;
                }
                assert!(open.len() <= VALUE, "{} bytes", open.len());
                self.stamp += 1;
                self.open = Some((open.clone(), self.stamp));
                if let Some((seq, text)) = close {
                    assert!(
                        text.len() <= VALUE && self.closed.insert(*seq, text.clone()).is_none()
                    );
                }
                remove.map(|seq| self.closed.remove(&seq));
                Told::Applied(self.stamp)
            }
        }
    }
}

/// What happens next: to which copy, which message, and what becomes of the request.
type Step = (usize, u8, u8);

proptest! {
    // The same verdict every time; `PROPTEST_CASES` plays more of them.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::default() })]

    /// Copies that write beside one another, with answers that are lost and rounds that come late.
    #[test]
    fn each_version_of_a_mark_is_granted_once(steps in prop::collection::vec((0..3usize, 0..40u8, 0..10u8), 1..400)) {
        let mut store = Store::default();
        let mut copies: Vec<Ledger> = (0..3).map(|_| Ledger::new(LIMITS)).collect();
        let mut late: Vec<Request> = Vec::new();
        let mut granted: BTreeMap<(Key, u16), usize> = BTreeMap::new();
        let (mut now, mut asked) = (0, 0usize);
        let settle = |copies: &mut Vec<Ledger>, granted: &mut BTreeMap<(Key, u16), usize>, asked: &mut usize, at: usize| {
            for done in copies[at].take_done() {
                *asked -= 1;
                let Done::Mark(key, Some(version)) = done else { continue };
                // The copy that wrote it is the one whose mark stands there.
                let mine = matches!(copies[at].mark(key), Some((Mark::Sealed(by, _), v)) if by.run == at as u64 && v == version);
                if mine {
                    let first = *granted.entry((key, version)).or_insert(at);
                    prop_assert_eq!(first, at, "{} {} was granted twice", key, version);
                }
            }
            Ok(())
        };
        let all: Vec<Step> = steps;
        for (at, key, fate) in all {
            now += 50_000;
            let key = Key(u128::from(key));
            let version = copies[at].mark(key).map_or(0, |(_, v)| v);
            if !matches!(copies[at].mark(key), Some((Mark::Sealed(by, _), _)) if by.run == at as u64) {
                asked += 1;
                copies[at].write(key, version, Mark::Sealed(Holder { run: at as u64, link: 1 }, now / 1_000_000));
            }
            if let Some(request) = copies[at].ask(now) {
                let told = match fate {
                    0 => { late.push(request); Told::Nothing }
                    1 => { store.act(&request); Told::Nothing }
                    2 => Told::Nothing,
                    _ => store.act(&request),
                };
                copies[at].told(now, told);
            }
            if fate == 5 && !late.is_empty() {
                let request = late.remove(0);
                store.act(&request);
            }
            settle(&mut copies, &mut granted, &mut asked, at)?;
        }
        // In peace everything is answered, and all copies agree.
        for at in (0..3).chain(0..3) {
            copies[at].refresh();
            for _ in 0..2_000 {
                now += 10_000;
                let Some(request) = copies[at].ask(now) else { continue };
                let told = store.act(&request);
                copies[at].told(now, told);
                settle(&mut copies, &mut granted, &mut asked, at)?;
            }
        }
        prop_assert_eq!(asked, 0, "something was never answered");
        for key in 0..40u8 {
            let marks: Vec<_> = copies.iter().map(|c| c.mark(Key(u128::from(key))).map(|(_, v)| v)).collect();
            prop_assert!(marks[1..].iter().all(|m| *m == marks[0]), "{key}: {marks:?}");
        }
    }

    /// Never more than the rate and a second's worth at once, in the order of ranks.
    #[test]
    fn rates_and_ranks_are_kept(ranks in prop::collection::vec(0..4u8, 1..200), rate in 1..50u32) {
        let mut schedule = Schedule::new(rate, 1);
        for (n, rank) in ranks.iter().enumerate() {
            schedule.put(0, Turn::Submit(*rank, n as u64), Key(n as u128));
        }
        let (mut now, mut taken) = (0u64, Vec::new());
        while taken.len() < ranks.len() {
            prop_assert!(schedule.wake() < u64::MAX, "something waits");
            now = now.max(schedule.wake());
            let before = taken.len();
            taken.extend(schedule.take(now, usize::MAX));
            prop_assert!(taken.len() > before, "it wakes for something");
            prop_assert!(taken.len() as u64 <= (now * u64::from(rate)).div_ceil(1_000_000) + u64::from(rate));
        }
        let order: Vec<u8> = taken.iter().map(|k| ranks[k.0 as usize]).collect();
        prop_assert!(order.is_sorted(), "{order:?}");
    }

    /// Bodies and headers of any kind are read or refused, and every delivery is the same.
    #[test]
    fn no_message_is_too_strange(body in prop::collection::vec(any::<u8>(), 0..200), due in any::<f64>(),
                                 text in ".*", cancel in any::<bool>(), json in any::<bool>()) {
        let body = if json { format!(r#"{{"nameId":{text:?},"guessS":{due:?}}}"#).into_bytes() } else { body };
        let message = Message { queue: "q".into(), body, cancel, due_s: Some(due), awaits: Some(text.clone()),
            urgency: Some(text), ..Message::default() };
        prop_assert_eq!(message.wish(), message.clone().wish());
        prop_assert_eq!(message.key(), message.clone().key());
    }

    /// What another version, or nobody, wrote is never overwritten.
    #[test]
    fn strange_records_are_left_alone(text in ".*", form in 2..9u32) {
        for text in [text, format!(r#"{{"v":{form},"h":[],"e":""}}"#), r#"{"v":1,"h":[],"e":"AAAA"}"#.to_owned()] {
            let mut copy = Ledger::new(LIMITS);
            copy.write(Key(1), 0, Mark::Answered(0));
            let mut now = 0;
            for _ in 0..20 {
                now += 10_000_000;
                match copy.ask(now) {
                    Some(Request::Open) => copy.told(now, Told::Open(Some((text.clone(), 1)))),
                    Some(other) => prop_assert!(false, "{other:?}"),
                    None => {}
                }
            }
        }
    }
}

/// Marks end: records of which nothing is younger than the time to keep are removed, and both copies forget them; but
/// not while a connection on record has sealed something there.
#[test]
fn marks_end_unless_their_connection_is_still_on_record() {
    let limits = LedgerLimits {
        keep: 5_000_000,
        ..LIMITS
    };
    let mut store = Store::default();
    let (mut one, mut other) = (Ledger::new(limits), Ledger::new(limits));
    let holder = Holder { run: 1, link: 1 };
    let run = |ledger: &mut Ledger, store: &mut Store, from: u64, until: u64| {
        for now in (from..until).step_by(20_000) {
            if let Some(request) = ledger.ask(now) {
                let told = store.act(&request);
                ledger.told(now, told);
            }
            ledger.take_done();
        }
    };
    one.link(holder, None, Some(cometlead_queues::mark::LinkState::Up));
    for n in 0..200 {
        one.write(Key(n), 0, Mark::Sealed(holder, 1));
    }
    run(&mut one, &mut store, 1_000_000, 3_000_000);
    other.refresh();
    run(&mut other, &mut store, 1_000_000, 3_000_000);
    assert_eq!((one.len(), other.len()), (200, 200));
    assert!(
        store.closed.len() > 5,
        "{} closed records",
        store.closed.len()
    );
    run(&mut one, &mut store, 3_000_000, 100_000_000);
    assert_eq!(one.len(), 200, "its receipts may still settle them");
    one.link(holder, Some(cometlead_queues::mark::LinkState::Up), None);
    run(&mut one, &mut store, 100_000_000, 200_000_000);
    assert!(
        store.closed.is_empty() && one.len() < 30,
        "{} are left",
        one.len()
    );
    other.refresh();
    run(&mut other, &mut store, 200_000_000, 201_000_000);
    assert_eq!(one.len(), other.len());
}
