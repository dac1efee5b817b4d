//! Tests of `completion_bitmap`.

use super::*;

fn stored_and_read(bitmap: &CompletionBitmap, most_bytes: usize) -> CompletionBitmap {
    let text = serde_json::to_string(bitmap).unwrap();
    assert!(text.len() < most_bytes);
    serde_json::from_str(&text).unwrap()
}

#[test]
fn full_chunk_is_read_as_written_in_either_encoding() {
    let mut bitmap = CompletionBitmap::default();
    assert!(bitmap.insert(3) && bitmap.insert(8_191) && !bitmap.insert(3));
    let read = stored_and_read(&bitmap, 2_100);
    assert_eq!(read, bitmap);
    assert_eq!(read.count(), 2);
    bitmap.set_compact_encoding(true);
    assert_eq!(stored_and_read(&bitmap, 1_380), bitmap);
}

#[test]
fn text_of_neither_encoding_is_refused() {
    assert!(serde_json::from_str::<CompletionBitmap>("\"zz\"").is_err());
    assert!(serde_json::from_str::<CompletionBitmap>("\"=%\"").is_err());
}
