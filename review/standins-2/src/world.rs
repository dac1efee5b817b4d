//! The platform of a small deployment on loopback: state service, cloud and workers of the project's emulator, and the
//! real controllers as processes of their own.

use bytes::Bytes;
use cometlead_emulator::fakes::cloud::{Cloud, TypeSpec};
use cometlead_emulator::fakes::state::{State, StateConfig};
use cometlead_emulator::fakes::worker::{
    JobInfo, NEXT_NODE_DELAY_US, REPORT_TIMEOUT_US, Redirect, TaskEvent, Worker,
};
use cometlead_emulator::http::{Answer, Connection, IncomingRequest, NoAnswer, Traffic, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Mutex::new(File::create(path).expect("record.txt")),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

/// Processes that this one has started and not ended yet.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Notes a process that has to be ended.
pub fn note_started(child: &Child) {
    STARTED.lock().unwrap().insert(child.id());
}

/// Ends a process.
pub fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().remove(&child.id());
}

/// Ends what a case has left because it failed on its way.
pub fn end_leftovers() {
    for id in std::mem::take(&mut *STARTED.lock().unwrap()) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// The deployment's figures.
#[derive(Clone)]
pub struct Figures {
    pub zone: &'static str,
    pub teams: Value,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: u64,
    pub clock_error_ms: f64,
    pub machine: TypeSpec,
}

pub struct World {
    pub figures: Figures,
    pub record: Record,
    pub folder: PathBuf,
    started: Instant,
    pub state: Mutex<State>,
    watches: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    next_request: AtomicU64,
    cloud: Mutex<Cloud>,
    pub jobs: Mutex<BTreeMap<u64, JobInfo>>,
    pub state_address: SocketAddrV4,
    pub cloud_address: SocketAddrV4,
    /// Addresses for users and workers, and for the other controllers.
    pub nodes: Vec<(SocketAddrV4, SocketAddrV4)>,
    controllers: Mutex<Vec<Option<Child>>>,
    run: Vec<String>,
    /// Whether tasks are counted in the record instead of being named one by one.
    quiet: AtomicBool,
    task_events: Mutex<BTreeMap<(u64, String), u64>>,
}

/// A number from 0 (inclusive) to 1 (exclusive).
fn fraction() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let hash = std::hash::RandomState::new().build_hasher().finish();
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// A free port, which may be taken again at once.
pub fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a free port");
    let port = listener.local_addr().unwrap().port();
    (listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// The `run` value of the deploy file, relative to the repository's root.
fn run_command(root: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("run");
    let value = line.trim_start_matches("run = ").trim().trim_matches('"');
    value.split_whitespace().map(str::to_owned).collect()
}

impl World {
    pub async fn start(
        root: &Path,
        record: Record,
        folder: PathBuf,
        figures: Figures,
        nodes: usize,
    ) -> Arc<World> {
        let (state_listener, state_address) = listen().await;
        let (cloud_listener, cloud_address) = listen().await;
        let config = StateConfig {
            txn_ops: figures.txn_ops,
            value_bytes: (figures.value_kb * 1024.0) as usize,
            rps: figures.rps,
            write_rps: figures.write_rps,
            page_size: 1_000,
        };
        let mut run = run_command(root);
        run[0] = root.join(&run[0]).to_string_lossy().into_owned();
        let world = Arc::new(World {
            record,
            folder,
            started: Instant::now(),
            state: Mutex::new(State::new(config)),
            watches: Mutex::default(),
            next_request: AtomicU64::new(1),
            cloud: Mutex::new(Cloud::new(
                vec![figures.machine.clone()],
                (figures.list_lag_s * 1e6) as u64,
            )),
            jobs: Mutex::default(),
            state_address,
            cloud_address,
            nodes: (0..nodes)
                .map(|_| (free_address(), free_address()))
                .collect(),
            controllers: Mutex::new((0..nodes).map(|_| None).collect()),
            run,
            quiet: AtomicBool::new(false),
            task_events: Mutex::default(),
            figures,
        });
        let w = Arc::clone(&world);
        tokio::spawn(serve(
            state_listener,
            Arc::<Traffic>::default(),
            true,
            move |r| Arc::clone(&w).state_request(r),
        ));
        let w = Arc::clone(&world);
        tokio::spawn(serve(
            cloud_listener,
            Arc::<Traffic>::default(),
            true,
            move |r| Arc::clone(&w).cloud_request(r),
        ));
        let w = Arc::clone(&world);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                w.answer_watches();
            }
        });
        world
    }

    /// From now on tasks are counted: a line with all counts every two seconds.
    pub fn quiet(self: &Arc<Self>) {
        self.quiet.store(true, Ordering::Relaxed);
        let world = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_secs(2)).await;
                let counts = std::mem::take(&mut *world.task_events.lock().unwrap());
                let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
                for ((_, kind), count) in &counts {
                    *sums.entry(kind).or_default() += count;
                }
                world.record.line(format!("tasks in two seconds: {sums:?}"));
            }
        });
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn answer_watches(&self) {
        let due = self.state.lock().unwrap().tick(self.now());
        for (id, status, body) in due {
            if let Some(sender) = self.watches.lock().unwrap().remove(&id) {
                let _ = sender.send(Answer::new(status, &body));
            }
        }
    }

    async fn state_request(self: Arc<Self>, request: IncomingRequest) -> Option<Answer> {
        let id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (answer, receiver) = {
            let mut state = self.state.lock().unwrap();
            let answer = state.request(
                self.now(),
                id,
                &request.method,
                &request.path,
                &request.body,
            );
            match answer {
                Some((status, body)) => (Some(Answer::new(status, &body)), None),
                None if request.path.starts_with("/changes") => {
                    let (sender, receiver) = oneshot::channel();
                    self.watches.lock().unwrap().insert(id, sender);
                    (None, Some(receiver))
                }
                None => (Some(Answer::new(400, &json!({"error": "malformed"}))), None),
            }
        };
        if request.path == "/txn" {
            self.answer_watches();
        }
        match receiver {
            Some(receiver) => receiver.await.ok(),
            None => answer,
        }
    }

    async fn cloud_request(self: Arc<Self>, request: IncomingRequest) -> Option<Answer> {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = self.now();
        let (answer, rented) = {
            let mut cloud = self.cloud.lock().unwrap();
            let last = cloud.hosts.keys().next_back().copied().unwrap_or(0);
            let mut fraction = fraction;
            let (status, body) = cloud.request(
                now,
                &request.method,
                &request.path,
                &request.body,
                &mut fraction,
            );
            let rented: Vec<u64> = cloud.hosts.range(last + 1..).map(|(id, _)| *id).collect();
            (Answer::new(status, &body), rented)
        };
        for machine in rented {
            self.record.line(format!("cloud rents machine {machine}"));
            tokio::spawn(Arc::clone(&self).run_machine(machine));
        }
        Some(answer)
    }

    fn is_released(&self, machine: u64) -> bool {
        let cloud = self.cloud.lock().unwrap();
        cloud
            .hosts
            .get(&machine)
            .is_none_or(|host| host.released_at.is_some())
    }

    fn log_events(&self, machine: u64, events: &[TaskEvent]) {
        if self.quiet.load(Ordering::Relaxed) {
            let mut counts = self.task_events.lock().unwrap();
            for event in events {
                let kind = match event {
                    TaskEvent::Started(_) => "started",
                    TaskEvent::Ended(_, cause) => cause,
                };
                *counts.entry((machine, kind.to_owned())).or_default() += 1;
            }
            return;
        }
        for event in events {
            self.record.line(format!("machine {machine}: {event:?}"));
        }
    }

    async fn run_machine(self: Arc<Self>, machine: u64) {
        let Some(up_at) = self.cloud.lock().unwrap().hosts[&machine].up_at else {
            return;
        };
        tokio::time::sleep(Duration::from_micros(up_at.saturating_sub(self.now()))).await;
        let (listener, address) = listen().await;
        let worker = {
            let cloud = self.cloud.lock().unwrap();
            let host = &cloud.hosts[&machine];
            Worker::new(
                machine,
                address.to_string(),
                cloud.type_of(machine),
                (host.zone.clone(), host.spot),
                (self.figures.lease_s * 1e6) as u64,
                machine as usize % self.nodes.len(),
                self.now(),
            )
        };
        let worker = Arc::new(Mutex::new(worker));
        let (w, target) = (Arc::clone(&self), Arc::clone(&worker));
        let server = tokio::spawn(serve(
            listener,
            Arc::<Traffic>::default(),
            true,
            move |request| {
                let (w, target) = (Arc::clone(&w), Arc::clone(&target));
                async move {
                    let now = w.now();
                    let mut events = Vec::new();
                    let (status, body) = {
                        let jobs = w.jobs.lock().unwrap();
                        let mut worker = target.lock().unwrap();
                        match request.path.as_str() {
                            "/commands" => worker
                                .handle_command(now, &request.body, &jobs, &mut events)
                                .unwrap_or((400, json!({"error": "malformed"}))),
                            _ => (200, worker.report(now)),
                        }
                    };
                    w.log_events(machine, &events);
                    Some(Answer::new(status, &body))
                }
            },
        ));
        let traffic = Arc::<Traffic>::default();
        let mut open: Option<(usize, Connection)> = None;
        while !self.is_released(machine) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let now = self.now();
            let mut events = Vec::new();
            let due = {
                let jobs = self.jobs.lock().unwrap();
                let mut worker = worker.lock().unwrap();
                worker.check_lease(now, &mut events);
                worker.advance(now, &jobs, &mut events);
                let interval = (self.figures.report_s * 1e6 * (0.75 + 0.5 * fraction())) as u64;
                worker
                    .due_report(now, interval)
                    .map(|body| (body, worker.node, worker.session))
            };
            self.log_events(machine, &events);
            let Some((body, node, session)) = due else {
                continue;
            };
            let connection = open
                .take()
                .filter(|(at, c)| *at == node && c.is_open())
                .map(|(_, c)| c);
            let address = self.nodes[node].0;
            let exchange = async {
                let mut connection = match connection {
                    Some(connection) => connection,
                    None => Connection::open(address, &traffic).await?,
                };
                let answer = connection.call("POST", "/v1/report", body.into()).await?;
                Ok::<_, NoAnswer>((connection, answer))
            };
            let exchange = tokio::time::timeout(Duration::from_micros(REPORT_TIMEOUT_US), exchange);
            tokio::pin!(exchange);
            // While it waits, the lease may run out and tasks go on.
            let result = loop {
                tokio::select! {
                    result = &mut exchange => break result,
                    () = tokio::time::sleep(Duration::from_millis(20)) => {
                        let mut events = Vec::new();
                        {
                            let now = self.now();
                            let jobs = self.jobs.lock().unwrap();
                            let mut worker = worker.lock().unwrap();
                            worker.check_lease(now, &mut events);
                            worker.advance(now, &jobs, &mut events);
                        }
                        self.log_events(machine, &events);
                    }
                }
            };
            let mut events = Vec::new();
            {
                let jobs = self.jobs.lock().unwrap();
                let mut worker = worker.lock().unwrap();
                let redirect = match result {
                    Ok(Ok((connection, answer))) => {
                        open = Some((node, connection));
                        let message = (answer.status, &answer.body[..]);
                        worker.handle_answer(
                            self.now(),
                            (now, session),
                            message,
                            &jobs,
                            &mut events,
                        )
                    }
                    _ => Redirect::Next,
                };
                if redirect == Redirect::Next {
                    worker.try_next_node(self.now(), self.nodes.len(), NEXT_NODE_DELAY_US);
                }
            }
            self.log_events(machine, &events);
        }
        server.abort();
        let mut events = Vec::new();
        worker.lock().unwrap().kill_all(&mut events);
        self.log_events(machine, &events);
    }

    /// The settings that the platform hands to a controller; `next`: the limits announced for later.
    fn deploy_file(&self, node: usize, next: Option<&Value>) -> Value {
        let f = &self.figures;
        let others: Vec<Value> = (0..self.nodes.len())
            .filter(|other| *other != node)
            .map(|other| {
                json!({"node": format!("n{other}"), "zone": f.zone, "peer_addr": self.nodes[other].1.to_string()})
            })
            .collect();
        let mut state = json!({"rps": f.rps, "write_rps": f.write_rps, "value_kb": f.value_kb, "txn_ops": f.txn_ops});
        if let Some(next) = next {
            state["next"] = next.clone();
        }
        json!({
            "node": format!("n{node}"), "zone": f.zone,
            "bind": self.nodes[node].0.to_string(), "back": self.nodes[node].1.to_string(),
            "others": others,
            "outside": {"cloud": self.cloud_address.to_string(), "state": self.state_address.to_string()},
            "params": {
                "count": self.nodes.len(), "zones": [f.zone], "teams": f.teams, "objectives": [],
                "workers": {"report_s": f.report_s, "lease_s": f.lease_s, "gang_wait_s": 35.0, "gang_peer_s": 8.0,
                    "cancel_s": f.cancel_s},
                "state": state,
                "cloud": {"rps": f.cloud_rps, "list_lag_s": f.list_lag_s},
                "quota": {"core_share": f.core_share, "ram_mb": f.ram_mb, "max_connections": f.max_connections},
                "clock_error_ms": f.clock_error_ms,
            },
        })
    }

    pub fn start_controller(&self, node: usize, next: Option<&Value>) {
        let path = self.folder.join(format!("n{node}.json"));
        std::fs::write(&path, self.deploy_file(node, next).to_string()).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("n{node}.log")))
            .expect("log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&path)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller");
        note_started(&child);
        self.record.line(format!(
            "controller n{node} started, next limits: {}",
            next.unwrap_or(&Value::Null)
        ));
        self.controllers.lock().unwrap()[node] = Some(child);
    }

    pub fn kill_controller(&self, node: usize) {
        if let Some(child) = self.controllers.lock().unwrap()[node].take() {
            end(child);
            self.record.line(format!("controller n{node} killed"));
        }
    }

    pub fn kill_all(&self) {
        for node in 0..self.nodes.len() {
            self.kill_controller(node);
        }
    }

    /// One request of a user; `None` without an answer in time.
    pub async fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let traffic = Arc::<Traffic>::default();
        let exchange = async {
            let mut connection = Connection::open(self.nodes[node].0, &traffic).await?;
            connection
                .call(method, path, Bytes::from(body.to_owned()))
                .await
        };
        let answer = tokio::time::timeout(Duration::from_secs(5), exchange)
            .await
            .ok()?
            .ok();
        let told = answer.as_ref().map_or("no answer".to_owned(), |a| {
            format!("{} {}", a.status, String::from_utf8_lossy(&a.body))
        });
        let shown: String = body.chars().take(120).collect();
        let path = path.trim_start_matches('/');
        self.record
            .line(format!("user -> n{node} {method} {path} {shown} => {told}"));
        answer
    }

    /// Waits until all controllers are healthy; false after `limit`.
    pub async fn wait_healthy(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let mut healthy = 0;
            for node in 0..self.nodes.len() {
                healthy += usize::from(
                    self.ask(node, "GET", "/healthz", "")
                        .await
                        .is_some_and(|a| a.status == 200),
                );
            }
            if healthy == self.nodes.len() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        false
    }
}
