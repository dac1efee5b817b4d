//! Fakes of the controllers' API for users and of the state service, over HTTP on loopback.

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

/// Delay until the request of a lost response fails with status 502.
const LOST_RESPONSE_DELAY: Duration = Duration::from_millis(300);

/// The parts of a request that the fakes evaluate.
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

/// A fault that is injected into a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The request is refused with status 503.
    Overload,
    /// The request is executed, but its response is lost.
    ResponseLost,
}

struct State {
    rng: StdRng,
    /// Average number of requests per fault; 0 for no faults.
    requests_per_fault: u32,
    /// Whether all requests are refused with status 503.
    is_outage: bool,
    controllers: FakeControllers,
    store: KeyValueStore,
}

impl State {
    fn next_fault(&mut self) -> InjectedFault {
        if self.is_outage {
            return InjectedFault::Overload;
        }
        if self.requests_per_fault == 0 {
            return InjectedFault::None;
        }
        match self.rng.random_range(0..self.requests_per_fault * 2) {
            0 => InjectedFault::Overload,
            1 => InjectedFault::ResponseLost,
            _ => InjectedFault::None,
        }
    }

    /// Handles a request. Returns `None` if the response is lost.
    fn handle(&mut self, request: &FakeRequest) -> Option<FakeResponse> {
        let fault = self.next_fault();
        if fault == InjectedFault::Overload {
            return Some(FakeResponse::new(503, json!({})));
        }
        let response = self.route(request);
        (fault == InjectedFault::None).then_some(response)
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
    pub async fn start(
        seed: u64,
        requests_per_fault: u32,
        mean_run_time: Duration,
    ) -> HttpServices {
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.local_addr().expect("an address");
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            requests_per_fault,
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
        f(&mut self
            .state
            .lock()
            .expect("no panic while the state was locked"))
    }

    pub fn set_outage(&self, is_outage: bool) {
        self.with_state(|state| state.is_outage = is_outage);
    }

    pub fn disable_faults(&self) {
        self.with_state(|state| state.requests_per_fault = 0);
    }

    /// Names of the jobs in the order of their first submissions.
    pub fn submitted_jobs(&self) -> Vec<String> {
        self.with_state(|state| state.controllers.submitted_jobs().to_vec())
    }

    /// Number of keys that were written or removed so far.
    pub fn change_count(&self) -> u64 {
        self.with_state(|state| state.store.change_count())
    }

    /// Status of a job that has ended.
    pub fn final_status(&self, job: &str) -> Option<&'static str> {
        self.with_state(|state| state.controllers.final_status(job))
    }
}
