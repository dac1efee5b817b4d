//! AMQP work queues before cometlead's users' interface: one message, one final answer.
//!
//! This is the pure core: events and the time go in, effects come out, and nothing here does I/O or reads a
//! clock. `docs/queues.md` says what was weighed and why it is done as it is. The shell that speaks AMQP is not
//! built yet.

pub mod front;
pub mod mark;
pub mod message;

pub use front::{Effect, Event, Front, Limits};
pub use mark::{Holder, Mark};
pub use message::{Key, Message, Wish};
