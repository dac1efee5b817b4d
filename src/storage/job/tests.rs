//! Tests of cancelled records.

use super::*;
use crate::protocol::user::parse_submission;

const LOWER_VALUE_BYTES: usize = 2 * 1024;
const LONGEST_TEXT_BYTES: usize = 256;

fn record_of_a_large_array() -> JobRecord {
    let text = r#"{"s":{"l":"lane","w":"free","u":"2","n":25000,"r":{"c":10},"i":"img","g":9000000},"t":1}"#;
    let mut record: JobRecord = serde_json::from_str(text).unwrap();
    record.finished.set_compact_encoding(true);
    (0..TASKS_PER_CHUNK).for_each(|index| {
        record.finished.insert(index);
    });
    record.finished_in_chunks = 100;
    record
}

/// Guards against a cancellation that is refused for ever because some text of the job's record is long, whoever wrote it.
#[test]
fn cancelled_record_fits_whatever_text_made_it_long() {
    // Each character takes six bytes in the stored form.
    let long_text = || "\u{1}".repeat(LONGEST_TEXT_BYTES);
    let submission = include_bytes!("../../../tests/rules/job.json");
    let (_, spec_with_rules) = parse_submission(submission).unwrap();
    let lengthen: [&dyn Fn(&mut JobRecord); 6] = [
        &|record| record.spec.job_class = long_text(),
        &|record| record.spec.image = long_text(),
        &|record| record.spec.zone = Some(long_text()),
        &|record| record.spec.machine_types = Some(vec![long_text(); 25]),
        &|record| record.spec.dependencies = (100_000..100_400).map(JobId).collect(),
        &|record| record.spec.rules = vec![spec_with_rules.rules[0].clone(); 32],
    ];
    for chosen in 1..1_u32 << lengthen.len() {
        let mut record = record_of_a_large_array();
        for (index, lengthen) in lengthen.iter().enumerate() {
            if chosen >> index & 1 == 1 {
                lengthen(&mut record);
            }
        }
        let finished = record.finished_count();
        record.cancel_within(LOWER_VALUE_BYTES, &CompletionBitmap::default());
        let bytes = stored_bytes(&record);
        assert!(
            bytes <= LOWER_VALUE_BYTES,
            "{bytes} bytes, texts {chosen:b}"
        );
        assert!(record.cancelled);
        assert_eq!(record.finished_count(), finished, "texts {chosen:b}");
    }
}

/// Guards against the loss of names that placement rules still need while tasks of a cancelled job end.
#[test]
fn cancelled_record_that_fits_keeps_everything() {
    let before = record_of_a_large_array();
    let mut after = before.clone();
    after.cancel_within(LOWER_VALUE_BYTES, &CompletionBitmap::default());
    assert!(after.cancelled);
    assert_eq!(after.spec, before.spec);
    assert_eq!(after.finished, before.finished);
}

/// Guards against finished tasks that are counted twice because another record has them as well.
#[test]
fn cancelled_record_counts_a_task_once_that_another_record_has() {
    let mut record = record_of_a_large_array();
    record.spec.image = "i".repeat(1_000);
    let mut recorded_elsewhere = CompletionBitmap::default();
    recorded_elsewhere.insert(1);
    let finished = record.finished_count();
    record.cancel_within(LOWER_VALUE_BYTES, &recorded_elsewhere);
    assert_eq!(
        record.finished_count() + recorded_elsewhere.count(),
        finished
    );
}
