//! Metrics of what clients hold, for the recorder that is in use.

use super::ingress_table::IngressStats;
use metrics::{counter, gauge};

/// Sets what the clients of a listener hold, and how many were closed or refused.
#[allow(clippy::cast_precision_loss, reason = "the limits are far below 2^52")]
pub(crate) fn record_ingress(listener: &'static str, stats: &IngressStats) {
    let refused = [
        ("connections", stats.refused_connections),
        ("bytes", stats.refused_requests),
    ];
    let closed = [
        ("connections", stats.closed_for_connections),
        ("bytes", stats.closed_for_bytes),
        ("head_timeout", stats.closed_by_head_timeout),
        ("idle_timeout", stats.closed_by_idle_timeout),
    ];
    gauge!("cardamomslip_ingress_connections", "listener" => listener)
        .set(stats.connections as f64);
    gauge!("cardamomslip_ingress_bytes", "listener" => listener).set(stats.bytes as f64);
    for (reason, count) in refused {
        counter!("cardamomslip_ingress_refused_total", "listener" => listener, "reason" => reason)
            .absolute(count);
    }
    for (reason, count) in closed {
        counter!("cardamomslip_ingress_closed_total", "listener" => listener, "reason" => reason)
            .absolute(count);
    }
}
