//! HTTP API for callers, with JSON bodies.

mod auth;
mod body;
mod problem;
mod responder;
mod service;

pub use auth::{AuthTable, Principal};
pub use body::{JobBody, MAX_KEY_LEN};
pub use problem::Problem;
pub use responder::Responder;
pub use service::CallerService;
