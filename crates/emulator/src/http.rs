//! HTTP/1.1 client connections and servers that count their traffic.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Counters of the traffic over connections.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes read.
    pub read: AtomicU64,
    /// Bytes written.
    pub written: AtomicU64,
    /// Requests sent or received.
    pub requests: AtomicU64,
    /// Connections opened or accepted.
    pub connections: AtomicU64,
}

impl Traffic {
    /// Bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.read.load(Ordering::Relaxed) + self.written.load(Ordering::Relaxed)
    }
}

/// A stream that counts the bytes read and written.
struct CountingStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic
            .read
            .fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        if let Poll::Ready(Ok(n)) = &result {
            self.traffic.written.fetch_add(*n as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// Creates a response with a JSON body.
    pub fn new(status: u16, body: &serde_json::Value) -> Answer {
        Answer {
            status,
            body: body.to_string().into(),
            retry_after: None,
        }
    }
}

/// The connection failed or was closed before a response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

/// A client's connection.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    host: HeaderValue,
    traffic: Arc<Traffic>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if the connection is not established within half a second.
    pub async fn open(to: SocketAddrV4, traffic: &Arc<Traffic>) -> Result<Connection, NoAnswer> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        let stream = connecting.map_err(|_| NoAnswer)?.map_err(|_| NoAnswer)?;
        stream.set_nodelay(true).map_err(|_| NoAnswer)?;
        traffic.connections.fetch_add(1, Ordering::Relaxed);
        let stream = CountingStream {
            stream,
            traffic: Arc::clone(traffic),
        };
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| NoAnswer)?;
        let driver = tokio::spawn(async move {
            // The sender reports an error of the connection.
            let _ = connection.await;
        });
        let host = HeaderValue::from_str(&to.to_string()).map_err(|_| NoAnswer)?;
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            host,
            traffic: Arc::clone(traffic),
        })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the response, without a timeout.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if the connection fails first.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, NoAnswer> {
        self.sender.ready().await.map_err(|_| NoAnswer)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.host.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| NoAnswer)?;
        self.traffic.requests.fetch_add(1, Ordering::Relaxed);
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(|_| NoAnswer)?;
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse().ok());
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|_| NoAnswer)?
            .to_bytes();
        Ok(Answer {
            status,
            body,
            retry_after,
        })
    }
}

/// A request that a fake server received.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// Serves requests until the task is aborted. If the handler returns `None`, the connection is closed without a response.
/// `keep_alive` says whether connections stay open after a response.
pub async fn serve<H, F>(listener: TcpListener, traffic: Arc<Traffic>, keep_alive: bool, handler: H)
where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Answer>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails if no file descriptor is free; retry shortly.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        traffic.connections.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(serve_connection(
            stream,
            Arc::clone(&traffic),
            keep_alive,
            handler.clone(),
        ));
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    traffic: Arc<Traffic>,
    keep_alive: bool,
    handler: H,
) where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Answer>> + Send + 'static,
{
    // Without this option, only latency is worse.
    let _ = stream.set_nodelay(true);
    let stream = CountingStream {
        stream,
        traffic: Arc::clone(&traffic),
    };
    let service = service_fn(move |request: Request<Incoming>| {
        traffic.requests.fetch_add(1, Ordering::Relaxed);
        let handler = handler.clone();
        async move {
            let method = request.method().as_str().to_owned();
            let path = request
                .uri()
                .path_and_query()
                .map_or_else(String::new, ToString::to_string);
            let body = request
                .into_body()
                .collect()
                .await
                .map_err(|_| CloseConnection)?
                .to_bytes();
            let answer = handler(IncomingRequest { method, path, body })
                .await
                .ok_or(CloseConnection)?;
            response(answer, keep_alive).map_err(|_: Infallible| CloseConnection)
        }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A client that closes the connection is no error.
    let _ = connection.await;
}

/// Makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("closed")]
struct CloseConnection;

fn response(answer: Answer, keep_alive: bool) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if !keep_alive {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
