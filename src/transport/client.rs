//! The HTTP client: pooled connections, a time limit on every call, bounded sockets.

use crate::time::Micros;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Semaphore;

/// How long a connection is kept that nothing uses. After a takeover by one controller of all slices there is one for each
/// machine that it commands, beside the one by which that reports.
const IDLE: Duration = Duration::from_secs(6);

/// The client.
#[derive(Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    calls: Semaphore,
    /// When connections to workers were last left open, of those that may still be.
    kept: Mutex<VecDeque<Instant>>,
    most_kept: usize,
    /// Largest body that is read, in bytes.
    body_limit: usize,
}

/// What came back: status and body.
pub type Answer = (u16, Vec<u8>);

/// Why nothing came back that can be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NoAnswer {
    /// None within the time, or the connection failed.
    #[error("no answer")]
    None,
    /// There was one, with a larger body than is read.
    #[error("the answer is too large")]
    TooLarge,
}

impl HttpClient {
    /// A client that has at most `calls` calls under way, keeps at most `most_kept` connections to workers and reads bodies of
    /// at most `body_limit` bytes.
    pub fn new(calls: usize, most_kept: usize, body_limit: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(4)
            .build(connector);
        HttpClient {
            inner,
            calls: Semaphore::new(calls),
            kept: Mutex::default(),
            most_kept,
            body_limit,
        }
    }

    /// Whether a connection to a worker may stay open after a call. A worker that is commanded again and again counts
    /// each time, so rather fewer are kept than may be.
    fn may_keep(&self) -> bool {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        while kept.front().is_some_and(|at| at.elapsed() > IDLE) {
            kept.pop_front();
        }
        let may = kept.len() < self.most_kept;
        if may {
            kept.push_back(Instant::now());
        }
        may
    }

    /// Commands a worker; its connection is given up afterwards if too many are kept already.
    pub async fn command(
        &self,
        host: &str,
        path: &str,
        body: Vec<u8>,
        limit: Micros,
    ) -> Result<Answer, NoAnswer> {
        let keep = self.may_keep();
        self.send(host, ("POST", path), body, limit, keep).await
    }

    /// Sends a request, and waits for its answer for at most `limit`.
    pub async fn call(
        &self,
        host: &str,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        limit: Micros,
    ) -> Result<Answer, NoAnswer> {
        self.send(host, (method, path), body, limit, true).await
    }

    async fn send(
        &self,
        host: &str,
        (method, path): (&'static str, &str),
        body: Vec<u8>,
        limit: Micros,
        keep: bool,
    ) -> Result<Answer, NoAnswer> {
        let _permit = self.calls.try_acquire().map_err(|_| NoAnswer::None)?;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(CONTENT_TYPE, "application/json");
        if !keep {
            request = request.header(CONNECTION, "close");
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| NoAnswer::None)?;
        let exchange = async {
            let response = self
                .inner
                .request(request)
                .await
                .map_err(|_| NoAnswer::None)?;
            let status = response.status().as_u16();
            Ok((status, read(response.into_body(), self.body_limit).await?))
        };
        tokio::time::timeout(Duration::from_micros(limit.0), exchange)
            .await
            .unwrap_or(Err(NoAnswer::None))
    }
}

/// Reads a body into one piece of memory, unless it is larger than `limit`: one whose length is told beforehand is not
/// begun then.
async fn read(mut body: Incoming, limit: usize) -> Result<Vec<u8>, NoAnswer> {
    let told = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if told > limit {
        return Err(NoAnswer::TooLarge);
    }
    let mut whole = Vec::with_capacity(told);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| NoAnswer::None)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(NoAnswer::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole)
}
