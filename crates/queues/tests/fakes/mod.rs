//! Fakes of the services that the queue service communicates with.

#![allow(dead_code, reason = "each test program uses some of them")]

pub mod amqp_server;
pub mod broker;
pub mod http_services;
pub mod state_service;
