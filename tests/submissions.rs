//! Submissions with a field that is missing, null, of the wrong type, negative or too large are malformed, whatever the rest of them
//! is; fields that may be null may be missing.

use cometlead::protocol::user::{TASK_COUNT_LIMIT, parse_submission};
use cometlead::storage::ids::JobId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Map, Value, json};

/// Fields that every submission has.
const TEXTS: [&str; 5] = ["lane", "crew", "shape", "urgency", "bundle"];
const AMOUNTS: [&str; 7] = [
    "cores",
    "accelerators",
    "memGb",
    "sizeGb",
    "guessS",
    "bookmarkS",
    "stashS",
];
const FLAGS: [&str; 3] = ["oneZone", "apart", "loaners"];
/// Fields that may be null.
const OPTIONS: [&str; 5] = ["builds", "yard", "dueS", "awaits", "rules"];

prop_compose! {
    fn good()(
        job in 0..1_000_000u64,
        shape in prop::sample::select(vec!["sweep", "standing", "group"]),
        priority in prop::sample::select(vec!["critical", "high", "standard", "low"]),
        task_count in 1..=TASK_COUNT_LIMIT,
        amounts in prop::array::uniform7(0.0..1e6f64),
        flags in prop::array::uniform3(any::<bool>()),
        machine_types in prop::option::of(prop::collection::vec("[a-z]{1,5}", 0..3)),
        zone in prop::option::of("[a-z]{1,9}"),
        due in prop::option::of(0.0..1e6f64),
    ) -> Map<String, Value> {
        let mut body = json!({"nameId": format!("req-{job:06}"), "lane": "lane", "crew": "crew", "shape": shape,
            "urgency": priority, "pieces": task_count, "bundle": "img", "builds": machine_types, "yard": zone, "dueS": due});
        AMOUNTS.iter().zip(amounts).for_each(|(f, n)| body[*f] = json!(n));
        FLAGS.iter().zip(flags).for_each(|(f, b)| body[*f] = json!(b));
        body.as_object().expect("an object").clone()
    }
}

fn reads(body: &Map<String, Value>) -> bool {
    parse_submission(Value::Object(body.clone()).to_string().as_bytes()).is_ok()
}

fn with(body: &Map<String, Value>, field: &str, value: Value) -> Map<String, Value> {
    let mut body = body.clone();
    body.insert(field.to_owned(), value);
    body
}

fn without(body: &Map<String, Value>, field: &str) -> Map<String, Value> {
    let mut body = body.clone();
    body.remove(field);
    body
}

/// What a field can never be.
fn wrong(field: &str) -> Vec<Value> {
    let mut all = vec![json!({}), json!([[]]), json!({"a": 1})];
    if FLAGS.contains(&field) {
        all.extend([json!(0), json!(1), json!("true"), json!("")]);
    } else if AMOUNTS.contains(&field) || field == "dueS" {
        all.extend([
            json!(-0.001),
            json!(-1),
            json!(1.1e9),
            json!(1e300),
            json!("1"),
            json!(true),
            json!([]),
        ]);
    } else if field == "pieces" {
        all.extend([
            json!(0),
            json!(-1),
            json!(1.5),
            json!(TASK_COUNT_LIMIT + 1),
            json!(u64::MAX),
            json!("3"),
            json!([]),
        ]);
    } else if field == "builds" || field == "awaits" || field == "rules" {
        all.extend([json!("a"), json!(1), json!(true), json!([1]), json!([null])]);
    } else {
        all.extend([json!(1), json!(true), json!([])]);
        if field != "yard" {
            all.extend([json!(""), json!("x".repeat(300))]);
        }
    }
    if field == "shape" || field == "urgency" {
        all.push(json!("other"));
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_needed_must_be_there(body in good()) {
        prop_assert!(reads(&body));
        for field in TEXTS.iter().chain(&AMOUNTS).chain(&FLAGS).chain(&["nameId", "pieces"]) {
            prop_assert!(!reads(&without(&body, field)), "without {field}");
            prop_assert!(!reads(&with(&body, field, Value::Null)), "{field} null");
        }
    }

    #[test]
    fn what_may_be_null_may_be_missing(body in good(), more in "[a-z]{3,9}X") {
        let read = |body: &Map<String, Value>| parse_submission(Value::Object(body.clone()).to_string().as_bytes());
        for field in OPTIONS {
            let (null, missing) = (read(&with(&body, field, Value::Null)), read(&without(&body, field)));
            prop_assert!(null.is_ok(), "{field} null");
            prop_assert_eq!(format!("{null:?}"), format!("{missing:?}"));
        }
        // Fields that are not known are passed over.
        prop_assert!(reads(&with(&body, &more, json!([1]))));
    }

    #[test]
    fn nothing_wrong_is_taken(body in good()) {
        for field in TEXTS.iter().chain(&AMOUNTS).chain(&FLAGS).chain(&OPTIONS).chain(&["pieces"]) {
            for value in wrong(field) {
                prop_assert!(!reads(&with(&body, field, value.clone())), "{field}: {value}");
            }
        }
        for name in ["", "req-1", "req-0000001x", "job-000001", "req--00001"] {
            prop_assert!(!reads(&with(&body, "nameId", json!(name))), "{name}");
        }
    }

    #[test]
    fn the_name_is_kept(job in 0..1_000_000u64, body in good()) {
        let body = with(&body, "nameId", json!(format!("req-{job:06}")));
        let (id, _) = parse_submission(Value::Object(body).to_string().as_bytes()).expect("a submission");
        prop_assert_eq!(id, JobId(job));
    }
}
