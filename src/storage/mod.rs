//! The records of the state service, their stored forms, and the replica of the cell's state made of them.
//!
//! Nothing here does I/O or reads a clock.

pub mod catalog;
pub mod cell_state;
pub mod completion_bitmap;
pub mod dependency_graph;
pub mod ids;
pub mod job;
pub mod live_job;
pub mod machine_classes;
pub mod machine_group;
pub mod records;
pub mod resources;
pub mod restart_history;
