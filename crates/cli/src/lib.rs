//! Code shared by the daemons and the operators' command line.

pub mod client;
pub mod commands;
pub mod daemon;
pub mod explain;
pub mod logging;
