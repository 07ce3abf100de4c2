//! Executors. The protocol is behind [`ExecutorClient`], so that another can be fitted.

mod http;
mod wire;

pub use http::HttpExecutors;

use cardamomslip_core::model::ids::{AttemptId, ExecutorId};
use cardamomslip_core::model::request::{StartReply, StartRequest};

/// Starts and aborts tasks on executors.
pub trait ExecutorClient: Clone + Send + Sync + 'static {
    /// Starts a task and waits for its end.
    ///
    /// [`StartReply::NotStarted`] is returned only if the executor said so or nothing was sent.
    fn start(
        &self,
        order: &StartRequest,
        customer: &str,
    ) -> impl Future<Output = StartReply> + Send;

    /// Asks an executor to end an attempt. Whether it did shows in the reply to the start.
    fn abort(&self, attempt: AttemptId, executor: ExecutorId) -> impl Future<Output = ()> + Send;
}
