//! Tests of `completion_bitmap`.

use super::*;

fn write_and_read(bitmap: &CompletionBitmap, max_bytes: usize) -> CompletionBitmap {
    let text = serde_json::to_string(bitmap).unwrap();
    assert!(text.len() < max_bytes);
    serde_json::from_str(&text).unwrap()
}

#[test]
fn bitmap_of_a_full_chunk_round_trips_in_both_encodings() {
    let mut bitmap = CompletionBitmap::default();
    assert!(bitmap.insert(3) && bitmap.insert(8_191) && !bitmap.insert(3));
    let read = write_and_read(&bitmap, 2_100);
    assert_eq!(read, bitmap);
    assert_eq!(read.count(), 2);
    bitmap.set_compact_encoding(true);
    assert_eq!(write_and_read(&bitmap, 1_380), bitmap);
}

#[test]
fn text_in_neither_encoding_is_rejected() {
    assert!(serde_json::from_str::<CompletionBitmap>("\"zz\"").is_err());
    assert!(serde_json::from_str::<CompletionBitmap>("\"=%\"").is_err());
}
