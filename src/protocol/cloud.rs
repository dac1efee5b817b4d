//! Requests to the cloud's API and their responses.

use super::state::CallError;
use crate::storage::catalog::{Catalog, MachineType};
use crate::storage::ids::MachineId;
use crate::storage::resources::{Amount, thousandths_rounded_down};
use crate::time::Micros;
use serde::Deserialize;

/// Largest number of machines in one provisioning request.
pub const PROVISION_LIMIT: u32 = 50;
/// Largest number of machines in one release request.
pub const RELEASE_LIMIT: usize = 100;
/// Largest amount of a machine type, in the unit of the field; larger ones count as this. Sums and products of amounts
/// stay within their integers then.
const AMOUNT_LIMIT: f64 = 1e9;
/// Error text of the cloud for a provisioning request of a machine type that has no capacity left in the zone.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudRequest {
    /// The machine types and their prices.
    Catalog,
    /// Provisions machines.
    Provision {
        /// Idempotency key: repeating a request with the same name provisions no further machines.
        name: String,
        /// Machine type, as named in the catalog.
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Number of machines, at most [`PROVISION_LIMIT`].
        count: u32,
    },
    /// Releases machines, at most [`RELEASE_LIMIT`].
    Release(Vec<MachineId>),
    /// A page of the machine list, beginning after the given machine.
    List(Option<MachineId>),
}

/// A machine's state as the cloud reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudMachineState {
    /// The machine boots.
    Starting,
    /// The machine is up.
    Running,
    /// The machine failed and does not recover.
    Failed,
}

/// An entry of the cloud's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CloudMachine {
    /// The machine.
    pub id: MachineId,
    /// Machine type, as named in the catalog.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Its state.
    pub status: CloudMachineState,
    /// Time since the request that provisioned it.
    pub age: Micros,
}

/// The content of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudReply {
    /// The machine types and their prices.
    Catalog(Catalog),
    /// The provisioned machines.
    Provisioned(Vec<MachineId>),
    /// The cloud has no capacity left for the requested machine type.
    NoCapacity,
    /// The machines are released.
    Released,
    /// A page of the machine list, and whether more pages follow.
    Machines(Vec<CloudMachine>, bool),
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
            let names: Vec<String> = machines.iter().map(MachineId::to_string).collect();
            let body = serde_json::json!({ "hosts": names });
            let path = "/hosts/release".to_owned();
            ("POST", path, body.to_string().into_bytes())
        }
        CloudRequest::List(after) => {
            let after = after
                .map(|machine| format!("after={machine}&"))
                .unwrap_or_default();
            ("GET", format!("/hosts?{after}most=500"), Vec::new())
        }
    }
}

#[derive(Deserialize)]
struct CatalogWire {
    #[serde(rename = "builds")]
    machine_types: Vec<MachineTypeWire>,
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
    memory_gb: f64,
    #[serde(rename = "localGb", default)]
    cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    price: f64,
    #[serde(rename = "spotPrice", default)]
    spot_price: Option<f64>,
    #[serde(rename = "startupS", default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
struct ProvisionedWire {
    #[serde(rename = "hosts")]
    machines: Vec<String>,
}

#[derive(Deserialize)]
struct CloudMachinesWire {
    #[serde(rename = "hosts")]
    machines: Vec<CloudMachineWire>,
    #[serde(rename = "more", default)]
    more: bool,
}

#[derive(Deserialize)]
struct CloudMachineWire {
    #[serde(rename = "nameId")]
    id: String,
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

/// Parses the response to a request.
///
/// # Errors
/// [`CallError`] says whether the request may have taken effect.
pub fn parse(request: &CloudRequest, status: u16, body: &[u8]) -> Result<CloudReply, CallError> {
    match (request, status) {
        (CloudRequest::Provision { .. }, 503) if is_out_of_capacity(body) => {
            Ok(CloudReply::NoCapacity)
        }
        (_, 503) => Err(CallError::Unavailable),
        (_, 429) => Err(CallError::RateLimited),
        (_, 400) => Err(CallError::Rejected),
        (CloudRequest::Catalog, 200) => parse_catalog(body),
        (CloudRequest::Provision { .. }, 200) => parse_provisioned(body),
        (CloudRequest::Release(_), 200) => Ok(CloudReply::Released),
        (CloudRequest::List(_), 200) => parse_machines(body),
        _ => Err(CallError::OutcomeUnknown),
    }
}

fn from_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::OutcomeUnknown)
}

fn is_out_of_capacity(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorWire>(body).is_ok_and(|wire| wire.error == NO_CAPACITY_ERROR)
}

fn parse_catalog(body: &[u8]) -> Result<CloudReply, CallError> {
    let wire: CatalogWire = from_json(body)?;
    let types = wire
        .machine_types
        .into_iter()
        .map(MachineType::from)
        .collect();
    Ok(CloudReply::Catalog(Catalog { types }))
}

fn parse_provisioned(body: &[u8]) -> Result<CloudReply, CallError> {
    let wire: ProvisionedWire = from_json(body)?;
    let machines = wire.machines.iter().filter_map(|id| id.parse().ok());
    Ok(CloudReply::Provisioned(machines.collect()))
}

fn parse_machines(body: &[u8]) -> Result<CloudReply, CallError> {
    let wire: CloudMachinesWire = from_json(body)?;
    let machines = wire
        .machines
        .into_iter()
        .filter_map(CloudMachineWire::parse)
        .collect();
    Ok(CloudReply::Machines(machines, wire.more))
}

impl From<MachineTypeWire> for MachineType {
    fn from(wire: MachineTypeWire) -> MachineType {
        let amount = |amount: f64| thousandths_rounded_down(amount.min(AMOUNT_LIMIT));
        MachineType {
            name: wire.name,
            capacity: Amount {
                cores: amount(wire.cores),
                accelerators: amount(wire.accelerators),
                memory: amount(wire.memory_gb),
            },
            cache_size: amount(wire.cache_gb),
            fetch_rate: amount(wire.fetch_gb_per_s),
            price: amount(wire.price),
            spot_price: amount(wire.spot_price.unwrap_or(wire.price)),
            boot_time: Micros::from_secs_f64(wire.boot_s.min(AMOUNT_LIMIT)),
            zones: wire.zones,
        }
    }
}

impl CloudMachineWire {
    /// The machine; `None` if its identifier is not of a form that this scheduler knows.
    fn parse(self) -> Option<CloudMachine> {
        Some(CloudMachine {
            id: self.id.parse().ok()?,
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
            status: match self.status.as_str() {
                "failed" => CloudMachineState::Failed,
                "running" => CloudMachineState::Running,
                _ => CloudMachineState::Starting,
            },
            age: Micros::from_secs_f64(self.age_s),
        })
    }
}
