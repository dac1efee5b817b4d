//! The connection to the broker: AMQP 0-9-1 by `amqprs`.
//!
//! Messages, acknowledgements, answers and receipts share one channel, since a transaction is a channel's; the
//! receipts of other connections are read on channels of their own, which the broker closes when it refuses.

use super::Told;
use super::receipts::Own;
use super::relay;
use super::target::Target;
use crate::answer::Post;
use crate::front::{Commit, Event, Receipts, Tag};
use crate::mark::Holder;
use crate::message::{Key, Message};
use crate::settings::{BadSettings, Credentials, QueueSettings};
use crate::wire::amqp::{
    dead_letter_properties, decode_message, final_answer_body, receipt_properties,
    reply_properties, status_update_body,
};
use crate::wire::receipts::{decode, encode, queue_name};
use amqprs::callbacks::{ChannelCallback, ConnectionCallback};
use amqprs::channel::{
    BasicAckArguments, BasicConsumeArguments, BasicPublishArguments, BasicQosArguments, Channel,
    ConsumerMessage, QueueDeclareArguments, QueueDeleteArguments,
};
use amqprs::connection::{Connection, OpenConnectionArguments};
use amqprs::error::Error;
use amqprs::tls::TlsAdaptor;
use amqprs::{Ack, BasicProperties, Cancel, Close, CloseChannel, Nack, Return};
use async_trait::async_trait;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

/// How long the broker may take to answer anything.
const PATIENCE: Duration = Duration::from_secs(15);
/// Time between two attempts to connect, at first and at most.
const AGAIN: Duration = Duration::from_millis(250);
const MOST_AGAIN: Duration = Duration::from_secs(5);
/// The broker's code for what is not there.
const NOT_FOUND: u16 = 404;

/// What the front wants of the connection.
#[derive(Debug)]
pub enum Order {
    Open(Holder),
    Consume,
    Drop,
    Commit(Commit),
    Read(Holder),
    Clear(Holder, bool),
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("{0}")]
    Amqp(#[from] Error),
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("closed by the broker: {0}")]
    Closed(String),
    #[error("connection lost")]
    Lost,
    #[error("given up")]
    GivenUp,
}

/// How the broker is reached.
pub struct Broker {
    settings: Arc<QueueSettings>,
    credentials: Credentials,
    target: Target,
}

impl std::fmt::Debug for Broker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Broker")
    }
}

impl Broker {
    pub fn new(
        settings: Arc<QueueSettings>,
        credentials: Credentials,
        base: &Path,
    ) -> Result<Broker, BadSettings> {
        let target = Target::new(&settings, base)?;
        Ok(Broker {
            settings,
            credentials,
            target,
        })
    }

    /// Connects, after a connection that was lost through a relay that sorts out what `amqprs` cannot read.
    async fn connect(&self, by_relay: bool) -> Result<(Connection, Option<JoinHandle<()>>), End> {
        let (mut host, mut port, mut relay) = (self.target.host.clone(), self.target.port, None);
        if by_relay {
            let (at, way) = relay::open(self.target.clone()).await?;
            (host, port, relay) = (at.ip().to_string(), at.port(), Some(way));
        }
        let mut args = OpenConnectionArguments::new(
            &host,
            port,
            &self.credentials.user,
            &self.credentials.password,
        );
        let b = &self.settings.broker;
        args.virtual_host(&b.vhost)
            .heartbeat(b.heartbeat_s)
            .connection_name("cometlead queues");
        if let Some((connector, name)) = self.target.tls.clone().filter(|_| !by_relay) {
            args.tls_adaptor(TlsAdaptor::new(connector, name));
        }
        match Connection::open(&args).await {
            Ok(connection) => Ok((connection, relay)),
            Err(error) => {
                relay.inspect(JoinHandle::abort);
                Err(error.into())
            }
        }
    }

    /// One connection after the other, until nobody wants one any more.
    pub async fn keep_connected(
        self,
        mut orders: mpsc::UnboundedReceiver<(u64, Order)>,
        events: mpsc::UnboundedSender<Told>,
    ) {
        let mut pause = AGAIN;
        let mut by_relay = false;
        for epoch in 1.. {
            let opened = tokio::time::timeout(PATIENCE, self.connect(by_relay));
            let opened = tokio::select! {
                opened = opened => opened,
                // The shell has ended.
                () = gone(&mut orders) => return,
            };
            match opened.unwrap_or(Err(End::Silent)) {
                Ok((connection, relay)) => {
                    pause = AGAIN;
                    let end = Link::run(
                        &self.settings,
                        connection.clone(),
                        epoch,
                        &mut orders,
                        &events,
                    )
                    .await;
                    let close = |limit| {
                        tokio::time::timeout(Duration::from_secs(limit), connection.clone().close())
                    };
                    let Err(end) = end else {
                        let _ = close(2).await;
                        return;
                    };
                    tracing::error!(error = %end, link = epoch, by_relay, "the connection to the broker is gone");
                    // It may have been a message that cannot be read.
                    by_relay = matches!(end, End::Lost | End::Amqp(_));
                    if events.send((Some(epoch), Event::Down)).is_err() {
                        return;
                    }
                    let _ = close(1).await;
                    relay.inspect(JoinHandle::abort);
                }
                Err(error) => tracing::error!(%error, "cannot connect to the broker"),
            }
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = gone(&mut orders) => return,
            }
            pause = (pause * 2).min(MOST_AGAIN);
        }
    }
}

/// Waits for the end of those who give orders; what is ordered without a connection is for none.
async fn gone(orders: &mut mpsc::UnboundedReceiver<(u64, Order)>) {
    while orders.recv().await.is_some() {}
}

/// What the broker says unasked.
#[derive(Clone, Debug, Default)]
struct Watch {
    closed: Arc<Mutex<Option<(u16, String)>>>,
    notify: Arc<Notify>,
}

impl Watch {
    fn close(&self, code: u16, text: &str) {
        *self.closed.lock() = Some((code, text.to_owned()));
        self.notify.notify_one();
    }

    fn code(&self) -> Option<u16> {
        self.closed.lock().as_ref().map(|(code, _)| *code)
    }

    fn end(&self) -> End {
        let closed = self.closed.lock().clone();
        End::Closed(closed.map_or_else(
            || "no reason given".to_owned(),
            |(code, text)| format!("{code} {text}"),
        ))
    }
}

#[async_trait]
impl ConnectionCallback for Watch {
    async fn close(&mut self, _: &Connection, close: Close) -> Result<(), Error> {
        Watch::close(self, close.reply_code(), close.reply_text());
        Ok(())
    }

    async fn blocked(&mut self, _: &Connection, reason: String) {
        tracing::error!(
            reason,
            "the broker is short of memory or disk, and takes no answers for now"
        );
    }

    async fn unblocked(&mut self, _: &Connection) {
        tracing::info!("the broker takes answers again");
    }

    async fn secret_updated(&mut self, _: &Connection) {}
}

#[async_trait]
impl ChannelCallback for Watch {
    async fn close(&mut self, _: &Channel, close: CloseChannel) -> Result<(), Error> {
        Watch::close(self, close.reply_code(), close.reply_text());
        Ok(())
    }

    // A queue that is gone ends the connection: the next one finds out what is there.
    async fn cancel(&mut self, _: &Channel, _: Cancel) -> Result<(), Error> {
        Watch::close(self, NOT_FOUND, "a consumer was cancelled by the broker");
        Ok(())
    }

    async fn flow(&mut self, _: &Channel, active: bool) -> Result<bool, Error> {
        Ok(active)
    }

    async fn publish_ack(&mut self, _: &Channel, _: Ack) {}

    async fn publish_nack(&mut self, _: &Channel, _: Nack) {}

    async fn publish_return(&mut self, _: &Channel, _: Return, _: BasicProperties, _: Vec<u8>) {}
}

async fn patiently<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, End> {
    Ok(tokio::time::timeout(PATIENCE, call)
        .await
        .map_err(|_| End::Silent)??)
}

struct Link<'a> {
    settings: &'a QueueSettings,
    connection: Connection,
    channel: Channel,
    epoch: u64,
    events: mpsc::UnboundedSender<Told>,
    holder: Option<Holder>,
    own: Arc<Mutex<Own>>,
    /// Channels that read the receipts of others, or are about to.
    inquiries: Arc<Mutex<BTreeMap<Holder, Channel>>>,
}

impl Link<'_> {
    /// Serves one connection. `Ok` when nobody wants it any more.
    async fn run(
        settings: &QueueSettings,
        connection: Connection,
        epoch: u64,
        orders: &mut mpsc::UnboundedReceiver<(u64, Order)>,
        events: &mpsc::UnboundedSender<Told>,
    ) -> Result<(), End> {
        let watch = Watch::default();
        patiently(connection.register_callback(watch.clone())).await?;
        let channel = patiently(connection.open_channel(None)).await?;
        patiently(channel.register_callback(watch.clone())).await?;
        patiently(channel.tx_select()).await?;
        let mut link = Link {
            settings,
            connection: connection.clone(),
            channel,
            epoch,
            events: events.clone(),
            holder: None,
            own: Arc::default(),
            inquiries: Arc::default(),
        };
        link.tell(Event::Up(epoch));
        loop {
            let order = tokio::select! {
                order = orders.recv() => order,
                () = watch.notify.notified() => return Err(watch.end()),
                _ = connection.listen_network_io_failure() => return Err(End::Lost),
            };
            match order {
                None => return Ok(()),
                Some((of, order)) if of == epoch => link.carry_out(order).await?,
                Some(_) => {}
            }
            if !link.channel.is_open() {
                return Err(watch.end());
            }
        }
    }

    fn tell(&self, event: Event) {
        // Nobody is left to be told at the end.
        let _ = self.events.send((Some(self.epoch), event));
    }

    async fn carry_out(&mut self, order: Order) -> Result<(), End> {
        match order {
            Order::Open(holder) => self.open(holder).await?,
            Order::Consume => self.consume().await?,
            Order::Drop => return Err(End::GivenUp),
            Order::Commit(commit) => {
                self.commit(commit).await?;
                self.tell(Event::Committed);
            }
            Order::Read(holder) => self.inquire(holder),
            Order::Clear(holder, delete) => self.clear(holder, delete),
        }
        Ok(())
    }

    async fn consume_from(
        &self,
        queue: &str,
        prefetch: u16,
        exclusive: bool,
    ) -> Result<Consumer, End> {
        patiently(
            self.channel
                .basic_qos(BasicQosArguments::new(0, prefetch, false)),
        )
        .await?;
        let args = BasicConsumeArguments::new(queue, queue)
            .manual_ack(true)
            .exclusive(exclusive)
            .finish();
        Ok(patiently(self.channel.basic_consume_rx(args)).await?.1)
    }

    async fn open(&mut self, holder: Holder) -> Result<(), End> {
        let queue = queue_name(holder);
        patiently(
            self.channel
                .queue_declare(QueueDeclareArguments::durable_client_named(&queue)),
        )
        .await?;
        let mut receipts = self.consume_from(&queue, 0, true).await?;
        self.holder = Some(holder);
        let own = Arc::clone(&self.own);
        tokio::spawn(async move {
            while let Some(m) = receipts.recv().await {
                if let (Some(d), Some(body)) = (&m.deliver, &m.content) {
                    own.lock().add(d.delivery_tag(), decode(body));
                }
            }
        });
        self.tell(Event::Opened(true));
        Ok(())
    }

    async fn consume(&mut self) -> Result<(), End> {
        for queue in &self.settings.queues {
            let mut messages = self
                .consume_from(&queue.name, queue.prefetch, false)
                .await?;
            let (events, epoch, name) = (self.events.clone(), self.epoch, queue.name.clone());
            tokio::spawn(async move {
                while let Some(m) = messages.recv().await {
                    if let Some((tag, message)) = read(&name, m)
                        && events
                            .send((Some(epoch), Event::Delivered(tag, message)))
                            .is_err()
                    {
                        return;
                    }
                }
            });
        }
        Ok(())
    }

    async fn publish(
        &self,
        to: &str,
        properties: BasicProperties,
        body: Vec<u8>,
    ) -> Result<(), End> {
        patiently(
            self.channel
                .basic_publish(properties, body, BasicPublishArguments::new("", to)),
        )
        .await
    }

    async fn commit(&mut self, commit: Commit) -> Result<(), End> {
        let keys: Vec<Key> = commit.posts.iter().map(Post::of).collect();
        let gone = self.own.lock().forget(&commit.forget);
        for tag in commit.acks.into_iter().chain(gone) {
            patiently(self.channel.basic_ack(BasicAckArguments::new(tag, false))).await?;
        }
        for notice in &commit.notices {
            self.publish(
                &notice.to,
                reply_properties(notice.of, notice.correlation.as_deref()),
                status_update_body(notice),
            )
            .await?;
        }
        for post in &commit.posts {
            match post {
                Post::Answer(a) => {
                    self.publish(
                        &a.to,
                        reply_properties(a.of, a.correlation.as_deref()),
                        final_answer_body(a),
                    )
                    .await?
                }
                Post::Dead(d) => {
                    self.publish(&d.to, dead_letter_properties(d), d.body.clone())
                        .await?
                }
            }
        }
        if let Some(holder) = self.holder.filter(|_| !keys.is_empty()) {
            self.publish(&queue_name(holder), receipt_properties(), encode(&keys))
                .await?;
        }
        patiently(self.channel.tx_commit()).await
    }

    /// Reads another connection's receipts, beside what else goes on.
    fn inquire(&self, holder: Holder) {
        let (connection, inquiries) = (self.connection.clone(), Arc::clone(&self.inquiries));
        let (events, epoch) = (self.events.clone(), self.epoch);
        tokio::spawn(async move {
            let told = match inquire(&connection, holder, epoch).await {
                Ok((receipts, channel)) => {
                    inquiries.lock().insert(holder, channel);
                    receipts
                }
                Err(receipts) => receipts,
            };
            let _ = events.send((Some(epoch), Event::Receipts(holder, told)));
        });
    }

    /// Leaves another connection's receipts, and removes their queue if that is due.
    fn clear(&self, holder: Holder, delete: bool) {
        let (connection, channel) = (
            self.connection.clone(),
            self.inquiries.lock().remove(&holder),
        );
        let (events, epoch) = (self.events.clone(), self.epoch);
        tokio::spawn(async move {
            let channel = match channel {
                Some(channel) => channel,
                None if delete => match patiently(connection.open_channel(None)).await {
                    Ok(channel) => channel,
                    Err(_) => return,
                },
                None => return,
            };
            let watch = Watch::default();
            let _ = patiently(channel.register_callback(watch.clone())).await;
            if delete {
                let deleted =
                    patiently(channel.queue_delete(QueueDeleteArguments::new(&queue_name(holder))))
                        .await;
                if deleted.is_ok() || watch.code() == Some(NOT_FOUND) {
                    let _ = events.send((Some(epoch), Event::Cleared(holder)));
                }
            }
            let _ = patiently(channel.close()).await;
        });
    }
}

type Consumer = mpsc::UnboundedReceiver<ConsumerMessage>;

/// Reads all receipts of another connection and keeps them from everybody else, as long as the channel is open.
async fn inquire(
    connection: &Connection,
    holder: Holder,
    epoch: u64,
) -> Result<(Receipts, Channel), Receipts> {
    let queue = queue_name(holder);
    let watch = Watch::default();
    let busy = |_: End| Receipts::Busy;
    let channel = patiently(connection.open_channel(None))
        .await
        .map_err(busy)?;
    patiently(channel.register_callback(watch.clone()))
        .await
        .map_err(busy)?;
    let args = BasicConsumeArguments::new(&queue, &queue)
        .manual_ack(true)
        .exclusive(true)
        .finish();
    let consumer = patiently(channel.basic_consume_rx(args)).await;
    let Ok((_, mut receipts)) = consumer else {
        // The reason comes with the end of the channel.
        let missing = watch.code() == Some(NOT_FOUND) && connection.is_open();
        return Err(if missing {
            Receipts::Lost
        } else {
            Receipts::Busy
        });
    };
    // What comes before this one is all that was there.
    let end = format!("end {epoch} {}", std::process::id()).into_bytes();
    let sent = channel.basic_publish(
        BasicProperties::default(),
        end.clone(),
        BasicPublishArguments::new("", &queue),
    );
    patiently(sent).await.map_err(busy)?;
    let mut keys = std::collections::BTreeSet::new();
    loop {
        let next = tokio::time::timeout(PATIENCE, receipts.recv()).await;
        let Ok(Some(m)) = next else {
            let _ = patiently(channel.close()).await;
            return Err(Receipts::Busy);
        };
        let body = m.content.unwrap_or_default();
        if body == end {
            return Ok((Receipts::All(keys), channel));
        }
        keys.extend(decode(&body));
    }
}

fn read(queue: &str, m: ConsumerMessage) -> Option<(Tag, Message)> {
    let (deliver, properties, body) = (m.deliver?, m.basic_properties?, m.content?);
    let message = decode_message(queue, &properties, body, deliver.redelivered());
    Some((deliver.delivery_tag(), message))
}
