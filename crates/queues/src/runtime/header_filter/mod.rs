//! A proxy between the broker and `amqprs` that replaces content headers which the library cannot decode.
//!
//! A content header that cannot be decoded (a text that is not UTF-8, an unknown field type) ends an `amqprs`
//! connection. Its message is not acknowledged, so it is delivered again and ends the next connection as well: one
//! message would stop its queue. So after a connection was lost, the next one goes through this proxy, over
//! loopback within the process. An undecodable header is replaced by one with the reply address and the header
//! [`UNREADABLE_HEADER`]; everything else passes unchanged.

#[cfg(test)]
mod tests;

use super::endpoint::Endpoint;
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

/// Bytes of the length field of a frame.
const LENGTH_BYTES: usize = 4;
/// Frame type, channel and length, before the payload.
const FRAME_HEADER_BYTES: usize = 7;
/// The end octet after the payload.
const FRAME_END_BYTES: usize = 1;
/// The type of a frame with a content header.
const CONTENT_HEADER_FRAME: u8 = 2;
/// Class, weight and body size, before the properties in a content header.
const CONTENT_PREFIX_BYTES: usize = 12;
/// Where the properties begin in a frame with a content header.
const PROPERTIES_START: usize = FRAME_HEADER_BYTES + CONTENT_PREFIX_BYTES;
/// Largest frame that is accepted, far larger than any that brokers send.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// A proxy for one connection.
pub(super) struct HeaderFilter {
    /// Where the library has to connect.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl HeaderFilter {
    /// Connects to the broker and listens on loopback for one connection.
    pub async fn start(endpoint: &Endpoint) -> io::Result<HeaderFilter> {
        let broker = endpoint.connect().await?;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            if let Err(error) = serve(broker, listener).await {
                tracing::debug!(%error, "header filter ended");
            }
        });
        Ok(HeaderFilter { address, task })
    }

    /// Ends the proxy and its connections.
    pub async fn stop(mut self) {
        self.task.abort();
        // The result is either a completed or a cancelled task.
        let _ = (&mut self.task).await;
    }
}

impl Drop for HeaderFilter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    broker: impl AsyncRead + AsyncWrite + Send + 'static,
    listener: TcpListener,
) -> io::Result<()> {
    let (library, _) = listener.accept().await?;
    drop(listener);
    forward(broker, library).await
}

async fn forward(
    broker: impl AsyncRead + AsyncWrite + Send + 'static,
    library: TcpStream,
) -> io::Result<()> {
    library.set_nodelay(true)?;
    let (from_broker, mut to_broker) = tokio::io::split(broker);
    let (mut from_library, mut to_library) = library.into_split();
    let mut frames = FramedRead::new(from_broker, frame_codec());
    let upstream = async {
        tokio::io::copy(&mut from_library, &mut to_broker).await?;
        to_broker.shutdown().await
    };
    let downstream = async {
        while let Some(frame) = frames.next().await {
            to_library
                .write_all(&replace_undecodable_header(frame?))
                .await?;
        }
        Ok(())
    };
    // When one side ends, the other one sees the end of its connection.
    tokio::select! {
        ended = upstream => ended,
        ended = downstream => ended,
    }
}

/// Splits the stream into whole frames.
fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_offset(FRAME_HEADER_BYTES - LENGTH_BYTES)
        .length_field_length(LENGTH_BYTES)
        .length_adjustment((FRAME_HEADER_BYTES + FRAME_END_BYTES) as isize)
        .num_skip(0)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// The frame itself if the library can decode it, otherwise a replacement.
fn replace_undecodable_header(frame: BytesMut) -> BytesMut {
    let payload_end = frame.len().saturating_sub(FRAME_END_BYTES);
    let is_content_header = frame.first() == Some(&CONTENT_HEADER_FRAME);
    let properties = frame.get(PROPERTIES_START..payload_end);
    let Some(properties) = properties.filter(|_| is_content_header) else {
        return frame;
    };
    if from_bytes::<BasicProperties>(properties).is_ok() {
        return frame;
    }
    let Ok(replacement) = to_bytes(&decodable_properties(properties)) else {
        return frame;
    };
    tracing::error!("replaced undecodable properties or headers of a message");
    let payload_bytes = CONTENT_PREFIX_BYTES + replacement.len();
    let mut replaced = BytesMut::with_capacity(PROPERTIES_START + replacement.len() + 1);
    replaced.extend_from_slice(&frame[..FRAME_HEADER_BYTES - LENGTH_BYTES]);
    replaced.put_u32(payload_bytes as u32);
    replaced.extend_from_slice(&frame[FRAME_HEADER_BYTES..PROPERTIES_START]);
    replaced.extend_from_slice(&replacement);
    replaced.extend_from_slice(&frame[payload_end..]);
    replaced
}

/// The part of undecodable properties that can be read: the addresses for an answer, if they are valid.
fn decodable_properties(properties: &[u8]) -> BasicProperties {
    let mut decodable = BasicProperties::default();
    if let Ok((_, parsed)) = basic::parse_properties(properties) {
        if let Some(reply_to) = parsed.reply_to() {
            decodable.with_reply_to(reply_to.as_str());
        }
        if let Some(correlation_id) = parsed.correlation_id() {
            decodable.with_correlation_id(correlation_id.as_str());
        }
        if let Some(id) = parsed.message_id() {
            decodable.with_message_id(id.as_str());
        }
    }
    let mut headers = FieldTable::new();
    if let Ok(name) = UNREADABLE_HEADER.try_into() {
        headers.insert(name, FieldValue::t(true));
    }
    decodable.with_headers(headers);
    decodable
}
