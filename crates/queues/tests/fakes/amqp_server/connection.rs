//! The reader and writer tasks of a connection.

use super::frames::IncomingMessage;
use super::{AmqpServer, ConnectionNumber, DropPoint, State};
use amq_protocol::frame::{AMQPFrame, WriteContext, gen_frame, parse_frame};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, WriteHalf};
use tokio::sync::mpsc;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The server's state of a connection.
struct ClientConnection {
    number: ConnectionNumber,
    frames: mpsc::UnboundedSender<AMQPFrame>,
    /// Messages that are being published, by channel.
    incoming: BTreeMap<u16, IncomingMessage>,
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
        let mut client = ClientConnection {
            number,
            frames,
            incoming: BTreeMap::new(),
            buffer: Vec::new(),
        };
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        while self.handle_buffered(&mut client) {
            tokio::select! {
                read_result = read.read_buf(&mut client.buffer) => if !matches!(read_result, Ok(1..)) { break },
                _ = heartbeat.tick() => if !self.send_heartbeat(&client) { break },
            }
        }
        self.with_state(|state| state.end_connection(number));
        drop(client);
        writer.await.expect("a writer without panic");
    }

    /// Handles all complete frames in the buffer. Returns whether the connection stays open.
    fn handle_buffered(&self, client: &mut ClientConnection) -> bool {
        while let Ok((rest, frame)) = parse_frame(&client.buffer[..]) {
            let parsed_bytes = client.buffer.len() - rest.len();
            client.buffer.drain(..parsed_bytes);
            if !self.with_state(|state| state.handle_or_drop(client, frame)) {
                return false;
            }
        }
        true
    }

    /// Sends a heartbeat, unless the connection is hanging or not established yet. Returns whether the connection stays
    /// open.
    fn send_heartbeat(&self, client: &ClientConnection) -> bool {
        self.with_state(|state| {
            let number = client.number;
            let is_silent = state.hanging.contains(&number) || !state.established.contains(&number);
            let is_connected = state.connections.contains_key(&number);
            is_connected && (is_silent || client.frames.send(AMQPFrame::Heartbeat(0)).is_ok())
        })
    }
}

impl State {
    /// Handles a frame, or drops the connection at it. Returns whether the connection stays open.
    fn handle_or_drop(&mut self, client: &mut ClientConnection, frame: AMQPFrame) -> bool {
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
        let stays_open =
            self.handle_frame(client.number, frame, &client.frames, &mut client.incoming);
        self.send_deliveries();
        stays_open && drop_point == DropPoint::Never
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
