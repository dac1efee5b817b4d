//! Every message has one answer, whatever fails. `SEEDS=5000 cargo test -p cometlead-queues --release` plays more.

mod standin;

use cometlead_queues::{Message, Wish};
use standin::{Day, World};

const CALM: Day = Day {
    messages: 40,
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
};

fn play(name: &str, day: Day, seeds: u64) {
    let seeds = std::env::var("SEEDS").ok().map_or(seeds, |s| s.parse().expect("a number"));
    let only: Option<u64> = std::env::var("SEED").ok().map(|s| s.parse().expect("a number"));
    let mut bad = Vec::new();
    for seed in only.map_or(1..=seeds, |s| s..=s) {
        let mut world = World::new(seed, day);
        world.run();
        bad.extend(world.verdict().into_iter().map(|b| format!("{name}, seed {seed}: {b}")));
        if world.in_hand() > 0 {
            bad.push(format!("{name}, seed {seed}: {} messages are still in hand", world.in_hand()));
        }
        if world.left_behind() > 0 {
            bad.push(format!("{name}, seed {seed}: {} dead connections are left on record", world.left_behind()));
        }
    }
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

#[test]
fn on_a_calm_day() {
    play("calm", CALM, 20);
}

#[test]
fn when_connections_drop() {
    play("drops", Day { drops: 30, ..CALM }, 60);
}

#[test]
fn when_connections_end_in_the_moment_of_a_commit() {
    play("at commits", Day { at_commits: 0.25, ..CALM }, 60);
}

#[test]
fn when_the_broker_makes_copies_as_well() {
    play("copies", Day { copies: 40, at_commits: 0.25, drops: 10, ..CALM }, 100);
}

#[test]
fn when_processes_are_killed_and_hang() {
    play("kills", Day { kills: 12, hangs: 12, copies: 20, fronts: 3, ..CALM }, 100);
}

#[test]
fn when_the_broker_restarts() {
    play("restarts", Day { restarts: 5, copies: 10, ..CALM }, 60);
    play("restarts that lose", Day { restarts: 5, loses: true, ..CALM }, 60);
}

#[test]
fn when_processes_are_stopped_and_started_again() {
    play("stops", Day { stops: 12, copies: 20, ..CALM }, 60);
}

#[test]
fn when_the_broker_loses_receipts() {
    play("lost receipts", Day { forgets: 6, copies: 20, at_commits: 0.1, ..CALM }, 60);
}

#[test]
fn when_marks_fill_many_records() {
    play("many records", Day { messages: 200, copies: 60, drops: 10, value_bytes: 700, ..CALM }, 30);
}

#[test]
fn when_everything_fails_at_once() {
    let day = Day {
        drops: 10,
        kills: 6,
        hangs: 6,
        copies: 25,
        restarts: 2,
        outages: true,
        at_commits: 0.1,
        stops: 2,
        value_bytes: 900,
        fronts: 3,
        ..CALM
    };
    play("all", day, 200);
}

#[test]
fn what_messages_ask_for() {
    let of = |body: &str| Message { queue: "q".into(), body: body.into(), ..Message::default() };
    let Wish::Submit { job: name, body, .. } = of(r#"{"lane":"a"}"#).wish() else { panic!("no submission") };
    assert!(name.len() == 22 && String::from_utf8_lossy(&body).contains(&name), "{name}");
    assert_eq!(of(r#"{"lane":"a"}"#).wish(), of(r#"{"lane":"a"}"#).wish(), "every delivery is the same job");
    assert_ne!(of(r#"{"lane":"a"}"#).key(), of(r#"{"lane":"b"}"#).key());
    let named = |id: &str, body: &str| Message { id: Some(id.into()), ..of(body) };
    assert_eq!(named("x", "1").key(), named("x", "2").key(), "its client's name for it counts");
    let lower = Message { urgency: Some("low".into()), ..of(r#"{"urgency":"high"}"#) };
    assert!(
        matches!(lower.wish(), Wish::Submit { body: b, .. } if String::from_utf8_lossy(&b).contains(r#""urgency":"low""#))
    );
    let cancel = Message { cancel: true, ..of(r#"{"nameId":"req-000041"}"#) };
    assert_eq!(cancel.wish(), Wish::Cancel("req-000041".into()));
    assert!(matches!(Message { cancel: true, ..of("{}") }.wish(), Wish::Refuse(_)));
    let deep = "[".repeat(60_000);
    for bad in ["", "[1]", "\"x\"", "{\"nameId\":7}", "{\"nameId\":\"req-41\"}", &format!("{{\"a\":{deep}")] {
        assert!(matches!(of(bad).wish(), Wish::Refuse(_)), "{:.20}", bad);
    }
    let bytes = |body: Vec<u8>| Message { body, ..Message::default() }.wish();
    assert!(matches!(bytes(vec![b'{', 0xff, b'}']), Wish::Refuse(_)), "no UTF-8");
    assert!(matches!(bytes(vec![b' '; 1 << 20]), Wish::Refuse(_)), "a body of 1 MiB");
}
