//! The fake services of a region over real connections: its state service, its cloud interface and its machines.

use crate::addresses::Addresses;
use crate::fakes::cloud::{Cloud, TypeSpec};
use crate::fakes::state::{State, StateConfig};
use crate::fakes::worker::{JobInfo, Worker};
use crate::http::{Answer, IncomingRequest, Traffic, serve};
use crate::invariants::InvariantChecker;
use crate::late_copies::{CopiedRequest, CopyCounters};
use crate::scenario::Scenario;
use crate::workers::FakeWorker;
use parking_lot::{Mutex, RwLock};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Cores of a machine.
pub const MACHINE_CORES: f64 = 16.0;
/// Memory of a machine in GB.
const MACHINE_MEMORY_GB: f64 = 64.0;
/// Image cache of a machine in GB.
const MACHINE_CACHE_GB: f64 = 50.0;
/// Rate at which a machine fetches images, in GB per second.
const MACHINE_FETCH_GB_PER_S: f64 = 1.0;
/// The only type of machine.
pub const MACHINE_TYPE: &str = "standard";
/// Machines that the cloud has for each wanted worker.
const MACHINES_PER_WANTED_WORKER: f64 = 1.05;
/// Response time of the cloud.
const CLOUD_LATENCY: Duration = Duration::from_millis(100);
/// Interval at which expired leases and due watches are handled.
const STATE_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the connection stays open if the response is lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(5);
/// Most items on a page of the state service.
const STATE_PAGE_SIZE: usize = 200;
/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// State that all regions share.
pub struct RunContext {
    /// The scenario.
    pub scenario: Scenario,
    /// Addresses of all parties.
    pub addresses: Addresses,
    /// When the run started.
    pub started_at: Instant,
    /// Properties of the jobs' tasks, by job.
    pub jobs: RwLock<BTreeMap<u64, JobInfo>>,
    /// Number of late copies that arrived.
    pub copies: CopyCounters,
    /// The invariant checker.
    pub checker: Mutex<InvariantChecker>,
    /// Runtime of the fake workers.
    pub worker_threads: Handle,
    /// Runtime of the fake users, clouds and state services.
    pub service_threads: Handle,
}

impl RunContext {
    /// Time since the start of the run, in microseconds.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Returns the name of a zone.
    pub fn zone(region: usize, zone: usize) -> String {
        format!("r{region}-z{zone}")
    }
}

/// A region.
pub struct Region {
    /// State that all regions share.
    pub context: Arc<RunContext>,
    /// Its number.
    pub index: usize,
    /// Its state service.
    pub state: Mutex<State>,
    watches: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    next_request: AtomicU64,
    cloud: Mutex<Cloud>,
    /// Its fake workers, by machine.
    pub fleet: Mutex<BTreeMap<u64, Arc<FakeWorker>>>,
    /// Zones that are partitioned from the controllers, each with the end of the partition in microseconds.
    pub partitioned_zones: Mutex<Vec<(String, u64)>>,
    random: Mutex<StdRng>,
    /// Traffic of the state service.
    pub state_traffic: Arc<Traffic>,
    /// Traffic of the cloud interface.
    pub cloud_traffic: Arc<Traffic>,
}

impl Region {
    /// Creates a region in which nothing runs yet.
    pub fn new(context: &Arc<RunContext>, index: usize) -> Arc<Region> {
        let scenario = &context.scenario;
        let spec = &scenario.regions[index];
        let machines_per_zone =
            (spec.workers as f64 * MACHINES_PER_WANTED_WORKER / spec.zones as f64).ceil() as u32;
        let on_demand = machines_per_zone / 2;
        let machine = TypeSpec {
            name: MACHINE_TYPE.to_owned(),
            cores: MACHINE_CORES,
            memory_gb: MACHINE_MEMORY_GB,
            accelerators: 0.0,
            cache_gb: MACHINE_CACHE_GB,
            fetch_gb_per_s: MACHINE_FETCH_GB_PER_S,
            boot_s: scenario.cloud.boot_s,
            price: 1.0,
            spot_price: 0.9,
            on_demand_per_zone: on_demand,
            spot_per_zone: machines_per_zone - on_demand,
            stuck_boot_fraction: 0.0,
            zones: (0..spec.zones)
                .map(|z| RunContext::zone(index, z))
                .collect(),
        };
        let state = StateConfig {
            txn_ops: scenario.state.txn_ops,
            value_bytes: (scenario.state.value_kb * KIB) as usize,
            rps: scenario.state.rps,
            write_rps: scenario.state.write_rps,
            page_size: STATE_PAGE_SIZE,
        };
        Arc::new(Region {
            context: Arc::clone(context),
            index,
            state: Mutex::new(State::new(state)),
            watches: Mutex::default(),
            next_request: AtomicU64::new(1),
            cloud: Mutex::new(Cloud::new(
                vec![machine],
                (scenario.cloud.list_lag_s * 1e6) as u64,
            )),
            fleet: Mutex::default(),
            partitioned_zones: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(scenario.seed ^ (index as u64 + 1))),
            state_traffic: Arc::default(),
            cloud_traffic: Arc::default(),
        })
    }

    /// Draws a random number from 0 (inclusive) to 1 (exclusive).
    pub fn random(&self) -> f64 {
        self.random.lock().random::<f64>()
    }

    /// Whether a zone is partitioned from the controllers.
    pub fn is_partitioned(&self, zone: &str, now: u64) -> bool {
        self.partitioned_zones
            .lock()
            .iter()
            .any(|(z, until)| z == zone && now < *until)
    }

    /// Starts the servers of the state service and the cloud.
    ///
    /// # Errors
    ///
    /// The error of the system if an address cannot be bound.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let state = TcpListener::bind(self.context.addresses.state(self.index)).await?;
        let cloud = TcpListener::bind(self.context.addresses.cloud(self.index)).await?;
        let region = Arc::clone(self);
        let handler = move |request| Arc::clone(&region).state_request(request);
        tokio::spawn(serve(state, Arc::clone(&self.state_traffic), true, handler));
        let region = Arc::clone(self);
        let handler = move |request| Arc::clone(&region).cloud_request(request);
        tokio::spawn(serve(cloud, Arc::clone(&self.cloud_traffic), true, handler));
        tokio::spawn(Arc::clone(self).tick_state());
        Ok(())
    }

    async fn tick_state(self: Arc<Self>) {
        loop {
            tokio::time::sleep(STATE_TICK_INTERVAL).await;
            self.answer_watches();
        }
    }

    /// Answers the watches that are due.
    fn answer_watches(&self) {
        let (due_watches, violations) = {
            let mut state = self.state.lock();
            (
                state.tick(self.context.now()),
                std::mem::take(&mut state.violations),
            )
        };
        for (id, status, body) in due_watches {
            if let Some(sender) = self.watches.lock().remove(&id) {
                // The controller may have closed the connection.
                let _ = sender.send(Answer::new(status, &body));
            }
        }
        for violation in violations {
            self.context
                .checker
                .lock()
                .limit_exceeded(self.context.now(), &violation);
        }
    }

    /// Waits for half of a response time of the state service, which is drawn from an exponential distribution.
    async fn state_latency(&self) {
        let mean = self.context.scenario.state.latency_ms / 2e3;
        let latency_s = -(1.0 - self.random()).max(1e-4).ln() * mean;
        if latency_s > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(latency_s)).await;
        }
    }

    async fn state_request(self: Arc<Self>, request: IncomingRequest) -> Option<Answer> {
        self.state_latency().await;
        let is_txn = request.path == "/txn";
        let is_lost = is_txn && self.random() < self.context.scenario.state.lost_answers;
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (answer, watch_receiver) = self.forward_to_state(id, &request);
        if is_txn {
            self.answer_watches();
        }
        if is_txn || request.path.starts_with("/leases") {
            let copy = || Arc::clone(&self).carry_out_state_copy(request.clone());
            self.copy_later(CopiedRequest::State, copy);
        }
        if is_lost {
            tokio::time::sleep(LOST_ANSWER_DELAY).await;
            return None;
        }
        let answer = match watch_receiver {
            Some(receiver) => receiver.await.ok()?,
            None => answer,
        };
        self.state_latency().await;
        Some(answer)
    }

    async fn carry_out_state_copy(self: Arc<Self>, request: IncomingRequest) {
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.forward_to_state(id, &request);
        self.answer_watches();
    }

    /// Passes a request to the fake state service. The response to a watch arrives later, on the returned receiver.
    fn forward_to_state(
        &self,
        id: u64,
        request: &IncomingRequest,
    ) -> (Answer, Option<oneshot::Receiver<Answer>>) {
        let mut state = self.state.lock();
        let answer = state.request(
            self.context.now(),
            id,
            &request.method,
            &request.path,
            &request.body,
        );
        let malformed = Answer::new(400, &serde_json::json!({"error": "malformed"}));
        match answer {
            Some((status, body)) => (Answer::new(status, &body), None),
            None if request.path.starts_with("/changes") => {
                // Registered before the lock on the state is released, so that no change is missed.
                let (sender, receiver) = oneshot::channel();
                self.watches.lock().insert(id, sender);
                (malformed, Some(receiver))
            }
            None => (malformed, None),
        }
    }

    async fn cloud_request(self: Arc<Self>, request: IncomingRequest) -> Option<Answer> {
        tokio::time::sleep(CLOUD_LATENCY).await;
        let answer = self.carry_out_cloud_request(&request);
        if request.method == "POST" {
            let copy = || Arc::clone(&self).carry_out_cloud_copy(request.clone());
            self.copy_later(CopiedRequest::Cloud, copy);
        }
        Some(answer)
    }

    async fn carry_out_cloud_copy(self: Arc<Self>, request: IncomingRequest) {
        self.carry_out_cloud_request(&request);
    }

    fn carry_out_cloud_request(self: &Arc<Self>, request: &IncomingRequest) -> Answer {
        let now = self.context.now();
        let (answer, provisioned) = {
            let mut cloud = self.cloud.lock();
            let last = cloud.hosts.keys().next_back().copied().unwrap_or(0);
            let mut random_fraction = || self.random();
            let (status, body) = cloud.request(
                now,
                &request.method,
                &request.path,
                &request.body,
                &mut random_fraction,
            );
            let provisioned: Vec<u64> = cloud.hosts.range(last + 1..).map(|(i, _)| *i).collect();
            (Answer::new(status, &body), provisioned)
        };
        for machine in provisioned {
            self.boot_machine(machine);
        }
        if request.path == "/hosts/release" {
            self.stop_released(now);
        }
        answer
    }

    /// Stops the workers of released machines before the response to the release is sent.
    fn stop_released(&self, now: u64) {
        let released: Vec<Arc<FakeWorker>> = {
            let cloud = self.cloud.lock();
            let mut fleet = self.fleet.lock();
            let is_released = |i: &u64| {
                cloud
                    .hosts
                    .get(i)
                    .is_some_and(|h| h.released_at.is_some_and(|g| g <= now))
            };
            let released_machines: Vec<u64> = fleet.keys().copied().filter(is_released).collect();
            released_machines
                .iter()
                .filter_map(|i| fleet.remove(i))
                .collect()
        };
        for worker in released {
            worker.stop();
        }
    }

    /// Starts a machine's worker once the machine has booted.
    fn boot_machine(self: &Arc<Self>, machine: u64) {
        let Some(up_at) = self.cloud.lock().hosts.get(&machine).and_then(|h| h.up_at) else {
            return;
        };
        let region = Arc::clone(self);
        self.context.worker_threads.spawn(async move {
            let wait = up_at.saturating_sub(region.context.now());
            tokio::time::sleep(Duration::from_micros(wait)).await;
            region.start_worker(machine).await;
        });
    }

    async fn start_worker(self: Arc<Self>, machine: u64) {
        let Some(endpoint) = self.context.addresses.worker(self.index, machine) else {
            return;
        };
        let Ok(listener) = TcpListener::bind(endpoint).await else {
            return;
        };
        let worker = {
            let cloud = self.cloud.lock();
            let Some(host) = cloud
                .hosts
                .get(&machine)
                .filter(|h| h.released_at.is_none())
            else {
                return;
            };
            let lease = (self.context.scenario.workers.lease_s * 1e6) as u64;
            let first_node =
                machine as usize % self.context.scenario.regions[self.index].controllers;
            let zone_and_kind = (host.zone.clone(), host.spot);
            let kind = cloud.type_of(machine);
            Worker::new(
                machine,
                endpoint.to_string(),
                kind,
                zone_and_kind,
                lease,
                first_node,
                self.context.now(),
            )
        };
        let worker = FakeWorker::new(&self, worker);
        self.fleet.lock().insert(machine, Arc::clone(&worker));
        worker.run(listener).await;
    }
}
