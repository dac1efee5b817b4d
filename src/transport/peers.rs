//! The link between controllers: length-delimited frames of MessagePack on `back`.

use super::node::Node;
use crate::coordination::Event;
use crate::protocol::peer::PeerHint;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const FRAME_LIMIT: usize = 64 * 1024;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
const SEND_LIMIT: Duration = Duration::from_secs(3);
/// A peer that said nothing for this long is not there any more.
const QUIET_LIMIT: Duration = Duration::from_secs(10);

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec();
    Framed::new(stream, codec)
}

/// Takes the peers' hints, for ever.
pub async fn listen(node: Arc<Node>, at: SocketAddrV4, peers: usize) {
    // A peer's old connection may linger beside its new one.
    let connections = Arc::new(Semaphore::new(peers.max(1) * 4));
    loop {
        let Ok(listener) = TcpListener::bind(at).await else {
            tokio::time::sleep(Duration::from_millis(500)).await;
            continue;
        };
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                continue;
            };
            let node = Arc::clone(&node);
            tokio::spawn(async move {
                let _permit = permit;
                let mut frames = framed(stream);
                while let Ok(Some(Ok(frame))) =
                    tokio::time::timeout(QUIET_LIMIT, frames.next()).await
                {
                    if let Ok(hint) = rmp_serde::from_slice::<PeerHint>(&frame) {
                        node.post(Event::Peer(hint));
                    }
                }
            });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Tells one peer every new hint, for ever.
pub async fn tell(node: Arc<Node>, to: SocketAddrV4) {
    let mut hints = node.hints();
    loop {
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(to)).await;
        if let Ok(Ok(stream)) = stream {
            let _ = stream.set_nodelay(true);
            let mut frames = framed(stream);
            loop {
                // A peer says nothing here. That the connection is over is heard only by listening: who was away for
                // long would go on writing into one that the peer has given up meanwhile.
                tokio::select! {
                    changed = hints.changed() => if changed.is_err() { break },
                    _ = frames.next() => break,
                }
                let hint = hints.borrow_and_update().clone();
                let Some(Ok(frame)) = hint.map(|h| rmp_serde::to_vec(&h)) else {
                    continue;
                };
                let sent = tokio::time::timeout(SEND_LIMIT, frames.send(Bytes::from(frame))).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
            }
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}
