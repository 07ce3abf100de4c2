//! Daemon of a dispatcher for sub-second tasks.
//!
//! Each entry VM runs one [`Daemon`]. Callers submit jobs of many short tasks to any daemon; the
//! daemon that issued the job's id starts its tasks on executors and keeps its outcome.
//!
//! # Example
//!
//! ```no_run
//! use cardamomslip::{Daemon, Settings};
//!
//! # fn main() -> Result<(), cardamomslip::Error> {
//! let settings = Settings::load("entry-1.yaml".as_ref())?;
//! Daemon::start(settings)?.wait();
//! # Ok(())
//! # }
//! ```
//!
//! # Guarantees
//!
//! The guarantees are those of [`cardamomslip_core`], whose [`Node`](cardamomslip_core::Node) makes
//! all decisions. This crate adds the actors and the adapters: callers, operators, executors and
//! the platform over HTTP with JSON, peers over WebSocket with CBOR.
//!
//! # Limits
//!
//! * Connections are not encrypted. The VMs' network is trusted; peers authenticate with a shared
//!   secret.

mod accept_failures;
mod blocking_pool;
pub mod callers;
pub mod config_wire;
pub mod daemon;
pub mod error;
pub mod executors;
pub mod guarded;
pub mod http;
pub mod input;
pub mod machine;
pub mod names;
mod node_actor;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod settings;
pub mod time_limit;

pub use blocking_pool::BlockingPool;
pub use daemon::{Daemon, StopHandle};
pub use error::{Error, ErrorKind};
pub use settings::Settings;
