//! Handling of AMQP methods.

use super::State;
use super::frames::IncomingMessage;
use crate::fakes::broker::{ChannelId, Refusal};
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::{AMQPClass, basic, channel, connection, queue, tx};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// The server's reply to a method.
enum MethodReply {
    NoReply,
    Send(AMQPClass),
    /// Closes the channel for this reason.
    CloseChannel(Refusal),
    /// Sends a confirmation and ends the connection.
    CloseConnection(AMQPClass),
}

impl State {
    /// Handles a method. Returns whether the connection stays open.
    pub(super) fn handle_method(
        &mut self,
        channel: ChannelId,
        method: AMQPClass,
        frames: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, IncomingMessage>,
    ) -> bool {
        let reply = match method {
            AMQPClass::Connection(method) => self.connection_method(channel, method),
            AMQPClass::Channel(method) => self.channel_method(channel, method),
            AMQPClass::Queue(method) => self.queue_method(method),
            AMQPClass::Basic(method) => self.basic_method(channel, method, incoming),
            AMQPClass::Tx(method) => self.transaction_method(channel, method),
            _ => MethodReply::NoReply,
        };
        let (_, id) = channel;
        match reply {
            MethodReply::NoReply => true,
            MethodReply::Send(method) => frames.send(AMQPFrame::Method(id, method)).is_ok(),
            MethodReply::CloseChannel(refusal) => {
                self.broker.close_channel(channel, false);
                let close = channel_close_method(refusal);
                frames.send(AMQPFrame::Method(id, close)).is_ok()
            }
            MethodReply::CloseConnection(method) => {
                // The connection ends whether or not the client reads the confirmation.
                let _ = frames.send(AMQPFrame::Method(0, method));
                false
            }
        }
    }

    fn connection_method(
        &mut self,
        channel: ChannelId,
        method: connection::AMQPMethod,
    ) -> MethodReply {
        use connection::AMQPMethod;
        let (number, _) = channel;
        match method {
            AMQPMethod::StartOk(_) => {
                let tune = connection::Tune {
                    channel_max: 2_000,
                    frame_max: 131_072,
                    heartbeat: 1,
                };
                MethodReply::Send(AMQPClass::Connection(AMQPMethod::Tune(tune)))
            }
            AMQPMethod::Open(_) => {
                self.established.insert(number);
                let ok = AMQPMethod::OpenOk(connection::OpenOk {});
                MethodReply::Send(AMQPClass::Connection(ok))
            }
            AMQPMethod::Close(_) => {
                let ok = AMQPMethod::CloseOk(connection::CloseOk {});
                MethodReply::CloseConnection(AMQPClass::Connection(ok))
            }
            _ => MethodReply::NoReply,
        }
    }

    fn channel_method(&mut self, channel: ChannelId, method: channel::AMQPMethod) -> MethodReply {
        use channel::AMQPMethod;
        match method {
            AMQPMethod::Open(_) => {
                self.broker.open_channel(channel);
                let ok = AMQPMethod::OpenOk(channel::OpenOk {});
                MethodReply::Send(AMQPClass::Channel(ok))
            }
            AMQPMethod::Close(_) => {
                self.broker.close_channel(channel, false);
                let ok = AMQPMethod::CloseOk(channel::CloseOk {});
                MethodReply::Send(AMQPClass::Channel(ok))
            }
            _ => MethodReply::NoReply,
        }
    }

    fn queue_method(&mut self, method: queue::AMQPMethod) -> MethodReply {
        use queue::AMQPMethod;
        match method {
            AMQPMethod::Declare(declare) => self.declare_queue(declare),
            AMQPMethod::Delete(delete) => {
                self.broker.delete_queue(delete.queue.as_str());
                let ok = queue::DeleteOk { message_count: 0 };
                MethodReply::Send(AMQPClass::Queue(AMQPMethod::DeleteOk(ok)))
            }
            _ => MethodReply::NoReply,
        }
    }

    fn declare_queue(&mut self, declare: queue::Declare) -> MethodReply {
        let name = declare.queue.as_str();
        if !declare.passive {
            self.broker.declare_queue(name);
        }
        if !self.broker.queue_exists(name) {
            return MethodReply::CloseChannel(Refusal::NoSuchQueue);
        }
        let ok = queue::DeclareOk {
            message_count: self.broker.ready_count(name) as u32,
            queue: declare.queue,
            consumer_count: 0,
        };
        MethodReply::Send(AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)))
    }

    fn basic_method(
        &mut self,
        channel: ChannelId,
        method: basic::AMQPMethod,
        incoming: &mut BTreeMap<u16, IncomingMessage>,
    ) -> MethodReply {
        use basic::AMQPMethod;
        match method {
            AMQPMethod::Qos(qos) => {
                self.broker.set_prefetch(channel, qos.prefetch_count.into());
                MethodReply::Send(AMQPClass::Basic(AMQPMethod::QosOk(basic::QosOk {})))
            }
            AMQPMethod::Consume(consume) => self.consume(channel, consume),
            AMQPMethod::Publish(publish) => {
                let published = IncomingMessage::new(publish.routing_key.as_str());
                incoming.insert(channel.1, published);
                MethodReply::NoReply
            }
            AMQPMethod::Ack(ack) => match self.broker.ack(channel, ack.delivery_tag) {
                Ok(()) => MethodReply::NoReply,
                Err(refusal) => MethodReply::CloseChannel(refusal),
            },
            _ => MethodReply::NoReply,
        }
    }

    fn consume(&mut self, channel: ChannelId, consume: basic::Consume) -> MethodReply {
        let queue = consume.queue.as_str();
        let tag = consume.consumer_tag.as_str();
        let consumed =
            self.broker
                .consume_with_channel_prefetch(channel, queue, tag, consume.exclusive);
        if let Err(refusal) = consumed {
            return MethodReply::CloseChannel(refusal);
        }
        if consume.no_ack {
            self.broker.set_no_ack_for_newest_consumer(queue);
        }
        let ok = basic::ConsumeOk {
            consumer_tag: consume.consumer_tag,
        };
        MethodReply::Send(AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok)))
    }

    fn transaction_method(&mut self, channel: ChannelId, method: tx::AMQPMethod) -> MethodReply {
        use tx::AMQPMethod;
        match method {
            AMQPMethod::Select(_) => {
                self.broker.select_transactions(channel);
                MethodReply::Send(AMQPClass::Tx(AMQPMethod::SelectOk(tx::SelectOk {})))
            }
            AMQPMethod::Commit(_) => match self.broker.commit(channel) {
                Ok(()) => MethodReply::Send(AMQPClass::Tx(AMQPMethod::CommitOk(tx::CommitOk {}))),
                Err(refusal) => MethodReply::CloseChannel(refusal),
            },
            _ => MethodReply::NoReply,
        }
    }
}

fn channel_close_method(refusal: Refusal) -> AMQPClass {
    let (reply_code, text) = match refusal {
        Refusal::NoSuchQueue => (404, "NOT_FOUND"),
        Refusal::ExclusivelyConsumed => (403, "ACCESS_REFUSED"),
        Refusal::NoSuchDelivery => (406, "PRECONDITION_FAILED"),
    };
    let close = channel::Close {
        reply_code,
        reply_text: text.into(),
        class_id: 0,
        method_id: 0,
    };
    AMQPClass::Channel(channel::AMQPMethod::Close(close))
}
