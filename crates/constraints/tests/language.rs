//! Tests of the language: parsing, errors, printing, evaluation by class, and conflicting rules.

use cometlead_constraints::conflict::smallest_conflict;
use cometlead_constraints::evaluation::{EmptyMachine, MachineState, Traits};
use cometlead_constraints::expr::{Comparison, Expr, Field, Operand, Test, Words};
use cometlead_constraints::parse::{DEPTH_LIMIT, TESTS_LIMIT, TEXT_LIMIT};
use cometlead_constraints::rules::{RuleSet, RuleText, parse_job_rules};
use cometlead_constraints::value::{Quantity, UNITS, Value};
use proptest::prelude::*;

fn parse_error(text: &str) -> String {
    text.parse::<Expr>().expect_err(text).to_string()
}

#[test]
fn parse_errors_name_the_position_and_what_was_expected() {
    for (text, error) in [
        ("", "line 1, column 1: expected"),
        ("fonts has", "line 1, column 10: expected"),
        (
            "cores >= 16 and\n  memory >",
            "line 2, column 11: expected a number, a word",
        ),
        ("(zone = a", "line 1, column 10: expected `)`"),
        ("zone = a or or spot", "line 1, column 13: expected"),
        (
            "beside wing a",
            "line 1, column 8: expected `lane`, `crew`, `image`, `urgency` or `job`",
        ),
        ("zone in {a, }", "line 1, column 13: expected a word"),
        ("zone = \"a", "line 1, column"),
        ("Zone = a", "line 1, column 1: expected"),
    ] {
        let found = parse_error(text);
        assert!(found.starts_with(error), "{text:?}: {found}");
    }
}

#[test]
fn expressions_beyond_the_limits_are_rejected() {
    let deep = |n: usize| format!("{}spot{}", "(".repeat(n), ")".repeat(n));
    assert!(deep(DEPTH_LIMIT).parse::<Expr>().is_ok());
    assert!(parse_error(&deep(DEPTH_LIMIT + 1)).contains("nested deeper"));
    assert!(parse_error(&"(".repeat(TEXT_LIMIT)).contains("nested deeper"));
    assert!(parse_error(&("not ".repeat(DEPTH_LIMIT + 1) + "spot")).contains("nested deeper"));
    assert!(parse_error(&" ".repeat(TEXT_LIMIT + 1)).contains("longer than"));
    let many = |n: usize| vec!["spot"; n].join(" or ");
    assert!(many(TESTS_LIMIT).parse::<Expr>().is_ok());
    assert!(parse_error(&many(TESTS_LIMIT + 1)).contains("tests"));
}

#[test]
fn expressions_hold_by_units_words_and_flags() {
    let traits: Traits = [
        (
            "memory",
            Value::Number(Quantity::parse("64", "GB").unwrap()),
        ),
        ("boot", Value::Number(Quantity::parse("30", "s").unwrap())),
        ("zone", Value::Word("7-hills".to_owned())),
        (
            "fonts",
            Value::Words(["latin", "oromo"].map(str::to_owned).into()),
        ),
        ("exposed", Value::Flag(true)),
    ]
    .map(|(k, v)| (k.to_owned(), v))
    .into();
    for (text, holds) in [
        ("memory >= 64000 MB and memory < 0.065 TB", true),
        ("memory > 64 GB", false),
        ("memory = 64", false),
        ("boot <= 0.5 min and boot != 29.999s", true),
        ("zone = 7-hills", true),
        ("zone in {\"7-hills\", b}", true),
        ("zone not in 7-hills", false),
        ("fonts has {arabic, oromo}", true),
        ("fonts has any arabic or fonts has all {oromo, latin}", true),
        ("fonts has all {oromo, arabic}", false),
        ("exposed and not spot", true),
        ("present spot or present fonts", true),
        ("not (spot or exposed)", false),
        ("colour != red", false),
    ] {
        let expr: Expr = text.parse().unwrap_or_else(|e| panic!("{text}: {e}"));
        assert_eq!(expr.holds(&traits, &EmptyMachine), holds, "{text}");
    }
}

const FILE: &str = r#"{"labels": {"types": {"kiosk-box": {"fonts": ["latin"], "floor": 2}},
    "zones": {"merkato": {"near": ["print"], "fonts": ["oromo"]}}, "machines": {"i-000007": {"exposed": true, "floor": 3}}},
  "rules": [{"name": "fonts", "for": {"lanes": ["renders"]}, "require": "fonts has oromo"},
    {"name": "print-room", "prefer": "near has print", "weight": 5, "waitS": 20}]}"#;

#[test]
fn labels_of_machine_type_and_zone_are_merged() {
    let set = RuleSet::parse(FILE.as_bytes()).unwrap();
    let mut traits = Traits::new();
    set.add_labels(&mut traits, "kiosk-box", "merkato", Some("i-000007"));
    assert_eq!(
        traits["floor"],
        Value::Number(Quantity::parse("3", "").unwrap()),
        "the machine's own label takes precedence"
    );
    assert_eq!(
        traits["fonts"],
        Value::Words(["latin", "oromo"].map(str::to_owned).into())
    );
    assert_eq!(traits["exposed"], Value::Flag(true));
    let again: RuleSet = serde_json::from_str(&serde_json::to_string(&set).unwrap()).unwrap();
    assert_eq!(again, set, "unchanged by serialization, digest included");
}

#[test]
fn rules_file_errors_name_the_rule_or_label_and_the_problem() {
    for (from, to, error) in [
        ("\"rules\":", "\"ruels\":", "unknown field `ruels`"),
        ("\"weight\": 5", "\"weigth\": 5", "unknown field `weigth`"),
        (
            "\"weight\": 5",
            "\"weight\": 0",
            "rule print-room: weight: must be 1 to 1000",
        ),
        (
            "\"waitS\": 20",
            "\"waitS\": -1",
            "rule print-room: waitS: must be 0 to 86400",
        ),
        (
            "\"print-room\"",
            "\"fonts\"",
            "rule fonts: the name is used twice",
        ),
        (
            "\"print-room\"",
            "\"Print room\"",
            "rule Print room: a name is",
        ),
        (
            "has oromo",
            "has oromo and",
            "rule fonts: line 1, column 20: expected",
        ),
        (
            "fonts has oromo",
            "fonst has oromo",
            "no machine has a trait `fonst`; is `fonts` meant?",
        ),
        (
            "fonts has oromo",
            "fonts = oromo",
            "`fonts` is a set of words, and is asked as if it were a word",
        ),
        (
            "fonts has oromo",
            "boot > 30",
            "`boot` is a time (ms, s, min, h), and is asked as if it were a plain number",
        ),
        (
            "fonts has oromo",
            "zone < oromo",
            "only = and != are for words",
        ),
        (
            "fonts has oromo",
            "cores > 9999999999999",
            "asked as if it were a word",
        ),
        ("\"floor\": 2", "\"floor\": \"two\"", "label floor: is"),
        (
            "\"floor\": 2",
            "\"floor\": -2",
            "label floor: must be 0 to 1e9",
        ),
        (
            "\"floor\": 2",
            "\"cores\": 2",
            "label cores: is what machines have by themselves",
        ),
        ("\"floor\": 2", "\"own\": 2", "label own: a name is"),
        ("\"lanes\"", "\"lane\"", "unknown field `lane`"),
        (
            "\"lanes\": [\"renders\"]",
            "\"urgencies\": [\"urgent\"]",
            "for.urgencies",
        ),
        (
            "\"require\"",
            "\"waitS\": 1, \"require\"",
            "weight and waitS are for `prefer`",
        ),
    ] {
        let text = FILE.replacen(from, to, 1);
        assert_ne!(text, FILE);
        let found = RuleSet::parse(text.as_bytes()).expect_err(to).to_string();
        assert!(
            found.contains(error) && !found.contains('\n'),
            "{to}: {found}"
        );
    }
}

#[test]
fn job_rules_survive_serialization() {
    let texts: Vec<RuleText> = serde_json::from_str(
        r#"[{"name": "a", "require": "not beside lane {masters, \"raw cuts\"}"}, {"name": "b", "prefer": "spot", "weight": 3, "waitS": 1.5}]"#,
    )
    .unwrap();
    let rules = parse_job_rules(&texts).unwrap();
    let text = serde_json::to_string(&rules).unwrap();
    assert_eq!(
        text,
        r#"[["a","not beside lane {masters, \"raw cuts\"}"],["b","spot",3,1500000]]"#
    );
    assert_eq!(
        serde_json::from_str::<Vec<cometlead_constraints::Rule>>(&text).unwrap(),
        rules
    );
    let scoped = texts.iter().map(|t| RuleText {
        scope: serde_json::from_str(r#"{"lanes":["x"]}"#).unwrap(),
        ..t.clone()
    });
    assert!(
        parse_job_rules(&scoped.collect::<Vec<_>>()).is_err(),
        "a job's own rules cannot have a scope"
    );
    assert!(parse_job_rules(&vec![texts[0].clone(); 13]).is_err());
}

fn word() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-zA-Z0-9_.:/+-]{1,8}",
        "[ -~äöñ]{1,6}",
        Just("and".to_owned()),
        Just("own".to_owned()),
        Just("16".to_owned())
    ]
}

fn words() -> impl Strategy<Value = Words> {
    prop::collection::btree_set(word(), 1..4)
}

fn quantity() -> impl Strategy<Value = Quantity> {
    (0..100_000u32, 0..1_000u32, 0..UNITS.len())
        .prop_map(|(n, part, u)| Quantity::parse(&format!("{n}.{part:03}"), UNITS[u].name).unwrap())
}

const NAMES: [&str; 4] = ["zone", "fonts", "floor", "exposed"];

fn test_of_a_trait() -> impl Strategy<Value = Expr> {
    let operand = prop_oneof![
        word().prop_map(Operand::Word),
        quantity().prop_map(Operand::Number)
    ];
    let sign = (0..Comparison::ALL.len()).prop_map(|i| Comparison::ALL[i].0);
    let test = prop_oneof![
        Just(Test::Flag),
        Just(Test::Present),
        (sign, operand).prop_map(|(c, o)| Test::Compare(c, o)),
        words().prop_map(Test::Within),
        words().prop_map(Test::HasAny),
        words().prop_map(Test::HasAll),
    ];
    (prop::sample::select(&NAMES[..]), test)
        .prop_map(|(n, t)| Expr::Trait(n.to_owned(), t, Default::default()))
}

fn expr() -> impl Strategy<Value = Expr> {
    let field = (0..Field::ALL.len()).prop_map(|i| Field::ALL[i].0);
    let leaf = prop_oneof![
        4 => test_of_a_trait(),
        1 => Just(Expr::HasOwnImage),
        1 => words().prop_map(Expr::HasAnyImage),
        1 => (field, words()).prop_map(|(f, w)| Expr::Colocated(f, w)),
    ];
    leaf.prop_recursive(5, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 2..4).prop_map(Expr::Or),
            prop::collection::vec(inner.clone(), 2..4).prop_map(Expr::And),
            inner.prop_map(|e| Expr::Not(Box::new(e))),
        ]
    })
}

/// A machine whose state is derived from the bits of a random number.
struct RandomMachine(u64);

impl MachineState for RandomMachine {
    fn has_own_image(&self) -> bool {
        self.0 & 1 == 1
    }
    fn has_any_image(&self, images: &Words) -> bool {
        self.0 >> (1 + images.len()) & 1 == 1
    }
    fn has_colocated(&self, field: Field, words: &Words) -> bool {
        self.0 >> (8 + words.len() + field as usize * 4) & 1 == 1
    }
}

fn traits() -> impl Strategy<Value = Traits> {
    let value = prop_oneof![
        word().prop_map(Value::Word),
        words().prop_map(Value::Words),
        any::<bool>().prop_map(Value::Flag),
        quantity().prop_map(Value::Number),
    ];
    prop::collection::btree_map(
        prop::sample::select(&NAMES[..]).prop_map(str::to_owned),
        value,
        0..4,
    )
}

proptest! {
    #[test]
    fn printed_expressions_parse_to_equal_expressions(e in expr()) {
        let text = e.to_string();
        prop_assert_eq!(text.parse::<Expr>().map_err(|x| format!("{text}: {x}")), Ok(e));
    }

    /// An expression is evaluated once for a class of equal machines. Each machine of the class must get the result
    /// that its own evaluation would give.
    #[test]
    fn evaluation_by_class_equals_evaluation_by_machine(e in expr(), t in traits(), bits in any::<u64>()) {
        prop_assert_eq!(
            e.reduce(&t).holds(&RandomMachine(bits)),
            e.holds(&t, &RandomMachine(bits))
        );
    }

    /// The reported set excludes every class, and no smaller set does.
    #[test]
    fn smallest_conflict_excludes_every_class(classes in prop::collection::vec(0..256u128, 0..9)) {
        let excludes_all = |set: u128| classes.iter().all(|p| p & set != 0);
        match smallest_conflict(&classes) {
            None => prop_assert!(classes.contains(&0)),
            Some(set) => {
                prop_assert!(excludes_all(set));
                prop_assert!((0..256u128).all(|s| s.count_ones() >= set.count_ones() || !excludes_all(s)));
            }
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = text.parse::<Expr>();
    }

    /// Tokens of the language in random order reach more of the parser than arbitrary text does.
    #[test]
    fn arbitrary_tokens_do_not_panic(parts in prop::collection::vec(prop::sample::select(&[
        "(", ")", "{", "}", ",", "\"", "\\", "not", "and", "or", "in", "has", "all", "any", "holds", "own", "beside",
        "lane", "present", "zone", "=", "<=", "16", "GB", "1.5", "\n", "é", "7x",
    ][..]), 0..120)) {
        let _ = parts.join(" ").parse::<Expr>();
    }
}
