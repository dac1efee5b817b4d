//! The runtime: carries out the effects of the state machine, and feeds the results back as events.
//!
//! One task owns the state machine. Requests run in tasks of their own, whose number the state machine bounds; their
//! results are events. Events of a broker connection carry the number of the connection, so that events of an earlier
//! one are not mistaken for those of the present one.

mod broker;
mod clock;
mod controllers;
mod endpoint;
mod event_loop;
mod header_filter;
pub mod metrics;
mod own_receipts;
mod state_service;

use crate::settings::{Credentials, QueueSettings, SettingsError};
use crate::state_machine::DeliveryStateMachine;
use broker::Broker;
use controllers::ControllerClient;
use event_loop::EventLoop;
use metrics::SharedMetrics;
use reqwest::Client;
use state_service::StateClient;
use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long the broker may take to close the connection at the end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
const HTTP_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long unused HTTP connections are kept.
const HTTP_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The queue service of one process.
#[derive(Debug)]
pub struct QueueService {
    settings: Arc<QueueSettings>,
    broker: Broker,
}

impl QueueService {
    /// Prepares a service. Files that the settings name are read now; relative paths are relative to `base_dir`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::File`] if one of them cannot be used.
    pub fn new(settings: QueueSettings, base_dir: &Path) -> Result<QueueService, SettingsError> {
        let settings = Arc::new(settings);
        let credentials = Credentials::load(base_dir, &settings.broker)?;
        let broker = Broker::new(Arc::clone(&settings), credentials, base_dir)?;
        Ok(QueueService { settings, broker })
    }

    /// Serves until `stop` completes, then finishes work in progress and returns unfinished messages to the broker.
    ///
    /// `process` must be a random number: it identifies the process in the replicated log.
    pub async fn serve(self, process: u64, stop: impl Future<Output = ()>) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let shared_metrics = SharedMetrics::default();
        let metrics = self
            .settings
            .metrics_address
            .clone()
            .map(|address| tokio::spawn(metrics::serve(address, shared_metrics.clone())));
        tracing::info!(process = format!("{process:016x}"), "serving queues");
        let client = http_client(&self.settings);
        let mut event_loop = EventLoop::new(
            DeliveryStateMachine::new(process, self.settings.limits()),
            ControllerClient::new(client.clone(), &self.settings, process),
            StateClient::new(client, &self.settings.state),
            commands,
        );
        let connection = tokio::spawn(self.broker.keep_connected(command_receiver, events));
        let grace = Duration::from_secs(u64::from(self.settings.shutdown_grace_s));
        event_loop
            .run(event_receiver, stop, &shared_metrics, grace)
            .await;
        // The connection closes when the sender of commands is dropped.
        drop(event_loop);
        if tokio::time::timeout(CLOSE_TIMEOUT, connection)
            .await
            .is_err()
        {
            tracing::info!("the broker did not confirm that the connection is closed");
        }
        if let Some(metrics) = metrics {
            metrics.abort();
            // The result is a cancelled task: the server never ends by itself.
            let _ = metrics.await;
        }
        tracing::info!("ended");
    }
}

fn http_client(settings: &QueueSettings) -> Client {
    Client::builder()
        .no_proxy()
        .connect_timeout(HTTP_CONNECT_TIMEOUT)
        .pool_idle_timeout(HTTP_IDLE_TIMEOUT)
        .pool_max_idle_per_host(settings.max_requests)
        .tcp_nodelay(true)
        .build()
        .unwrap_or_default()
}
