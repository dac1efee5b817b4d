//! Fakes of the controllers' user interface and of the state service, over HTTP on loopback.

mod controllers;
mod key_value_store;

use controllers::FakeControllers;
use key_value_store::KeyValueStore;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a lost response takes.
const LOST_RESPONSE_DELAY: Duration = Duration::from_millis(300);

/// A request as far as the fakes look at it.
struct FakeRequest {
    is_post: bool,
    path: String,
    query: String,
    body: Vec<u8>,
}

struct FakeResponse {
    status: u16,
    body: Value,
}

impl FakeResponse {
    fn new(status: u16, body: Value) -> FakeResponse {
        FakeResponse { status, body }
    }

    fn not_found() -> FakeResponse {
        FakeResponse::new(404, json!({}))
    }
}

/// What goes wrong with a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Refused for now.
    Overload,
    /// Carried out, but the response is lost.
    ResponseLost,
}

struct State {
    rng: StdRng,
    /// One request out of so many meets a fault; 0 for none.
    fault_one_in: u32,
    /// Everything is refused for now.
    is_outage: bool,
    controllers: FakeControllers,
    store: KeyValueStore,
}

impl State {
    fn next_fault(&mut self) -> Fault {
        if self.is_outage {
            return Fault::Overload;
        }
        if self.fault_one_in == 0 {
            return Fault::None;
        }
        match self.rng.random_range(0..self.fault_one_in * 2) {
            0 => Fault::Overload,
            1 => Fault::ResponseLost,
            _ => Fault::None,
        }
    }

    /// `None` if the response is lost.
    fn handle(&mut self, request: &FakeRequest) -> Option<FakeResponse> {
        let fault = self.next_fault();
        if fault == Fault::Overload {
            return Some(FakeResponse::new(503, json!({})));
        }
        let response = self.route(request);
        (fault == Fault::None).then_some(response)
    }

    fn route(&mut self, request: &FakeRequest) -> FakeResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.is_post, path.as_slice()) {
            (true, ["work"]) => self.controllers.submit(&request.body, &mut self.rng),
            (true, ["work", job, "abort"]) => self.controllers.cancel(job),
            (false, ["work", job]) => self.controllers.query(job),
            (true, ["txn"]) => self.store.transaction(&request.body),
            (false, ["kv"]) => self.store.list(&request.query),
            (false, ["kv", key @ ..]) => self.store.read(&key.join("/")),
            _ => FakeResponse::not_found(),
        }
    }
}

struct Endpoint(HttpServices);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let payload = req.payload().await.map(|b| b.to_vec());
        let request = FakeRequest {
            is_post: req.method().as_str() == "POST",
            path: req.uri().path().to_owned(),
            query: req.uri().query().unwrap_or_default().to_owned(),
            body: payload.unwrap_or_default(),
        };
        let Some(response) = self.0.with_state(|state| state.handle(&request)) else {
            tokio::time::sleep(LOST_RESPONSE_DELAY).await;
            res.status_code(StatusCode::BAD_GATEWAY);
            return;
        };
        if matches!(response.status, 429 | 503) {
            res.add_header("retry-after", "0.1", true)
                .expect("a valid header");
        }
        res.status_code(StatusCode::from_u16(response.status).expect("a status"));
        res.render(Json(response.body));
    }
}

#[derive(Clone)]
pub struct HttpServices {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl HttpServices {
    /// Starts the services. Jobs run for half to one and a half times `mean_run_time`.
    pub async fn start(seed: u64, fault_one_in: u32, mean_run_time: Duration) -> HttpServices {
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.local_addr().expect("an address");
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            fault_one_in,
            is_outage: false,
            controllers: FakeControllers::new(mean_run_time),
            store: KeyValueStore::default(),
        };
        let services = HttpServices {
            state: Arc::new(Mutex::new(state)),
            address,
        };
        let router = Router::with_path("{**rest}").goal(Endpoint(services.clone()));
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        services
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no panic while it was held"))
    }

    pub fn set_outage(&self, is_outage: bool) {
        self.with_state(|state| state.is_outage = is_outage);
    }

    pub fn stop_faults(&self) {
        self.with_state(|state| state.fault_one_in = 0);
    }

    /// Names of the jobs in the order of their first submissions.
    pub fn submitted(&self) -> Vec<String> {
        self.with_state(|state| state.controllers.submitted().to_vec())
    }

    /// Number of keys that were written or removed.
    pub fn writes(&self) -> u64 {
        self.with_state(|state| state.store.writes())
    }

    /// How a job ended, if it has.
    pub fn ended(&self, job: &str) -> Option<&'static str> {
        self.with_state(|state| state.controllers.ended(job))
    }
}
