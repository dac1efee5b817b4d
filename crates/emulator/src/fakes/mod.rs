//! Stand-ins of what is around the controllers, by the published protocol: pure, events and time in, answers out.
//!
//! The scenario tests drive them in simulated time, the emulator over real connections.

pub mod cloud;
pub mod state;
pub mod submission;
pub mod worker;

/// The value of a query parameter, as it stands in the path.
fn query<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, parameters) = path.split_once('?')?;
    parameters
        .split('&')
        .find_map(|p| p.split_once('=').filter(|(k, _)| *k == key).map(|(_, v)| v))
}
