//! Tests of `ids`.

use super::*;

#[test]
fn names_and_numbers_map_one_to_one() {
    assert_eq!("req-000412".parse::<JobId>(), Ok(JobId(412)));
    assert_eq!("req-1234567".parse::<JobId>(), Ok(JobId(1_234_567)));
    assert_eq!(JobId(412).to_string(), "req-000412");
    for invalid in [
        "req-412",
        "req-0000412",
        "job-000412",
        "req-00041x",
        "req-",
        "req-+00041",
    ] {
        assert_eq!(invalid.parse::<JobId>(), Err(InvalidName), "{invalid}");
    }
    assert_eq!(
        "req-000412/3".parse::<TaskId>().map(|t| t.to_string()),
        Ok("req-000412/3".to_owned())
    );
}
