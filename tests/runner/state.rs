//! A stand-in of the state service, by its protocol.

use serde_json::{Value, json};
use std::collections::BTreeMap;

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

pub struct State {
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Value>)>,
    epoch: u64,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    watches: Vec<Watch>,
    pub out_until: u64,
    pub commits: u64,
    txn_ops: usize,
    value_bytes: usize,
    requests: Bucket,
    changes: Bucket,
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
        Bucket { rate, level: rate, at: 0 }
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

fn query<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&').find_map(|p| p.split_once('=').filter(|(k, _)| *k == key).map(|(_, v)| v))
}

impl State {
    pub fn new(txn_ops: usize, value_bytes: usize, rates: (f64, f64)) -> State {
        State {
            items: BTreeMap::new(),
            log: Vec::new(),
            epoch: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            watches: Vec::new(),
            out_until: 0,
            commits: 0,
            txn_ops,
            value_bytes,
            requests: Bucket::new(rates.0),
            changes: Bucket::new(rates.1),
            throttled: 0,
            refused: 0,
            fell: false,
            came: (0, 0),
        }
    }

    /// Puts a record there before anything runs.
    pub fn put(&mut self, key: &str, value: Value) {
        self.epoch += 1;
        self.items.insert(key.to_owned(), Item { value, stamp: self.epoch, permit: None });
    }

    /// The values of all keys with a prefix.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Value)> {
        let found = self.items.iter().filter(move |(k, _)| k.starts_with(prefix));
        found.map(|(k, i)| (k.as_str(), &i.value))
    }

    /// From now on other limits hold: changes a second, bytes of a value, changes of a transaction.
    pub fn lower(&mut self, rate: f64, value_bytes: usize, txn_ops: usize) {
        self.changes.rate = rate;
        (self.value_bytes, self.txn_ops, self.fell) = (value_bytes, txn_ops, true);
    }

    /// The largest value that is kept, with its size.
    pub fn largest(&self) -> (&str, usize) {
        let sizes = self.items.iter().map(|(k, i)| (k.as_str(), i.value.to_string().len()));
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
        let over: Vec<u64> = self.leases.iter().filter(|(_, (_, e))| *e <= now).map(|(l, _)| *l).collect();
        for lease in over {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.items.iter().filter(|(_, i)| i.permit == Some(lease)).map(|(k, _)| k.clone()).collect();
            if !keys.is_empty() {
                self.epoch += 1;
            }
            for k in keys {
                self.items.remove(&k);
                self.log.push((self.epoch, k, None));
            }
        }
        let due: Vec<usize> = (0..self.watches.len())
            .filter(|i| {
                let w = &self.watches[*i];
                w.until <= now
                    || self.log.iter().rev().take_while(|l| l.0 > w.after).any(|l| l.1.starts_with(&w.prefix))
            })
            .collect();
        due.into_iter()
            .rev()
            .map(|i| {
                let w = self.watches.swap_remove(i);
                (w.id, 200, self.changes(&w.prefix, w.after))
            })
            .collect()
    }

    pub fn next_deadline(&self) -> Option<u64> {
        let leases = self.leases.values().map(|(_, e)| *e);
        leases.chain(self.watches.iter().map(|w| w.until)).min()
    }

    fn changes(&self, prefix: &str, after: u64) -> Value {
        let log: Vec<Value> = self
            .log
            .iter()
            .filter(|(s, k, _)| *s > after && k.starts_with(prefix))
            .map(|(s, k, v)| match v {
                Some(v) => json!({"write": k, "value": v, "stamp": s}),
                None => json!({"remove": k, "stamp": s}),
            })
            .collect();
        json!({"epoch": self.epoch, "log": log})
    }

    /// Answers a request; a watch may be answered later.
    pub fn request(&mut self, now: u64, id: u64, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
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
                let most: usize = query(path, "most").and_then(|m| m.parse().ok()).unwrap_or(1000);
                let found: Vec<_> = self
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
                    .take(most.min(40) + 1)
                    .collect();
                let more = found.len() > 40;
                let items: Vec<Value> =
                    found.iter().take(40).map(|(k, i)| json!({"key": k, "value": i.value, "stamp": i.stamp})).collect();
                (200, json!({"items": items, "more": more, "epoch": self.epoch}))
            }
            ("GET", "/changes") => {
                let prefix = query(path, "prefix").unwrap_or_default().to_owned();
                let after: u64 = query(path, "after").and_then(|a| a.parse().ok())?;
                let wait: u64 = query(path, "waitMs").and_then(|a| a.parse().ok()).unwrap_or(0);
                if wait > 0 {
                    self.watches.push(Watch { id, prefix, after, until: now + wait * 1000 });
                    return None;
                }
                (200, self.changes(&prefix, after))
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
                let id: u64 = route.strip_prefix("/leases/")?.strip_suffix("/touch")?.parse().ok()?;
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

    fn txn(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let when = body["when"].as_array().unwrap_or(&none);
        let then = body["then"].as_array().unwrap_or(&none);
        let too_large = |t: &Value| t["value"].to_string().len() > self.value_bytes;
        if self.fell && (then.len() > self.txn_ops || when.len() > self.txn_ops * 4 || then.iter().any(too_large)) {
            self.refused += 1;
            return (400, json!({"error": "too large"}));
        }
        // What the real service would refuse must never be sent, unless its limits fell.
        assert!(then.len() <= self.txn_ops, "too many changes: {body}");
        assert!(when.len() <= self.txn_ops * 4, "too many conditions: {body}");
        assert!(body.to_string().len() <= 64 * 1024, "too large a transaction");
        for t in then {
            assert!(t["value"].to_string().len() <= self.value_bytes, "too large a value: {t}");
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
                self.log.push((self.epoch, k.to_owned(), Some(value.clone())));
                let item = Item { value, stamp: self.epoch, permit: t["permit"].as_u64() };
                self.items.insert(k.to_owned(), item);
            } else if let Some(k) = t["remove"].as_str()
                && self.items.remove(k).is_some()
            {
                self.log.push((self.epoch, k.to_owned(), None));
            }
        }
        (200, json!({"epoch": self.epoch}))
    }
}
