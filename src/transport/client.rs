//! The HTTP client: a connection pool, a timeout for every call, and a bounded number of sockets.

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

/// How long an idle connection is kept open. After a failover that leaves one controller leading all shards, it keeps
/// one connection to each agent that it sends commands to, in addition to the connection on which the agent sends its
/// heartbeats.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of idle connections to one address.
const MAX_IDLE_PER_HOST: usize = 4;

/// The client.
#[derive(Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    /// A permit for each call that may still begin.
    calls: Semaphore,
    agent_connections: IdleConnections,
    /// Largest response body that is read, in bytes.
    body_limit: usize,
}

/// Status and body of a response.
pub type HttpResponse = (u16, Vec<u8>);

/// Why a call has no response that can be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No call could begin, the connection failed, or no response arrived in time.
    #[error("no response")]
    NoResponse,
    /// The response's body is larger than the limit.
    #[error("the response is too large")]
    ResponseTooLarge,
}

/// Bounds the number of idle connections to agents.
#[derive(Debug)]
struct IdleConnections {
    /// When connections were kept after a call, oldest first.
    kept_at: Mutex<VecDeque<Instant>>,
    limit: usize,
}

impl IdleConnections {
    /// Whether the connection of a call may be kept open afterwards. Several calls to one agent are counted separately,
    /// so fewer connections than the limit may be kept.
    fn try_keep(&self) -> bool {
        let mut kept_at = self.kept_at.lock().unwrap_or_else(PoisonError::into_inner);
        while kept_at
            .front()
            .is_some_and(|at| at.elapsed() > IDLE_TIMEOUT)
        {
            kept_at.pop_front();
        }
        let keep = kept_at.len() < self.limit;
        if keep {
            kept_at.push_back(Instant::now());
        }
        keep
    }
}

/// A request with its timeout and connection handling.
struct Call<'a> {
    host: &'a str,
    method: &'static str,
    path: &'a str,
    body: Vec<u8>,
    timeout: Micros,
    /// Whether the connection may be used for further calls.
    keep_alive: bool,
}

impl Call<'_> {
    fn into_request(self) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(format!("http://{}{}", self.host, self.path))
            .header(CONTENT_TYPE, "application/json");
        if !self.keep_alive {
            request = request.header(CONNECTION, "close");
        }
        request
            .body(Full::new(Bytes::from(self.body)))
            .map_err(|_| HttpError::NoResponse)
    }
}

impl HttpClient {
    /// A client that makes at most `calls` calls at a time, keeps at most `max_idle` idle connections to agents and
    /// reads bodies of at most `body_limit` bytes.
    pub fn new(calls: usize, max_idle: usize, body_limit: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        HttpClient {
            inner,
            calls: Semaphore::new(calls),
            agent_connections: IdleConnections {
                kept_at: Mutex::default(),
                limit: max_idle,
            },
            body_limit,
        }
    }

    /// Sends commands to an agent. The connection is closed afterwards if the limit of idle connections is reached.
    ///
    /// # Errors
    /// [`HttpError`] if there is no usable response within `timeout`.
    pub async fn command(
        &self,
        host: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Micros,
    ) -> Result<HttpResponse, HttpError> {
        self.send(Call {
            host,
            method: "POST",
            path,
            body,
            timeout,
            keep_alive: self.agent_connections.try_keep(),
        })
        .await
    }

    /// Sends a request.
    ///
    /// # Errors
    /// [`HttpError`] if there is no usable response within `timeout`.
    pub async fn call(
        &self,
        host: &str,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        timeout: Micros,
    ) -> Result<HttpResponse, HttpError> {
        self.send(Call {
            host,
            method,
            path,
            body,
            timeout,
            keep_alive: true,
        })
        .await
    }

    async fn send(&self, call: Call<'_>) -> Result<HttpResponse, HttpError> {
        let _permit = self
            .calls
            .try_acquire()
            .map_err(|_| HttpError::NoResponse)?;
        let timeout = Duration::from_micros(call.timeout.0);
        let exchange = self.exchange(call.into_request()?);
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::NoResponse))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, HttpError> {
        let response = self
            .inner
            .request(request)
            .await
            .map_err(|_| HttpError::NoResponse)?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), self.body_limit).await?;
        Ok((status, body))
    }
}

/// Reads a body into one allocation. A body whose declared length is above `limit` is not read at all.
async fn read_body(mut body: Incoming, limit: usize) -> Result<Vec<u8>, HttpError> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(HttpError::ResponseTooLarge);
    }
    let mut bytes = Vec::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| HttpError::NoResponse)?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(HttpError::ResponseTooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}
