//! Clients that send what no ordinary client sends, and the resources of the process that they send
//! it to.

mod crowd;
mod machine;
mod usage;

pub use crowd::{Crowd, Script, Sources};
pub use machine::Machine;
pub use usage::{Usage, socket_memory_bytes};
