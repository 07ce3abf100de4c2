//! Client of executors over HTTP.

use super::ExecutorClient;
use super::wire::{AbortBody, AttemptStatus, NotStartedReason, StartBody, StartResponseBody};
use crate::http::{Pool, PoolError};
use crate::time_limit::timeout_after_reading;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::ids::{AttemptId, ExecutorId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::request::{NotStarted, StartReply, StartRequest};
use cardamomslip_core::model::vm_list::VmList;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HOST};
use serde::Serialize;
use serde_json::value::RawValue;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of an abort request.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of executors over HTTP, with a connection pool per executor. Clones share the pools.
#[derive(Clone, Debug)]
pub struct HttpExecutors {
    me: Incarnation,
    idle_timeout: Duration,
    connect_timeout: Duration,
    pools: Arc<RwLock<FastMap<ExecutorId, Pool>>>,
}

impl HttpExecutors {
    /// Creates a client without executors. A connection that was idle for `idle_timeout` is not
    /// reused.
    #[must_use]
    pub fn new(me: Incarnation, idle_timeout: Duration, connect_timeout: Duration) -> Self {
        Self {
            me,
            idle_timeout,
            connect_timeout,
            pools: Arc::default(),
        }
    }

    /// Applies a newer VM list: drops the pools of executors that are no longer listed, and
    /// replaces those whose address changed.
    pub fn apply_vm_list(&self, list: &VmList) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|id, _| list.executors.iter().any(|vm| vm.id == *id));
        for vm in &list.executors {
            let known = pools
                .get(&vm.id)
                .is_some_and(|pool| pool.address() == &*vm.address);
            if !known {
                let address = Arc::clone(&vm.address);
                let pool = Pool::new(address, self.idle_timeout, self.connect_timeout);
                pools.insert(vm.id, pool);
            }
        }
    }

    fn pool(&self, executor: ExecutorId) -> Option<Pool> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(&executor).cloned()
    }

    fn attempt_id(&self, attempt: AttemptId) -> String {
        format!("{}/{}", self.me, attempt.0)
    }
}

impl ExecutorClient for HttpExecutors {
    async fn start(&self, req: &StartRequest, customer: &str) -> StartReply {
        let Some(pool) = self.pool(req.executor) else {
            return StartReply::NotStarted(NotStarted::Unreachable);
        };
        let Ok(payload) = serde_json::from_str::<&RawValue>(&req.task.payload) else {
            // Not expected, because submission accepts JSON payloads only.
            return StartReply::Failed {
                slot_time: Duration::ZERO,
                aborted: false,
            };
        };
        let body = StartBody {
            job: req.job.to_string(),
            index: req.index,
            attempt: self.attempt_id(req.attempt),
            customer,
            kind: &req.task.kind,
            slots: req.task.slots,
            timeout_ms: u64::try_from(req.timeout.as_millis()).unwrap_or(u64::MAX),
            payload,
        };
        let result = timeout_after_reading(req.timeout, post(&pool, "/v1/start", &body)).await;
        let response = result.unwrap_or_else(|e| Err(PoolError::NoResponse(e.to_string())));
        let reply = match response {
            Ok(text) => match serde_json::from_slice(&text) {
                Ok(response) => to_start_reply(&response, &body),
                Err(e) => {
                    tracing::warn!(
                        executor = pool.address(),
                        error = %e,
                        "invalid start response from executor"
                    );
                    StartReply::Lost
                }
            },
            Err(e) if e.is_unsent() => {
                tracing::debug!(executor = pool.address(), error = %e, "executor unreachable");
                StartReply::NotStarted(NotStarted::Unreachable)
            }
            Err(e) => {
                tracing::warn!(
                    executor = pool.address(),
                    error = %e,
                    "start request failed after it was sent; outcome unknown"
                );
                StartReply::Lost
            }
        };
        if reply == StartReply::Lost {
            pool.clear();
        }
        reply
    }

    async fn abort(&self, attempt: AttemptId, executor: ExecutorId) {
        let Some(pool) = self.pool(executor) else {
            return;
        };
        let body = AbortBody {
            attempt: self.attempt_id(attempt),
        };
        let result = timeout_after_reading(ABORT_TIMEOUT, post(&pool, "/v1/abort", &body)).await;
        if !matches!(result, Ok(Ok(_))) {
            tracing::debug!(executor = pool.address(), "abort request failed");
        }
    }
}

/// Sends a POST request with a JSON body and reads the response.
async fn post(pool: &Pool, path: &str, body: &impl Serialize) -> Result<Bytes, PoolError> {
    let unsent = |e: String| PoolError::Unsent(e);
    let body = serde_json::to_vec(body).map_err(|e| unsent(e.to_string()))?;
    let req = Request::post(path)
        .header(HOST, pool.address())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| unsent(e.to_string()))?;
    let (response, connection) = pool.send(req).await?.into_parts();
    let read = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = read.map_err(|e| PoolError::NoResponse(e.to_string()))?;
    pool.put_back(connection);
    Ok(body.to_bytes())
}

/// Converts the response to a start. If it names another attempt than the request, the outcome of
/// this attempt is not known.
fn to_start_reply(response: &StartResponseBody<'_>, body: &StartBody<'_>) -> StartReply {
    if response.status == AttemptStatus::NotStarted {
        return StartReply::NotStarted(match response.reason {
            Some(NotStartedReason::Leaving) => NotStarted::Leaving,
            Some(NotStartedReason::Busy | NotStartedReason::Other) | None => NotStarted::Busy,
        });
    }
    if !response.matches_request(body) {
        tracing::error!(
            job = body.job,
            "executor response belongs to another attempt"
        );
        return StartReply::Lost;
    }
    let slot_time = response.slot_time();
    match response.status {
        AttemptStatus::Done => {
            let result = response.result.map_or("null", RawValue::get).into();
            StartReply::Done { result, slot_time }
        }
        AttemptStatus::Aborted => StartReply::Failed {
            slot_time,
            aborted: true,
        },
        AttemptStatus::Failed | AttemptStatus::NotStarted => StartReply::Failed {
            slot_time,
            aborted: false,
        },
    }
}
