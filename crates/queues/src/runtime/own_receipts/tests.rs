use super::OwnReceipts;
use crate::message::MessageKey;
use crate::wire::receipts::{decode, encode};

#[test]
fn receipt_is_acknowledged_once_all_its_messages_are_obsolete_in_any_order() {
    let (a, b) = (MessageKey(1), MessageKey(u128::MAX));
    assert_eq!(decode(&encode(&[a, b])), [a, b]);
    let mut own = OwnReceipts::default();
    own.add(7, vec![a, b]);
    assert!(own.remove_obsolete(&[a]).is_empty());
    assert_eq!(own.remove_obsolete(&[b]), [7]);
    assert!(own.remove_obsolete(&[a]).is_empty());
    own.add(8, vec![a]);
    assert_eq!(own.remove_obsolete(&[]), [8]);
}
