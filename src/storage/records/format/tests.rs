//! Tests of `format`.

use super::*;

/// The numbers are in stored records: they must never change.
#[test]
fn stored_numbers_are_those_of_earlier_versions() {
    let numbers = RecordFormat::ALL.map(RecordFormat::number);
    assert_eq!(numbers, [2, 3, 4, 5, 6]);
    assert_eq!(
        (INITIAL_FORMAT, DEPENDENCIES_FORMAT, COMPACT_FORMAT),
        (2, 3, 3)
    );
    assert_eq!(
        (FENCED_FORMAT, FENCED_RULES_FORMAT, LATEST_FORMAT),
        (5, 6, 6)
    );
}

#[test]
fn number_without_known_format_yields_none_and_the_newest_format_before_it() {
    assert_eq!(RecordFormat::from_number(1), None);
    assert_eq!(RecordFormat::from_number(7), None);
    assert_eq!(RecordFormat::newest_up_to(0), RecordFormat::Initial);
    assert_eq!(RecordFormat::newest_up_to(4), RecordFormat::CompactRules);
    assert_eq!(RecordFormat::newest_up_to(7), RecordFormat::FencedRules);
}

#[test]
fn formats_with_rules_are_the_fourth_and_the_sixth() {
    let ruled: Vec<u32> = (0..9).filter(|number| format_has_rules(*number)).collect();
    assert_eq!(ruled, [4, 6]);
}

#[test]
fn features_begin_with_the_format_that_added_them() {
    let compact = RecordFormat::ALL.map(RecordFormat::has_compact_encoding);
    assert_eq!(compact, [false, true, true, true, true]);
    let dependencies = RecordFormat::ALL.map(RecordFormat::has_dependencies);
    assert_eq!(dependencies, compact);
    let fenced = RecordFormat::ALL.map(RecordFormat::is_fenced);
    assert_eq!(fenced, [false, false, false, true, true]);
}
