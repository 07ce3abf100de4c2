//! HTTP API for operators.
//!
//! | request | effect | body |
//! |---|---|---|
//! | `GET status` | returns a snapshot of this VM | |
//! | `GET config` | returns the configuration that this VM uses | |
//! | `PUT config` | replaces the configuration | `{base, why, preset, presets, customers}` |
//! | `POST preset` | activates a preset | `{base, why, name}` |
//! | `GET audit` | returns all accepted changes, in order of versions | |
//! | `GET usage` | returns the slot time per customer | |
//! | `POST drain` | stops a VM gracefully | `{vm}` |
//!
//! `base` is the version that the change is based on, 0 if there is no configuration yet; `why` is
//! the reason for the audit trail and must not be empty; `vm` is the name of an entry VM.

use super::metric_sources::MetricSources;
use super::metrics::NodeMetrics;
use super::status::StatusReport;
use crate::callers::{Problem, Responder};
use crate::config_wire::{ConfigurationWire, CustomerWire, PresetWire};
use crate::input::{Input, InputSender};
use crate::names::vm_id;
use crate::platform::{PlatformAdapter, PlatformError, UsageLineWire, UsageWire};
use cardamomslip_core::ChangeResult;
use cardamomslip_core::model::configuration::{Change, ChangeRequest, Configuration};
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time limit for the node to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of `PUT config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceBody {
    base: u64,
    why: Arc<str>,
    preset: Arc<str>,
    presets: Vec<PresetWire>,
    customers: Vec<CustomerWire>,
}

/// Body of `POST preset`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PresetBody {
    base: u64,
    why: Arc<str>,
    name: Arc<str>,
}

/// Body of `POST drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    vm: String,
}

/// Response to `GET usage`: the usage summed over all incarnations.
#[derive(Debug, Serialize)]
struct UsageResponse {
    /// Sums per customer, sorted by name.
    customers: Vec<UsageLineWire>,
    /// Number of incarnations with a report that did not stop gracefully: running ones, and ones
    /// that crashed, whose usage in the last seconds before the crash may be missing.
    open_incarnations: usize,
    /// Number of incarnations that stopped gracefully; their usage is complete.
    closed_incarnations: usize,
}

/// The HTTP API for operators. Clones share their state.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    tx: InputSender,
    platform: PlatformAdapter,
    config: Arc<RwLock<Option<Arc<Configuration>>>>,
    metrics: NodeMetrics,
    sources: MetricSources,
}

impl OperatorApi {
    /// Creates the API without a configuration.
    #[must_use]
    pub fn new(
        tx: InputSender,
        platform: PlatformAdapter,
        metrics: NodeMetrics,
        sources: MetricSources,
    ) -> Self {
        Self {
            tx,
            platform,
            config: Arc::default(),
            metrics,
            sources,
        }
    }

    /// Replaces the configuration that `GET config` returns.
    pub fn apply_configuration(&self, config: &Arc<Configuration>) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(config));
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Renders the metrics after the node has updated them. Blocks.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        // The node updates its metrics whenever it reports its status.
        drop(self.query_status());
        self.metrics.record_sources(&self.sources);
        self.metrics.render()
    }

    fn query_status(&self) -> Option<StatusReport> {
        let (tx, rx) = std::sync::mpsc::channel();
        self.tx.send(Input::Status(tx));
        rx.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Serves a request of the operator `who` for a resource below `prefix`. Blocks while it waits
    /// for the node or the platform.
    pub fn serve(&self, responder: Responder, prefix: &str, who: &Arc<str>) {
        let exchange = responder.exchange();
        let resource = exchange
            .path()
            .strip_prefix(prefix)
            .unwrap_or_default()
            .to_owned();
        let body = exchange.body().unwrap_or_default().to_owned();
        match (exchange.method().clone(), resource.as_str()) {
            (Method::GET, "status") => self.get_status(responder),
            (Method::GET, "config") => self.get_config(responder),
            (Method::GET, "audit") => self.get_audit(responder),
            (Method::GET, "usage") => self.get_usage(responder),
            (Method::PUT, "config") => self.replace_config(responder, &body, who),
            (Method::POST, "preset") => self.apply_preset(responder, &body, who),
            (Method::POST, "drain") => self.drain(responder, &body),
            _ => responder.respond_problem(&Problem::new(404, "no_such_resource", None)),
        }
    }

    fn get_status(&self, responder: Responder) {
        match self.query_status() {
            Some(report) => responder.respond_json(200, &report),
            None => responder.respond_problem(&Problem::new(503, "node_busy", None)),
        }
    }

    fn get_config(&self, responder: Responder) {
        match self.configuration() {
            Some(config) => responder.respond_json(200, &ConfigurationWire::from(&*config)),
            None => responder.respond_problem(&Problem::new(404, "no_configuration", None)),
        }
    }

    fn get_audit(&self, responder: Responder) {
        match self.platform.read_audit() {
            Ok(records) => responder.respond_json(200, &records),
            Err(e) => responder.respond_problem(&platform_problem(&e)),
        }
    }

    fn get_usage(&self, responder: Responder) {
        match self.platform.read_usage() {
            Ok(reports) => responder.respond_json(200, &sum_usage(&reports)),
            Err(e) => responder.respond_problem(&platform_problem(&e)),
        }
    }

    fn replace_config(&self, responder: Responder, body: &str, who: &Arc<str>) {
        let Some((responder, body)) = parse_body::<ReplaceBody>(responder, body) else {
            return;
        };
        let change = Change::Replace {
            preset: body.preset,
            presets: body.presets.into_iter().map(Into::into).collect(),
            customers: body.customers.into_iter().map(Into::into).collect(),
        };
        self.submit_change(responder, (body.base, body.why), who, change);
    }

    fn apply_preset(&self, responder: Responder, body: &str, who: &Arc<str>) {
        if let Some((responder, body)) = parse_body::<PresetBody>(responder, body) {
            let change = Change::ApplyPreset(body.name);
            self.submit_change(responder, (body.base, body.why), who, change);
        }
    }

    fn submit_change(
        &self,
        responder: Responder,
        (base, why): (u64, Arc<str>),
        who: &Arc<str>,
        change: Change,
    ) {
        if why.trim().is_empty() {
            let detail = "why: a reason is needed for the audit trail".to_owned();
            responder.respond_problem(&Problem::new(422, "invalid_change", detail));
            return;
        }
        let req = ChangeRequest {
            base,
            who: Arc::clone(who),
            why,
            when_ms: unix_ms(),
            change,
        };
        self.tx.send(Input::Change(responder, req));
    }

    fn drain(&self, responder: Responder, body: &str) {
        if let Some((responder, body)) = parse_body::<DrainBody>(responder, body) {
            self.tx.send(Input::Drain(responder, vm_id(&body.vm)));
        }
    }
}

/// Responds to an operator's change request: 200 with the new configuration, or a problem.
pub fn respond_change(responder: Responder, result: &ChangeResult) {
    match result {
        ChangeResult::Applied(config) => {
            responder.respond_json(200, &ConfigurationWire::from(&**config));
        }
        ChangeResult::Conflict(current) => {
            let detail = describe_conflict(current.as_deref());
            responder.respond_problem(&Problem::new(409, "version_conflict", detail));
        }
        ChangeResult::Invalid(e) => {
            responder.respond_problem(&Problem::new(422, "invalid_change", e.to_string()));
        }
        ChangeResult::Refused(refusal) => responder.respond_problem(&Problem::from(*refusal)),
    }
}

fn describe_conflict(current: Option<&Configuration>) -> String {
    let Some(config) = current else {
        return "there is no configuration yet; its first version is based on 0".to_owned();
    };
    let change = config
        .last_change()
        .map(|change| format!(", by {}: {} ({})", change.who, change.what, change.why));
    format!(
        "version {} is in force{}",
        config.version,
        change.unwrap_or_default()
    )
}

/// Responds to an operator's drain request: 202 if the VM was told to stop, 404 if it is
/// neither this one nor a connected peer.
pub fn respond_drain(responder: Responder, found: bool) {
    if found {
        responder.respond_json(202, &serde_json::json!({"status": "draining"}));
    } else {
        let detail = "the VM is neither this one nor connected to it".to_owned();
        responder.respond_problem(&Problem::new(404, "no_such_vm", detail));
    }
}

fn parse_body<T: DeserializeOwned>(responder: Responder, body: &str) -> Option<(Responder, T)> {
    match serde_json::from_str(body) {
        Ok(body) => Some((responder, body)),
        Err(e) => {
            responder.respond_problem(&Problem::new(400, "invalid_body", e.to_string()));
            None
        }
    }
}

fn platform_problem(e: &PlatformError) -> Problem {
    Problem::new(503, "platform_unavailable", e.to_string())
}

fn sum_usage(reports: &[UsageWire]) -> UsageResponse {
    let mut sums: BTreeMap<String, UsageLineWire> = BTreeMap::new();
    for line in reports.iter().flat_map(|report| report.lines.iter()) {
        let sum = sums
            .entry(line.customer.clone())
            .or_insert_with(|| UsageLineWire {
                customer: line.customer.clone(),
                settled_us: 0,
                unsettled_us: 0,
                tasks: 0,
            });
        sum.settled_us += line.settled_us;
        sum.unsettled_us += line.unsettled_us;
        sum.tasks += line.tasks;
    }
    let closed_incarnations = reports.iter().filter(|report| report.closed).count();
    UsageResponse {
        customers: sums.into_values().collect(),
        open_incarnations: reports.len() - closed_incarnations,
        closed_incarnations,
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
