//! cometlead: a shared-state cluster scheduler.
//!
//! The layers, from the outside in:
//!
//! * [`transport`] moves bytes: HTTP server and client, the peer link, clocks and timers.
//! * [`protocol`] knows the wire: messages, settings and their validation.
//! * [`coordination`] decides: ownership, rounds and commits, sessions, takeover.
//! * [`bookkeeping`] remembers and plans: records, the private copy, placement and fleet.
//!
//! `coordination` and `bookkeeping` do no I/O and read no clock.

pub mod bookkeeping;
pub mod coordination;
pub mod explain;
pub mod protocol;
pub mod transport;
