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

/// Largest size of a frame, in bytes.
const FRAME_BYTES_LIMIT: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection on which no hint arrives for this long is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
const RECONNECT_DELAY: Duration = Duration::from_secs(1);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest number of incoming connections per peer: old ones may stay open for a while next to the current one.
const MAX_CONNECTIONS_PER_PEER: usize = 4;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_LIMIT)
        .new_codec();
    Framed::new(stream, codec)
}

/// Receives hints from up to `peers` peers at an address; never returns.
pub async fn listen(node: Arc<Node>, address: SocketAddrV4, peers: usize) {
    let connections = Arc::new(Semaphore::new(peers.max(1) * MAX_CONNECTIONS_PER_PEER));
    loop {
        let Ok(listener) = TcpListener::bind(address).await else {
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

/// Receives hints on one connection until it ends.
async fn receive_hints(node: &Arc<Node>, mut frames: Frames) {
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(RECEIVE_TIMEOUT, frames.next()).await {
        if let Ok(hint) = rmp_serde::from_slice::<PeerHint>(&frame) {
            node.post(Event::Peer(hint));
        }
    }
}

/// Sends each new hint to the peer at an address; never returns.
pub async fn send_hints(node: Arc<Node>, address: SocketAddrV4) {
    let mut hints = node.hints();
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            // Without this option the delay of small packets (Nagle's algorithm) would hold hints back. A failure to
            // set it has no other effect.
            let _ = stream.set_nodelay(true);
            send_hints_on(framed(stream), &mut hints).await;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends hints on one connection until it ends.
async fn send_hints_on(mut frames: Frames, hints: &mut watch::Receiver<Option<PeerHint>>) {
    loop {
        // The peer sends nothing on this connection, but only a read shows that it has closed it. Without the read,
        // this process would, after a long stall, write to a connection that the peer has closed in the meantime.
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
