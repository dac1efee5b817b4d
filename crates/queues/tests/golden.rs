//! Golden bytes: every form that is stored or sent must stay exactly as the files under `tests/golden` have it.
//!
//! `UPDATE_GOLDEN=1 cargo test -p cometlead-queues --test golden` writes the files anew. A difference in a file that
//! exists already is a change of the protocol, and needs a new version beside the old one.

mod golden_forms;
