//! Tests of `completion_bitmap`.

use super::*;

#[test]
fn survives_the_store() {
    let mut set = CompletionBitmap::default();
    assert!(set.insert(3) && set.insert(8_191) && !set.insert(3));
    let text = serde_json::to_string(&set).unwrap();
    assert!(text.len() < 2_100);
    let back: CompletionBitmap = serde_json::from_str(&text).unwrap();
    assert_eq!(back, set);
    assert_eq!(back.count(), 2);
    assert!(serde_json::from_str::<CompletionBitmap>("\"zz\"").is_err());
    set.terse(true);
    let text = serde_json::to_string(&set).unwrap();
    assert!(text.len() < 1_380);
    let back: CompletionBitmap = serde_json::from_str(&text).unwrap();
    assert_eq!(back, set);
    assert!(serde_json::from_str::<CompletionBitmap>("\"=%\"").is_err());
}
