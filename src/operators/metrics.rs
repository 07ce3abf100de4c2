//! Metrics of one node.

use super::metric_sources::MetricSources;
use crate::http::record_ingress;
use cardamomslip_core::Status;
use metrics::{counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use std::sync::Arc;
use std::time::Duration;

/// Metrics of one node. Each node has its own recorder instead of the global one, so that several
/// nodes can run in one process. Clones share the recorder.
#[derive(Clone)]
pub struct NodeMetrics {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
}

impl std::fmt::Debug for NodeMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("NodeMetrics")
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        Self {
            recorder: Arc::new(recorder),
            handle,
        }
    }
}

impl NodeMetrics {
    /// Records the time from the receipt of a caller's request to its response.
    pub fn record_response(&self, latency: Duration) {
        with_local_recorder(&*self.recorder, || {
            histogram!("cardamomslip_response_seconds").record(latency);
        });
    }

    /// Updates the counters and gauges from a snapshot.
    #[allow(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    pub fn record_status(&self, status: &Status) {
        let counters = &status.counters;
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_jobs_accepted_total").absolute(counters.jobs_accepted);
            counter!("cardamomslip_jobs_complete_total").absolute(counters.jobs_complete);
            counter!("cardamomslip_jobs_failed_total").absolute(counters.jobs_failed);
            counter!("cardamomslip_starts_total").absolute(counters.starts);
            counter!("cardamomslip_starts_refused_total").absolute(counters.not_started);
            counter!("cardamomslip_starts_lost_total").absolute(counters.lost);
            counter!("cardamomslip_peer_messages_total").absolute(counters.messages_sent);
            counter!("cardamomslip_grants_total").absolute(counters.grants);
            counter!("cardamomslip_forwards_total").absolute(counters.forwards);
            counter!("cardamomslip_ejections_total").absolute(counters.ejections);
            gauge!("cardamomslip_open_jobs").set(status.open_jobs as f64);
            gauge!("cardamomslip_open_job_bytes").set(status.open_bytes as f64);
            gauge!("cardamomslip_waiting_tasks").set(status.waiting_tasks as f64);
            gauge!("cardamomslip_running_attempts").set(status.running_attempts as f64);
            gauge!("cardamomslip_peers").set(status.peers.len() as f64);
            gauge!("cardamomslip_usable_executors").set(status.usable_executors as f64);
            gauge!("cardamomslip_config_version").set(status.config_version as f64);
            gauge!("cardamomslip_ready").set(f64::from(u8::from(status.ready)));
            gauge!("cardamomslip_expected_wait_seconds").set(status.expected_wait.as_secs_f64());
        });
    }

    /// Updates the metrics that are read from other parts of the daemon.
    #[allow(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    pub fn record_sources(&self, sources: &MetricSources) {
        with_local_recorder(&*self.recorder, || {
            record_ingress("callers", &sources.ingress.stats());
            sources.peers.handshake_stats().record();
            gauge!("cardamomslip_blocking_calls").set(sources.blocking.calls() as f64);
        });
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
