//! The cloud's requests and responses.

use super::state::CallError;
use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::ids::MachineId;
use crate::storage::resources::{Amount, offered};
use crate::time::Micros;
use serde::Deserialize;

/// Most machines of one rental.
pub const PROVISION_LIMIT: u32 = 50;
/// Most machines of one release.
pub const RELEASE_LIMIT: usize = 100;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudRequest {
    /// Machine types and prices.
    Catalog,
    /// A rental.
    Provision {
        /// The request's name.
        name: String,
        /// Type.
        machine_type: String,
        /// Zone.
        zone: String,
        /// Spot.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// A return.
    Release(Vec<MachineId>),
    /// A page of the machine list.
    List(Option<MachineId>),
}

/// A machine's state by the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudMachineState {
    /// Boots.
    Starting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
}

/// A listed machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CloudMachine {
    /// The machine.
    pub id: MachineId,
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
    /// State.
    pub status: CloudMachineState,
    /// Time since the rental request.
    pub age: Micros,
}

/// What came of a request that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudReply {
    /// Machine types and prices.
    Catalog(Catalog),
    /// Rented machines.
    Provisioned(Vec<MachineId>),
    /// None to be had.
    NoCapacity,
    /// They are gone.
    Released,
    /// A page, and whether there are more.
    Hosts(Vec<CloudMachine>, bool),
}

/// Method, path and body of a request.
pub fn http(request: &CloudRequest) -> (&'static str, String, Vec<u8>) {
    match request {
        CloudRequest::Catalog => ("GET", "/catalog".to_owned(), Vec::new()),
        CloudRequest::Provision {
            name,
            machine_type,
            zone,
            spot,
            count,
        } => {
            let body = serde_json::json!({
                "hire": name, "build": machine_type, "yard": zone, "loaners": spot, "howMany": count
            });
            ("POST", "/hosts".to_owned(), body.to_string().into_bytes())
        }
        CloudRequest::Release(machines) => {
            let names: Vec<String> = machines.iter().map(|m| m.to_string()).collect();
            let body = serde_json::json!({ "hosts": names });
            (
                "POST",
                "/hosts/release".to_owned(),
                body.to_string().into_bytes(),
            )
        }
        CloudRequest::List(after) => {
            let after = after.map(|m| format!("after={m}&")).unwrap_or_default();
            ("GET", format!("/hosts?{after}most=500"), Vec::new())
        }
    }
}

#[derive(Deserialize)]
struct CatalogWire {
    #[serde(rename = "builds")]
    builds: Vec<MachineTypeWire>,
}

#[derive(Deserialize)]
struct MachineTypeWire {
    #[serde(rename = "name")]
    name: String,
    #[serde(rename = "cores")]
    cores: f64,
    #[serde(rename = "accelerators", default)]
    accelerators: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "localGb", default)]
    local_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    fetch: f64,
    #[serde(rename = "rate")]
    rate: f64,
    #[serde(rename = "spotPrice", default)]
    spot_price: Option<f64>,
    #[serde(rename = "startupS", default)]
    startup_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct ProvisionedWire {
    #[serde(rename = "hosts")]
    hosts: Vec<String>,
}

#[derive(Deserialize)]
struct CloudMachinesWire {
    #[serde(rename = "hosts")]
    hosts: Vec<CloudMachineWire>,
    #[serde(rename = "more", default)]
    more: bool,
}

#[derive(Deserialize)]
struct CloudMachineWire {
    #[serde(rename = "nameId")]
    name_id: String,
    #[serde(rename = "build")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: bool,
    #[serde(rename = "status")]
    status: String,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

#[derive(Deserialize)]
struct ErrorWire {
    #[serde(rename = "error", default)]
    error: String,
}

/// Reads a response.
pub fn parse(request: &CloudRequest, status: u16, body: &[u8]) -> Result<CloudReply, CallError> {
    let bad = |_: serde_json::Error| CallError::Unknown;
    match (request, status) {
        (CloudRequest::Provision { .. }, 503) => {
            let full =
                serde_json::from_slice::<ErrorWire>(body).is_ok_and(|e| e.error == "no capacity");
            if full {
                Ok(CloudReply::NoCapacity)
            } else {
                Err(CallError::Unavailable)
            }
        }
        (_, 503) => Err(CallError::Unavailable),
        (_, 429) => Err(CallError::TooMany),
        (_, 400) => Err(CallError::Refused),
        (CloudRequest::Catalog, 200) => {
            let w: CatalogWire = serde_json::from_slice(body).map_err(bad)?;
            let types = w.builds.into_iter().map(machine_type).collect();
            Ok(CloudReply::Catalog(Catalog { types }))
        }
        (CloudRequest::Provision { .. }, 200) => {
            let w: ProvisionedWire = serde_json::from_slice(body).map_err(bad)?;
            Ok(CloudReply::Provisioned(
                w.hosts.iter().filter_map(|h| h.parse().ok()).collect(),
            ))
        }
        (CloudRequest::Release(_), 200) => Ok(CloudReply::Released),
        (CloudRequest::List(_), 200) => {
            let w: CloudMachinesWire = serde_json::from_slice(body).map_err(bad)?;
            let hosts = w.hosts.into_iter().filter_map(host).collect();
            Ok(CloudReply::Hosts(hosts, w.more))
        }
        _ => Err(CallError::Unknown),
    }
}

fn machine_type(b: MachineTypeWire) -> MachineType {
    MachineType {
        name: b.name,
        room: Amount {
            cores: offered(b.cores),
            accelerators: offered(b.accelerators),
            memory: offered(b.mem_gb),
        },
        cache: offered(b.local_gb),
        fetch: offered(b.fetch),
        price: offered(b.rate),
        spot_price: offered(b.spot_price.unwrap_or(b.rate)),
        boot: Micros::from_secs_f64(b.startup_s),
        zones: b.zones,
    }
}

fn host(w: CloudMachineWire) -> Option<CloudMachine> {
    Some(CloudMachine {
        id: w.name_id.parse().ok()?,
        machine_type: w.machine_type,
        zone: w.zone,
        spot: w.spot,
        status: match w.status.as_str() {
            "failed" => CloudMachineState::Failed,
            "running" => CloudMachineState::Running,
            _ => CloudMachineState::Starting,
        },
        age: Micros::from_secs_f64(w.age_s),
    })
}
