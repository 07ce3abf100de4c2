//! Clients of executors. The trait [`ExecutorClient`] separates the daemon from the protocol, so
//! that the protocol can be replaced.

mod http;
mod wire;

pub use http::HttpExecutors;

use cardamomslip_core::model::ids::{AttemptId, ExecutorId};
use cardamomslip_core::model::request::{StartReply, StartRequest};

/// A client that starts and aborts tasks on executors.
pub trait ExecutorClient: Clone + Send + Sync + 'static {
    /// Starts a task and waits until it ends. `customer` is the customer's name.
    ///
    /// Returns [`StartReply::NotStarted`] only if the executor refused the start or nothing was
    /// sent.
    fn start(&self, req: &StartRequest, customer: &str) -> impl Future<Output = StartReply> + Send;

    /// Asks an executor to abort an attempt. The reply to the start tells whether it was aborted.
    fn abort(&self, attempt: AttemptId, executor: ExecutorId) -> impl Future<Output = ()> + Send;
}
