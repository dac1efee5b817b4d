//! A fake cloud that follows the cloud's protocol.

use super::query_parameter;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Most machines in one response to a list request.
const MAX_LIST_LENGTH: usize = 500;

/// A machine type, and how many machines of it there are in each of its zones.
#[derive(Clone, Debug)]
pub struct TypeSpec {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Size of the image cache in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Nominal boot time in seconds.
    pub boot_s: f64,
    /// Price per hour.
    pub price: f64,
    /// Price per hour of a spot machine.
    pub spot_price: f64,
    /// On-demand machines in each zone.
    pub on_demand_per_zone: u32,
    /// Spot machines in each zone.
    pub spot_per_zone: u32,
    /// Fraction of the machines whose boot never completes.
    pub stuck_boot_fraction: f64,
    /// Zones that have this type.
    pub zones: Vec<String>,
}

/// A machine that was provisioned.
pub struct Host {
    /// Index of its type among the cloud's types.
    pub type_index: usize,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When it was provisioned, in microseconds.
    pub provisioned_at: u64,
    /// When its boot completes, in microseconds; `None` if never.
    pub up_at: Option<u64>,
    /// When it was released or taken away, in microseconds.
    pub released_at: Option<u64>,
    /// Whether it was released while its zone was partitioned from the controllers.
    pub released_while_partitioned: bool,
    /// Whether it was provisioned while its zone was partitioned from the controllers.
    pub provisioned_while_partitioned: bool,
}

/// The fake cloud.
pub struct Cloud {
    types: Vec<TypeSpec>,
    /// All machines that were ever provisioned, by number.
    pub hosts: BTreeMap<u64, Host>,
    /// Responses to provision requests, by the id of the request, for repeated requests.
    provision_answers: BTreeMap<String, Value>,
    /// Mean delay until a change shows in a list, in microseconds.
    list_lag: u64,
    /// End of the outage of the cloud interface, in microseconds.
    pub out_until: u64,
    /// Zones without power, where no machine can be provisioned, each with the end of the outage in microseconds.
    pub zones_without_power: Vec<(String, u64)>,
    /// Zones that are partitioned from the controllers but keep working, each with the end of the partition in microseconds.
    pub partitioned_zones: Vec<(String, u64)>,
    /// Factor by which boots are slower, and until when, in microseconds.
    pub boot_slowdown: (f64, u64),
}

/// Returns the name of a machine.
pub fn name(id: u64) -> String {
    format!("i-{id:06}")
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix("i-")?.parse().ok()
}

/// Whether a zone is in a list of zones with end times, before its end time.
fn is_affected(zones: &[(String, u64)], zone: &str, now: u64) -> bool {
    zones.iter().any(|(z, until)| z == zone && now < *until)
}

impl Cloud {
    /// Creates a cloud with these machine types. Lists lag by `list_lag` microseconds on average, and by at most twice that.
    pub fn new(types: Vec<TypeSpec>, list_lag: u64) -> Cloud {
        Cloud {
            types,
            hosts: BTreeMap::new(),
            provision_answers: BTreeMap::new(),
            list_lag,
            out_until: 0,
            zones_without_power: Vec::new(),
            partitioned_zones: Vec::new(),
            boot_slowdown: (1.0, 0),
        }
    }

    /// A machine's type.
    pub fn type_of(&self, host: u64) -> &TypeSpec {
        &self.types[self.hosts[&host].type_index]
    }

    /// Answers a request. `random_fraction` draws a random number from 0 (inclusive) to 1 (exclusive).
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
                        json!({"name": t.name, "cores": t.cores, "accelerators": t.accelerators, "memGb": t.memory_gb,
                            "localGb": t.cache_gb, "fetchGbPerS": t.fetch_gb_per_s, "rate": t.price, "spotPrice": t.spot_price, "startupS": t.boot_s,
                            "yards": t.zones})
                    })
                    .collect();
                (200, json!({"builds": builds}))
            }
            ("POST", "/hosts") => self.provision(now, &body, random_fraction),
            ("POST", "/hosts/release") => {
                for h in body["hosts"].as_array().into_iter().flatten() {
                    if let Some(host) = h
                        .as_str()
                        .and_then(parse_name)
                        .and_then(|i| self.hosts.get_mut(&i))
                    {
                        host.released_while_partitioned |=
                            is_affected(&self.partitioned_zones, &host.zone, now)
                                && host.released_at.is_none();
                        host.released_at.get_or_insert(now);
                    }
                }
                (200, json!({}))
            }
            ("GET", "/hosts") => {
                let as_of =
                    now.saturating_sub((self.list_lag as f64 * 2.0 * random_fraction()) as u64);
                let after = query_parameter(path, "after")
                    .and_then(parse_name)
                    .unwrap_or(0);
                let limit = query_parameter(path, "most")
                    .and_then(|m| m.parse().ok())
                    .unwrap_or(MAX_LIST_LENGTH);
                self.list(as_of, after, limit.min(MAX_LIST_LENGTH))
            }
            _ => (400, json!({})),
        }
    }

    /// Lists the machines with numbers above `after`, as they were at the time `as_of`.
    fn list(&self, as_of: u64, after: u64, limit: usize) -> (u16, Value) {
        let existed =
            |h: &Host| h.provisioned_at <= as_of && h.released_at.is_none_or(|g| g > as_of);
        let mut listed = self.hosts.range(after + 1..).filter(|(_, h)| existed(h));
        let hosts: Vec<Value> = listed
            .by_ref()
            .take(limit)
            .map(|(i, h)| {
                let up = h.up_at.is_some_and(|u| u <= as_of);
                json!({"nameId": name(*i), "endpoint": "", "build": self.types[h.type_index].name, "yard": h.zone,
                    "loaners": h.spot, "status": if up { "running" } else { "starting" },
                    "ageS": (as_of - h.provisioned_at) as f64 / 1e6})
            })
            .collect();
        let more = listed.next().is_some();
        (200, json!({"hosts": hosts, "more": more}))
    }

    fn provision(
        &mut self,
        now: u64,
        body: &Value,
        random_fraction: &mut dyn FnMut() -> f64,
    ) -> (u16, Value) {
        let Some(request) = body["hire"].as_str() else {
            return (400, json!({}));
        };
        if let Some(answer) = self.provision_answers.get(request) {
            return (200, answer.clone());
        }
        let Some(type_index) = self
            .types
            .iter()
            .position(|t| body["build"] == t.name.as_str())
        else {
            return (400, json!({}));
        };
        let spot = body["loaners"].as_bool().unwrap_or(false);
        let zone = body["yard"].as_str().unwrap_or_default().to_owned();
        let capacity = if is_affected(&self.zones_without_power, &zone, now) {
            0
        } else if spot {
            self.types[type_index].spot_per_zone
        } else {
            self.types[type_index].on_demand_per_zone
        };
        let occupied = self
            .hosts
            .values()
            .filter(|h| {
                h.released_at.is_none()
                    && h.type_index == type_index
                    && h.spot == spot
                    && h.zone == zone
            })
            .count() as u64;
        let granted = body["howMany"]
            .as_u64()
            .unwrap_or(0)
            .min(u64::from(capacity).saturating_sub(occupied));
        if granted == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..granted {
            let i = self.hosts.keys().last().map_or(1, |l| l + 1);
            let stuck = random_fraction() < self.types[type_index].stuck_boot_fraction;
            let factor = if now < self.boot_slowdown.1 {
                self.boot_slowdown.0
            } else {
                1.0
            };
            let boot = self.types[type_index].boot_s * (0.6 + 0.9 * random_fraction()) * factor;
            let up_at = (!stuck).then_some(now.saturating_add((boot * 1e6) as u64));
            let provisioned_while_partitioned = is_affected(&self.partitioned_zones, &zone, now);
            let zone = zone.clone();
            let host = Host {
                type_index,
                zone,
                spot,
                provisioned_at: now,
                up_at,
                released_at: None,
                released_while_partitioned: false,
                provisioned_while_partitioned,
            };
            self.hosts.insert(i, host);
            names.push(name(i));
        }
        let answer = json!({"hosts": names});
        self.provision_answers
            .insert(request.to_owned(), answer.clone());
        (200, answer)
    }
}
