//! Counters and gauges, for the log and for Prometheus.

use crate::counters::Counters;
use crate::state_machine::DeliveryStateMachine;
use crate::time::{Micros, SECOND};
use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use salvo::prelude::*;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a server that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// Most connections to the server at once.
const MAX_CONNECTIONS: usize = 16;
const NAME_PREFIX: &str = "cometlead_queues_";

/// All values at one time. The exported metrics have other names than these fields.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Counters of the state machine.
    pub counters: Counters,
    /// Pending messages.
    pub pending_messages: i64,
    /// How long the oldest message has been pending, in seconds.
    pub oldest_pending_s: i64,
    /// Entries in the replicated log.
    pub log_entries: i64,
    /// Batches of changes that were written to the log.
    pub applied_batches: u64,
    /// Batches that were not written because the log had changed.
    pub log_conflicts: u64,
}

impl Snapshot {
    fn of(machine: &DeliveryStateMachine, now: Micros) -> Snapshot {
        let log = machine.log();
        let oldest_s = machine
            .oldest_received_at()
            .map_or(0, |at| now.saturating_sub(at) / SECOND);
        Snapshot {
            counters: machine.counters(),
            pending_messages: saturating_i64(machine.pending_count()),
            oldest_pending_s: i64::try_from(oldest_s).unwrap_or(i64::MAX),
            log_entries: saturating_i64(log.len()),
            applied_batches: log.applied_batches(),
            log_conflicts: log.conflicts(),
        }
    }
}

/// A metric: its name without the prefix, its help text, and its value in a snapshot.
struct Metric<T> {
    name: &'static str,
    help: &'static str,
    value: fn(&Snapshot) -> T,
}

const fn metric<T>(name: &'static str, help: &'static str, value: fn(&Snapshot) -> T) -> Metric<T> {
    Metric { name, help, value }
}

const COUNTERS: [Metric<u64>; 14] = [
    metric("received", "deliveries", |s| s.counters.received),
    metric(
        "redelivered",
        "deliveries that the broker calls repeated",
        |s| s.counters.redelivered,
    ),
    metric(
        "held_back",
        "deliveries of messages in hand or answered before",
        |s| s.counters.duplicate_deliveries,
    ),
    metric("accepted", "jobs accepted by the controllers", |s| {
        s.counters.accepted
    }),
    metric("refused", "messages refused for good", |s| {
        s.counters.refused
    }),
    metric(
        "delayed",
        "times that the controllers asked to come back later",
        |s| s.counters.overload_responses,
    ),
    metric(
        "unanswered",
        "requests to the controllers without an answer",
        |s| s.counters.lost_responses,
    ),
    metric("polls", "questions about jobs", |s| {
        s.counters.status_queries
    }),
    metric("answered", "answers and dead letters", |s| {
        s.counters.answered
    }),
    metric("repeated", "answers that may have been given before", |s| {
        s.counters.possible_duplicates
    }),
    metric("commits", "transactions with the broker", |s| {
        s.counters.commits
    }),
    metric("settled", "seals of dead connections settled", |s| {
        s.counters.claims_taken_over
    }),
    metric("rounds", "rounds of marks carried out", |s| {
        s.applied_batches
    }),
    metric("clashes", "rounds of marks that clashed", |s| {
        s.log_conflicts
    }),
];

const GAUGES: [Metric<i64>; 3] = [
    metric("in_hand", "messages in hand", |s| s.pending_messages),
    metric(
        "oldest_seconds",
        "how long the oldest of them is in hand",
        |s| s.oldest_pending_s,
    ),
    metric("marks", "marks that are kept", |s| s.log_entries),
];

fn saturating_i64(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

/// Writes one line with all values to the log.
pub(super) fn log_counters(machine: &DeliveryStateMachine, now: Micros) {
    let snapshot = Snapshot::of(machine, now);
    let c = snapshot.counters;
    tracing::info!(
        received = c.received,
        redelivered = c.redelivered,
        held_back = c.duplicate_deliveries,
        accepted = c.accepted,
        refused = c.refused,
        delayed = c.overload_responses,
        unanswered = c.lost_responses,
        polls = c.status_queries,
        answered = c.answered,
        repeated = c.possible_duplicates,
        commits = c.commits,
        settled = c.claims_taken_over,
        in_hand = snapshot.pending_messages,
        oldest_s = snapshot.oldest_pending_s,
        marks = snapshot.log_entries,
        rounds = snapshot.applied_batches,
        clashes = snapshot.log_conflicts,
        "counters"
    );
}

/// The latest values, shared between the state machine's task and the server.
#[derive(Clone, Debug, Default)]
pub struct SharedMetrics(Arc<Mutex<Snapshot>>);

impl SharedMetrics {
    /// Metrics with the values of this snapshot.
    pub fn new(snapshot: Snapshot) -> SharedMetrics {
        SharedMetrics(Arc::new(Mutex::new(snapshot)))
    }

    pub(super) fn set(&self, machine: &DeliveryStateMachine, now: Micros) {
        *self.0.lock() = Snapshot::of(machine, now);
    }
}

impl Collector for SharedMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let snapshot = *self.0.lock();
        for Metric { name, help, value } in COUNTERS {
            let counter = ConstCounter::new(value(&snapshot));
            encode_metric(&mut encoder, name, help, &counter)?;
        }
        for Metric { name, help, value } in GAUGES {
            let gauge = ConstGauge::new(value(&snapshot));
            encode_metric(&mut encoder, name, help, &gauge)?;
        }
        Ok(())
    }
}

fn encode_metric(
    encoder: &mut DescriptorEncoder,
    name: &str,
    help: &str,
    metric: &impl EncodeMetric,
) -> fmt::Result {
    let name = format!("{NAME_PREFIX}{name}");
    metric.encode(encoder.encode_descriptor(&name, help, None, metric.metric_type())?)
}

/// Renders the values in the Prometheus text format.
///
/// # Errors
///
/// [`fmt::Error`] if a value cannot be formatted.
pub fn render(shared_metrics: SharedMetrics) -> Result<String, fmt::Error> {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(shared_metrics));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

struct MetricsHandler(SharedMetrics);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match render(self.0.clone()) {
            Ok(text) => res.render(text),
            Err(_) => {
                res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}

struct HealthHandler;

#[async_trait]
impl Handler for HealthHandler {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

/// Serves `GET /metrics` and `GET /healthz` until its task is aborted.
pub(super) async fn serve(address: String, shared_metrics: SharedMetrics) {
    loop {
        let router = Router::new()
            .push(Router::with_path("metrics").get(MetricsHandler(shared_metrics.clone())))
            .push(Router::with_path("healthz").get(HealthHandler));
        match TcpListener::new(address.clone()).try_bind().await {
            Ok(acceptor) => {
                let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
                if let Err(error) = server.try_serve(Service::new(router)).await {
                    tracing::error!(%error, "metrics: the server ended, restarting it");
                }
            }
            Err(error) => tracing::error!(%error, address, "metrics: cannot listen"),
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
