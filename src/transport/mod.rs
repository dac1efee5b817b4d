//! HTTP server and client, the peer link, clocks and timers.

pub mod admission;
pub mod client;
pub mod clock;
pub mod node;
pub mod peers;
pub mod server;
