//! Golden tests: every stored or transmitted format must match the files under `tests/golden` byte for byte.
//!
//! `UPDATE_GOLDEN=1 cargo test -p cometlead-queues --test golden` rewrites the files. A difference in an existing file
//! is a change of the protocol, and needs a new version next to the old one.

mod golden_formats;
