//! Machine types as the cloud offers them.

use crate::storage::resources::Amount;
use crate::time::{MICROS_PER_SECOND, Micros};
use serde::{Deserialize, Serialize};

/// One machine type. Prices are in thousandths of the currency unit per hour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "name")]
    pub name: String,
    /// Resources of one machine.
    #[serde(rename = "room")]
    pub capacity: Amount,
    /// Size of the image cache, in thousandths of a GB.
    #[serde(rename = "cache")]
    pub cache_size: u64,
    /// Rate at which images are fetched, in thousandths of a GB per second.
    #[serde(rename = "fetch")]
    pub fetch_rate: u64,
    /// Price of an on-demand machine.
    #[serde(rename = "price")]
    pub price: u64,
    /// Current price of a spot machine.
    #[serde(rename = "spot_price")]
    pub spot_price: u64,
    /// Nominal boot time.
    #[serde(rename = "boot")]
    pub boot_time: Micros,
    /// Zones that offer it.
    #[serde(rename = "zones")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour of a spot or an on-demand machine.
    pub fn price_of(&self, spot: bool) -> u64 {
        if spot { self.spot_price } else { self.price }
    }

    /// Time to fetch an image of this size, in thousandths of a GB.
    pub fn fetch_time(&self, size: u64) -> Micros {
        Micros(size.saturating_mul(MICROS_PER_SECOND) / self.fetch_rate.max(1))
    }
}

/// All machine types.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types, in the cloud's order.
    #[serde(rename = "types")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// The type of this name.
    pub fn get(&self, name: &str) -> Option<&MachineType> {
        self.types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}
