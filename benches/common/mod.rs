//! What benchmarks have in common.

use cometlead::storage::catalog::{Catalog, MachineType};
use cometlead::storage::resources::Amount;
use cometlead::time::Micros;

/// Most claims of a plan, as a controller's rounds have it.
pub const CLAIMS: usize = 256;

/// Two types of machines in two zones.
pub fn catalog() -> Catalog {
    let kind = |name: &str, cores: u64| MachineType {
        name: name.to_owned(),
        room: Amount {
            cores: cores * 1_000,
            accelerators: 0,
            memory: cores * 4_000,
        },
        cache: 50_000,
        fetch: 1_000,
        price: cores * 100,
        spot_price: cores * 40,
        boot: Micros::secs(30),
        zones: vec!["a".to_owned(), "b".to_owned()],
    };
    Catalog {
        types: vec![kind("small", 8), kind("large", 32)],
    }
}
