//! Wire formats shared with other processes: AMQP messages, requests to controllers and the state service.
//!
//! Everything here is a contract with running clients, older versions and stored data. The files under
//! `tests/golden` hold these formats byte for byte; a change to any of them is a change of the protocol.

pub mod amqp;
pub mod controllers;
pub mod receipts;
pub mod state_service;
