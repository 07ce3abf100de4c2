//! HTTP server and client connection pool, built on `hyper`.

mod body;
mod client_key;
mod exchange;
mod ingress;
mod ingress_budget;
mod ingress_limits;
mod ingress_metrics;
mod ingress_stream;
mod ingress_table;
mod observed;
mod pool;
mod read_horizon;
mod server;

pub(crate) use client_key::client_key;
pub use exchange::{Exchange, Reply};
pub use ingress::{Ingress, NoRoom};
pub use ingress_budget::{Candidate, Decision, Demand, Rank, Stage, decide};
pub use ingress_limits::{IngressLimits, NamedLimits};
pub(crate) use ingress_metrics::record_ingress;
pub use ingress_table::{CloseReason, IngressStats, IngressTable};
pub use pool::{Connection, OpenedConnections, Pool, PoolError, PooledResponse};
pub use read_horizon::ReadHorizon;
pub use server::{HttpConfig, HttpServer};
