//! Every message has one answer, whatever fails: the days of `scenarios`, with more seeds by `SEEDS=5000`.

mod standin;

use cometlead_queues::{Message, Wish};
use standin::Script;
use std::path::Path;

/// Every file of `scenarios`, with its seeds. `SCENARIO=name`, `SEED=n` and `SEEDS=n` choose.
#[test]
fn scenarios() {
    let number = |name: &str| {
        std::env::var(name)
            .ok()
            .map(|s| s.parse::<u64>().expect("a number"))
    };
    let (seeds, only, name) = (
        number("SEEDS"),
        number("SEED"),
        std::env::var("SCENARIO").ok(),
    );
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = std::fs::read_dir(folder)
        .expect("scenarios")
        .map(|f| f.expect("a file").path());
    let files = files.filter(|f| {
        name.as_ref()
            .is_none_or(|n| f.file_stem().is_some_and(|s| s == n.as_str()))
    });
    // A thread for each file; none of them knows of another.
    let plays: Vec<_> = files
        .map(|f| std::thread::spawn(move || play(&f, seeds, only)))
        .collect();
    assert!(!plays.is_empty(), "no such scenario");
    let bad: Vec<String> = plays
        .into_iter()
        .flat_map(|p| p.join().expect("a scenario that can be read"))
        .collect();
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

fn play(file: &Path, seeds: Option<u64>, only: Option<u64>) -> Vec<String> {
    let script = Script::parse(&std::fs::read_to_string(file).expect("a text"));
    let name = file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let seeds = only.map_or(1..=seeds.unwrap_or(script.seeds), |s| s..=s);
    let of = |seed| {
        script
            .play(seed)
            .into_iter()
            .map(move |b| format!("seed {seed}: {b}"))
            .collect::<Vec<_>>()
    };
    seeds.flat_map(of).map(|b| format!("{name}, {b}")).collect()
}

#[test]
fn what_messages_ask_for() {
    let of = |body: &str| Message {
        queue: "q".into(),
        body: body.into(),
        ..Message::default()
    };
    let Wish::Submit {
        job: name, body, ..
    } = of(r#"{"lane":"a"}"#).wish()
    else {
        panic!("no submission")
    };
    assert!(
        name.len() == 22 && String::from_utf8_lossy(&body).contains(&name),
        "{name}"
    );
    assert_eq!(
        of(r#"{"lane":"a"}"#).wish(),
        of(r#"{"lane":"a"}"#).wish(),
        "every delivery is the same job"
    );
    assert_ne!(of(r#"{"lane":"a"}"#).key(), of(r#"{"lane":"b"}"#).key());
    let named = |id: &str, body: &str| Message {
        id: Some(id.into()),
        ..of(body)
    };
    assert_eq!(
        named("x", "1").key(),
        named("x", "2").key(),
        "its client's name for it counts"
    );
    let lower = Message {
        urgency: Some("low".into()),
        ..of(r#"{"urgency":"high"}"#)
    };
    assert!(
        matches!(lower.wish(), Wish::Submit { body: b, .. } if String::from_utf8_lossy(&b).contains(r#""urgency":"low""#))
    );
    let cancel = Message {
        cancel: true,
        ..of(r#"{"nameId":"req-000041"}"#)
    };
    assert_eq!(cancel.wish(), Wish::Cancel("req-000041".into()));
    assert!(matches!(
        Message {
            cancel: true,
            ..of("{}")
        }
        .wish(),
        Wish::Refuse(_)
    ));
    let deep = "[".repeat(60_000);
    for bad in [
        "",
        "[1]",
        "\"x\"",
        "{\"nameId\":7}",
        "{\"nameId\":\"req-41\"}",
        &format!("{{\"a\":{deep}"),
    ] {
        assert!(matches!(of(bad).wish(), Wish::Refuse(_)), "{:.20}", bad);
    }
    let bytes = |body: Vec<u8>| {
        Message {
            body,
            ..Message::default()
        }
        .wish()
    };
    assert!(
        matches!(bytes(vec![b'{', 0xff, b'}']), Wish::Refuse(_)),
        "no UTF-8"
    );
    let large = format!(r#"{{"lane":"a","note":"{}"}}"#, "x".repeat(1 << 20));
    assert_eq!(
        bytes(large.into_bytes()),
        Wish::Refuse("the body is too large")
    );
}
