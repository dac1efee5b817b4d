//! The project's own stand-in of a broker.

#![allow(dead_code)]

#[path = "../../../../crates/queues/tests/fakes/amqp_server/mod.rs"]
pub mod amqp_server;
#[path = "../../../../crates/queues/tests/fakes/broker.rs"]
pub mod broker;
