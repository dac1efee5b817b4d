//! The tasks of one connection.

use super::frames::Incoming;
use super::{AmqpServer, ConnectionNumber, DropPoint, State};
use amq_protocol::frame::{AMQPFrame, WriteContext, gen_frame, parse_frame};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, WriteHalf};
use tokio::sync::mpsc;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// One connection as the server sees it.
struct Client {
    number: ConnectionNumber,
    frames: mpsc::UnboundedSender<AMQPFrame>,
    /// Messages that are being published, by channel.
    incoming: BTreeMap<u16, Incoming>,
    buffer: Vec<u8>,
}

impl AmqpServer {
    pub(super) async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Send + 'static) {
        let (mut read, write) = tokio::io::split(stream);
        let (frames, outgoing) = mpsc::unbounded_channel();
        let number = self.with_state(|state| {
            state.last_connection += 1;
            let number = state.last_connection;
            state.connections.insert(number, frames.clone());
            number
        });
        let writer = tokio::spawn(write_frames(write, outgoing));
        let mut client = Client {
            number,
            frames,
            incoming: BTreeMap::new(),
            buffer: Vec::new(),
        };
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        while self.handle_buffered(&mut client) {
            tokio::select! {
                got = read.read_buf(&mut client.buffer) => if !matches!(got, Ok(1..)) { break },
                _ = heartbeat.tick() => if !self.send_heartbeat(&client) { break },
            }
        }
        self.with_state(|state| state.end(number));
        drop(client);
        writer.await.expect("a writer without panic");
    }

    /// Handles all complete frames in the buffer. Returns whether the connection goes on.
    fn handle_buffered(&self, client: &mut Client) -> bool {
        while let Ok((rest, frame)) = parse_frame(&client.buffer[..]) {
            let used = client.buffer.len() - rest.len();
            client.buffer.drain(..used);
            if !self.with_state(|state| state.handle_or_drop(client, frame)) {
                return false;
            }
        }
        true
    }

    /// Returns whether the connection goes on.
    fn send_heartbeat(&self, client: &Client) -> bool {
        self.with_state(|state| {
            let number = client.number;
            let is_silent = state.hanging.contains(&number) || !state.open.contains(&number);
            let is_known = state.connections.contains_key(&number);
            is_known && (is_silent || client.frames.send(AMQPFrame::Heartbeat(0)).is_ok())
        })
    }
}

impl State {
    fn handle_or_drop(&mut self, client: &mut Client, frame: AMQPFrame) -> bool {
        if !self.connections.contains_key(&client.number) {
            return false;
        }
        if self.hanging.contains(&client.number) {
            return true;
        }
        let drop_point = self.next_drop_point();
        if drop_point == DropPoint::BeforeFrame {
            return false;
        }
        let goes_on = self.handle_frame(client.number, frame, &client.frames, &mut client.incoming);
        self.send_deliveries();
        goes_on && drop_point == DropPoint::Never
    }
}

async fn write_frames(
    mut stream: WriteHalf<impl AsyncWrite>,
    mut frames: mpsc::UnboundedReceiver<AMQPFrame>,
) {
    while let Some(frame) = frames.recv().await {
        let written = gen_frame(&frame)(WriteContext::from(Vec::new())).expect("a frame");
        let (bytes, _) = written.into_inner();
        if stream.write_all(&bytes).await.is_err() || stream.flush().await.is_err() {
            return;
        }
    }
}
