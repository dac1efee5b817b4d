//! Scale runs: real controllers beside hollow workers, users, clouds and state services.
//!
//! A *hollow* party speaks the published protocol over a real connection and does no real work; thousands of them share
//! this process. The controllers are the release binary, one process each.

pub mod standins;
