//! Scale runs: real controllers beside simulated workers, users, clouds and state stores, over loopback.
//!
//! A simulated party speaks the published protocol over a real connection and does no real work; thousands of them share
//! this process. The controllers are the release binary, one process each.
//!
//! * [`scenario`] reads and checks what is to be run; [`mod@run`] runs it.
//! * [`standins`] are the simulated parties without I/O; [`region`], [`fleet`] and [`users`] connect them over loopback.
//! * [`judge`] checks the rules while it runs, [`measure`] takes samples, [`report`] writes the results.
//! * [`slopes`] fits slopes to several runs with [`fit`]; [`capacity`] makes the tables of `docs/CAPACITY.md` from them.
//!
//! A scenario is a TOML file and is checked before anything starts:
//!
//! ```
//! use cometlead_emulator::scenario::{Scenario, ScenarioError};
//! use std::path::Path;
//!
//! # fn main() -> Result<(), ScenarioError> {
//! let scenario = Scenario::load(Path::new("scenarios/smoke.toml"))?;
//! assert_eq!(scenario.name, "smoke");
//!
//! // An error names the file, the line and the field.
//! let error = Scenario::parse("typo.toml", "seeds = 1").unwrap_err();
//! assert!(error.to_string().starts_with("typo.toml, line 1"));
//! # Ok(())
//! # }
//! ```
//!
//! [`run::run`] starts the controllers and plays it:
//!
//! ```no_run
//! # use cometlead_emulator::scenario::Scenario;
//! # use std::path::Path;
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let scenario = Scenario::load(Path::new("scenarios/smoke.toml"))?;
//! let controller = Path::new("target/release/cometlead");
//! let logs = Path::new("target/emulator");
//! let result = cometlead_emulator::run::run(&scenario, controller, logs, &|_| {})?;
//! println!("{}", result.table());
//! # Ok(())
//! # }
//! ```

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
