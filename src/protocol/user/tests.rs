//! Tests of the parser of submissions.

use super::*;

const VALID: &str = r#"{"nameId":"req-000412","lane":"train","crew":"vision","shape":"sweep","urgency":"high",
    "pieces":16,"cores":8.0,"accelerators":1,"memGb":64.5,"bundle":"img-07","sizeGb":6.2,"builds":["g8"],
    "yard":null,"oneZone":true,"apart":false,"loaners":true,"guessS":240.0,"bookmarkS":30.0,"stashS":4.0,
    "dueS":900.0,"awaits":["req-000411","req-000007","req-000411"],"later":1}"#;

#[test]
fn valid_submission_is_parsed_field_by_field() {
    let (id, spec) = parse_submission(VALID.as_bytes()).unwrap();
    assert_eq!(id, JobId(412));
    assert_eq!(
        (spec.need.cores, spec.need.memory, spec.image_size),
        (8_000, 64_500, 6_200)
    );
    assert_eq!(spec.deadline, Some(Micros::secs(900)));
    let nulls = VALID
        .replace("\"dueS\":900.0", "\"dueS\":null")
        .replace("\"yard\":null,", "");
    assert_eq!(parse_submission(nulls.as_bytes()).unwrap().1.deadline, None);
    assert_eq!(
        spec.dependencies,
        [JobId(7), JobId(411)],
        "sorted, without duplicates"
    );
    for none in ["null", "[]"] {
        let text = VALID.replace(r#"["req-000411","req-000007","req-000411"]"#, none);
        assert_eq!(
            parse_submission(text.as_bytes()).unwrap().1.dependencies,
            []
        );
    }
}

#[test]
fn submission_with_an_invalid_field_is_rejected() {
    for (from, to) in [
        ("req-000412", "req-412"),
        ("\"pieces\":16", "\"pieces\":0"),
        ("\"pieces\":16", "\"pieces\":100001"),
        ("\"pieces\":16", "\"pieces\":-1"),
        ("\"cores\":8.0", "\"cores\":-8.0"),
        ("\"cores\":8.0", "\"cores\":1e999"),
        ("\"cores\":8.0", "\"cores\":\"8\""),
        ("\"cores\":8.0,", ""),
        ("\"sweep\"", "\"gang\""),
        ("\"high\"", "\"urgent\""),
        ("\"oneZone\":true", "\"oneZone\":1"),
        ("\"dueS\":900.0", "\"dueS\":-1"),
        ("\"loaners\":true", "\"loaners\":null"),
        ("\"req-000007\"", "7"),
        ("\"req-000007\"", "\"req-7\""),
        (
            "[\"req-000411\",\"req-000007\",\"req-000411\"]",
            "\"req-000411\"",
        ),
    ] {
        let invalid = VALID.replace(from, to);
        assert_ne!(invalid, VALID);
        assert!(parse_submission(invalid.as_bytes()).is_err(), "{to}");
    }
    assert!(parse_submission(b"[1]").is_err());
    assert!(parse_submission(b"").is_err());
}
