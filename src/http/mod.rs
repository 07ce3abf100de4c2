//! The HTTP server and connections of HTTP clients, over a library.

mod exchange;
mod pool;
mod server;

pub use exchange::{Exchange, Reply};
pub use pool::{Pool, PoolError, PooledResponse};
pub use server::{HttpConfig, HttpServer};
