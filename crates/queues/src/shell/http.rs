//! Requests to the controllers and to the state service.

use crate::front::Reply;
use crate::ledger::{Request, Told};
use crate::settings::QueueSettings;
use crate::wire::controllers::{
    RequestKind, Response, SUBMIT_PATH, cancel_path, decode_reply, status_path,
};
use crate::wire::state_service::{
    LogKeys, TRANSACTION_PATH, compare_and_swap_body, decode_applied_revision, decode_key,
    decode_page,
};
use reqwest::header::{CONTENT_TYPE, RETRY_AFTER};
use reqwest::{Client, RequestBuilder};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long a user waits for the answer to a submission, and to a poll.
const SUBMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_secs(2);
/// How long the state service may take: a busy one takes a few hundred milliseconds.
const STATE: Duration = Duration::from_secs(3);

/// The client.
#[derive(Debug)]
pub struct Http {
    client: Client,
    controllers: Vec<String>,
    /// The controller that is asked; another one when it does not answer.
    at: AtomicUsize,
    state: String,
    keys: LogKeys,
}

impl Http {
    /// A client. Which controller is asked first follows from `run`.
    pub fn new(settings: &QueueSettings, run: u64) -> Http {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(Duration::from_secs(1))
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(settings.calls)
            .tcp_nodelay(true)
            .build()
            .unwrap_or_default();
        let controllers = settings.controllers.clone();
        let first = usize::try_from(run % controllers.len().max(1) as u64).unwrap_or_default();
        Http {
            client,
            controllers,
            at: AtomicUsize::new(first),
            state: settings.state.address.clone(),
            keys: LogKeys::new(settings.state.prefix.clone()),
        }
    }

    fn controller(&self) -> (usize, &str) {
        let at = self.at.load(Ordering::Relaxed);
        (
            at,
            self.controllers
                .get(at % self.controllers.len().max(1))
                .map_or("", String::as_str),
        )
    }

    /// The next one, unless somebody has moved on already.
    fn move_on(&self, from: usize) {
        let _ = self.at.compare_exchange(
            from,
            from.wrapping_add(1),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Submits a job.
    pub async fn submit(&self, body: Vec<u8>) -> Reply {
        let (at, host) = self.controller();
        let request = self
            .client
            .post(format!("http://{host}{SUBMIT_PATH}"))
            .header(CONTENT_TYPE, "application/json");
        self.reply(
            at,
            request.body(body).timeout(SUBMIT),
            RequestKind::SubmitOrQuery,
        )
        .await
    }

    /// Asks how a job is.
    pub async fn ask(&self, job: &str) -> Reply {
        let (at, host) = self.controller();
        self.reply(
            at,
            self.client
                .get(format!("http://{host}{}", status_path(job)))
                .timeout(POLL),
            RequestKind::SubmitOrQuery,
        )
        .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> Reply {
        let (at, host) = self.controller();
        self.reply(
            at,
            self.client
                .post(format!("http://{host}{}", cancel_path(job)))
                .timeout(SUBMIT),
            RequestKind::Cancel,
        )
        .await
    }

    async fn reply(&self, at: usize, request: RequestBuilder, kind: RequestKind) -> Reply {
        let Ok(response) = request.send().await else {
            self.move_on(at);
            return Reply::None;
        };
        let status = response.status().as_u16();
        let retry_after_s = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let Ok(body) = response.bytes().await else {
            return Reply::None;
        };
        let response = Response {
            status,
            retry_after_s,
            body: &body,
        };
        let reply = decode_reply(kind, response);
        if matches!(reply, Reply::None | Reply::Later(_)) {
            self.move_on(at);
        }
        reply
    }

    /// Carries out a request of the ledger.
    pub async fn state(&self, request: &Request) -> Told {
        let told = match request {
            Request::Open => self.read_open().await,
            Request::Closed(from) => self.read_closed(*from).await,
            Request::Round { .. } => self.round(request).await,
        };
        told.unwrap_or(Told::Nothing)
    }

    async fn get(&self, path: String) -> Option<(u16, bytes::Bytes)> {
        let response = self
            .client
            .get(format!("http://{}{path}", self.state))
            .timeout(STATE)
            .send()
            .await
            .ok()?;
        Some((response.status().as_u16(), response.bytes().await.ok()?))
    }

    async fn read_open(&self) -> Option<Told> {
        match self.get(self.keys.open_path()).await? {
            (200, body) => Some(Told::Open(Some(decode_key(&body).ok()?))),
            (404, _) => Some(Told::Open(None)),
            _ => None,
        }
    }

    async fn read_closed(&self, from: u64) -> Option<Told> {
        let (status, body) = self.get(self.keys.closed_page_path(from)).await?;
        if status != 200 {
            return None;
        }
        let (records, more) = decode_page(&body).ok()?;
        Some(Told::Closed(records, more))
    }

    async fn round(&self, request: &Request) -> Option<Told> {
        let Request::Round {
            stamp,
            open,
            close,
            remove,
        } = request
        else {
            return None;
        };
        let close = close.as_ref().map(|(seq, text)| (*seq, text.as_str()));
        let body = compare_and_swap_body(&self.keys, *stamp, open, close, *remove).ok()?;
        let request = self
            .client
            .post(format!("http://{}{TRANSACTION_PATH}", self.state))
            .timeout(STATE);
        let request = request.header(CONTENT_TYPE, "application/json").body(body);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let body = response.bytes().await.ok()?;
        match status {
            200 => Some(Told::Applied(decode_applied_revision(&body).ok()?)),
            409 => Some(Told::Clash),
            400 => {
                tracing::error!(answer = %String::from_utf8_lossy(&body), "the state service refuses a round");
                None
            }
            _ => None,
        }
    }
}
