//! Messages and their encodings on the wire, settings files and their validation.

pub mod cloud;
pub mod operator;
pub mod peer;
pub mod settings;
pub mod state;
pub mod user;
pub mod worker;
