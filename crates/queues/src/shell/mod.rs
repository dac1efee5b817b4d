//! The shell: carries out what the front wants, and tells it what came of it.
//!
//! One task owns the front. What goes out is carried out by tasks of their own, which are bounded by what the front
//! has under way; what comes back is an event. What belongs to a connection carries its number, so that nothing of
//! an earlier one is taken for the present one's.

mod broker;
mod http;
pub mod metrics;
mod receipts;
mod relay;
mod target;

use crate::front::{Effect, Event, Front, Micros};
use crate::settings::{BadSettings, Credentials, QueueSettings};
use broker::{Broker, Order};
use http::Http;
use metrics::Gauges;
use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// An event, and the connection that it belongs to if it does to one.
type Told = (Option<u64>, Event);

/// How often counters are written to the log.
const REPORT: Duration = Duration::from_secs(60);
/// How often they are brought up to date for those who ask.
const SNAPSHOT: Duration = Duration::from_secs(1);
/// Most events that are taken before time is looked at again.
const EVENTS: usize = 256;

/// Microseconds of the time of day that never go back.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: u64::try_from(unix.as_micros()).unwrap_or_default(),
        }
    }

    fn now(&self) -> Micros {
        self.unix + u64::try_from(self.start.elapsed().as_micros()).unwrap_or_default()
    }

    fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(at.saturating_sub(self.now())).min(REPORT)
    }
}

/// Everything that a front is run with.
#[derive(Debug)]
pub struct Queues {
    settings: Arc<QueueSettings>,
    broker: Broker,
}

impl Queues {
    /// Reads what the settings name beside themselves, which are in the folder `base`.
    pub fn new(settings: QueueSettings, base: &Path) -> Result<Queues, BadSettings> {
        let settings = Arc::new(settings);
        let credentials = Credentials::load(base, &settings.broker)?;
        let broker = Broker::new(Arc::clone(&settings), credentials, base)?;
        Ok(Queues { settings, broker })
    }

    /// Serves until `stop` is ready, then answers what is certain and returns the rest to the broker. `run` is drawn at
    /// random.
    pub async fn serve(self, run: u64, stop: impl Future<Output = ()>) {
        let (events, inbox) = mpsc::unbounded_channel();
        let (orders, wanted) = mpsc::unbounded_channel();
        let gauges = Gauges::default();
        if let Some(at) = self.settings.metrics.clone() {
            tokio::spawn(metrics::serve(at, gauges.clone()));
        }
        tracing::info!(run = format!("{run:016x}"), "serving queues");
        let mut shell = Shell {
            front: Front::new(run, self.settings.limits()),
            http: Arc::new(Http::new(&self.settings, run)),
            clock: Clock::new(),
            epoch: 0,
            finished: false,
            events: events.clone(),
            orders,
        };
        let link = tokio::spawn(self.broker.keep_connected(wanted, events));
        shell
            .run(
                inbox,
                stop,
                &gauges,
                Duration::from_secs(u64::from(self.settings.stop_s)),
            )
            .await;
        drop(shell);
        // The connection is closed in an orderly way if the broker still answers.
        if tokio::time::timeout(Duration::from_secs(3), link)
            .await
            .is_err()
        {
            tracing::info!("the broker did not answer the end of the connection");
        }
        tracing::info!("ended");
    }
}

struct Shell {
    front: Front,
    http: Arc<Http>,
    clock: Clock,
    /// The present connection.
    epoch: u64,
    finished: bool,
    events: mpsc::UnboundedSender<Told>,
    orders: mpsc::UnboundedSender<(u64, Order)>,
}

impl Shell {
    async fn run(
        &mut self,
        mut inbox: mpsc::UnboundedReceiver<Told>,
        stop: impl Future<Output = ()>,
        gauges: &Gauges,
        grace: Duration,
    ) {
        tokio::pin!(stop);
        let mut end: Option<tokio::time::Instant> = None;
        let mut snapshot = tokio::time::interval(SNAPSHOT);
        let mut report = tokio::time::interval(REPORT);
        while !self.finished {
            let wait = self.clock.until(self.front.wake());
            let over = async {
                match end {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                Some(told) = inbox.recv() => {
                    self.take(told);
                    for _ in 0..EVENTS {
                        let Ok(told) = inbox.try_recv() else { break };
                        self.take(told);
                    }
                }
                () = tokio::time::sleep(wait) => self.event(Event::Tick),
                _ = snapshot.tick() => gauges.set(&self.front, self.clock.now()),
                _ = report.tick() => metrics::report(&self.front, self.clock.now()),
                () = &mut stop, if end.is_none() => {
                    tracing::info!(in_hand = self.front.in_hand(), "ending: what is certain is answered");
                    end = Some(tokio::time::Instant::now() + grace);
                    self.event(Event::Stop);
                }
                () = over => {
                    tracing::info!(in_hand = self.front.in_hand(), "ending: the rest goes back to the broker");
                    return;
                }
            }
        }
    }

    fn take(&mut self, (epoch, event): Told) {
        match (epoch, &event) {
            (Some(epoch), Event::Up(_)) => self.epoch = epoch,
            (Some(epoch), _) if epoch != self.epoch => return,
            _ => {}
        }
        self.event(event);
    }

    fn event(&mut self, event: Event) {
        for effect in self.front.handle(self.clock.now(), event) {
            self.carry_out(effect);
        }
    }

    /// Runs a request beside the front, and brings its outcome back as an event.
    fn beside(&self, request: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            // Nobody is left to be told at the end.
            let _ = events.send((None, request.await));
        });
    }

    fn order(&self, order: Order) {
        // The connection's task is there as long as this one.
        let _ = self.orders.send((self.epoch, order));
    }

    fn carry_out(&mut self, effect: Effect) {
        let http = Arc::clone(&self.http);
        match effect {
            Effect::Submit(call, body) => {
                self.beside(async move { Event::Service(call, http.submit(body).await) })
            }
            Effect::Ask(call, job) => {
                self.beside(async move { Event::Service(call, http.ask(&job).await) })
            }
            Effect::Cancel(call, job) => {
                self.beside(async move { Event::Service(call, http.cancel(&job).await) })
            }
            Effect::State(request) => {
                self.beside(async move { Event::State(http.state(&request).await) })
            }
            Effect::Open(holder) => self.order(Order::Open(holder)),
            Effect::Consume => self.order(Order::Consume),
            Effect::Drop => self.order(Order::Drop),
            Effect::Commit(commit) => self.order(Order::Commit(commit)),
            Effect::ReadReceipts(holder) => self.order(Order::Read(holder)),
            Effect::ClearReceipts(holder, delete) => self.order(Order::Clear(holder, delete)),
            Effect::Finished => self.finished = true,
        }
    }
}
