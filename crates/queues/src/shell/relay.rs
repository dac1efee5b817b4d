//! Between the broker and `amqprs`, for a while: what that library cannot read never reaches it.
//!
//! A content header that cannot be read (a text that is no UTF-8, an unknown kind of field) ends an `amqprs`
//! connection, and since its message was not acknowledged it comes again and ends the next one as well: one message
//! would stop its queue. So after a connection was lost the next one goes through here, over loopback within this
//! process. Such a header is replaced by one that tells where to answer and that the rest could not be read; everything
//! else passes as it is.

use super::target::Target;
use crate::wire::amqp::UNREADABLE_HEADER;
use amq_protocol::protocol::basic;
use amqp_serde::{from_bytes, to_bytes};
use amqprs::{BasicProperties, FieldTable, FieldValue};
use bytes::{BufMut, BytesMut};
use futures_util::StreamExt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Kind, channel and length before a frame's payload, and the byte behind it.
const HEAD: usize = 7;
const END: usize = 1;
/// The kind of a frame with a content header; its class, weight and the body's size, before the properties.
const CONTENT_HEADER: u8 = 2;
const COMMON: usize = 12;
/// Largest frame that is taken: far more than any broker sends.
const FRAME_LIMIT: usize = 16 << 20;

/// Makes a way to the broker for one connection; it ends with that connection.
pub async fn open(target: Target) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let broker = target.connect().await?;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let at = listener.local_addr()?;
    let way = tokio::spawn(async move {
        let Ok((library, _)) = listener.accept().await else {
            return;
        };
        drop(listener);
        if let Err(error) = pass(broker, library).await {
            tracing::debug!(%error, "the way to the broker ended");
        }
    });
    Ok((at, way))
}

async fn pass(
    broker: impl AsyncRead + AsyncWrite + Send + 'static,
    library: TcpStream,
) -> io::Result<()> {
    library.set_nodelay(true)?;
    let (from_broker, mut to_broker) = tokio::io::split(broker);
    let (mut from_library, mut to_library) = library.into_split();
    let codec = LengthDelimitedCodec::builder()
        .length_field_offset(HEAD - 4)
        .length_field_length(4)
        .length_adjustment((HEAD + END) as isize)
        .num_skip(0)
        .max_frame_length(FRAME_LIMIT)
        .new_codec();
    let mut frames = FramedRead::new(from_broker, codec);
    let there = async {
        tokio::io::copy(&mut from_library, &mut to_broker).await?;
        to_broker.shutdown().await
    };
    let back = async {
        while let Some(frame) = frames.next().await {
            to_library.write_all(&readable(frame?)).await?;
        }
        Ok(())
    };
    // Whichever side ends, the other one is told by the end of its connection.
    tokio::select! {
        ended = there => ended,
        ended = back => ended,
    }
}

/// The frame, or one in its place that the library can read.
fn readable(frame: BytesMut) -> BytesMut {
    let payload = frame.len().saturating_sub(END);
    let Some(properties) = frame
        .get(HEAD + COMMON..payload)
        .filter(|_| frame.first() == Some(&CONTENT_HEADER))
    else {
        return frame;
    };
    if from_bytes::<BasicProperties>(properties).is_ok() {
        return frame;
    }
    let Ok(stripped) = to_bytes(&stripped(properties)) else {
        return frame;
    };
    tracing::error!("a message whose properties or headers cannot be read");
    let mut new = BytesMut::with_capacity(HEAD + COMMON + stripped.len() + END);
    new.extend_from_slice(&frame[..HEAD - 4]);
    new.put_u32((COMMON + stripped.len()) as u32);
    new.extend_from_slice(&frame[HEAD..HEAD + COMMON]);
    new.extend_from_slice(&stripped);
    new.extend_from_slice(&frame[payload..]);
    new
}

/// What is left of properties that cannot be read: whom to answer, if that much can be told.
fn stripped(properties: &[u8]) -> BasicProperties {
    let mut left = BasicProperties::default();
    if let Ok((_, told)) = basic::parse_properties(properties) {
        if let Some(to) = told.reply_to() {
            left.with_reply_to(to.as_str());
        }
        if let Some(correlation) = told.correlation_id() {
            left.with_correlation_id(correlation.as_str());
        }
        if let Some(id) = told.message_id() {
            left.with_message_id(id.as_str());
        }
    }
    let mut headers = FieldTable::new();
    if let Ok(name) = UNREADABLE_HEADER.try_into() {
        headers.insert(name, FieldValue::t(true));
    }
    left.with_headers(headers);
    left
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn frame(kind: u8, payload: &[u8]) -> BytesMut {
        let mut frame = BytesMut::from(&[kind, 0, 1][..]);
        frame.put_u32(payload.len() as u32);
        frame.extend_from_slice(payload);
        frame.put_u8(0xce);
        frame
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Whatever comes, what goes on can be read, and what could be read goes on as it came.
        #[test]
        fn what_goes_on_can_be_read(bytes in prop::collection::vec(any::<u8>(), 0..80), kind in 0u8..5) {
            let came = frame(kind, &bytes);
            let goes = readable(came.clone());
            let properties = |f: &BytesMut| f[HEAD + COMMON..f.len() - END].to_vec();
            if kind == CONTENT_HEADER && bytes.len() >= COMMON {
                prop_assert!(from_bytes::<BasicProperties>(&properties(&goes)).is_ok());
                prop_assert_eq!(goes.len() - HEAD - END, u32::from_be_bytes([goes[3], goes[4], goes[5], goes[6]]) as usize);
                prop_assert!(goes == came || from_bytes::<BasicProperties>(&properties(&came)).is_err());
            } else {
                prop_assert_eq!(goes, came);
            }
        }
    }
}
