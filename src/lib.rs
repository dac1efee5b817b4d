//! cometlead: a shared-state cluster scheduler.
//!
//! A few identical controllers plan on a full replica of the cluster's state and commit their decisions to a small
//! consistent state store, with a revision check on every record that a transaction changes. `docs/architecture.md`
//! gives an overview; `docs/glossary.md` explains the terms.
//!
//! The layers, from the outside in:
//!
//! * [`transport`] does the I/O: HTTP server and client, the link between controllers, clocks and timers.
//! * [`protocol`] has the messages, the settings files and their validation.
//! * [`coordination`] is the controller: leadership, replication, agents, commits, autoscaling and the users' API.
//! * [`scheduler`] is pure policy: placement, preemption, fair shares, constraints and provisioning.
//! * [`storage`] has the records of the state store and the replica of the cell's state.
//!
//! `coordination`, `scheduler` and `storage` do no I/O and read no clock: events and the time go in, effects come out.
//! So a test can drive a controller event by event, which is what the scenario runner in `tests/runner` does:
//!
//! ```
//! use cometlead::coordination::{Controller, Effect, Event, Now};
//! use cometlead::protocol::operator::OperatorSettings;
//! use cometlead::protocol::settings::{Settings, SettingsError};
//! use cometlead::protocol::state::StateRequest;
//! use std::sync::Arc;
//!
//! # fn main() -> Result<(), SettingsError> {
//! let settings = Arc::new(Settings::load("tests/golden/deploy.json")?);
//! let mut controller = Controller::new(settings, OperatorSettings::default(), 1);
//!
//! // A controller that has just started reads all live records and asks for a lease.
//! let effects = controller.handle(Now::default(), Event::Tick);
//! let reads_records = |effect: &Effect| matches!(effect, Effect::State(_, StateRequest::List { .. }, _));
//! assert!(effects.iter().any(reads_records));
//! // Until it has read them it serves no requests.
//! assert!(!controller.healthy(Now::default()));
//! # Ok(())
//! # }
//! ```

#![cfg_attr(
    not(test),
    warn(
        clippy::expect_used,
        clippy::panic,
        clippy::too_many_lines,
        clippy::unwrap_used
    )
)]

pub mod coordination;
pub mod explain;
pub mod protocol;
pub mod scheduler;
pub mod storage;
pub mod time;
pub mod transport;
