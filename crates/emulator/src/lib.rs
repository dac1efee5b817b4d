//! Scale runs: real controllers beside hollow workers, users, clouds and state services.
//!
//! A *hollow* party speaks the published protocol over a real connection and does no real work; thousands of them share
//! this process. The controllers are the release binary, one process each.
//!
//! * [`scenario`] reads what is to be run; [`run`] runs it.
//! * [`standins`] are the pure parties, [`region`], [`fleet`] and [`users`] connect them over loopback.
//! * [`judge`] watches the rules while it runs, [`measure`] takes samples, [`report`] writes the results.
//! * [`slopes`] fits slopes to several runs with [`fit`], [`capacity`] makes the tables of `docs/CAPACITY.md` from them.

pub mod addresses;
pub mod capacity;
pub mod controllers;
pub mod fit;
pub mod fleet;
pub mod http;
pub mod judge;
pub mod measure;
pub mod region;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod standins;
pub mod users;
