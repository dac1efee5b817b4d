//! Scheduling policy as pure functions: placement, preemption, fair sharing, constraints, provisioning and estimates.

pub mod boot_times;
pub mod constraints;
pub mod fair_shares;
pub mod placement;
pub mod provisioning;
pub mod zone_health;
