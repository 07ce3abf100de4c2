//! HTTP API for operators, and metrics.

mod api;
mod metric_sources;
mod metrics;
mod status;

pub use api::{OperatorApi, respond_change, respond_drain};
pub use metric_sources::MetricSources;
pub use metrics::NodeMetrics;
pub use status::{ExecutorStatus, StatusReport};
