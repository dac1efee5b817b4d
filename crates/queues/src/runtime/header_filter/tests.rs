use super::{
    CONTENT_HEADER_FRAME, CONTENT_PREFIX_BYTES, FRAME_END_BYTES, FRAME_HEADER_BYTES,
    PROPERTIES_START, replace_undecodable_header,
};
use amqp_serde::from_bytes;
use amqprs::BasicProperties;
use bytes::{BufMut, BytesMut};
use proptest::prelude::*;

fn frame(kind: u8, payload: &[u8]) -> BytesMut {
    let mut frame = BytesMut::from(&[kind, 0, 1][..]);
    frame.put_u32(payload.len() as u32);
    frame.extend_from_slice(payload);
    frame.put_u8(0xce);
    frame
}

fn properties(frame: &BytesMut) -> Vec<u8> {
    frame[PROPERTIES_START..frame.len() - FRAME_END_BYTES].to_vec()
}

fn payload_length(frame: &BytesMut) -> usize {
    u32::from_be_bytes([frame[3], frame[4], frame[5], frame[6]]) as usize
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn undecodable_headers_are_replaced_and_other_frames_pass_unchanged(
        bytes in prop::collection::vec(any::<u8>(), 0..80),
        kind in 0u8..5,
    ) {
        let received = frame(kind, &bytes);
        let sent = replace_undecodable_header(received.clone());
        if kind == CONTENT_HEADER_FRAME && bytes.len() >= CONTENT_PREFIX_BYTES {
            prop_assert!(from_bytes::<BasicProperties>(&properties(&sent)).is_ok());
            prop_assert_eq!(sent.len() - FRAME_HEADER_BYTES - FRAME_END_BYTES, payload_length(&sent));
            prop_assert!(sent == received || from_bytes::<BasicProperties>(&properties(&received)).is_err());
        } else {
            prop_assert_eq!(sent, received);
        }
    }
}
