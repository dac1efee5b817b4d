//! The task that owns the state machine.

use super::broker::{BrokerEvent, SessionCommand};
use super::clock::Clock;
use super::controllers::ControllerClient;
use super::metrics::{self, SharedMetrics};
use super::state_service::StateClient;
use crate::state_machine::{BrokerCommand, DeliveryStateMachine, Effect, Event};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time::Instant;

/// How often counters are written to the log. Also the longest time without a tick.
const REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// How often the metrics are brought up to date.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Most events of the broker that are handled before timers are checked again.
const MAX_EVENTS_PER_BURST: usize = 256;

/// Drives the state machine.
pub(super) struct EventLoop {
    machine: DeliveryStateMachine,
    controllers: Arc<ControllerClient>,
    state_service: Arc<StateClient>,
    clock: Clock,
    /// Number of the present connection; 0 before the first one.
    connection: u64,
    is_finished: bool,
    /// HTTP requests in flight. All end with the event loop.
    requests: JoinSet<Event>,
    commands: mpsc::UnboundedSender<SessionCommand>,
}

impl EventLoop {
    pub fn new(
        machine: DeliveryStateMachine,
        controllers: ControllerClient,
        state_service: StateClient,
        commands: mpsc::UnboundedSender<SessionCommand>,
    ) -> EventLoop {
        EventLoop {
            machine,
            controllers: Arc::new(controllers),
            state_service: Arc::new(state_service),
            clock: Clock::new(),
            connection: 0,
            is_finished: false,
            requests: JoinSet::new(),
            commands,
        }
    }

    /// Runs until `stop` completes and the shutdown is finished, at most for `grace` after `stop`.
    pub async fn run(
        &mut self,
        mut broker_events: mpsc::UnboundedReceiver<BrokerEvent>,
        stop: impl Future<Output = ()>,
        shared_metrics: &SharedMetrics,
        grace: Duration,
    ) {
        tokio::pin!(stop);
        let mut deadline: Option<Instant> = None;
        let mut snapshot = tokio::time::interval(SNAPSHOT_INTERVAL);
        let mut report = tokio::time::interval(REPORT_INTERVAL);
        while !self.is_finished {
            let wait = self.clock.until(self.machine.next_wake());
            tokio::select! {
                Some(event) = broker_events.recv() => self.handle_event_burst(event, &mut broker_events),
                Some(result) = self.requests.join_next() => self.handle_request_result(result),
                () = tokio::time::sleep(wait.min(REPORT_INTERVAL)) => self.handle(Event::Tick),
                _ = snapshot.tick() => shared_metrics.set(&self.machine, self.clock.now()),
                _ = report.tick() => metrics::log_counters(&self.machine, self.clock.now()),
                () = &mut stop, if deadline.is_none() => {
                    tracing::info!(in_hand = self.machine.pending_count(), "stopping: finishing work in progress");
                    deadline = Some(Instant::now() + grace);
                    self.handle(Event::Stop);
                }
                () = deadline_passed(deadline) => {
                    tracing::info!(in_hand = self.machine.pending_count(), "stopping: returning unfinished messages to the broker");
                    return;
                }
            }
        }
    }

    fn handle_event_burst(
        &mut self,
        first: BrokerEvent,
        broker_events: &mut mpsc::UnboundedReceiver<BrokerEvent>,
    ) {
        self.handle_broker_event(first);
        for _ in 0..MAX_EVENTS_PER_BURST {
            let Ok(event) = broker_events.try_recv() else {
                return;
            };
            self.handle_broker_event(event);
        }
    }

    /// Handles an event of the present connection; those of earlier ones are discarded.
    fn handle_broker_event(&mut self, broker_event: BrokerEvent) {
        let BrokerEvent { connection, event } = broker_event;
        if matches!(event, Event::Connected { .. }) {
            self.connection = connection;
        }
        if connection == self.connection {
            self.handle(event);
        }
    }

    fn handle_request_result(&mut self, result: Result<Event, JoinError>) {
        match result {
            Ok(event) => self.handle(event),
            Err(error) => tracing::error!(%error, "request task failed"),
        }
    }

    fn handle(&mut self, event: Event) {
        for effect in self.machine.handle(self.clock.now(), event) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: Effect) {
        let controllers = Arc::clone(&self.controllers);
        match effect {
            Effect::Submit(request, body) => self.spawn(async move {
                Event::ControllerResponse(request, controllers.submit(body).await)
            }),
            Effect::QueryStatus(request, job) => self.spawn(async move {
                Event::ControllerResponse(request, controllers.query_status(&job).await)
            }),
            Effect::Cancel(request, job) => self.spawn(async move {
                Event::ControllerResponse(request, controllers.cancel(&job).await)
            }),
            Effect::StateRequest(request) => {
                let state_service = Arc::clone(&self.state_service);
                self.spawn(async move { Event::StateResponse(state_service.send(&request).await) });
            }
            Effect::BrokerCommand(command) => self.command(command),
            Effect::Finished => self.is_finished = true,
        }
    }

    fn spawn(&mut self, request: impl Future<Output = Event> + Send + 'static) {
        self.requests.spawn(request);
    }

    fn command(&self, command: BrokerCommand) {
        // The receiver exists for as long as this sender.
        let _ = self.commands.send(SessionCommand {
            connection: self.connection,
            command,
        });
    }
}

/// Completes at the deadline, or never without one.
async fn deadline_passed(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
