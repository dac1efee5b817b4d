//! AMQP work queues before cometlead's users' interface: one message, one final answer.
//!
//! The core is pure: events and the time go in, effects come out, and nothing in it does I/O or reads a clock.
//! [`shell`] carries its effects out: AMQP 0-9-1 to the broker, HTTP to the controllers and to the state service.
//! `docs/queues.md` says what was weighed and why it is done as it is.

pub mod answer;
pub mod counters;
mod estate;
pub mod front;
mod item;
pub mod ledger;
pub mod mark;
pub mod message;
pub mod schedule;
pub mod settings;
pub mod shell;
pub mod wire;

pub use front::{Effect, Event, Front, Limits};
pub use mark::{Holder, Mark};
pub use message::{Key, Message, Wish};
