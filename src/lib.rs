//! cometlead: a shared-state cluster scheduler.
//!
//! The layers, from the outside in:
//!
//! * [`transport`] moves bytes: HTTP server and client, the peer link, clocks and timers.
//! * [`protocol`] knows the wire: messages, settings and their validation.
//! * [`coordination`] is the controller: leadership, commit rounds, agents, autoscaling, the users' API.
//! * [`scheduler`] is pure policy: placement, preemption, fair shares, constraints, provisioning.
//! * [`storage`] holds the records of the state service and the replica of the cell's state.
//!
//! `coordination`, `scheduler` and `storage` do no I/O and read no clock.

pub mod coordination;
pub mod explain;
pub mod protocol;
pub mod scheduler;
pub mod storage;
pub mod time;
pub mod transport;
