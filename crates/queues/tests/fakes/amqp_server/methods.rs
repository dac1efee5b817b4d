//! AMQP methods.

use super::State;
use super::frames::Incoming;
use crate::fakes::broker::{ChannelId, Refusal};
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::{AMQPClass, basic, channel, connection, queue, tx};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// What the server does after a method.
enum Reply {
    Nothing,
    Send(AMQPClass),
    /// Close the channel for this reason.
    Refuse(Refusal),
    /// Confirm, and end the connection.
    EndConnection(AMQPClass),
}

impl State {
    /// Handles a method. Returns whether the connection goes on.
    pub(super) fn handle_method(
        &mut self,
        channel: ChannelId,
        method: AMQPClass,
        frames: &mpsc::UnboundedSender<AMQPFrame>,
        incoming: &mut BTreeMap<u16, Incoming>,
    ) -> bool {
        let reply = match method {
            AMQPClass::Connection(method) => self.connection_method(channel, method),
            AMQPClass::Channel(method) => self.channel_method(channel, method),
            AMQPClass::Queue(method) => self.queue_method(method),
            AMQPClass::Basic(method) => self.basic_method(channel, method, incoming),
            AMQPClass::Tx(method) => self.transaction_method(channel, method),
            _ => Reply::Nothing,
        };
        let (_, id) = channel;
        match reply {
            Reply::Nothing => true,
            Reply::Send(method) => frames.send(AMQPFrame::Method(id, method)).is_ok(),
            Reply::Refuse(refusal) => {
                self.broker.close(channel, false);
                let close = close_channel(refusal);
                frames.send(AMQPFrame::Method(id, close)).is_ok()
            }
            Reply::EndConnection(method) => {
                // The connection ends whether or not the client reads the confirmation.
                let _ = frames.send(AMQPFrame::Method(0, method));
                false
            }
        }
    }

    fn connection_method(&mut self, channel: ChannelId, method: connection::AMQPMethod) -> Reply {
        use connection::AMQPMethod;
        let (number, _) = channel;
        match method {
            AMQPMethod::StartOk(_) => {
                let tune = connection::Tune {
                    channel_max: 2_000,
                    frame_max: 131_072,
                    heartbeat: 1,
                };
                Reply::Send(AMQPClass::Connection(AMQPMethod::Tune(tune)))
            }
            AMQPMethod::Open(_) => {
                self.open.insert(number);
                let ok = AMQPMethod::OpenOk(connection::OpenOk {});
                Reply::Send(AMQPClass::Connection(ok))
            }
            AMQPMethod::Close(_) => {
                let ok = AMQPMethod::CloseOk(connection::CloseOk {});
                Reply::EndConnection(AMQPClass::Connection(ok))
            }
            _ => Reply::Nothing,
        }
    }

    fn channel_method(&mut self, channel: ChannelId, method: channel::AMQPMethod) -> Reply {
        use channel::AMQPMethod;
        match method {
            AMQPMethod::Open(_) => {
                self.broker.open(channel);
                let ok = AMQPMethod::OpenOk(channel::OpenOk {});
                Reply::Send(AMQPClass::Channel(ok))
            }
            AMQPMethod::Close(_) => {
                self.broker.close(channel, false);
                let ok = AMQPMethod::CloseOk(channel::CloseOk {});
                Reply::Send(AMQPClass::Channel(ok))
            }
            _ => Reply::Nothing,
        }
    }

    fn queue_method(&mut self, method: queue::AMQPMethod) -> Reply {
        use queue::AMQPMethod;
        match method {
            AMQPMethod::Declare(declare) => self.declare_queue(declare),
            AMQPMethod::Delete(delete) => {
                self.broker.delete(delete.queue.as_str());
                let ok = queue::DeleteOk { message_count: 0 };
                Reply::Send(AMQPClass::Queue(AMQPMethod::DeleteOk(ok)))
            }
            _ => Reply::Nothing,
        }
    }

    fn declare_queue(&mut self, declare: queue::Declare) -> Reply {
        let name = declare.queue.as_str();
        if !declare.passive {
            self.broker.declare(name);
        }
        if !self.broker.exists(name) {
            return Reply::Refuse(Refusal::NoSuchQueue);
        }
        let ok = queue::DeclareOk {
            message_count: self.broker.ready(name) as u32,
            queue: declare.queue,
            consumer_count: 0,
        };
        Reply::Send(AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)))
    }

    fn basic_method(
        &mut self,
        channel: ChannelId,
        method: basic::AMQPMethod,
        incoming: &mut BTreeMap<u16, Incoming>,
    ) -> Reply {
        use basic::AMQPMethod;
        match method {
            AMQPMethod::Qos(qos) => {
                self.broker.qos(channel, qos.prefetch_count.into());
                Reply::Send(AMQPClass::Basic(AMQPMethod::QosOk(basic::QosOk {})))
            }
            AMQPMethod::Consume(consume) => self.consume(channel, consume),
            AMQPMethod::Publish(publish) => {
                let published = Incoming::new(publish.routing_key.as_str());
                incoming.insert(channel.1, published);
                Reply::Nothing
            }
            AMQPMethod::Ack(ack) => match self.broker.ack(channel, ack.delivery_tag) {
                Ok(()) => Reply::Nothing,
                Err(refusal) => Reply::Refuse(refusal),
            },
            _ => Reply::Nothing,
        }
    }

    fn consume(&mut self, channel: ChannelId, consume: basic::Consume) -> Reply {
        let queue = consume.queue.as_str();
        let tag = consume.consumer_tag.as_str();
        let consumed = self
            .broker
            .consume_with_qos(channel, queue, tag, consume.exclusive);
        if let Err(refusal) = consumed {
            return Reply::Refuse(refusal);
        }
        if consume.no_ack {
            self.broker.without_acks(queue);
        }
        let ok = basic::ConsumeOk {
            consumer_tag: consume.consumer_tag,
        };
        Reply::Send(AMQPClass::Basic(basic::AMQPMethod::ConsumeOk(ok)))
    }

    fn transaction_method(&mut self, channel: ChannelId, method: tx::AMQPMethod) -> Reply {
        use tx::AMQPMethod;
        match method {
            AMQPMethod::Select(_) => {
                self.broker.select(channel);
                Reply::Send(AMQPClass::Tx(AMQPMethod::SelectOk(tx::SelectOk {})))
            }
            AMQPMethod::Commit(_) => match self.broker.commit(channel) {
                Ok(()) => Reply::Send(AMQPClass::Tx(AMQPMethod::CommitOk(tx::CommitOk {}))),
                Err(refusal) => Reply::Refuse(refusal),
            },
            _ => Reply::Nothing,
        }
    }
}

fn close_channel(refusal: Refusal) -> AMQPClass {
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
