//! Input and output of a controller: HTTP server and client, the link between controllers, clocks and timers.

pub mod admission;
pub mod client;
pub mod clock;
pub mod node;
pub mod peers;
pub mod server;
