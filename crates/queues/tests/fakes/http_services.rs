//! Fakes of the controllers' user interface and of the state service, over HTTP on loopback.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Inner {
    rng: StdRng,
    /// One request out of so many is refused with 503, or gets no response; 0 for none.
    fault_one_in: u32,
    /// Everything is refused.
    is_out: bool,
    run: Duration,
    jobs: BTreeMap<String, (Instant, bool)>,
    /// Job names in the order of their first submissions.
    submitted: Vec<String>,
    kv: BTreeMap<String, (Value, u64)>,
    epoch: u64,
    writes: u64,
}

#[derive(Clone)]
pub struct HttpServices {
    inner: Arc<Mutex<Inner>>,
    pub at: SocketAddr,
}

struct Endpoint(HttpServices);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let post = req.method().as_str() == "POST";
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let (status, body) = self.0.answer(post, &path, &query, &body);
        // No answer: what was asked for may have been done.
        if status == 0 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            res.status_code(StatusCode::BAD_GATEWAY);
            return;
        }
        if status == 503 || status == 429 {
            let _ = res.add_header("retry-after", "0.1", true);
        }
        res.status_code(StatusCode::from_u16(status).expect("a status"));
        res.render(Json(body));
    }
}

impl HttpServices {
    pub async fn start(seed: u64, fault_one_in: u32, run: Duration) -> HttpServices {
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let at = acceptor.local_addr().expect("an address");
        let inner = Inner {
            rng: StdRng::seed_from_u64(seed),
            fault_one_in,
            is_out: false,
            run,
            jobs: BTreeMap::new(),
            submitted: Vec::new(),
            kv: BTreeMap::new(),
            epoch: 0,
            writes: 0,
        };
        let services = HttpServices {
            inner: Arc::new(Mutex::new(inner)),
            at,
        };
        let router = Router::with_path("{**rest}").goal(Endpoint(services.clone()));
        tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        services
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic while it was held"))
    }

    pub fn set_outage(&self, out: bool) {
        self.with(|i| i.is_out = out);
    }

    pub fn stop_faults(&self) {
        self.with(|i| i.fault_one_in = 0);
    }

    pub fn submitted(&self) -> Vec<String> {
        self.with(|i| i.submitted.clone())
    }

    /// Changes at the state service.
    pub fn writes(&self) -> u64 {
        self.with(|i| i.writes)
    }

    /// How a job really ended, if it has.
    pub fn ended(&self, job: &str) -> Option<&'static str> {
        self.with(|i| i.jobs.get(job).and_then(ended))
    }

    fn answer(&self, post: bool, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        self.with(|i| {
            let fault = if i.fault_one_in > 0 {
                i.rng.random_range(0..i.fault_one_in * 2)
            } else {
                2
            };
            if i.is_out || fault == 0 {
                return (503, json!({}));
            }
            let done = i.act(post, path, query, body);
            if fault == 1 { (0, json!({})) } else { done }
        })
    }
}

fn ended((end, cancelled): &(Instant, bool)) -> Option<&'static str> {
    match (cancelled, *end <= Instant::now()) {
        (true, _) => Some("cancelled"),
        (false, true) => Some("done"),
        (false, false) => None,
    }
}

impl Inner {
    fn status(&self, job: &str, first: u16) -> (u16, Value) {
        match self.jobs.get(job) {
            Some(of) => (
                first,
                json!({ "nameId": job, "status": ended(of).unwrap_or("running") }),
            ),
            None => (404, json!({})),
        }
    }

    fn act(&mut self, post: bool, path: &str, query: &str, body: &[u8]) -> (u16, Value) {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (post, parts.as_slice()) {
            (true, ["work"]) => {
                let Ok(job) = serde_json::from_slice::<Value>(body) else {
                    return (400, json!({ "error": "bad" }));
                };
                if job["crew"] == "nobody" {
                    return (422, json!({ "reason": "crew: unknown" }));
                }
                let name = job["nameId"].as_str().expect("a name").to_owned();
                let first = if self.jobs.contains_key(&name) {
                    200
                } else {
                    201
                };
                if first == 201 {
                    self.submitted.push(name.clone());
                    let span = self.run.mul_f64(0.5 + self.rng.random::<f64>());
                    self.jobs
                        .insert(name.clone(), (Instant::now() + span, false));
                }
                self.status(&name, first)
            }
            (true, ["work", job, "abort"]) => {
                if let Some(of) = self.jobs.get_mut(*job)
                    && ended(of).is_none()
                {
                    of.1 = true;
                }
                self.status(job, 200)
            }
            (false, ["work", job]) => self.status(job, 200),
            (true, ["txn"]) => self.txn(&serde_json::from_slice(body).expect("a transaction")),
            (false, ["kv", key @ ..]) if !key.is_empty() => match self.kv.get(&key.join("/")) {
                Some((value, stamp)) => (
                    200,
                    json!({ "key": key.join("/"), "value": value, "stamp": stamp }),
                ),
                None => (404, json!({ "epoch": self.epoch })),
            },
            (false, ["kv"]) => {
                let field = |name: &str| {
                    query
                        .split('&')
                        .find_map(|p| p.strip_prefix(name))
                        .unwrap_or_default()
                };
                let (prefix, after) = (field("prefix="), field("after="));
                let all = self
                    .kv
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let items: Vec<Value> = all
                    .map(|(k, (v, s))| json!({ "key": k, "value": v, "stamp": s }))
                    .collect();
                (
                    200,
                    json!({ "items": items, "more": false, "epoch": self.epoch }),
                )
            }
            _ => (404, json!({})),
        }
    }

    fn txn(&mut self, txn: &Value) -> (u16, Value) {
        let stamp = |key: &str| self.kv.get(key).map_or(0, |(_, s)| *s);
        for when in txn["when"].as_array().expect("conditions") {
            let key = when["key"].as_str().expect("a key");
            if when["stamp"] != stamp(key) {
                return (409, json!({ "failed": [key], "epoch": self.epoch }));
            }
        }
        self.epoch += 1;
        for change in txn["then"].as_array().expect("changes") {
            self.writes += 1;
            if let Some(key) = change["write"].as_str() {
                assert!(
                    change["value"].to_string().len() <= 2_048,
                    "a value that is too large"
                );
                self.kv
                    .insert(key.to_owned(), (change["value"].clone(), self.epoch));
            } else if let Some(key) = change["remove"].as_str() {
                self.kv.remove(key);
            }
        }
        (200, json!({ "epoch": self.epoch }))
    }
}
