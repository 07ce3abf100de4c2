//! The HTTP server, over a library.

mod exchange;
mod server;

pub use exchange::{Exchange, Reply};
pub use server::{HttpConfig, HttpServer};
