//! Real sockets: the server's answers before anything is known, the client's limits, the peer link.

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

/// Sends one request as it is written and returns the status line.
async fn status(at: SocketAddrV4, request: &str) -> String {
    let mut stream = loop {
        match TcpStream::connect(at).await {
            Ok(s) => break s,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = [0; 64];
    let n = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..n])
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
async fn answers_before_anything_is_known() {
    // Nobody listens where the state service should be.
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
        // Refused by what it declares: the body never comes.
        (
            "POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 70000\r\n\r\n".to_owned(),
            "413",
        ),
    ] {
        let line = status(bind, &request).await;
        assert!(line.contains(expected), "{request}: {line}");
    }
}

/// A controller without a state service that serves so many connections.
async fn serve(connections: usize) -> SocketAddrV4 {
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

/// Sends a worker's report; whether the connection is closed with the answer.
async fn report(stream: &mut TcpStream) -> bool {
    let body = r#"{"host":"i-000001","endpoint":"127.0.0.1:1","build":"b","yard":"a","shift":1,"tally":1,"baton":0}"#;
    stream
        .write_all(post("/v1/report", body).as_bytes())
        .await
        .unwrap();
    let mut answer = [0; 512];
    let n = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..n])
        .to_lowercase()
        .contains("connection: close")
}

/// Workers beyond all sockets: those that are not kept are closed with their answers, health checks get in, and a
/// connection that ends makes room again.
#[tokio::test]
async fn workers_give_connections_back_and_health_checks_get_in() {
    const SERVED: usize = 16;
    let at = serve(SERVED).await;
    let mut kept = Vec::new();
    let mut closed = 0;
    for _ in 0..SERVED * 3 {
        let mut stream = connect(at).await;
        if report(&mut stream).await {
            closed += 1;
        } else {
            kept.push(stream);
        }
    }
    assert!(
        kept.len() >= SERVED / 4 && closed > SERVED,
        "{} kept, {closed} closed",
        kept.len()
    );
    let health = status(at, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(health.contains("503"), "{health}");
    drop(kept);
    while report(&mut connect(at).await).await {
        tokio::task::yield_now().await;
    }
}

/// A client that sends half a request, or none, holds its place for a bounded time.
#[tokio::test]
async fn connections_without_a_whole_request_are_ended() {
    let at = serve(16).await;
    let mut silent = connect(at).await;
    let mut half = connect(at).await;
    half.write_all(b"POST /v1/report HTTP/1.1\r\nhost: x\r\nconte")
        .await
        .unwrap();
    for stream in [&mut silent, &mut half] {
        // Ended with or without a reset.
        assert_eq!(stream.read(&mut [0; 8]).await.unwrap_or(0), 0);
    }
}

#[tokio::test]
async fn every_call_has_a_limit() {
    // A listener that accepts and says nothing.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let silent = tokio::spawn(async move { listener.accept().await });
    let client = HttpClient::new(1, 1, 1_000);
    let first = client.call(&at, "GET", "/", Vec::new(), Micros::millis(200));
    // The one socket that it may use is taken: a further call fails at once.
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

/// An answer that is larger than is read must be told from none at all: asked for again it would only grow.
#[tokio::test]
async fn too_large_an_answer_is_told_from_none() {
    let body = "x".repeat(450);
    let told = format!("content-length: 900\r\n\r\n{body}{body}");
    // Without a length beforehand it is found out on the way.
    let untold =
        format!("transfer-encoding: chunked\r\n\r\n1c2\r\n{body}\r\n1c2\r\n{body}\r\n0\r\n\r\n");
    for (rest, limit, expected) in [
        (&told, 900, Ok((200, format!("{body}{body}").into_bytes()))),
        (&told, 899, Err(HttpError::ResponseTooLarge)),
        (
            &untold,
            900,
            Ok((200, format!("{body}{body}").into_bytes())),
        ),
        (&untold, 899, Err(HttpError::ResponseTooLarge)),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap().to_string();
        let answer = format!("HTTP/1.1 200 OK\r\n{rest}");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            stream
        });
        let got = HttpClient::new(1, 1, limit)
            .call(&at, "GET", "/", Vec::new(), Micros::secs(60))
            .await;
        assert_eq!(got, expected, "{limit}");
        server.abort();
    }
}

/// A peer that gave a connection up while this process was away keeps it half open: without listening on it all further
/// hints would be written into it, and the peer would go without them.
#[tokio::test]
async fn a_connection_that_the_peer_has_given_up_is_made_anew() {
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
async fn peers_hear_of_each_other() {
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
