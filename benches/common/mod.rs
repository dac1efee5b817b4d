//! Code that the benchmarks share.

use cometlead::storage::catalog::{Catalog, MachineType};
use cometlead::storage::resources::Amount;
use cometlead::time::Micros;

/// Largest number of claims in a plan, as in a controller's commit rounds.
pub const MAX_CLAIMS_PER_PLAN: usize = 256;

/// A catalog of two machine types in two zones.
pub fn catalog() -> Catalog {
    let machine_type = |name: &str, cores: u64| MachineType {
        name: name.to_owned(),
        capacity: Amount {
            cores: cores * 1_000,
            accelerators: 0,
            memory: cores * 4_000,
        },
        cache_size: 50_000,
        fetch_rate: 1_000,
        price: cores * 100,
        spot_price: cores * 40,
        boot_time: Micros::secs(30),
        zones: vec!["a".to_owned(), "b".to_owned()],
    };
    Catalog {
        types: vec![machine_type("small", 8), machine_type("large", 32)],
    }
}
