//! The records of the state store, their stored forms, and the replica of the cell's state that is made of them.
//!
//! - [`records`]: keys, record formats and the smaller records; [`machine_group`] and [`job`]: the larger ones.
//! - [`cell_state`]: the replica, with [`live_job`], [`dependency_graph`] and [`machine_classes`] as its parts.
//! - [`ids`], [`resources`], [`catalog`], [`completion_bitmap`], [`restart_history`]: the types that they are made of.
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
