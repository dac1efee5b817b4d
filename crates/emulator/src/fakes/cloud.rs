//! A stand-in of the cloud, by its protocol.

use super::query;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The most machines that one list names.
const LIST_LIMIT: usize = 500;

/// A type of machine, and how many of it there are in each of its zones.
#[derive(Clone, Debug)]
pub struct TypeSpec {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory in GB.
    pub mem: f64,
    /// Boot time in seconds, nominal.
    pub boot: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour as a spot machine.
    pub spot_price: f64,
    /// Ordinary machines in each zone.
    pub count: u32,
    /// Spot machines in each zone.
    pub spot: u32,
    /// Share of the boots that never end.
    pub stuck: f64,
    /// Zones.
    pub zones: Vec<String>,
}

/// A machine that was rented.
pub struct Host {
    /// Its type, by its place among the cloud's types.
    pub build: usize,
    /// Zone.
    pub yard: String,
    /// Spot.
    pub spot: bool,
    /// When it was rented, in microseconds.
    pub rented: u64,
    /// When it is up, in microseconds; never if absent.
    pub up_at: Option<u64>,
    /// When it went, in microseconds.
    pub gone_at: Option<u64>,
    /// It was returned while its zone was cut off.
    pub in_vain: bool,
    /// It was hired while its zone was cut off.
    pub hired_in_vain: bool,
}

/// The cloud's interface.
pub struct Cloud {
    types: Vec<TypeSpec>,
    /// All machines that were ever rented, by number.
    pub hosts: BTreeMap<u64, Host>,
    hires: BTreeMap<String, Value>,
    lag: u64,
    /// The interface is down until then, in microseconds.
    pub out_until: u64,
    /// Zones without power, where nothing is to be had.
    pub dark: Vec<(String, u64)>,
    /// Zones that are cut off, and work inside.
    pub cut: Vec<(String, u64)>,
    /// Boots take so many times as long, until then.
    pub slow: (f64, u64),
}

/// A machine's name.
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
    /// A cloud with these types, whose lists lag by `lag` microseconds and up to twice that.
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

    /// A machine's type.
    pub fn type_of(&self, host: u64) -> &TypeSpec {
        &self.types[self.hosts[&host].build]
    }

    /// Answers a request; `random_fraction` is a fresh random number below 1.
    pub fn request(
        &mut self,
        now: u64,
        method: &str,
        path: &str,
        body: &[u8],
        random_fraction: &mut dyn FnMut() -> f64,
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
            ("POST", "/hosts") => self.hire(now, &body, random_fraction),
            ("POST", "/hosts/release") => {
                for h in body["hosts"].as_array().into_iter().flatten() {
                    if let Some(host) = h.as_str().and_then(id).and_then(|i| self.hosts.get_mut(&i))
                    {
                        host.in_vain |= holds(&self.cut, &host.yard, now) && host.gone_at.is_none();
                        host.gone_at.get_or_insert(now);
                    }
                }
                (200, json!({}))
            }
            ("GET", "/hosts") => {
                let as_of = now.saturating_sub((self.lag as f64 * 2.0 * random_fraction()) as u64);
                let after = query(path, "after").and_then(id).unwrap_or(0);
                let most = query(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(LIST_LIMIT);
                self.list(as_of, after, most.min(LIST_LIMIT))
            }
            _ => (400, json!({})),
        }
    }

    /// The machines after one, as they were at a time.
    fn list(&self, as_of: u64, after: u64, most: usize) -> (u16, Value) {
        let there = |h: &Host| h.rented <= as_of && h.gone_at.is_none_or(|g| g > as_of);
        let mut listed = self.hosts.range(after + 1..).filter(|(_, h)| there(h));
        let hosts: Vec<Value> = listed
            .by_ref()
            .take(most)
            .map(|(i, h)| {
                let up = h.up_at.is_some_and(|u| u <= as_of);
                json!({"nameId": name(*i), "endpoint": "", "build": self.types[h.build].name, "yard": h.yard,
                    "loaners": h.spot, "status": if up { "running" } else { "starting" },
                    "ageS": (as_of - h.rented) as f64 / 1e6})
            })
            .collect();
        let more = listed.next().is_some();
        (200, json!({"hosts": hosts, "more": more}))
    }

    fn hire(
        &mut self,
        now: u64,
        body: &Value,
        random_fraction: &mut dyn FnMut() -> f64,
    ) -> (u16, Value) {
        let Some(request) = body["hire"].as_str() else {
            return (400, json!({}));
        };
        if let Some(answer) = self.hires.get(request) {
            return (200, answer.clone());
        }
        let Some(build) = self
            .types
            .iter()
            .position(|t| body["build"] == t.name.as_str())
        else {
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
        let occupied = self
            .hosts
            .values()
            .filter(|h| h.gone_at.is_none() && h.build == build && h.spot == spot && h.yard == yard)
            .count() as u64;
        let n = body["howMany"]
            .as_u64()
            .unwrap_or(0)
            .min(u64::from(most).saturating_sub(occupied));
        if n == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..n {
            let i = self.hosts.keys().last().map_or(1, |l| l + 1);
            let stuck = random_fraction() < self.types[build].stuck;
            let factor = if now < self.slow.1 { self.slow.0 } else { 1.0 };
            let boot = self.types[build].boot * (0.6 + 0.9 * random_fraction()) * factor;
            let up_at = (!stuck).then_some(now + (boot * 1e6) as u64);
            let hired_in_vain = holds(&self.cut, &yard, now);
            let yard = yard.clone();
            let host = Host {
                build,
                yard,
                spot,
                rented: now,
                up_at,
                gone_at: None,
                in_vain: false,
                hired_in_vain,
            };
            self.hosts.insert(i, host);
            names.push(name(i));
        }
        let answer = json!({"hosts": names});
        self.hires.insert(request.to_owned(), answer.clone());
        (200, answer)
    }
}
