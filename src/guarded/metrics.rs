//! Prometheus metrics of the dispatcher.

use crate::http::{IngressStats, OpenedConnections, record_ingress};
use crate::peers::HandshakeStats;
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::{QueueShare, Stats, WaitObservation};
use metrics::{counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the buckets of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0];

/// Maximum number of queues with metrics of their own in the life of a process. The names of queues may
/// change daily.
const MAX_QUEUE_LABELS: usize = 128;

/// Name of the histogram of forecast minus actual wait.
const FORECAST_ERROR: &str = "cardamomslip_forecast_error_seconds";
/// Upper bounds of its buckets, in seconds. Below zero, jobs waited longer than forecast.
const FORECAST_ERROR_BUCKETS: [f64; 9] = [-1.0, -0.5, -0.2, -0.05, 0.0, 0.05, 0.2, 0.5, 1.0];

/// Metrics of one dispatcher. Clones share the recorder.
#[derive(Clone)]
pub struct DispatcherMetrics {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
    /// Queues that have metrics of their own.
    queues: Arc<Mutex<BTreeSet<Arc<str>>>>,
}

impl std::fmt::Debug for DispatcherMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DispatcherMetrics")
    }
}

impl Default for DispatcherMetrics {
    fn default() -> Self {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
        let builder = builder.and_then(|builder| {
            let name = Matcher::Full(FORECAST_ERROR.to_owned());
            builder.set_buckets_for_metric(name, &FORECAST_ERROR_BUCKETS)
        });
        let recorder = builder
            .expect("the lists of buckets are not empty")
            .build_recorder();
        let handle = recorder.handle();
        Self {
            recorder: Arc::new(recorder),
            handle,
            queues: Arc::default(),
        }
    }
}

impl DispatcherMetrics {
    /// Records an answer and the time since the submission of its job.
    pub fn record_answer(&self, answer: Answer, latency: Duration) {
        let (outcome, cause) = match answer {
            Answer::Completed => ("completed", ""),
            Answer::Failed => ("failed", ""),
            Answer::Cancelled => ("cancelled", ""),
            Answer::Refused { cause, .. } => ("refused", cause.name()),
            Answer::Lost(cause) => ("lost", cause.name()),
        };
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_answers_total", "outcome" => outcome, "cause" => cause)
                .increment(1);
            histogram!("cardamomslip_answer_seconds", "outcome" => outcome).record(latency);
        });
    }

    /// Sets all counters and gauges that come from the dispatcher's statistics.
    #[allow(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    pub fn record_stats(&self, stats: &Stats) {
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_submitted_total").absolute(stats.submitted);
            counter!("cardamomslip_abandoned_total").absolute(stats.abandoned);
            counter!("cardamomslip_cancels_total").absolute(stats.cancels);
            for (outcome, count) in [
                ("cancelled", stats.cancels_found),
                ("unknown", stats.cancels_unknown),
                ("incomplete", stats.cancels_incomplete),
            ] {
                counter!("cardamomslip_cancels_answered_total", "outcome" => outcome)
                    .absolute(count);
            }
            gauge!("cardamomslip_open_cancels").set(stats.open_cancels as f64);
            gauge!("cardamomslip_cancel_marks").set(stats.cancel_marks as f64);
            counter!("cardamomslip_cancels_passed_on_total").absolute(stats.cancels_passed_on);
            counter!("cardamomslip_cancels_over_limit_total").absolute(stats.cancels_over_limit);
            counter!("cardamomslip_placed_remote_total").absolute(stats.placed_remote);
            counter!("cardamomslip_starts_total").absolute(stats.starts);
            counter!("cardamomslip_starts_refused_total").absolute(stats.starts_refused);
            counter!("cardamomslip_orders_silent_total").absolute(stats.unanswered_requests);
            counter!("cardamomslip_starts_unanswered_total").absolute(stats.starts_unanswered);
            counter!("cardamomslip_jobs_held_by_start_total").absolute(stats.jobs_held_by_start);
            gauge!("cardamomslip_starts_in_flight").set(stats.starts_in_flight as f64);
            counter!("cardamomslip_stops_total").absolute(stats.stops);
            counter!("cardamomslip_stops_refused_total").absolute(stats.stops_refused);
            counter!("cardamomslip_stops_overdue_total").absolute(stats.stops_overdue);
            counter!("cardamomslip_leases_withheld_total").absolute(stats.leases_withheld);
            counter!("cardamomslip_leases_in_doubt_total").absolute(stats.leases_in_doubt);
            counter!("cardamomslip_looks_total").absolute(stats.polls);
            counter!("cardamomslip_takeovers_total").absolute(stats.acquisitions);
            counter!("cardamomslip_lapses_total").absolute(stats.expired_leases);
            counter!("cardamomslip_ejections_total").absolute(stats.ejections);
            counter!("cardamomslip_workers_lost_total").absolute(stats.lost_workers);
            counter!("cardamomslip_jobs_given_up_total").absolute(stats.given_up);
            counter!("cardamomslip_jobs_set_aside_total").absolute(stats.set_aside);
            counter!("cardamomslip_containments_total").absolute(stats.containments);
            gauge!("cardamomslip_contained_queues").set(stats.contained_queues as f64);
            counter!("cardamomslip_jobs_put_first_by_shares_total")
                .absolute(stats.put_first_by_shares);
            counter!("cardamomslip_jobs_held_back_by_shares_total")
                .absolute(stats.held_back_by_shares);
            counter!("cardamomslip_evacuation_changes_total").absolute(stats.evacuation_changes);
            gauge!("cardamomslip_evacuated_data_centres").set(stats.evacuated_data_centres as f64);
            gauge!("cardamomslip_suspects").set(stats.suspects as f64);
            gauge!("cardamomslip_linked_peers").set(stats.linked_peers as f64);
            gauge!("cardamomslip_relays").set(stats.relays as f64);
            gauge!("cardamomslip_held_cells").set(stats.held_cells as f64);
            gauge!("cardamomslip_registered_workers").set(stats.registered_workers as f64);
            gauge!("cardamomslip_worker_rows").set(stats.worker_rows as f64);
            gauge!("cardamomslip_oldest_remote_load_seconds")
                .set(stats.oldest_remote_load.as_secs_f64());
            gauge!("cardamomslip_held_workers").set(stats.held_workers as f64);
            gauge!("cardamomslip_waiting_tasks").set(stats.waiting_tasks as f64);
            gauge!("cardamomslip_running").set(stats.running as f64);
        });
    }

    /// Sets the gauges of what the queues use and of their shares. Queues that are no longer reported get
    /// 0.
    #[allow(
        clippy::cast_precision_loss,
        reason = "gauges are floating-point numbers"
    )]
    pub fn record_queue_shares(&self, rows: &[QueueShare]) {
        let mut known = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let cores = |milli: u64| milli as f64 / 1e3;
        with_local_recorder(&*self.recorder, || {
            let reported: BTreeSet<_> = rows.iter().map(|row| &row.name).collect();
            for name in known.iter().filter(|name| !reported.contains(name)) {
                set_queue_share(name, 0.0, 0.0);
            }
            for row in rows {
                if known.contains(&row.name) || known.len() < MAX_QUEUE_LABELS {
                    known.insert(Arc::clone(&row.name));
                    set_queue_share(&row.name, cores(row.in_use_milli), cores(row.share_milli));
                }
            }
        });
    }

    /// Records how much longer or shorter than forecast a job of a queue waited.
    pub fn record_wait(&self, queue: &Arc<str>, observation: &WaitObservation) {
        let mut known = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(queue) && known.len() >= MAX_QUEUE_LABELS {
            return;
        }
        known.insert(Arc::clone(queue));
        let error = observation.forecast.as_secs_f64() - observation.actual.as_secs_f64();
        with_local_recorder(&*self.recorder, || {
            histogram!(FORECAST_ERROR, "queue" => queue.to_string()).record(error);
        });
    }

    /// Sets the number of connections opened to servers of a kind.
    pub fn record_opened(&self, server: &'static str, opened: &OpenedConnections) {
        let reasons = [
            ("none_idle", opened.none_idle()),
            ("siblings_distrusted", opened.distrusted()),
        ];
        with_local_recorder(&*self.recorder, || {
            for (reason, count) in reasons {
                counter!("cardamomslip_connections_opened_total",
                    "server" => server, "reason" => reason)
                .absolute(count);
            }
        });
    }

    /// Sets what the clients of a listener hold, and how many were closed or refused.
    pub fn record_ingress(&self, listener: &'static str, stats: &IngressStats) {
        with_local_recorder(&*self.recorder, || record_ingress(listener, stats));
    }

    /// Sets the numbers of connections that haven't proved to come from a peer.
    pub fn record_handshakes(&self, stats: &HandshakeStats) {
        with_local_recorder(&*self.recorder, || stats.record());
    }

    /// Sets how often the time that a client asked to be waited for was cut.
    pub fn record_waits_cut(&self, count: u64) {
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_waits_cut_total").absolute(count);
        });
    }

    /// Counts an entry of the store that can't be used, once for each revision of it.
    pub fn record_invalid_entry(&self, kind: &'static str) {
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_invalid_entries_total", "kind" => kind).increment(1);
        });
    }

    /// Sets the total number of dropped log lines.
    pub fn record_dropped_log_lines(&self, lines: u64) {
        with_local_recorder(&*self.recorder, || {
            counter!("cardamomslip_log_lines_left_out_total").absolute(lines);
        });
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

fn set_queue_share(queue: &Arc<str>, in_use: f64, share: f64) {
    gauge!("cardamomslip_queue_cores_in_use", "queue" => Arc::clone(queue)).set(in_use);
    gauge!("cardamomslip_queue_share_cores", "queue" => Arc::clone(queue)).set(share);
}
