//! Failure detection: this process's own stalls, its connectivity to the agents, and lost zones.

pub(super) mod connectivity;
pub(super) mod stall;
pub(super) mod zones;
