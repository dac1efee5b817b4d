//! Machine types as the cloud publishes them.

use crate::storage::resources::Amount;
use crate::time::Micros;
use serde::{Deserialize, Serialize};

/// One machine type. Prices are thousandths of the currency unit per hour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "name")]
    pub name: String,
    /// What one machine offers.
    #[serde(rename = "room")]
    pub room: Amount,
    /// The image cache, in thousandths of a GB.
    #[serde(rename = "cache")]
    pub cache: u64,
    /// Thousandths of a GB fetched per second.
    #[serde(rename = "fetch")]
    pub fetch: u64,
    /// Price of an ordinary machine.
    #[serde(rename = "price")]
    pub price: u64,
    /// Present price of a spot machine.
    #[serde(rename = "spot_price")]
    pub spot_price: u64,
    /// Nominal boot time.
    #[serde(rename = "boot")]
    pub boot: Micros,
    /// Zones that offer it.
    #[serde(rename = "zones")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour of the given kind.
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot { self.spot_price } else { self.price }
    }

    /// Time to fetch an image of this size.
    pub fn fetch_time(&self, size: u64) -> Micros {
        Micros(size.saturating_mul(1_000_000) / self.fetch.max(1))
    }
}

/// All machine types.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// In the cloud's order.
    #[serde(rename = "types")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// The type of this name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }
}
