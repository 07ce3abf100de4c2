//! Executors over HTTP.

use super::ExecutorClient;
use super::wire::{AbortBody, EndBody, EndStatus, RefusalCause, StartBody};
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::ids::{AttemptId, ExecutorId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::request::{NotStarted, StartOrder, StartReply};
use cardamomslip_core::model::vm_list::VmList;
use serde_json::value::RawValue;
use std::io::ErrorKind;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use ureq::{Agent, Error, Timeout};

/// Longest result that is read, in bytes.
const MAX_RESULT: u64 = 8 * 1024 * 1024;
/// Time within which an abort is answered.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// An executor's address and the connections to it.
#[derive(Clone, Debug)]
struct Row {
    address: Arc<str>,
    agent: Agent,
}

/// Executors over HTTP. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpExecutors {
    me: Incarnation,
    idle_age: Duration,
    connect_timeout: Duration,
    rows: Arc<RwLock<FastMap<ExecutorId, Row>>>,
}

impl HttpExecutors {
    /// Builds a client without executors. A connection that was idle for `idle_age` is not used
    /// again, since a start on a dead one would have an ambiguous outcome.
    #[must_use]
    pub fn new(me: Incarnation, idle_age: Duration, connect_timeout: Duration) -> Self {
        Self {
            me,
            idle_age,
            connect_timeout,
            rows: Arc::default(),
        }
    }

    /// Takes in the addresses of a newer VM list.
    pub fn take_list(&self, list: &VmList) {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        rows.retain(|id, _| list.executors.iter().any(|vm| vm.id == *id));
        for vm in &list.executors {
            let known = rows
                .get(&vm.id)
                .is_some_and(|row| row.address == vm.address);
            if !known {
                let row = Row {
                    address: Arc::clone(&vm.address),
                    agent: self.agent(vm.slots),
                };
                rows.insert(vm.id, row);
            }
        }
    }

    fn agent(&self, slots: u16) -> Agent {
        Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(self.connect_timeout))
            .max_idle_connections_per_host(usize::from(slots))
            .max_idle_age(self.idle_age)
            .build()
            .into()
    }

    fn row(&self, executor: ExecutorId) -> Option<Row> {
        let rows = self.rows.read().unwrap_or_else(PoisonError::into_inner);
        rows.get(&executor).cloned()
    }

    /// Drops the idle connections to an executor after one of them was silent.
    fn drop_connections(&self, executor: ExecutorId) {
        let mut rows = self.rows.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(row) = rows.get_mut(&executor) {
            row.agent = self.agent(u16::MAX);
        }
    }

    fn attempt_name(&self, attempt: AttemptId) -> String {
        format!("{}/{}", self.me, attempt.0)
    }

    fn call(&self, row: &Row, body: &StartBody<'_>, timeout: Duration) -> Result<EndBody, Error> {
        let url = format!("http://{}/v1/start", row.address);
        let req = row
            .agent
            .post(url)
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = req.send_json(body)?;
        response
            .body_mut()
            .with_config()
            .limit(MAX_RESULT)
            .read_json()
    }
}

impl ExecutorClient for HttpExecutors {
    fn start(&self, order: &StartOrder, customer: &str) -> StartReply {
        let Some(row) = self.row(order.executor) else {
            return StartReply::NotStarted(NotStarted::Unreachable);
        };
        let Ok(payload) = RawValue::from_string(order.task.payload.to_string()) else {
            // The body was JSON when it was taken in; a text that is not can't be sent.
            return StartReply::Failed {
                slot_time: Duration::ZERO,
                aborted: false,
            };
        };
        let body = StartBody {
            job: order.job.to_string(),
            index: order.index,
            attempt: self.attempt_name(order.attempt),
            customer,
            kind: &order.task.kind,
            slots: order.task.slots,
            timeout_ms: u64::try_from(order.timeout.as_millis()).unwrap_or(u64::MAX),
            payload: &payload,
        };
        let reply = match self.call(&row, &body, order.timeout) {
            Ok(end) => reply_of(&end, &body),
            Err(e) if is_unsent(&e) => StartReply::NotStarted(NotStarted::Unreachable),
            Err(e) => {
                tracing::warn!(executor = %order.executor, error = %e, "outcome of a start is lost");
                StartReply::Lost
            }
        };
        if reply == StartReply::Lost {
            self.drop_connections(order.executor);
        }
        reply
    }

    fn abort(&self, attempt: AttemptId, executor: ExecutorId) {
        let Some(row) = self.row(executor) else {
            return;
        };
        let url = format!("http://{}/v1/abort", row.address);
        let req = row
            .agent
            .post(url)
            .config()
            .timeout_global(Some(ABORT_TIMEOUT))
            .build();
        let body = AbortBody {
            attempt: self.attempt_name(attempt),
        };
        if let Err(e) = req.send_json(&body) {
            tracing::debug!(%executor, error = %e, "abort not delivered");
        }
    }
}

/// Converts the end of an attempt. One that does not name the attempt belongs to another request:
/// what became of this one is not known.
fn reply_of(end: &EndBody, body: &StartBody<'_>) -> StartReply {
    if end.status == EndStatus::NotStarted {
        return StartReply::NotStarted(match end.reason {
            Some(RefusalCause::Leaving) => NotStarted::Leaving,
            Some(RefusalCause::Busy | RefusalCause::Other) | None => NotStarted::Busy,
        });
    }
    if !end.answers(body) {
        tracing::error!(job = body.job, "an executor answered another request");
        return StartReply::Lost;
    }
    match (end.status, &end.result) {
        (EndStatus::Done, Some(result)) => StartReply::Done {
            result: result.get().into(),
            slot_time: end.slot_time(),
        },
        (EndStatus::Done, None) => StartReply::Done {
            result: "null".into(),
            slot_time: end.slot_time(),
        },
        (EndStatus::Aborted, _) => StartReply::Failed {
            slot_time: end.slot_time(),
            aborted: true,
        },
        (EndStatus::Failed | EndStatus::NotStarted, _) => StartReply::Failed {
            slot_time: end.slot_time(),
            aborted: false,
        },
    }
}

/// Tells whether an error proves that nothing was sent.
fn is_unsent(e: &Error) -> bool {
    match e {
        Error::HostNotFound | Error::ConnectionFailed | Error::BadUri(_) => true,
        Error::Timeout(timeout) => matches!(timeout, Timeout::Connect | Timeout::Resolve),
        Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}
