//! Connections to the broker over AMQP 0-9-1, with `amqprs`.
//!
//! Messages, acknowledgements, answers and own receipts share one channel, because an AMQP transaction belongs to a
//! channel. Receipts of other consumers are read on channels of their own, because the broker closes a channel when it
//! refuses an operation.

mod closure;
mod connection_loss;
mod orphan_receipts;
mod session;

use super::endpoint::Endpoint;
use super::header_filter::HeaderFilter;
use crate::settings::{Credentials, QueueSettings, SettingsError};
use crate::state_machine::{BrokerCommand, Event};
use amqprs::connection::{Connection, OpenConnectionArguments};
use amqprs::tls::TlsAdaptor;
use session::Session;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// How long the broker may take for any operation.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(15);
/// Shortest delay between two attempts to connect.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// Longest delay between two attempts to connect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// How long the broker may take to close a connection at shutdown.
const SHUTDOWN_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the broker may take to close a failed connection.
const FAILED_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECTION_NAME: &str = "cometlead queues";

/// An event of a broker connection.
#[derive(Debug)]
pub(super) struct BrokerEvent {
    /// Number of the connection.
    pub connection: u64,
    pub event: Event,
}

/// A command for a certain connection; others ignore it.
#[derive(Debug)]
pub(super) struct SessionCommand {
    /// Number of the connection.
    pub connection: u64,
    pub command: BrokerCommand,
}

type Commands = mpsc::UnboundedReceiver<SessionCommand>;
type Events = mpsc::UnboundedSender<BrokerEvent>;

/// Why a connection failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    /// The library reports an error.
    #[error("AMQP: {0}")]
    Amqp(#[from] amqprs::error::Error),
    /// The header filter cannot be started.
    #[error("cannot start the header filter: {0}")]
    HeaderFilter(#[from] io::Error),
    /// The broker took longer than [`OPERATION_TIMEOUT`].
    #[error("no response within {} s", OPERATION_TIMEOUT.as_secs())]
    Timeout,
    /// The broker closed the connection or the channel, or cancelled a consumer.
    #[error("closed by the broker: {code} {reason}")]
    ClosedByBroker {
        /// AMQP reply code.
        code: u16,
        /// The broker's text.
        reason: String,
    },
    /// The channel is closed, and the broker gave no reason.
    #[error("closed without a reason")]
    ClosedWithoutReason,
    /// The network connection broke, or heartbeats are missing.
    #[error("connection lost")]
    Lost,
    /// The state machine requested a new connection.
    #[error("reconnect requested")]
    ReconnectRequested,
}

impl ConnectionError {
    /// Whether a content header that the library cannot decode may be the cause.
    fn may_be_undecodable_header(&self) -> bool {
        matches!(self, ConnectionError::Lost | ConnectionError::Amqp(_))
    }
}

/// An open connection, possibly through a header filter.
struct OpenConnection {
    connection: Connection,
    filter: Option<HeaderFilter>,
}

impl OpenConnection {
    async fn close(&self, limit: Duration) {
        // The connection is abandoned whether or not the broker confirms that it is closed.
        let _ = tokio::time::timeout(limit, self.connection.clone().close()).await;
    }

    /// Reports that the connection has failed, and closes it.
    async fn fail(
        &self,
        connection_number: u64,
        error: &ConnectionError,
        events: &Events,
    ) -> NextAction {
        let filtered = self.filter.is_some();
        tracing::error!(%error, connection = connection_number, filtered, "connection to the broker lost");
        let disconnected = BrokerEvent {
            connection: connection_number,
            event: Event::Disconnected,
        };
        // Without a receiver the service has ended.
        if events.send(disconnected).is_err() {
            return NextAction::Stop;
        }
        self.close(FAILED_CLOSE_TIMEOUT).await;
        NextAction::Reconnect {
            through_filter: error.may_be_undecodable_header(),
        }
    }
}

/// What to do after a connection has ended.
enum NextAction {
    Stop,
    Reconnect { through_filter: bool },
}

/// How the broker is reached.
pub(super) struct Broker {
    settings: Arc<QueueSettings>,
    credentials: Credentials,
    endpoint: Endpoint,
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
        base_dir: &Path,
    ) -> Result<Broker, SettingsError> {
        let endpoint = Endpoint::new(&settings, base_dir)?;
        Ok(Broker {
            settings,
            credentials,
            endpoint,
        })
    }

    /// Keeps a connection open, and opens a new one when it fails, until the sender of commands is dropped.
    pub async fn keep_connected(self, mut commands: Commands, events: Events) {
        let mut delay = MIN_RECONNECT_DELAY;
        let mut through_filter = false;
        for connection_number in 1.. {
            let opened = tokio::select! {
                opened = self.connect(through_filter) => opened,
                () = senders_dropped(&mut commands) => return,
            };
            match opened {
                Ok(open) => {
                    delay = MIN_RECONNECT_DELAY;
                    match self
                        .serve(open, connection_number, &mut commands, &events)
                        .await
                    {
                        NextAction::Stop => return,
                        NextAction::Reconnect { through_filter: f } => through_filter = f,
                    }
                }
                Err(error) => tracing::error!(%error, "cannot connect to the broker"),
            }
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = senders_dropped(&mut commands) => return,
            }
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    /// Serves one connection until it ends, and closes it.
    async fn serve(
        &self,
        open: OpenConnection,
        connection_number: u64,
        commands: &mut Commands,
        events: &Events,
    ) -> NextAction {
        let mut tasks = JoinSet::new();
        let connection = open.connection.clone();
        let settings = &self.settings;
        let session = Session::run(
            settings,
            connection,
            connection_number,
            &mut tasks,
            commands,
            events,
        );
        let next = match session.await {
            Ok(()) => {
                open.close(SHUTDOWN_CLOSE_TIMEOUT).await;
                NextAction::Stop
            }
            Err(error) => open.fail(connection_number, &error, events).await,
        };
        tasks.shutdown().await;
        if let Some(filter) = open.filter {
            filter.stop().await;
        }
        next
    }

    async fn connect(&self, through_filter: bool) -> Result<OpenConnection, ConnectionError> {
        tokio::time::timeout(OPERATION_TIMEOUT, self.open(through_filter))
            .await
            .unwrap_or(Err(ConnectionError::Timeout))
    }

    async fn open(&self, through_filter: bool) -> Result<OpenConnection, ConnectionError> {
        if !through_filter {
            let mut arguments = self.arguments(&self.endpoint.host, self.endpoint.port);
            if let Some(tls) = self.endpoint.tls.clone() {
                arguments.tls_adaptor(TlsAdaptor::new(tls.connector, tls.server_name));
            }
            return Ok(OpenConnection {
                connection: Connection::open(&arguments).await?,
                filter: None,
            });
        }
        let filter = HeaderFilter::start(&self.endpoint).await?;
        let arguments = self.arguments(&filter.address.ip().to_string(), filter.address.port());
        match Connection::open(&arguments).await {
            Ok(connection) => Ok(OpenConnection {
                connection,
                filter: Some(filter),
            }),
            Err(error) => {
                filter.stop().await;
                Err(error.into())
            }
        }
    }

    fn arguments(&self, host: &str, port: u16) -> OpenConnectionArguments {
        let Credentials { user, password } = &self.credentials;
        let mut arguments = OpenConnectionArguments::new(host, port, user, password);
        arguments
            .virtual_host(&self.settings.broker.vhost)
            .heartbeat(self.settings.broker.heartbeat_s)
            .connection_name(CONNECTION_NAME);
        arguments
    }
}

/// Waits until all senders of commands are dropped. Commands that arrive without a connection are discarded.
async fn senders_dropped(commands: &mut Commands) {
    while commands.recv().await.is_some() {}
}

/// Runs an operation of the library with a time limit.
async fn with_timeout<T>(
    operation: impl Future<Output = Result<T, amqprs::error::Error>>,
) -> Result<T, ConnectionError> {
    let result = tokio::time::timeout(OPERATION_TIMEOUT, operation).await;
    Ok(result.map_err(|_| ConnectionError::Timeout)??)
}
