//! HTTP API for operators, and metrics.

mod api;
mod metrics;
mod status;

pub use api::{OperatorApi, respond_change, respond_drain};
pub use metrics::NodeMetrics;
pub use status::{ExecutorStatus, StatusReport};
