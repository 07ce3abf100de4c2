//! Executors over HTTP.

use super::ExecutorClient;
use super::wire::{AbortBody, EndBody, EndStatus, RefusalCause, StartBody};
use crate::http::{Pool, PoolError};
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
use tokio::time::timeout;

/// Longest result that is read, in bytes.
const MAX_RESULT: usize = 8 * 1024 * 1024;
/// Time within which an abort is answered.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Executors over HTTP. Clones share the connections.
#[derive(Clone, Debug)]
pub struct HttpExecutors {
    me: Incarnation,
    idle_age: Duration,
    connect_timeout: Duration,
    pools: Arc<RwLock<FastMap<ExecutorId, Pool>>>,
}

impl HttpExecutors {
    /// Builds a client without executors. A connection that was idle for `idle_age` is not used
    /// again.
    #[must_use]
    pub fn new(me: Incarnation, idle_age: Duration, connect_timeout: Duration) -> Self {
        Self {
            me,
            idle_age,
            connect_timeout,
            pools: Arc::default(),
        }
    }

    /// Takes in the addresses of a newer VM list.
    pub fn take_list(&self, list: &VmList) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|id, _| list.executors.iter().any(|vm| vm.id == *id));
        for vm in &list.executors {
            let known = pools
                .get(&vm.id)
                .is_some_and(|pool| pool.address() == &*vm.address);
            if !known {
                let address = Arc::clone(&vm.address);
                let pool = Pool::new(address, self.idle_age, self.connect_timeout);
                pools.insert(vm.id, pool);
            }
        }
    }

    fn pool(&self, executor: ExecutorId) -> Option<Pool> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(&executor).cloned()
    }

    fn attempt_name(&self, attempt: AttemptId) -> String {
        format!("{}/{}", self.me, attempt.0)
    }
}

impl ExecutorClient for HttpExecutors {
    async fn start(&self, order: &StartRequest, customer: &str) -> StartReply {
        let Some(pool) = self.pool(order.executor) else {
            return StartReply::NotStarted(NotStarted::Unreachable);
        };
        let Ok(payload) = serde_json::from_str::<&RawValue>(&order.task.payload) else {
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
            payload,
        };
        let called = timeout(order.timeout, call(&pool, "/v1/start", &body)).await;
        let end = called.unwrap_or_else(|e| Err(PoolError::Lost(e.to_string())));
        let reply = match end {
            Ok(text) => match serde_json::from_slice(&text) {
                Ok(end) => reply_of(&end, &body),
                Err(e) => {
                    tracing::warn!(executor = pool.address(), error = %e, "invalid reply");
                    StartReply::Lost
                }
            },
            Err(PoolError::Unsent(e)) => {
                tracing::debug!(executor = pool.address(), error = e, "executor not reached");
                StartReply::NotStarted(NotStarted::Unreachable)
            }
            Err(PoolError::Lost(e)) => {
                tracing::warn!(
                    executor = pool.address(),
                    error = e,
                    "outcome of a start is lost"
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
            attempt: self.attempt_name(attempt),
        };
        let called = timeout(ABORT_TIMEOUT, call(&pool, "/v1/abort", &body)).await;
        if !matches!(called, Ok(Ok(_))) {
            tracing::debug!(executor = pool.address(), "abort not delivered");
        }
    }
}

/// Posts a body and reads the response.
async fn call(pool: &Pool, path: &str, body: &impl Serialize) -> Result<Bytes, PoolError> {
    let unsent = |e: String| PoolError::Unsent(e);
    let body = serde_json::to_vec(body).map_err(|e| unsent(e.to_string()))?;
    let req = Request::post(path)
        .header(HOST, pool.address())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| unsent(e.to_string()))?;
    let (response, sender) = pool.send(req).await?.into_parts();
    let read = Limited::new(response.into_body(), MAX_RESULT)
        .collect()
        .await;
    let body = read.map_err(|e| PoolError::Lost(e.to_string()))?;
    pool.put_back(sender);
    Ok(body.to_bytes())
}

/// Converts the end of an attempt. One that does not name the attempt belongs to another request:
/// what became of this one is not known.
fn reply_of(end: &EndBody<'_>, body: &StartBody<'_>) -> StartReply {
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
    let slot_time = end.slot_time();
    match end.status {
        EndStatus::Done => {
            let result = end.result.map_or("null", RawValue::get).into();
            StartReply::Done { result, slot_time }
        }
        EndStatus::Aborted => StartReply::Failed {
            slot_time,
            aborted: true,
        },
        EndStatus::Failed | EndStatus::NotStarted => StartReply::Failed {
            slot_time,
            aborted: false,
        },
    }
}
