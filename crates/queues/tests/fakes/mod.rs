//! Fakes of everything that the queue service talks to.

#![allow(dead_code, reason = "each test program uses some of them")]

pub mod amqp_server;
pub mod broker;
pub mod http_services;
pub mod state_service;
