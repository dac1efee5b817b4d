//! A stand-in of the cloud, by its protocol.

use super::script::TypeSpec;
use serde_json::{Value, json};
use std::collections::BTreeMap;

pub struct Host {
    pub build: usize,
    pub yard: String,
    pub spot: bool,
    pub rented: u64,
    pub up_at: Option<u64>,
    pub gone_at: Option<u64>,
    /// It was returned while its zone was cut off.
    pub in_vain: bool,
    /// It was hired while its zone was cut off.
    pub hired_in_vain: bool,
}

pub struct Cloud {
    types: Vec<TypeSpec>,
    pub hosts: BTreeMap<u64, Host>,
    hires: BTreeMap<String, Value>,
    lag: u64,
    pub out_until: u64,
    /// Zones without power, where nothing is to be had.
    pub dark: Vec<(String, u64)>,
    /// Zones that are cut off, and work inside.
    pub cut: Vec<(String, u64)>,
    /// Boots take so many times as long, until then.
    pub slow: (f64, u64),
}

pub fn name(id: u64) -> String {
    format!("i-{id:06}")
}

fn id(name: &str) -> Option<u64> {
    name.strip_prefix("i-")?.parse().ok()
}

/// Whether a zone is among those that something holds for until some time.
fn holds(zones: &[(String, u64)], yard: &str, now: u64) -> bool {
    zones.iter().any(|(z, until)| z == yard && now < *until)
}

impl Cloud {
    pub fn new(types: Vec<TypeSpec>, lag: u64) -> Cloud {
        Cloud {
            types,
            hosts: BTreeMap::new(),
            hires: BTreeMap::new(),
            lag,
            out_until: 0,
            dark: Vec::new(),
            cut: Vec::new(),
            slow: (1.0, 0),
        }
    }

    pub fn type_of(&self, host: u64) -> &TypeSpec {
        &self.types[self.hosts[&host].build]
    }

    /// Answers a request; `dice` is a fresh random number below 1.
    pub fn request(
        &mut self,
        now: u64,
        method: &str,
        path: &str,
        body: &[u8],
        dice: &mut dyn FnMut() -> f64,
    ) -> (u16, Value) {
        if now < self.out_until {
            return (503, json!({"error": "trouble"}));
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (method, path.split('?').next().unwrap_or_default()) {
            ("GET", "/catalog") => {
                let builds: Vec<Value> = self
                    .types
                    .iter()
                    .map(|t| {
                        json!({"name": t.name, "cores": t.cores, "accelerators": 0, "memGb": t.mem, "localGb": 50,
                            "fetchGbPerS": 1.0, "rate": t.price, "spotPrice": t.spot_price, "startupS": t.boot,
                            "yards": t.zones})
                    })
                    .collect();
                (200, json!({"builds": builds}))
            }
            ("POST", "/hosts") => self.hire(now, &body, dice),
            ("POST", "/hosts/release") => {
                for h in body["hosts"].as_array().into_iter().flatten() {
                    if let Some(host) = h.as_str().and_then(id).and_then(|i| self.hosts.get_mut(&i)) {
                        host.in_vain |= holds(&self.cut, &host.yard, now) && host.gone_at.is_none();
                        host.gone_at.get_or_insert(now);
                    }
                }
                (200, json!({}))
            }
            ("GET", "/hosts") => {
                let as_of = now.saturating_sub((self.lag as f64 * 2.0 * dice()) as u64);
                let hosts: Vec<Value> = self
                    .hosts
                    .iter()
                    .filter(|(_, h)| h.rented <= as_of && h.gone_at.is_none_or(|g| g > as_of))
                    .map(|(i, h)| {
                        let up = h.up_at.is_some_and(|u| u <= as_of);
                        json!({"nameId": name(*i), "endpoint": "", "build": self.types[h.build].name, "yard": h.yard,
                            "loaners": h.spot, "status": if up { "running" } else { "starting" },
                            "ageS": (as_of - h.rented) as f64 / 1e6})
                    })
                    .collect();
                (200, json!({"hosts": hosts, "more": false}))
            }
            _ => (400, json!({})),
        }
    }

    fn hire(&mut self, now: u64, body: &Value, dice: &mut dyn FnMut() -> f64) -> (u16, Value) {
        let Some(request) = body["hire"].as_str() else { return (400, json!({})) };
        if let Some(answer) = self.hires.get(request) {
            return (200, answer.clone());
        }
        let Some(build) = self.types.iter().position(|t| body["build"] == t.name.as_str()) else {
            return (400, json!({}));
        };
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let yard = body["yard"].as_str().unwrap_or_default().to_owned();
        let most = if holds(&self.dark, &yard, now) {
            0
        } else if spot {
            self.types[build].spot
        } else {
            self.types[build].count
        };
        let taken = self
            .hosts
            .values()
            .filter(|h| h.gone_at.is_none() && h.build == build && h.spot == spot && h.yard == yard)
            .count() as u64;
        let n = body["howMany"].as_u64().unwrap_or(0).min(u64::from(most).saturating_sub(taken));
        if n == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..n {
            let i = self.hosts.keys().last().map_or(1, |l| l + 1);
            let stuck = dice() < self.types[build].stuck;
            let factor = if now < self.slow.1 { self.slow.0 } else { 1.0 };
            let boot = self.types[build].boot * (0.6 + 0.9 * dice()) * factor;
            let up_at = (!stuck).then_some(now + (boot * 1e6) as u64);
            let hired_in_vain = holds(&self.cut, &yard, now);
            let yard = yard.clone();
            let host = Host { build, yard, spot, rented: now, up_at, gone_at: None, in_vain: false, hired_in_vain };
            self.hosts.insert(i, host);
            names.push(name(i));
        }
        let answer = json!({"hosts": names});
        self.hires.insert(request.to_owned(), answer.clone());
        (200, answer)
    }
}
