//! The HTTP client: pooled connections, a time limit on every call, bounded sockets.

use crate::bookkeeping::time::Micros;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Largest body that is read of the cloud and the state service: a watch's answer has no limit of
/// its own, and what is larger than this is read anew in pages.
const BODY_LIMIT: usize = 6 * 1024 * 1024;

/// The client.
#[derive(Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    calls: Semaphore,
}

/// What came back: status and body.
pub type Answer = (u16, Bytes);

impl HttpClient {
    /// A client that has at most `sockets` calls under way.
    pub fn new(sockets: usize) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(4)
            .build(connector);
        HttpClient { inner, calls: Semaphore::new(sockets) }
    }

    /// Sends a request; `None` if there was no answer within `limit`.
    pub async fn call(
        &self,
        host: &str,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        limit: Micros,
    ) -> Option<Answer> {
        let _permit = self.calls.try_acquire().ok()?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let exchange = async {
            let response = self.inner.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), BODY_LIMIT).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(Duration::from_micros(limit.0), exchange).await.ok().flatten()
    }
}
