//! Tests of `format`.

use super::*;

/// The numbers are in stored records: they must never change.
#[test]
fn format_numbers_equal_those_of_earlier_versions() {
    let numbers = RecordFormat::ALL.map(RecordFormat::number);
    assert_eq!(numbers, [2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(
        (INITIAL_FORMAT, DEPENDENCIES_FORMAT, COMPACT_FORMAT),
        (2, 3, 3)
    );
    assert_eq!(
        (FENCED_FORMAT, LATEST_FORMAT_WITHOUT_RULES, LATEST_FORMAT),
        (5, 7, 8)
    );
}

#[test]
fn unknown_format_number_maps_to_none_and_to_the_newest_format_below_it() {
    assert_eq!(RecordFormat::from_number(1), None);
    assert_eq!(RecordFormat::from_number(9), None);
    assert_eq!(RecordFormat::newest_up_to(0), RecordFormat::Initial);
    assert_eq!(RecordFormat::newest_up_to(4), RecordFormat::CompactRules);
    assert_eq!(
        RecordFormat::newest_up_to(9),
        RecordFormat::DetachedChunkRules
    );
}

#[test]
fn only_formats_four_six_and_eight_have_rules() {
    let with_rules: Vec<u32> = (0..11).filter(|number| format_has_rules(*number)).collect();
    assert_eq!(with_rules, [4, 6, 8]);
}

#[test]
fn each_feature_is_available_from_the_format_that_added_it() {
    let compact = RecordFormat::ALL.map(RecordFormat::has_compact_encoding);
    assert_eq!(compact, [false, true, true, true, true, true, true]);
    let dependencies = RecordFormat::ALL.map(RecordFormat::has_dependencies);
    assert_eq!(dependencies, compact);
    let fenced = RecordFormat::ALL.map(RecordFormat::is_fenced);
    assert_eq!(fenced, [false, false, false, true, true, true, true]);
    let detached_chunk = RecordFormat::ALL.map(RecordFormat::has_detached_chunk);
    assert_eq!(
        detached_chunk,
        [false, false, false, false, false, true, true]
    );
}
