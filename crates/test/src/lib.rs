//! Stand-ins for the systems around the dispatcher, with fault switches. Used by tests, benchmarks
//! and the demo, never shipped.
//!
//! [`PlatformStandIn`] provides the platform's key-value store and VM list, [`ExecutorStandIn`] is
//! an executor. Both serve HTTP on loopback from within the calling process; the program
//! `cardamomslip-standin` runs one of them as a separate process. [`Cluster`] runs stand-ins and
//! entry daemons in one process, connected by real sockets.

pub mod cluster;
pub mod executor;
pub mod flood;
pub mod http;
pub mod platform;
pub mod ports;

pub use cluster::{Cluster, ClusterConfig, Customer};
pub use executor::{ExecutorConfig, ExecutorStandIn};
pub use platform::PlatformStandIn;
