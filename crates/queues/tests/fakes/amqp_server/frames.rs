//! Frames in both directions.

use super::{ConnectionNumber, State, StoredMessage};
use crate::fakes::broker::{ChannelId, Delivery};
use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::{AMQPClass, basic, connection};
use amq_protocol::types::{FieldTable, LongString};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Class id of the `basic` methods.
const BASIC_CLASS_ID: u16 = 60;
/// Maximum size of the body in one frame.
const MAX_BODY_FRAME_BYTES: usize = 100_000;

/// A message that is being published on a channel.
pub(super) struct IncomingMessage {
    queue: String,
    /// Bytes of the body that have not arrived yet.
    missing_bytes: u64,
    /// Present from the content header on.
    message: Option<StoredMessage>,
}

impl IncomingMessage {
    pub fn new(queue: &str) -> IncomingMessage {
        IncomingMessage {
            queue: queue.to_owned(),
            missing_bytes: 0,
            message: None,
        }
    }
}

impl State {
    /// Handles a frame of a client. Returns whether the connection stays open.
    pub(super) fn handle_frame(
        &mut self,
        connection: ConnectionNumber,
        frame: AMQPFrame,
        frames: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, IncomingMessage>,
    ) -> bool {
        match frame {
            AMQPFrame::ProtocolHeader(_) => frames.send(start_frame()).is_ok(),
            AMQPFrame::Method(id, method) => {
                self.handle_method((connection, id), method, frames, incoming)
            }
            AMQPFrame::Header(id, _, header) => {
                let Some(published) = incoming.get_mut(&id) else {
                    return false;
                };
                published.missing_bytes = header.body_size;
                published.message = Some(StoredMessage {
                    properties: header.properties,
                    body: Vec::new(),
                });
                self.publish_if_complete((connection, id), published);
                true
            }
            AMQPFrame::Body(id, bytes) => {
                let Some(published) = incoming.get_mut(&id) else {
                    return false;
                };
                published.missing_bytes =
                    published.missing_bytes.saturating_sub(bytes.len() as u64);
                if let Some(message) = &mut published.message {
                    message.body.extend(bytes);
                }
                self.publish_if_complete((connection, id), published);
                true
            }
            AMQPFrame::Heartbeat(_) => true,
        }
    }

    fn publish_if_complete(&mut self, channel: ChannelId, published: &mut IncomingMessage) {
        if published.missing_bytes == 0
            && let Some(message) = published.message.take()
        {
            self.broker.publish(channel, &published.queue, message);
        }
    }

    /// Sends ready messages to their consumers.
    pub(super) fn send_deliveries(&mut self) {
        for delivery in self.broker.deliver() {
            let (connection, _) = delivery.channel;
            if self.hanging.contains(&connection) {
                continue;
            }
            if let Some(frames) = self.connections.get(&connection) {
                for frame in delivery_frames(delivery) {
                    // Fails only for a connection that is ending and accepts no more frames.
                    let _ = frames.send(frame);
                }
            }
        }
    }
}

fn start_frame() -> AMQPFrame {
    let start = connection::Start {
        version_major: 0,
        version_minor: 9,
        server_properties: FieldTable::default(),
        mechanisms: LongString::from("PLAIN"),
        locales: LongString::from("en_US"),
    };
    let method = AMQPClass::Connection(connection::AMQPMethod::Start(start));
    AMQPFrame::Method(0, method)
}

fn delivery_frames(delivery: Delivery<StoredMessage>) -> Vec<AMQPFrame> {
    let (_, channel) = delivery.channel;
    let StoredMessage { properties, body } = delivery.message;
    let deliver = basic::Deliver {
        consumer_tag: delivery.consumer.as_str().into(),
        delivery_tag: delivery.tag,
        redelivered: delivery.redelivered,
        exchange: "".into(),
        routing_key: delivery.queue.as_str().into(),
    };
    let header = AMQPContentHeader {
        class_id: BASIC_CLASS_ID,
        body_size: body.len() as u64,
        properties,
    };
    let method = AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver));
    let mut frames = vec![
        AMQPFrame::Method(channel, method),
        AMQPFrame::Header(channel, BASIC_CLASS_ID, Box::new(header)),
    ];
    let parts = body.chunks(MAX_BODY_FRAME_BYTES);
    frames.extend(parts.map(|part| AMQPFrame::Body(channel, part.to_vec())));
    frames
}
