//! Failure detection: stalls of this process, its connectivity to the agents, and lost zones.

pub(super) mod connectivity;
pub(super) mod stall;
pub(super) mod zones;
