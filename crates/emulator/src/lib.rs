//! Scale runs: real controllers with fake workers, users, clouds and state services, over loopback.
//!
//! A fake speaks the published protocol over a real connection but does no real work; thousands of them share this process.
//! Each controller is a process of its own, started from the release binary.
//!
//! * [`scenario`] reads and checks scenario files; [`mod@run`] executes a scenario.
//! * [`fakes`] are the fakes without I/O; [`region`], [`workers`] and [`users`] connect them over loopback.
//! * [`invariants`] checks invariants during the run, [`measure`] reads resource usage, [`report`] writes the results.
//! * [`slopes`] fits slopes to the results of several runs with [`fit`]; [`capacity`] makes the tables of `docs/CAPACITY.md` from
//!   them.
//!
//! A scenario is a TOML file that is checked before anything starts:
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
//! [`run::run`] starts the controllers and executes it:
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
pub mod fakes;
pub mod fit;
pub mod http;
pub mod invariants;
pub mod late_copies;
pub mod measure;
pub mod region;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod users;
pub mod workers;
