//! Data model of guarded workers.

pub mod answer;
pub mod cancel;
pub mod cell;
pub mod crash;
pub mod echo;
pub mod evacuations;
pub mod ids;
pub mod job;
pub mod message;
pub mod queue;
pub mod queue_use;
pub mod reply;
pub mod resources;
pub mod room;
pub mod vm;
pub mod worker;
