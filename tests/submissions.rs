//! A submission with a field that is missing, null, of the wrong type, negative or too large is malformed, whatever its other
//! fields are. Optional fields may be null or missing.

use cometlead::protocol::user::{TASK_COUNT_LIMIT, parse_submission};
use cometlead::storage::ids::JobId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Map, Value, json};

/// Required fields with a text.
const REQUIRED_TEXTS: [&str; 5] = ["lane", "crew", "shape", "urgency", "bundle"];
/// Required fields with an amount.
const REQUIRED_AMOUNTS: [&str; 7] = [
    "cores",
    "accelerators",
    "memGb",
    "sizeGb",
    "guessS",
    "bookmarkS",
    "stashS",
];
/// Required fields with a flag.
const REQUIRED_FLAGS: [&str; 3] = ["oneZone", "apart", "loaners"];
/// Fields that may be null or missing.
const OPTIONAL_FIELDS: [&str; 5] = ["builds", "yard", "dueS", "awaits", "rules"];

prop_compose! {
    fn valid_submission()(
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
        REQUIRED_AMOUNTS.iter().zip(amounts).for_each(|(f, n)| body[*f] = json!(n));
        REQUIRED_FLAGS.iter().zip(flags).for_each(|(f, b)| body[*f] = json!(b));
        body.as_object().expect("an object").clone()
    }
}

fn is_valid(body: &Map<String, Value>) -> bool {
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

/// Values that are invalid for a field.
fn invalid_values(field: &str) -> Vec<Value> {
    let mut all = vec![json!({}), json!([[]]), json!({"a": 1})];
    if REQUIRED_FLAGS.contains(&field) {
        all.extend([json!(0), json!(1), json!("true"), json!("")]);
    } else if REQUIRED_AMOUNTS.contains(&field) || field == "dueS" {
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
    fn submission_without_a_required_field_is_malformed(body in valid_submission()) {
        prop_assert!(is_valid(&body));
        for field in REQUIRED_TEXTS.iter().chain(&REQUIRED_AMOUNTS).chain(&REQUIRED_FLAGS).chain(&["nameId", "pieces"]) {
            prop_assert!(!is_valid(&without(&body, field)), "without {field}");
            prop_assert!(!is_valid(&with(&body, field, Value::Null)), "{field} null");
        }
    }

    #[test]
    fn null_and_missing_optional_fields_are_equivalent(body in valid_submission(), unknown in "[a-z]{3,9}X") {
        let parsed = |body: &Map<String, Value>| parse_submission(Value::Object(body.clone()).to_string().as_bytes());
        for field in OPTIONAL_FIELDS {
            let (null, missing) = (parsed(&with(&body, field, Value::Null)), parsed(&without(&body, field)));
            prop_assert!(null.is_ok(), "{field} null");
            prop_assert_eq!(format!("{null:?}"), format!("{missing:?}"));
        }
        // Unknown fields are ignored.
        prop_assert!(is_valid(&with(&body, &unknown, json!([1]))));
    }

    #[test]
    fn submission_with_an_invalid_value_is_malformed(body in valid_submission()) {
        for field in REQUIRED_TEXTS.iter().chain(&REQUIRED_AMOUNTS).chain(&REQUIRED_FLAGS).chain(&OPTIONAL_FIELDS).chain(&["pieces"]) {
            for value in invalid_values(field) {
                prop_assert!(!is_valid(&with(&body, field, value.clone())), "{field}: {value}");
            }
        }
        for name in ["", "req-1", "req-0000001x", "job-000001", "req--00001"] {
            prop_assert!(!is_valid(&with(&body, "nameId", json!(name))), "{name}");
        }
    }

    #[test]
    fn job_number_is_parsed_from_the_name(job in 0..1_000_000u64, body in valid_submission()) {
        let body = with(&body, "nameId", json!(format!("req-{job:06}")));
        let (id, _) = parse_submission(Value::Object(body).to_string().as_bytes()).expect("a submission");
        prop_assert_eq!(id, JobId(job));
    }
}
