//! The operators' resources.
//!
//! | request | meaning |
//! |---|---|
//! | `GET status` | snapshot of this VM |
//! | `GET config` | the configuration in force here |
//! | `PUT config` | replace it: `{base, why, preset, presets, customers}` |
//! | `POST preset` | put a preset in force: `{base, why, name}` |
//! | `GET audit` | all accepted changes |
//! | `GET usage` | slot time per customer |
//! | `POST drain` | stop a VM gracefully: `{vm}` |

use super::metrics::NodeMetrics;
use super::status::StatusReport;
use crate::callers::{Problem, Responder};
use crate::config_wire::{ConfigurationWire, CustomerWire, PresetWire};
use crate::input::{Input, InputSender};
use crate::names::vm_id;
use crate::platform::{PlatformError, PlatformLink, UsageLineWire, UsageWire};
use cardamomslip_core::ChangeResult;
use cardamomslip_core::model::configuration::{Change, ChangeRequest, Configuration};
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time within which the node answers a request for its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// A replacement of the configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceBody {
    base: u64,
    why: Arc<str>,
    preset: Arc<str>,
    presets: Vec<PresetWire>,
    customers: Vec<CustomerWire>,
}

/// A change of the preset in force.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PresetBody {
    base: u64,
    why: Arc<str>,
    name: Arc<str>,
}

/// A request to stop a VM.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    vm: String,
}

/// The usage of all incarnations.
#[derive(Debug, Serialize)]
struct UsageAnswer {
    /// Sums per customer.
    customers: Vec<UsageLineWire>,
    /// Incarnations that reported and did not stop gracefully: the running ones, and dead ones
    /// of which the last seconds may be missing.
    open_incarnations: usize,
    /// Incarnations that stopped gracefully.
    closed_incarnations: usize,
}

/// The operators' resources. Clones share everything.
#[derive(Clone, Debug)]
pub struct OperatorApi {
    tx: InputSender,
    platform: PlatformLink,
    config: Arc<RwLock<Option<Arc<Configuration>>>>,
    metrics: NodeMetrics,
}

impl OperatorApi {
    /// Builds the resources.
    #[must_use]
    pub fn new(tx: InputSender, platform: PlatformLink, metrics: NodeMetrics) -> Self {
        Self {
            tx,
            platform,
            config: Arc::default(),
            metrics,
        }
    }

    /// Takes in a newer configuration.
    pub fn take_configuration(&self, config: &Arc<Configuration>) {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(config));
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Renders the metrics after the node updated them.
    #[must_use]
    pub fn metrics(&self) -> String {
        // The node records its metrics whenever it is asked for its status.
        drop(self.status());
        self.metrics.render()
    }

    fn status(&self) -> Option<StatusReport> {
        let (tx, rx) = std::sync::mpsc::channel();
        self.tx.send(Input::Status(tx));
        rx.recv_timeout(STATUS_TIMEOUT).ok()
    }

    /// Serves a request of the operator `who` for a resource below `prefix`. May block.
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
            (Method::PUT, "config") => self.replace(responder, &body, who),
            (Method::POST, "preset") => self.apply_preset(responder, &body, who),
            (Method::POST, "drain") => self.drain(responder, &body),
            _ => responder.close_problem(&Problem::new(404, "no_such_resource", None)),
        }
    }

    fn get_status(&self, responder: Responder) {
        match self.status() {
            Some(report) => responder.close_json(200, &report),
            None => responder.close_problem(&Problem::new(503, "node_busy", None)),
        }
    }

    fn get_config(&self, responder: Responder) {
        match self.configuration() {
            Some(config) => responder.close_json(200, &ConfigurationWire::from(&*config)),
            None => responder.close_problem(&Problem::new(404, "no_configuration", None)),
        }
    }

    fn get_audit(&self, responder: Responder) {
        match self.platform.audit() {
            Ok(records) => responder.close_json(200, &records),
            Err(e) => responder.close_problem(&unavailable(&e)),
        }
    }

    fn get_usage(&self, responder: Responder) {
        match self.platform.usage() {
            Ok(reports) => responder.close_json(200, &sum_usage(&reports)),
            Err(e) => responder.close_problem(&unavailable(&e)),
        }
    }

    fn replace(&self, responder: Responder, body: &str, who: &Arc<str>) {
        let Some((responder, body)) = parse::<ReplaceBody>(responder, body) else {
            return;
        };
        let change = Change::Replace {
            preset: body.preset,
            presets: body.presets.into_iter().map(Into::into).collect(),
            customers: body.customers.into_iter().map(Into::into).collect(),
        };
        self.change(responder, (body.base, body.why), who, change);
    }

    fn apply_preset(&self, responder: Responder, body: &str, who: &Arc<str>) {
        if let Some((responder, body)) = parse::<PresetBody>(responder, body) {
            let change = Change::ApplyPreset(body.name);
            self.change(responder, (body.base, body.why), who, change);
        }
    }

    fn change(
        &self,
        responder: Responder,
        (base, why): (u64, Arc<str>),
        who: &Arc<str>,
        change: Change,
    ) {
        if why.trim().is_empty() {
            let detail = "why: a reason is needed for the audit trail".to_owned();
            responder.close_problem(&Problem::new(422, "invalid_change", detail));
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
        if let Some((responder, body)) = parse::<DrainBody>(responder, body) {
            self.tx.send(Input::Drain(responder, vm_id(&body.vm)));
        }
    }
}

/// Answers an operator's change.
pub fn respond_change(responder: Responder, result: &ChangeResult) {
    match result {
        ChangeResult::Applied(config) => {
            responder.close_json(200, &ConfigurationWire::from(&**config));
        }
        ChangeResult::Conflict(winner) => {
            let detail = describe_winner(winner.as_deref());
            responder.close_problem(&Problem::new(409, "version_conflict", detail));
        }
        ChangeResult::Invalid(e) => {
            responder.close_problem(&Problem::new(422, "invalid_change", e.to_string()));
        }
        ChangeResult::Refused(refusal) => responder.close_problem(&Problem::from(*refusal)),
    }
}

fn describe_winner(winner: Option<&Configuration>) -> String {
    let Some(config) = winner else {
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

/// Answers an operator's request to stop a VM.
pub fn respond_drain(responder: Responder, found: bool) {
    if found {
        responder.close_json(202, &serde_json::json!({"status": "draining"}));
    } else {
        let detail = "the VM is neither this one nor connected to it".to_owned();
        responder.close_problem(&Problem::new(404, "no_such_vm", detail));
    }
}

fn parse<T: DeserializeOwned>(responder: Responder, body: &str) -> Option<(Responder, T)> {
    match serde_json::from_str(body) {
        Ok(body) => Some((responder, body)),
        Err(e) => {
            responder.close_problem(&Problem::new(400, "invalid_body", e.to_string()));
            None
        }
    }
}

fn unavailable(e: &PlatformError) -> Problem {
    Problem::new(503, "platform_unavailable", e.to_string())
}

fn sum_usage(reports: &[UsageWire]) -> UsageAnswer {
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
    UsageAnswer {
        customers: sums.into_values().collect(),
        open_incarnations: reports.len() - closed_incarnations,
        closed_incarnations,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
