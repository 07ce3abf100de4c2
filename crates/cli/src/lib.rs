//! What the two programs share.

pub mod client;
pub mod commands;
pub mod daemon;
pub mod explain;
pub mod logging;
