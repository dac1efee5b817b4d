//! Late copies over real connections: which requests are copied, and how many copies arrived.

use crate::http::{Connection, Traffic};
use crate::region::Region;
use bytes::Bytes;
use parking_lot::Mutex;
use serde::Serialize;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the response to a copy, which nobody reads.
const COPY_TIMEOUT: Duration = Duration::from_secs(5);

/// Kinds of requests that are copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CopiedRequest {
    /// A command that a controller pushes to a worker.
    Command,
    /// A copy of a command that the worker refused.
    RefusedCommand,
    /// A transaction, or a request that begins or renews a lease.
    State,
    /// A request that provisions or releases machines.
    Cloud,
    /// A report of a worker.
    Report,
    /// A submission or a cancellation of a user.
    User,
}

/// Number of copies that arrived, by kind.
#[derive(Debug, Default)]
pub struct CopyCounters {
    counts: Mutex<BTreeMap<CopiedRequest, u64>>,
}

impl CopyCounters {
    /// Counts a copy.
    pub fn count(&self, kind: CopiedRequest) {
        *self.counts.lock().entry(kind).or_default() += 1;
    }

    /// The counts so far.
    pub fn snapshot(&self) -> BTreeMap<CopiedRequest, u64> {
        self.counts.lock().clone()
    }
}

impl Region {
    /// Draws when copies of a request that was just answered arrive, and calls `deliver` at each of these times.
    pub fn copy_later<F>(self: &Arc<Self>, kind: CopiedRequest, deliver: impl Fn() -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let Some(schedule) = self.context.scenario.late_copies else {
            return;
        };
        for delay_us in schedule.draw_delays(|| self.random()) {
            let delivery = deliver();
            let context = Arc::clone(&self.context);
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_micros(delay_us)).await;
                context.copies.count(kind);
                delivery.await;
            });
        }
    }

    /// Like [`Region::copy_later`], for a request that is sent to a controller again on a connection of its own.
    pub fn copy_post_later(
        self: &Arc<Self>,
        kind: CopiedRequest,
        to: SocketAddrV4,
        path: &str,
        body: &Bytes,
    ) {
        self.copy_later(kind, || post(to, path.to_owned(), body.clone()));
    }
}

/// Sends a request and drops the response. A controller that does not run gets no copy.
async fn post(to: SocketAddrV4, path: String, body: Bytes) {
    let traffic = Arc::<Traffic>::default();
    let exchange = async {
        let mut connection = Connection::open(to, &traffic).await?;
        connection.call("POST", &path, body).await
    };
    let _ = tokio::time::timeout(COPY_TIMEOUT, exchange).await;
}
