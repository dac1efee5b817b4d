//! A stand-in of the state service, by its protocol.

use super::query;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// How many changes the service keeps for watches.
const LOG_LIMIT: usize = 10_000;
/// Bytes of a transaction.
const TXN_BYTES: usize = 64 * 1024;
/// Conditions for each change that a transaction may have.
const CONDITIONS_FOR_A_CHANGE: usize = 4;
const OVERSIZED: &str = "too large a transaction";

struct Item {
    value: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Watch {
    id: u64,
    prefix: String,
    after: u64,
    until: u64,
}

/// A change, as watches see it.
struct LogEntry {
    stamp: u64,
    key: String,
    /// None: it was removed.
    value: Option<Value>,
}

/// What a state service takes.
#[derive(Clone, Copy, Debug)]
pub struct StateConfig {
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Items of a page.
    pub page: usize,
}

/// The state service.
pub struct State {
    items: BTreeMap<String, Item>,
    log: VecDeque<LogEntry>,
    /// Revision of the newest change that the log has dropped.
    dropped: u64,
    epoch: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watches: Vec<Watch>,
    /// It is out until then, in microseconds.
    pub out_until: u64,
    /// Transactions carried out.
    pub commits: u64,
    txn_ops: usize,
    value_bytes: usize,
    page: usize,
    /// Requests that no client may send: beyond limits that have always held.
    pub violations: Vec<String>,
    requests: Bucket,
    changes: Bucket,
    /// Requests refused for their rate.
    pub throttled: u64,
    /// Transactions that were refused for the limits that fell.
    pub refused: u64,
    fell: bool,
    /// Requests and changes that came.
    pub came: (u64, u64),
}

/// Refuses beyond a rate; bursts of one second's worth are allowed.
struct Bucket {
    rate: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: 0,
        }
    }

    fn take(&mut self, now: u64, n: f64) -> bool {
        self.level = (self.level + self.rate * (now - self.at) as f64 / 1e6).min(self.rate.max(n));
        self.at = now;
        let enough = self.level >= n;
        if enough {
            self.level -= n;
        }
        enough
    }
}

impl State {
    /// An empty service.
    pub fn new(config: StateConfig) -> State {
        State {
            items: BTreeMap::new(),
            log: VecDeque::new(),
            dropped: 0,
            epoch: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            watches: Vec::new(),
            out_until: 0,
            commits: 0,
            txn_ops: config.txn_ops,
            value_bytes: config.value_bytes,
            page: config.page,
            violations: Vec::new(),
            requests: Bucket::new(config.rps),
            changes: Bucket::new(config.write_rps),
            throttled: 0,
            refused: 0,
            fell: false,
            came: (0, 0),
        }
    }

    /// Puts a record there before anything runs.
    pub fn put(&mut self, key: &str, value: Value) {
        self.epoch += 1;
        self.items.insert(
            key.to_owned(),
            Item {
                value,
                stamp: self.epoch,
                permit: None,
            },
        );
    }

    /// The values of all keys with a prefix.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let found = self
            .items
            .iter()
            .filter(move |(k, _)| k.starts_with(prefix));
        found.map(|(k, i)| (k.as_str(), &i.value))
    }

    /// From now on other limits hold: changes a second, bytes of a value, changes of a transaction.
    pub fn lower(&mut self, rate: f64, value_bytes: usize, txn_ops: usize) {
        self.changes.rate = rate;
        (self.value_bytes, self.txn_ops, self.fell) = (value_bytes, txn_ops, true);
    }

    /// The largest value that is kept, with its size.
    pub fn largest(&self) -> (&str, usize) {
        let sizes = self
            .items
            .iter()
            .map(|(k, i)| (k.as_str(), i.value.to_string().len()));
        sizes.max_by_key(|(_, n)| *n).unwrap_or_default()
    }

    /// Starts an outage; every lease has its full time again after it.
    pub fn outage(&mut self, now: u64, span: u64) {
        self.out_until = now + span;
        for (life, ends) in self.leases.values_mut() {
            *ends = now + span + *life;
        }
        for w in &mut self.watches {
            w.until = w.until.max(now + span);
        }
    }

    /// Ends leases that were not renewed, and answers the watches that are due.
    pub fn tick(&mut self, now: u64) -> Vec<(u64, u16, Value)> {
        if now < self.out_until {
            return Vec::new();
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, e))| *e <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.permit == Some(lease))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.epoch += 1;
            }
            for k in keys {
                self.items.remove(&k);
                self.note(k, None);
            }
        }
        let due: Vec<usize> = (0..self.watches.len())
            .filter(|i| {
                let w = &self.watches[*i];
                w.until <= now
                    || self
                        .log
                        .iter()
                        .rev()
                        .take_while(|l| l.stamp > w.after)
                        .any(|l| l.key.starts_with(&w.prefix))
            })
            .collect();
        due.into_iter()
            .rev()
            .map(|i| {
                let w = self.watches.swap_remove(i);
                let (status, body) = self.changes(&w.prefix, w.after);
                (w.id, status, body)
            })
            .collect()
    }

    /// When a lease or a watch ends next, in microseconds.
    pub fn next_deadline(&self) -> Option<u64> {
        let leases = self.leases.values().map(|(_, e)| *e);
        leases.chain(self.watches.iter().map(|w| w.until)).min()
    }

    /// Puts a change at the end of the log, and drops what it no longer keeps.
    fn note(&mut self, key: String, value: Option<Value>) {
        self.log.push_back(LogEntry {
            stamp: self.epoch,
            key,
            value,
        });
        while self.log.len() > LOG_LIMIT {
            self.dropped = self.log.pop_front().map_or(self.dropped, |l| l.stamp);
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> (u16, Value) {
        if after < self.dropped {
            return (410, json!({"error": "too old"}));
        }
        let first = self.log.partition_point(|l| l.stamp <= after);
        let log: Vec<Value> = self
            .log
            .range(first..)
            .filter(|l| l.key.starts_with(prefix))
            .map(|l| match &l.value {
                Some(v) => json!({"write": l.key, "value": v, "stamp": l.stamp}),
                None => json!({"remove": l.key, "stamp": l.stamp}),
            })
            .collect();
        (200, json!({"epoch": self.epoch, "log": log}))
    }

    /// Answers a request; a watch may be answered later.
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
        self.came.0 += 1;
        self.came.1 += changes as u64;
        if !self.requests.take(now, 1.0) || changes > 0 && !self.changes.take(now, changes as f64) {
            self.throttled += 1;
            return Some((429, json!({"error": "too many"})));
        }
        Some(match (method, route) {
            ("GET", "/kv") => {
                let prefix = query(path, "prefix").unwrap_or_default();
                let after = query(path, "after").unwrap_or_default();
                let most: usize = query(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(1000);
                let found: Vec<_> = self
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .take(most.min(self.page) + 1)
                    .collect();
                let more = found.len() > most.min(self.page);
                let shown = found.iter().take(most.min(self.page));
                let items: Vec<Value> = shown
                    .map(|(k, i)| json!({"key": k, "value": i.value, "stamp": i.stamp}))
                    .collect();
                (
                    200,
                    json!({"items": items, "more": more, "epoch": self.epoch}),
                )
            }
            ("GET", "/changes") => {
                let prefix = query(path, "prefix").unwrap_or_default().to_owned();
                let after: u64 = query(path, "after").and_then(|a| a.parse().ok())?;
                let wait: u64 = query(path, "waitMs")
                    .and_then(|a| a.parse().ok())
                    .unwrap_or(0);
                if wait > 0 {
                    self.watches.push(Watch {
                        id,
                        prefix,
                        after,
                        until: now + wait * 1000,
                    });
                    return None;
                }
                self.changes(&prefix, after)
            }
            ("GET", _) => {
                let key = route.strip_prefix("/kv/")?;
                match self.items.get(key) {
                    Some(i) => (200, json!({"key": key, "value": i.value, "stamp": i.stamp})),
                    None => (404, json!({"epoch": self.epoch})),
                }
            }
            ("POST", "/txn") => self.txn(&body),
            ("POST", "/leases") => {
                let life = body["lifeMs"].as_u64()? * 1000;
                let id = self.next_lease;
                self.next_lease += 1;
                self.leases.insert(id, (life, now + life));
                (200, json!({"permit": id}))
            }
            ("POST", _) => {
                let id: u64 = route
                    .strip_prefix("/leases/")?
                    .strip_suffix("/touch")?
                    .parse()
                    .ok()?;
                match self.leases.get_mut(&id) {
                    Some((life, ends)) => {
                        *ends = now + *life;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            _ => (400, json!({})),
        })
    }

    /// Which limit a transaction is beyond.
    fn limit_exceeded(&self, body: &Value, when: &[Value], then: &[Value]) -> Option<&'static str> {
        if then.len() > self.txn_ops {
            return Some("too many changes");
        }
        if when.len() > self.txn_ops * CONDITIONS_FOR_A_CHANGE {
            return Some("too many conditions");
        }
        if then
            .iter()
            .any(|t| t["value"].to_string().len() > self.value_bytes)
        {
            return Some("too large a value");
        }
        (body.to_string().len() > TXN_BYTES).then_some(OVERSIZED)
    }

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let when = body["when"].as_array().unwrap_or(&none);
        let then = body["then"].as_array().unwrap_or(&none);
        if let Some(problem) = self.limit_exceeded(body, when, then) {
            self.refused += 1;
            if !self.fell || problem == OVERSIZED {
                // What the real service would refuse must never be sent, unless its limits fell.
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
            .filter(|(k, s)| self.items.get(*k).map_or(0, |i| i.stamp) != *s)
            .map(|(k, _)| k)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        self.epoch += 1;
        self.commits += 1;
        for t in then {
            if let Some(k) = t["write"].as_str() {
                let value = t["value"].clone();
                self.note(k.to_owned(), Some(value.clone()));
                let item = Item {
                    value,
                    stamp: self.epoch,
                    permit: t["permit"].as_u64(),
                };
                self.items.insert(k.to_owned(), item);
            } else if let Some(k) = t["remove"].as_str()
                && self.items.remove(k).is_some()
            {
                self.note(k.to_owned(), None);
            }
        }
        (200, json!({"epoch": self.epoch}))
    }
}
