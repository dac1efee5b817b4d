//! Counters for the log and for those who scrape them.

use crate::counters::Counters;
use crate::front::{Front, Micros};
use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use salvo::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// All values of one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// See the help text of the metric of this name.
    pub counters: Counters,
    /// See the help text of the metric of this name.
    pub in_hand: i64,
    /// See the help text of the metric of this name.
    pub oldest_s: i64,
    /// See the help text of the metric of this name.
    pub marks: i64,
    /// See the help text of the metric of this name.
    pub rounds: u64,
    /// See the help text of the metric of this name.
    pub clashes: u64,
}

fn signed(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

fn snapshot(front: &Front, now: Micros) -> Snapshot {
    let (rounds, clashes) = front.ledger().rounds();
    let oldest = front
        .oldest()
        .map_or(0, |since| now.saturating_sub(since) / 1_000_000);
    Snapshot {
        counters: front.counters(),
        in_hand: signed(front.in_hand()),
        oldest_s: i64::try_from(oldest).unwrap_or(i64::MAX),
        marks: signed(front.ledger().len()),
        rounds,
        clashes,
    }
}

/// One line of the log with all that was counted.
pub fn report(front: &Front, now: Micros) {
    let s = snapshot(front, now);
    let c = s.counters;
    tracing::info!(
        received = c.received,
        redelivered = c.redelivered,
        held_back = c.held_back,
        accepted = c.accepted,
        refused = c.refused,
        delayed = c.delayed,
        unanswered = c.unanswered,
        polls = c.polls,
        answered = c.answered,
        repeated = c.repeated,
        commits = c.commits,
        settled = c.settled,
        in_hand = s.in_hand,
        oldest_s = s.oldest_s,
        marks = s.marks,
        rounds = s.rounds,
        clashes = s.clashes,
        "counters"
    );
}

/// The newest counters.
#[derive(Clone, Debug, Default)]
pub struct Gauges(Arc<Mutex<Snapshot>>);

impl Gauges {
    /// Gauges that show this snapshot.
    pub fn new(snapshot: Snapshot) -> Gauges {
        Gauges(Arc::new(Mutex::new(snapshot)))
    }

    /// Replaces the values.
    pub fn set(&self, front: &Front, now: Micros) {
        *self.0.lock() = snapshot(front, now);
    }
}

fn put(
    encoder: &mut DescriptorEncoder,
    name: &str,
    help: &str,
    metric: &impl EncodeMetric,
) -> std::fmt::Result {
    let name = format!("cometlead_queues_{name}");
    metric.encode(encoder.encode_descriptor(&name, help, None, metric.metric_type())?)
}

impl Collector for Gauges {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let s = *self.0.lock();
        let c = s.counters;
        let counters = [
            ("received", "deliveries", c.received),
            (
                "redelivered",
                "deliveries that the broker calls repeated",
                c.redelivered,
            ),
            (
                "held_back",
                "deliveries of messages in hand or answered before",
                c.held_back,
            ),
            ("accepted", "jobs accepted by the controllers", c.accepted),
            ("refused", "messages refused for good", c.refused),
            (
                "delayed",
                "times that the controllers asked to come back later",
                c.delayed,
            ),
            (
                "unanswered",
                "requests to the controllers without an answer",
                c.unanswered,
            ),
            ("polls", "questions about jobs", c.polls),
            ("answered", "answers and dead letters", c.answered),
            (
                "repeated",
                "answers that may have been given before",
                c.repeated,
            ),
            ("commits", "transactions with the broker", c.commits),
            ("settled", "seals of dead connections settled", c.settled),
            ("rounds", "rounds of marks carried out", s.rounds),
            ("clashes", "rounds of marks that clashed", s.clashes),
        ];
        for (name, help, value) in counters {
            put(&mut encoder, name, help, &ConstCounter::new(value))?;
        }
        let gauges = [
            ("in_hand", "messages in hand", s.in_hand),
            (
                "oldest_seconds",
                "how long the oldest of them is in hand",
                s.oldest_s,
            ),
            ("marks", "marks that are kept", s.marks),
        ];
        for (name, help, value) in gauges {
            put(&mut encoder, name, help, &ConstGauge::new(value))?;
        }
        Ok(())
    }
}

struct Metrics(Arc<Registry>);

#[async_trait]
impl Handler for Metrics {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let mut text = String::new();
        if encode(&mut text, &self.0).is_err() {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        res.render(text);
    }
}

struct Healthy;

#[async_trait]
impl Handler for Healthy {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render("ok\n");
    }
}

/// The metrics page in the Prometheus text format.
pub fn render(gauges: Gauges) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(gauges));
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

/// Serves `GET /metrics` and `GET /healthz`, for ever.
pub async fn serve(at: String, gauges: Gauges) {
    let mut registry = Registry::default();
    registry.register_collector(Box::new(gauges));
    let registry = Arc::new(registry);
    loop {
        let router = Router::new()
            .push(Router::with_path("metrics").get(Metrics(Arc::clone(&registry))))
            .push(Router::with_path("healthz").get(Healthy));
        match TcpListener::new(at.clone()).try_bind().await {
            Ok(acceptor) => {
                if let Err(error) = Server::new(acceptor)
                    .max_connections(16)
                    .try_serve(Service::new(router))
                    .await
                {
                    tracing::error!(%error, "metrics: the server stopped, starting it again");
                }
            }
            Err(error) => tracing::error!(%error, at, "metrics: cannot listen"),
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
}
