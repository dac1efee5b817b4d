//! The link between controllers: length-delimited frames of MessagePack over TCP.

use super::node::Node;
use crate::coordination::Event;
use crate::protocol::peer::PeerHint;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const FRAME_LIMIT: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection without a hint for this long is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
const RECONNECT_DELAY: Duration = Duration::from_secs(1);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Incoming connections per peer: old ones may linger beside the current one.
const CONNECTIONS_PER_PEER: usize = 4;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec();
    Framed::new(stream, codec)
}

/// Receives the hints of up to `peers` peers at the address `at`; never returns.
pub async fn listen(node: Arc<Node>, at: SocketAddrV4, peers: usize) {
    let connections = Arc::new(Semaphore::new(peers.max(1) * CONNECTIONS_PER_PEER));
    loop {
        let Ok(listener) = TcpListener::bind(at).await else {
            tokio::time::sleep(BIND_RETRY_DELAY).await;
            continue;
        };
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                continue;
            };
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                let _permit = permit;
                receive_hints(&node, framed(stream)).await;
            });
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}

/// Receives hints by one connection until it ends.
async fn receive_hints(node: &Arc<Node>, mut frames: Frames) {
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(RECEIVE_TIMEOUT, frames.next()).await {
        if let Ok(hint) = rmp_serde::from_slice::<PeerHint>(&frame) {
            node.post(Event::Peer(hint));
        }
    }
}

/// Sends every new hint to the peer at `to`; never returns.
pub async fn send_hints(node: Arc<Node>, to: SocketAddrV4) {
    let mut hints = node.hints();
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
        if let Ok(Ok(stream)) = connected {
            // Hints are small: without this option they would be delayed. Nothing else depends on it.
            let _ = stream.set_nodelay(true);
            send_hints_by(framed(stream), &mut hints).await;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends hints by one connection until it ends.
async fn send_hints_by(mut frames: Frames, hints: &mut watch::Receiver<Option<PeerHint>>) {
    loop {
        // The peer sends nothing here, but only a read shows that it has closed the connection: after a long pause of
        // this process, writes would go on into a connection that the peer gave up meanwhile.
        tokio::select! {
            changed = hints.changed() => if changed.is_err() { return },
            _ = frames.next() => return,
        }
        let hint = hints.borrow_and_update().clone();
        let Some(Ok(frame)) = hint.map(|hint| rmp_serde::to_vec(&hint)) else {
            continue;
        };
        let sent = tokio::time::timeout(SEND_TIMEOUT, frames.send(Bytes::from(frame))).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
