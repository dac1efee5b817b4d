//! A fake state service that follows the state service's protocol.

use super::query_parameter;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Most changes that are kept for watches.
const MAX_LOG_ENTRIES: usize = 10_000;
/// Most bytes of a transaction.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// Most conditions of a transaction for each change that the limit of changes allows.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
const TXN_TOO_LARGE: &str = "too large a transaction";

struct Item {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

struct Watch {
    id: u64,
    prefix: String,
    after_revision: u64,
    deadline: u64,
}

/// A change, as reported to watches.
struct LogEntry {
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    value: Option<Value>,
}

/// Limits of a state service.
#[derive(Clone, Copy, Debug)]
pub struct StateConfig {
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// Most bytes of a value.
    pub value_bytes: usize,
    /// Most requests per second.
    pub rps: f64,
    /// Most changes per second.
    pub write_rps: f64,
    /// Most items on a page.
    pub page_size: usize,
}

/// The fake state service.
pub struct State {
    items: BTreeMap<String, Item>,
    log: VecDeque<LogEntry>,
    /// Revision of the newest change that was dropped from the log.
    dropped_revision: u64,
    revision: u64,
    /// Duration and expiry time of each lease, in microseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watches: Vec<Watch>,
    /// End of the current outage, in microseconds.
    pub out_until: u64,
    /// Committed transactions.
    pub commits: u64,
    txn_ops: usize,
    value_bytes: usize,
    page_size: usize,
    /// Requests that no client may send, because they exceed limits that have not been lowered.
    pub violations: Vec<String>,
    request_bucket: TokenBucket,
    change_bucket: TokenBucket,
    /// Requests that the rate limits refused.
    pub throttled: u64,
    /// Transactions that were refused because of lowered limits.
    pub refused: u64,
    limits_lowered: bool,
    /// Received requests, and the changes in them.
    pub received: (u64, u64),
}

/// A token bucket that limits a rate and allows bursts of the amount of one second.
struct TokenBucket {
    rate: f64,
    level: f64,
    updated_at: u64,
}

impl TokenBucket {
    fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate,
            updated_at: 0,
        }
    }

    fn try_take(&mut self, now: u64, amount: f64) -> bool {
        // A lower rate than one would allow nothing ever.
        let capacity = self.rate.max(1.0);
        self.level = (self.level + self.rate * (now - self.updated_at) as f64 / 1e6).min(capacity);
        self.updated_at = now;
        let enough = self.level >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }
}

impl State {
    /// Creates a service without any data.
    pub fn new(config: StateConfig) -> State {
        State {
            items: BTreeMap::new(),
            log: VecDeque::new(),
            dropped_revision: 0,
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            watches: Vec::new(),
            out_until: 0,
            commits: 0,
            txn_ops: config.txn_ops,
            value_bytes: config.value_bytes,
            page_size: config.page_size,
            violations: Vec::new(),
            request_bucket: TokenBucket::new(config.rps),
            change_bucket: TokenBucket::new(config.write_rps),
            throttled: 0,
            refused: 0,
            limits_lowered: false,
            received: (0, 0),
        }
    }

    /// Stores a record, for use before the controllers start.
    pub fn insert_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                revision: self.revision,
                lease: None,
            },
        );
    }

    /// Returns all keys that have a prefix, with their values.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let found = self
            .items
            .iter()
            .filter(move |(k, _)| k.starts_with(prefix));
        found.map(|(k, i)| (k.as_str(), &i.value))
    }

    /// Changes the limits of changes per second, bytes of a value, and changes of a transaction.
    pub fn lower_limits(&mut self, rate: f64, value_bytes: usize, txn_ops: usize) {
        self.change_bucket.rate = rate;
        (self.value_bytes, self.txn_ops, self.limits_lowered) = (value_bytes, txn_ops, true);
    }

    /// Returns the key of the largest stored value, and the size of the value.
    pub fn largest_value(&self) -> (&str, usize) {
        let sizes = self
            .items
            .iter()
            .map(|(k, i)| (k.as_str(), i.value.to_string().len()));
        sizes.max_by_key(|(_, n)| *n).unwrap_or_default()
    }

    /// Starts an outage. After it, every lease lasts for its full duration again.
    pub fn outage(&mut self, now: u64, span: u64) {
        self.out_until = now + span;
        for (duration, expires_at) in self.leases.values_mut() {
            *expires_at = now + span + *duration;
        }
        for w in &mut self.watches {
            w.deadline = w.deadline.max(now + span);
        }
    }

    /// Expires the leases that were not renewed, and returns the responses of the watches that are due, each with the id of its
    /// request.
    pub fn tick(&mut self, now: u64) -> Vec<(u64, u16, Value)> {
        if now < self.out_until {
            return Vec::new();
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, e))| *e <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.lease == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for k in keys {
                self.items.remove(&k);
                self.log_change(k, None);
            }
        }
        let due_watches: Vec<usize> = (0..self.watches.len())
            .filter(|i| {
                let w = &self.watches[*i];
                w.deadline <= now
                    || self
                        .log
                        .iter()
                        .rev()
                        .take_while(|l| l.revision > w.after_revision)
                        .any(|l| l.key.starts_with(&w.prefix))
            })
            .collect();
        due_watches
            .into_iter()
            .rev()
            .map(|i| {
                let w = self.watches.swap_remove(i);
                let (status, body) = self.changes_since(&w.prefix, w.after_revision);
                (w.id, status, body)
            })
            .collect()
    }

    /// Time at which the next lease expires or the next watch times out, in microseconds.
    pub fn next_deadline(&self) -> Option<u64> {
        let leases = self.leases.values().map(|(_, e)| *e);
        leases.chain(self.watches.iter().map(|w| w.deadline)).min()
    }

    /// Appends a change to the log, and drops the oldest changes beyond the log's limit.
    fn log_change(&mut self, key: String, value: Option<Value>) {
        self.log.push_back(LogEntry {
            revision: self.revision,
            key,
            value,
        });
        while self.log.len() > MAX_LOG_ENTRIES {
            self.dropped_revision = self
                .log
                .pop_front()
                .map_or(self.dropped_revision, |l| l.revision);
        }
    }

    fn changes_since(&self, prefix: &str, after: u64) -> (u16, Value) {
        if after < self.dropped_revision {
            return (410, json!({"error": "too old"}));
        }
        let first = self.log.partition_point(|l| l.revision <= after);
        let log: Vec<Value> = self
            .log
            .range(first..)
            .filter(|l| l.key.starts_with(prefix))
            .map(|l| match &l.value {
                Some(v) => json!({"write": l.key, "value": v, "stamp": l.revision}),
                None => json!({"remove": l.key, "stamp": l.revision}),
            })
            .collect();
        (200, json!({"epoch": self.revision, "log": log}))
    }

    /// Answers a request. `None` if it is a watch, which [`State::tick`] answers later, or if it is malformed.
    pub fn request(
        &mut self,
        now: u64,
        id: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Value)> {
        if now < self.out_until {
            return Some((503, json!({"error": "trouble"})));
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let route = path.split('?').next().unwrap_or_default();
        let changes = body["then"].as_array().map_or(0, Vec::len);
        self.received.0 += 1;
        self.received.1 += changes as u64;
        if !self.request_bucket.try_take(now, 1.0)
            || changes > 0 && !self.change_bucket.try_take(now, changes as f64)
        {
            self.throttled += 1;
            return Some((429, json!({"error": "too many"})));
        }
        Some(match (method, route) {
            ("GET", "/kv") => {
                let prefix = query_parameter(path, "prefix").unwrap_or_default();
                let after = query_parameter(path, "after").unwrap_or_default();
                let limit: usize = query_parameter(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(1000);
                let found: Vec<_> = self
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .take(limit.min(self.page_size) + 1)
                    .collect();
                let more = found.len() > limit.min(self.page_size);
                let shown = found.iter().take(limit.min(self.page_size));
                let items: Vec<Value> = shown
                    .map(|(k, i)| json!({"key": k, "value": i.value, "stamp": i.revision}))
                    .collect();
                (
                    200,
                    json!({"items": items, "more": more, "epoch": self.revision}),
                )
            }
            ("GET", "/changes") => {
                let prefix = query_parameter(path, "prefix")
                    .unwrap_or_default()
                    .to_owned();
                let after: u64 = query_parameter(path, "after").and_then(|a| a.parse().ok())?;
                let wait_ms: u64 = query_parameter(path, "waitMs")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                if wait_ms > 0 {
                    self.watches.push(Watch {
                        id,
                        prefix,
                        after_revision: after,
                        deadline: now + wait_ms * 1000,
                    });
                    return None;
                }
                self.changes_since(&prefix, after)
            }
            ("GET", _) => {
                let key = route.strip_prefix("/kv/")?;
                match self.items.get(key) {
                    Some(i) => (
                        200,
                        json!({"key": key, "value": i.value, "stamp": i.revision}),
                    ),
                    None => (404, json!({"epoch": self.revision})),
                }
            }
            ("POST", "/txn") => self.txn(&body),
            ("POST", "/leases") => {
                let duration = body["lifeMs"].as_u64()? * 1000;
                let id = self.next_lease;
                self.next_lease += 1;
                self.leases.insert(id, (duration, now + duration));
                (200, json!({"permit": id}))
            }
            ("POST", _) => {
                let id: u64 = route
                    .strip_prefix("/leases/")?
                    .strip_suffix("/touch")?
                    .parse()
                    .ok()?;
                match self.leases.get_mut(&id) {
                    Some((duration, expires_at)) => {
                        *expires_at = now + *duration;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            _ => (400, json!({})),
        })
    }

    /// Returns the limit that a transaction exceeds, if any.
    fn exceeded_limit(&self, body: &Value, when: &[Value], then: &[Value]) -> Option<&'static str> {
        if then.len() > self.txn_ops {
            return Some("too many changes");
        }
        if when.len() > self.txn_ops * MAX_CONDITIONS_PER_CHANGE {
            return Some("too many conditions");
        }
        if then
            .iter()
            .any(|t| t["value"].to_string().len() > self.value_bytes)
        {
            return Some("too large a value");
        }
        (body.to_string().len() > MAX_TXN_BYTES).then_some(TXN_TOO_LARGE)
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let when = body["when"].as_array().unwrap_or(&none);
        let then = body["then"].as_array().unwrap_or(&none);
        if let Some(problem) = self.exceeded_limit(body, when, then) {
            self.refused += 1;
            if !self.limits_lowered || problem == TXN_TOO_LARGE {
                // Controllers must never send what the real service would refuse, unless its limits were lowered.
                self.violations.push(format!("{problem}: {body}"));
            }
            return (400, json!({"error": problem}));
        }
        for t in then {
            if let Some(p) = t["permit"].as_u64()
                && !self.leases.contains_key(&p)
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&str> = when
            .iter()
            .filter_map(|w| Some((w["key"].as_str()?, w["stamp"].as_u64()?)))
            .filter(|(k, s)| self.items.get(*k).map_or(0, |i| i.revision) != *s)
            .map(|(k, _)| k)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        self.revision += 1;
        self.commits += 1;
        for t in then {
            if let Some(k) = t["write"].as_str() {
                let value = t["value"].clone();
                self.log_change(k.to_owned(), Some(value.clone()));
                let item = Item {
                    value,
                    revision: self.revision,
                    lease: t["permit"].as_u64(),
                };
                self.items.insert(k.to_owned(), item);
            } else if let Some(k) = t["remove"].as_str()
                && self.items.remove(k).is_some()
            {
                self.log_change(k.to_owned(), None);
            }
        }
        (200, json!({"epoch": self.revision}))
    }
}
