//! Tests on real sockets: the server's responses before the cell state is loaded, the client's limits, the connection between
//! peers.

use cometlead::coordination::Controller;
use cometlead::protocol::operator::OperatorSettings;
use cometlead::protocol::settings::Settings;
use cometlead::time::Micros;
use cometlead::transport::client::{HttpClient, HttpError};
use cometlead::transport::node::Node;
use cometlead::transport::{peers, server};
use serde_json::json;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

async fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string().parse().unwrap()
}

fn settings(
    name: &str,
    bind: SocketAddrV4,
    back: SocketAddrV4,
    other: SocketAddrV4,
    state: SocketAddrV4,
) -> Arc<Settings> {
    let file = json!({
        "node": name, "zone": "a", "bind": bind.to_string(), "back": back.to_string(), "new": {"field": 1},
        "others": [{"node": "other", "zone": "a", "peer_addr": other.to_string()}],
        "outside": {"cloud": state.to_string(), "state": state.to_string()},
        "params": {"teams": [{"name": "t"}], "objectives": [{"kind": "new"}],
            "workers": {"report_s": 1, "lease_s": 10, "cancel_s": 35},
            "state": {"rps": 100, "write_rps": 40, "value_kb": 4, "txn_ops": 12},
            "cloud": {"rps": 5, "list_lag_s": 4},
            "quota": {"core_share": 0.1, "ram_mb": 40, "max_connections": 64}, "clock_error_ms": 100}});
    Arc::new(Settings::parse("test", file.to_string().as_bytes()).unwrap())
}

/// Sends a raw request and returns the status line of the response.
async fn status_line(at: SocketAddrV4, request: &str) -> String {
    let mut stream = loop {
        match TcpStream::connect(at).await {
            Ok(s) => break s,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = [0; 64];
    let n = stream.read(&mut response).await.unwrap();
    String::from_utf8_lossy(&response[..n])
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}

fn post(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[tokio::test]
async fn server_answers_before_the_cell_state_is_loaded() {
    // Nothing listens at the address of the state service.
    let (bind, back) = (free_address().await, free_address().await);
    let s = settings("n0", bind, back, free_address().await, free_address().await);
    let node = Node::new(
        Controller::new(Arc::clone(&s), OperatorSettings::default(), 1),
        &s,
    );
    tokio::spawn(server::serve(Arc::clone(&node), bind, 16));
    tokio::spawn(Arc::clone(&node).run());
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let report = r#"{"host":"i-000001","endpoint":"127.0.0.1:1","build":"b","yard":"a","loaners":true,"shift":1,
        "tally":1,"baton":0,"recallS":null,"pieces":[],"later":[]}"#;
    for (request, expected) in [
        (get("/healthz"), "503"),
        (get("/nothing"), "404"),
        (get("/work"), "405"),
        (get("/work/req-000001"), "503"),
        (get("/work/nonsense"), "404"),
        (post("/work/req-000001/abort", ""), "503"),
        (post("/work", "not json"), "400"),
        (post("/work", "[1]"), "400"),
        (post("/v1/report", "{}"), "400"),
        (post("/v1/report", report), "503"),
        // This request is refused because of its declared length; the body is never sent.
        (
            "POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 70000\r\n\r\n".to_owned(),
            "413",
        ),
    ] {
        let line = status_line(bind, &request).await;
        assert!(line.contains(expected), "{request}: {line}");
    }
}

/// Starts a controller without a state service that serves this many connections, and returns its address.
async fn start_controller(connections: usize) -> SocketAddrV4 {
    let (bind, back) = (free_address().await, free_address().await);
    let s = settings("n0", bind, back, free_address().await, free_address().await);
    let node = Node::new(
        Controller::new(Arc::clone(&s), OperatorSettings::default(), 1),
        &s,
    );
    tokio::spawn(server::serve(Arc::clone(&node), bind, connections));
    tokio::spawn(Arc::clone(&node).run());
    bind
}

async fn connect(at: SocketAddrV4) -> TcpStream {
    loop {
        match TcpStream::connect(at).await {
            Ok(stream) => return stream,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Sends a worker's heartbeat. Returns whether the server closes the connection with the response.
async fn heartbeat_closes_connection(stream: &mut TcpStream) -> bool {
    let body = r#"{"host":"i-000001","endpoint":"127.0.0.1:1","build":"b","yard":"a","shift":1,"tally":1,"baton":0}"#;
    stream
        .write_all(post("/v1/report", body).as_bytes())
        .await
        .unwrap();
    let mut response = [0; 512];
    let n = stream.read(&mut response).await.unwrap();
    String::from_utf8_lossy(&response[..n])
        .to_lowercase()
        .contains("connection: close")
}

/// More workers connect than there are sockets: the connections that are not kept are closed with their responses, health
/// checks are still served, and a connection that ends frees its place.
#[tokio::test]
async fn excess_worker_connections_are_closed_and_health_checks_are_served() {
    const MAX_CONNECTIONS: usize = 16;
    let at = start_controller(MAX_CONNECTIONS).await;
    let mut kept = Vec::new();
    let mut closed = 0;
    for _ in 0..MAX_CONNECTIONS * 3 {
        let mut stream = connect(at).await;
        if heartbeat_closes_connection(&mut stream).await {
            closed += 1;
        } else {
            kept.push(stream);
        }
    }
    assert!(
        kept.len() >= MAX_CONNECTIONS / 4 && closed > MAX_CONNECTIONS,
        "{} kept, {closed} closed",
        kept.len()
    );
    let health = status_line(at, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(health.contains("503"), "{health}");
    drop(kept);
    while heartbeat_closes_connection(&mut connect(at).await).await {
        tokio::task::yield_now().await;
    }
}

/// A client that sends half a request, or none, is disconnected after a timeout.
#[tokio::test]
async fn connections_without_a_complete_request_are_closed() {
    let at = start_controller(16).await;
    let mut silent = connect(at).await;
    let mut half = connect(at).await;
    half.write_all(b"POST /v1/report HTTP/1.1\r\nhost: x\r\nconte")
        .await
        .unwrap();
    for stream in [&mut silent, &mut half] {
        // The server may close the connection with or without a reset.
        assert_eq!(stream.read(&mut [0; 8]).await.unwrap_or(0), 0);
    }
}

#[tokio::test]
async fn calls_fail_at_the_timeout_or_the_connection_limit() {
    // This listener accepts connections and never responds.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let silent = tokio::spawn(async move { listener.accept().await });
    let client = HttpClient::new(1, 1, 1_000);
    let first = client.call(&at, "GET", "/", Vec::new(), Micros::millis(200));
    // The client's only socket is in use, so a second call fails at once.
    let second = async {
        tokio::task::yield_now().await;
        client
            .call(&at, "GET", "/", Vec::new(), Micros::secs(3_600))
            .await
    };
    assert_eq!(
        tokio::join!(first, second),
        (Err(HttpError::NoResponse), Err(HttpError::NoResponse))
    );
    silent.abort();
}

/// A response above the size limit must be distinguished from a missing response: if it were requested again, it would only be
/// larger.
#[tokio::test]
async fn too_large_response_has_an_error_of_its_own() {
    let body = "x".repeat(450);
    let with_length = format!("content-length: 900\r\n\r\n{body}{body}");
    // Without a declared length the size is only known while the body is read.
    let chunked =
        format!("transfer-encoding: chunked\r\n\r\n1c2\r\n{body}\r\n1c2\r\n{body}\r\n0\r\n\r\n");
    for (rest, limit, expected) in [
        (
            &with_length,
            900,
            Ok((200, format!("{body}{body}").into_bytes())),
        ),
        (&with_length, 899, Err(HttpError::ResponseTooLarge)),
        (
            &chunked,
            900,
            Ok((200, format!("{body}{body}").into_bytes())),
        ),
        (&chunked, 899, Err(HttpError::ResponseTooLarge)),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap().to_string();
        let response = format!("HTTP/1.1 200 OK\r\n{rest}");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(response.as_bytes()).await;
            stream
        });
        let got = HttpClient::new(1, 1, limit)
            .call(&at, "GET", "/", Vec::new(), Micros::secs(60))
            .await;
        assert_eq!(got, expected, "{limit}");
        server.abort();
    }
}

/// A connection that the peer closed during a stall of this process is half open. If this process did not read from it, all
/// further hints would be written into it and the peer would receive none.
#[tokio::test]
async fn connection_closed_by_the_peer_is_opened_again() {
    let (back0, nowhere) = (free_address().await, free_address().await);
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(at) = peer.local_addr().unwrap() else {
        panic!("IPv4")
    };
    let s0 = settings("n0", nowhere, back0, at, nowhere);
    let n0 = Node::new(
        Controller::new(Arc::clone(&s0), OperatorSettings::default(), 7),
        &s0,
    );
    tokio::spawn(peers::send_hints(Arc::clone(&n0), at));
    tokio::spawn(Arc::clone(&n0).run());
    let (mut first, _) = peer.accept().await.unwrap();
    first.shutdown().await.unwrap();
    let (mut second, _) = peer.accept().await.unwrap();
    assert!(
        second.read(&mut [0; 8]).await.unwrap() > 0,
        "no hint on the new connection"
    );
}

#[tokio::test]
async fn peers_receive_hints() {
    let (back0, back1, nowhere) = (
        free_address().await,
        free_address().await,
        free_address().await,
    );
    let s0 = settings("n0", nowhere, back0, back1, nowhere);
    let s1 = settings("n1", nowhere, back1, back0, nowhere);
    let start = |s: &Arc<Settings>| {
        Node::new(
            Controller::new(Arc::clone(s), OperatorSettings::default(), 7),
            s,
        )
    };
    let (n0, n1) = (start(&s0), start(&s1));
    tokio::spawn(peers::listen(Arc::clone(&n1), back1, 1));
    tokio::spawn(peers::send_hints(Arc::clone(&n0), back1));
    tokio::spawn(Arc::clone(&n0).run());
    while !n1.knows_peer("n0") {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}
