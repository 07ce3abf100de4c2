//! HTTP server and client connection pool, built on `hyper`.

mod exchange;
mod observed;
mod pool;
mod server;

pub use exchange::{Exchange, Reply};
pub use pool::{Connection, OpenedConnections, Pool, PoolError, PooledResponse};
pub use server::{HttpConfig, HttpServer};
