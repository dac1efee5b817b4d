//! Detects the loss of the network connection.

use amqprs::connection::Connection;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

/// Completes when the connection is lost, or at once if that has already happened.
///
/// The library reports the loss once, and only to those who subscribed before. `listen_network_io_failure` subscribes
/// at its first poll, so by itself it waits forever for a connection that was lost earlier. The library marks a
/// connection as closed before it reports the loss. Hence the mark is read after the subscription: if the report was
/// sent too early to be received, the mark is visible.
pub(super) async fn connection_lost(connection: &Connection) {
    let mut loss_report = pin!(connection.listen_network_io_failure());
    poll_fn(|context| {
        let is_reported = loss_report.as_mut().poll(context).is_ready();
        if is_reported || !connection.is_open() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
