//! The steps of a dispatcher tick, called systems, which work on the tables.
//!
//! Each system leaves its results in the tables or in the queues of the world. The dispatcher runs
//! the systems in a fixed order, and a system does not call one that runs before it.

pub mod cell_assignment;
pub mod dispatch;
pub mod entry;
pub mod peers;
pub mod polls;
pub mod progress;
pub mod runner;
pub mod starts;
pub mod stops;
pub mod sweep;
