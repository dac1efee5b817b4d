//! Fake workers over real connections: each has its own connection, fencing token, session, lease, tasks and report interval.

use crate::fakes::worker::{NEXT_NODE_DELAY_US, REPORT_TIMEOUT_US, Redirect, TaskEvent, Worker};
use crate::http::{Answer, Connection, IncomingRequest, NoAnswer, Traffic, serve};
use crate::late_copies::CopiedRequest;
use crate::region::Region;
use bytes::Bytes;
use parking_lot::Mutex;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Interval at which a worker in a partitioned zone checks whether the partition is over.
const PARTITION_RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Path of the reports.
const REPORT_PATH: &str = "/v1/report";
/// Shortest pause of a worker's loop, in microseconds.
const MIN_PAUSE_US: u64 = 1_000;

/// A report that is being sent. Resolves to its connection, if that can be used again, and the response.
type ReportExchange =
    Pin<Box<dyn Future<Output = (Option<Connection>, Result<Answer, NoAnswer>)> + Send>>;

/// A worker and its connections.
pub struct FakeWorker {
    region: Weak<Region>,
    machine: u64,
    zone: String,
    worker: Mutex<Worker>,
    stopped: AtomicBool,
    wake: Notify,
    /// Its traffic in both directions.
    pub traffic: Arc<Traffic>,
    /// Reports without a response, or with a status other than 200.
    pub reports_failed: AtomicU64,
}

/// A report that is due.
struct DueReport {
    body: Vec<u8>,
    node: usize,
    sent_at: u64,
    session: u64,
}

impl FakeWorker {
    /// Creates the fake for a worker.
    pub fn new(region: &Arc<Region>, worker: Worker) -> Arc<FakeWorker> {
        Arc::new(FakeWorker {
            region: Arc::downgrade(region),
            machine: worker.id,
            zone: worker.zone.clone(),
            worker: Mutex::new(worker),
            stopped: AtomicBool::new(false),
            wake: Notify::new(),
            traffic: Arc::default(),
            reports_failed: AtomicU64::new(0),
        })
    }

    /// Stops the worker and kills its tasks, because its machine was released.
    pub fn stop(&self) {
        let mut events = Vec::new();
        {
            let mut worker = self.worker.lock();
            self.stopped.store(true, Ordering::Relaxed);
            worker.kill_all(&mut events);
        }
        if let Some(region) = self.region.upgrade() {
            self.record_events(&region, &events);
        }
        self.wake.notify_one();
    }

    /// Leases that expired while tasks were on the machine.
    pub fn lost_leases(&self) -> u64 {
        self.worker.lock().lost_leases
    }

    fn record_events(&self, region: &Region, events: &[TaskEvent]) {
        if events.is_empty() {
            return;
        }
        let now = region.context.now();
        let mut checker = region.context.checker.lock();
        for task_event in events {
            checker.task_event(now, (region.index, self.machine), task_event);
        }
    }

    /// Serves commands and sends reports until the worker is stopped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let Some(region) = self.region.upgrade() else {
            return;
        };
        let keep_alive = region.context.scenario.workers.keep_command_connections;
        let command_target = Arc::clone(&self);
        let handler = move |request| Arc::clone(&command_target).handle_command(request);
        let server = tokio::spawn(serve(
            listener,
            Arc::clone(&self.traffic),
            keep_alive,
            handler,
        ));
        self.report_until_stopped(&region).await;
        server.abort();
    }

    async fn report_until_stopped(&self, region: &Arc<Region>) {
        let mut connection: Option<(usize, Connection)> = None;
        let mut exchange: Option<(DueReport, ReportExchange)> = None;
        while !self.stopped.load(Ordering::Relaxed) {
            let now = region.context.now();
            let partitioned = region.is_partitioned(&self.zone, now);
            if let Some(due) = self.advance_to(region, now, partitioned) {
                let open = connection
                    .take()
                    .filter(|(node, c)| *node == due.node && c.is_open());
                let sending = self.send(region, &due, open.map(|(_, c)| c));
                exchange = Some((due, Box::pin(sending)));
            }
            let next = self.worker.lock().next_deadline();
            let mut pause = Duration::from_micros(next.saturating_sub(now).max(MIN_PAUSE_US));
            if partitioned {
                pause = PARTITION_RECHECK_INTERVAL;
            }
            tokio::select! {
                (open_connection, result) = next_answer(&mut exchange) => {
                    if let Some((due, _)) = exchange.take() {
                        connection = open_connection.map(|c| (due.node, c));
                        self.handle_answer(region, &due, result);
                    }
                }
                () = tokio::time::sleep(pause) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Applies the passing of time to the lease and the tasks. Returns a report if one is due and the zone is not partitioned.
    fn advance_to(&self, region: &Region, now: u64, partitioned: bool) -> Option<DueReport> {
        let jitter = 0.75 + 0.5 * region.random();
        let interval = (region.context.scenario.workers.report_s * 1e6 * jitter) as u64;
        let mut events = Vec::new();
        let due = {
            let jobs = region.context.jobs.read();
            let mut worker = self.worker.lock();
            if self.stopped.load(Ordering::Relaxed) {
                return None;
            }
            worker.check_lease(now, &mut events);
            worker.advance(now, &jobs, &mut events);
            let body = if partitioned {
                None
            } else {
                worker.due_report(now, interval)
            };
            body.map(|body| DueReport {
                body,
                node: worker.node,
                sent_at: now,
                session: worker.session,
            })
        };
        self.record_events(region, &events);
        due
    }

    fn send(
        &self,
        region: &Arc<Region>,
        due: &DueReport,
        open: Option<Connection>,
    ) -> impl Future<Output = (Option<Connection>, Result<Answer, NoAnswer>)> + Send + use<> {
        let address = region.context.addresses.controller(region.index, due.node);
        let traffic = Arc::clone(&self.traffic);
        let body = Bytes::from(due.body.clone());
        region.copy_post_later(CopiedRequest::Report, address, REPORT_PATH, &body);
        async move {
            let exchange = async {
                let mut connection = match open {
                    Some(connection) => connection,
                    None => Connection::open(address, &traffic).await?,
                };
                let answer = connection.call("POST", REPORT_PATH, body).await?;
                Ok::<_, NoAnswer>((connection, answer))
            };
            match tokio::time::timeout(Duration::from_micros(REPORT_TIMEOUT_US), exchange).await {
                Ok(Ok((connection, answer))) => (Some(connection), Ok(answer)),
                _ => (None, Err(NoAnswer)),
            }
        }
    }

    fn handle_answer(&self, region: &Region, due: &DueReport, result: Result<Answer, NoAnswer>) {
        let now = region.context.now();
        let nodes = region.context.scenario.regions[region.index].controllers;
        // A response does not reach a worker in a partitioned zone.
        let result = if region.is_partitioned(&self.zone, now) {
            Err(NoAnswer)
        } else {
            result
        };
        if !result.as_ref().is_ok_and(|a| a.status == 200) {
            self.reports_failed.fetch_add(1, Ordering::Relaxed);
        }
        let mut events = Vec::new();
        {
            let jobs = region.context.jobs.read();
            let mut worker = self.worker.lock();
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            let redirect = match result {
                Ok(answer) => {
                    let message = (answer.status, &answer.body[..]);
                    worker.handle_answer(
                        now,
                        (due.sent_at, due.session),
                        message,
                        &jobs,
                        &mut events,
                    )
                }
                Err(NoAnswer) => Redirect::Next,
            };
            if redirect == Redirect::Next {
                worker.try_next_node(now, nodes, NEXT_NODE_DELAY_US);
            }
        }
        self.record_events(region, &events);
    }

    async fn handle_command(self: Arc<Self>, request: IncomingRequest) -> Option<Answer> {
        let region = self.region.upgrade()?;
        let now = region.context.now();
        if region.is_partitioned(&self.zone, now) {
            return None;
        }
        let mut events = Vec::new();
        let answer = {
            let jobs = region.context.jobs.read();
            let mut worker = self.worker.lock();
            if self.stopped.load(Ordering::Relaxed) {
                return None;
            }
            match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/commands") => {
                    worker.handle_command(now, &request.body, &jobs, &mut events)
                }
                ("GET", "/show") => Some((200, worker.report(now))),
                _ => None,
            }
        };
        self.record_events(&region, &events);
        self.wake.notify_one();
        if answer.is_some() && request.method == "POST" {
            let copy = || Arc::clone(&self).carry_out_command_copy(request.body.clone());
            region.copy_later(CopiedRequest::Command, copy);
        }
        let (status, body) = answer.unwrap_or((400, serde_json::json!({"error": "malformed"})));
        Some(Answer::new(status, &body))
    }
}

impl FakeWorker {
    /// Carries out a copy of a command, which must start nothing.
    async fn carry_out_command_copy(self: Arc<Self>, body: Bytes) {
        let Some(region) = self.region.upgrade() else {
            return;
        };
        let now = region.context.now();
        let mut events = Vec::new();
        let outcome = {
            let jobs = region.context.jobs.read();
            let mut worker = self.worker.lock();
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            worker.handle_command_copy(now, &body, &jobs, &mut events)
        };
        if !outcome.accepted {
            region.context.copies.count(CopiedRequest::RefusedCommand);
        }
        self.record_events(&region, &events);
        self.wake.notify_one();
        let machine = (region.index, self.machine);
        let mut checker = region.context.checker.lock();
        for (task, attempt) in outcome.started {
            checker.attempt_started_by_copy(now, machine, task, attempt);
        }
    }
}

/// Waits for the response to a report; does not return if no report is being sent.
async fn next_answer(
    exchange: &mut Option<(DueReport, ReportExchange)>,
) -> (Option<Connection>, Result<Answer, NoAnswer>) {
    match exchange {
        Some((_, exchange)) => exchange.await,
        None => std::future::pending().await,
    }
}
