//! AMQP work queues for cometlead: job requests come in as messages, and each message gets one final answer.
//!
//! Several processes may serve the same queues. The core is pure: [`DeliveryStateMachine`] takes events and the time,
//! and returns effects; it neither does I/O nor reads a clock. [`runtime`] carries the effects out over AMQP 0-9-1 and
//! HTTP. The modules by task:
//!
//! | task | module |
//! |---|---|
//! | the request that a message carries | [`message`] |
//! | from a delivery to its answer | [`state_machine`] |
//! | claims of messages, and records of answers | [`progress`], [`replicated_log`] |
//! | order and rate of requests to the controllers | [`schedule`], [`rate_limiter`] |
//! | what is published for clients | [`reply`] |
//! | wire and storage formats | [`wire`], `replicated_log::segment` |
//! | settings | [`settings`], [`limits`] |
//! | I/O | [`runtime`] |
//!
//! `docs/queues.md` explains the design, `docs/queues-operations.md` the operation.
//!
//! # Example
//!
//! Every delivery of a message submits the same job, so a repeated submission changes nothing:
//!
//! ```
//! use cometlead_queues::{JobRequest, Message};
//!
//! let message = Message {
//!     queue: "work".to_owned(),
//!     body: br#"{"nameId":"req-000041"}"#.to_vec(),
//!     ..Message::default()
//! };
//! let redelivery = Message { redelivered: true, ..message.clone() };
//! assert_eq!(message.key(), redelivery.key());
//!
//! let Ok(JobRequest::Submit { job, .. }) = message.job_request() else {
//!     panic!("a valid request");
//! };
//! assert_eq!(job, "req-000041");
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

pub mod counters;
pub mod limits;
pub mod message;
mod orphans;
mod pending_message;
pub mod progress;
pub mod rate_limiter;
pub mod replicated_log;
pub mod reply;
pub mod runtime;
pub mod schedule;
pub mod settings;
pub mod state_machine;
pub mod time;
pub mod wire;

pub use limits::Limits;
pub use message::{JobRequest, Message, MessageKey};
pub use progress::{ConsumerId, ProgressEntry};
pub use state_machine::{DeliveryStateMachine, Effect, Event};
