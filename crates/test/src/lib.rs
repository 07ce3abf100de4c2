//! Stand-ins for the outside systems of the dispatcher, with fault switches; never shipped.
//!
//! [`PlatformStandIn`] is the platform's key-value service and VM list; [`ExecutorStandIn`] is an
//! executor. Both speak HTTP on loopback and run inside the calling process; the program
//! `cardamomslip-standin` runs one as a process of its own. [`Cluster`] joins them with entry
//! daemons in one process, over real sockets.

pub mod cluster;
pub mod executor;
pub mod http;
pub mod platform;

pub use cluster::{Cluster, ClusterConfig, Customer};
pub use executor::{ExecutorConfig, ExecutorStandIn};
pub use platform::PlatformStandIn;
