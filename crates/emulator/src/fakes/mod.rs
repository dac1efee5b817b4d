//! Fakes of the parties that controllers communicate with, which follow the published protocol.
//!
//! They perform no I/O and read no clock: the caller passes requests and times and gets responses. The scenario tests drive them
//! in simulated time, the emulator over real connections.

pub mod cloud;
pub mod late_copies;
pub mod state;
pub mod submission;
pub mod worker;

/// Returns the value of a query parameter as written in the path, without decoding.
fn query_parameter<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, parameters) = path.split_once('?')?;
    parameters
        .split('&')
        .find_map(|p| p.split_once('=').filter(|(k, _)| *k == key).map(|(_, v)| v))
}
