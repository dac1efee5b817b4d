//! Requests to the controllers and to the state service.

use crate::answer::Outcome;
use crate::front::{Micros, Reply};
use crate::ledger::{Request, Told};
use crate::settings::QueueSettings;
use reqwest::header::{CONTENT_TYPE, RETRY_AFTER};
use reqwest::{Client, RequestBuilder};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long a user waits for the answer to a submission, and to a poll.
const SUBMIT: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_secs(2);
/// How long the state service may take: a busy one takes a few hundred milliseconds.
const STATE: Duration = Duration::from_secs(3);
/// Longest time to come back after that is believed.
const MOST_LATER_S: f64 = 30.0;
/// Closed records of one page.
const PAGE: u32 = 200;
/// Longest reason that is passed on.
const REASON: usize = 1_000;

/// The client.
#[derive(Debug)]
pub struct Http {
    client: Client,
    controllers: Vec<String>,
    /// The controller that is asked; another one when it does not answer.
    at: AtomicUsize,
    state: String,
    prefix: String,
}

#[derive(Default, Deserialize)]
struct JobWire {
    #[serde(default)]
    status: String,
    #[serde(default)]
    reason: Option<String>,
    #[serde(default)]
    error: Option<String>,
}

#[derive(Deserialize)]
struct KeyWire<'a> {
    #[serde(borrow)]
    value: &'a RawValue,
    stamp: u64,
}

#[derive(Deserialize)]
struct ItemWire<'a> {
    key: String,
    #[serde(borrow)]
    value: &'a RawValue,
}

#[derive(Deserialize)]
struct PageWire<'a> {
    #[serde(borrow)]
    items: Vec<ItemWire<'a>>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct EpochWire {
    epoch: u64,
}

#[derive(Serialize)]
struct When {
    key: String,
    stamp: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Then {
    Write { write: String, value: Box<RawValue> },
    Remove { remove: String },
}

#[derive(Serialize)]
struct Txn {
    when: Vec<When>,
    then: Vec<Then>,
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
            prefix: settings.state.prefix.clone(),
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
            .post(format!("http://{host}/work"))
            .header(CONTENT_TYPE, "application/json");
        self.reply(at, request.body(body).timeout(SUBMIT), false)
            .await
    }

    /// Asks how a job is.
    pub async fn ask(&self, job: &str) -> Reply {
        let (at, host) = self.controller();
        self.reply(
            at,
            self.client
                .get(format!("http://{host}/work/{job}"))
                .timeout(POLL),
            false,
        )
        .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> Reply {
        let (at, host) = self.controller();
        self.reply(
            at,
            self.client
                .post(format!("http://{host}/work/{job}/abort"))
                .timeout(SUBMIT),
            true,
        )
        .await
    }

    async fn reply(&self, at: usize, request: RequestBuilder, cancel: bool) -> Reply {
        let Ok(response) = request.send().await else {
            self.move_on(at);
            return Reply::None;
        };
        let status = response.status().as_u16();
        let after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let Ok(body) = response.bytes().await else {
            return Reply::None;
        };
        let wire: JobWire = serde_json::from_slice(&body).unwrap_or_default();
        match (status, wire.status.as_str()) {
            (200 | 201, "done") => Reply::Over(Outcome::Done),
            (200 | 201, "cancelled") => Reply::Over(Outcome::Cancelled),
            (200 | 201, "queued" | "running") => Reply::Live,
            (400 | 422, _) => Reply::Over(Outcome::Refused(reason(status, wire))),
            // A job to be cancelled that nobody has submitted.
            (404, _) if cancel => Reply::Over(Outcome::Refused("no such job".to_owned())),
            (404, _) => Reply::Unknown,
            (429 | 503, _) => {
                self.move_on(at);
                let after = after
                    .filter(|s| s.is_finite())
                    .unwrap_or(1.0)
                    .clamp(0.0, MOST_LATER_S);
                Reply::Later((after * 1e6) as Micros)
            }
            _ => {
                self.move_on(at);
                Reply::None
            }
        }
    }

    fn open_key(&self) -> String {
        format!("{}open", self.prefix)
    }

    fn closed_key(&self, seq: u64) -> String {
        format!("{}closed/{seq:020}", self.prefix)
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
        match self.get(format!("/kv/{}", self.open_key())).await? {
            (200, body) => {
                let wire: KeyWire = serde_json::from_slice(&body).ok()?;
                Some(Told::Open(Some((wire.value.get().to_owned(), wire.stamp))))
            }
            (404, _) => Some(Told::Open(None)),
            _ => None,
        }
    }

    async fn read_closed(&self, from: u64) -> Option<Told> {
        let after = from
            .checked_sub(1)
            .map(|seq| format!("&after={}", self.closed_key(seq)))
            .unwrap_or_default();
        let (status, body) = self
            .get(format!(
                "/kv?prefix={}closed/{after}&most={PAGE}",
                self.prefix
            ))
            .await?;
        if status != 200 {
            return None;
        }
        let wire: PageWire = serde_json::from_slice(&body).ok()?;
        let record = |i: &ItemWire| {
            Some((
                i.key.rsplit_once('/')?.1.parse().ok()?,
                i.value.get().to_owned(),
            ))
        };
        Some(Told::Closed(
            wire.items.iter().filter_map(record).collect(),
            wire.more,
        ))
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
        let raw = |text: &String| RawValue::from_string(text.clone()).ok();
        let mut then = vec![Then::Write {
            write: self.open_key(),
            value: raw(open)?,
        }];
        if let Some((seq, text)) = close {
            then.push(Then::Write {
                write: self.closed_key(*seq),
                value: raw(text)?,
            });
        }
        then.extend(remove.map(|seq| Then::Remove {
            remove: self.closed_key(seq),
        }));
        let txn = Txn {
            when: vec![When {
                key: self.open_key(),
                stamp: *stamp,
            }],
            then,
        };
        let request = self
            .client
            .post(format!("http://{}/txn", self.state))
            .timeout(STATE);
        let request = request
            .header(CONTENT_TYPE, "application/json")
            .body(serde_json::to_vec(&txn).ok()?);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let body = response.bytes().await.ok()?;
        match status {
            200 => Some(Told::Applied(
                serde_json::from_slice::<EpochWire>(&body).ok()?.epoch,
            )),
            409 => Some(Told::Clash),
            400 => {
                tracing::error!(answer = %String::from_utf8_lossy(&body), "the state service refuses a round");
                None
            }
            _ => None,
        }
    }
}

fn reason(status: u16, wire: JobWire) -> String {
    let mut text = wire.reason.or(wire.error).unwrap_or_else(|| match status {
        400 => "malformed".to_owned(),
        _ => "can never run".to_owned(),
    });
    if let Some((cut, _)) = text.char_indices().nth(REASON) {
        text.truncate(cut);
    }
    text
}
