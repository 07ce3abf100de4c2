//! What an adapter brings.

use cardamomslip_core::guarded::action::{Poll, Start};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::ids::{FencingToken, RunId, WorkerId};
use cardamomslip_core::guarded::model::queue::QueueTable;
use std::sync::Arc;

/// The open end of a caller's request.
pub trait Answerer: std::fmt::Debug {
    /// Tells whether the caller left.
    fn is_abandoned(&self) -> bool;

    /// Answers the caller.
    fn close(self, answer: Answer);
}

/// Carries orders to workers. Each is answered by an input, also if the worker does not answer.
pub trait WorkerClient {
    /// Looks at a worker.
    fn poll(&mut self, poll: Poll);

    /// Starts a run.
    fn start(&mut self, start: Start);

    /// Stops a run.
    fn stop(&mut self, worker: WorkerId, run: RunId, token: FencingToken);
}

/// What an adapter brings.
pub trait Ports: 'static {
    /// The open end of a caller's request.
    type Answerer: Answerer;
    /// The client of workers.
    type Workers: WorkerClient;

    /// Returns the client of workers.
    fn workers(&mut self) -> &mut Self::Workers;

    /// A newer configuration is in force.
    fn adopt(&mut self, queues: &Arc<QueueTable>);

    /// The VM stops: clients are to use other connections.
    fn begin_stop(&mut self);

    /// Says whether the VM takes work, for the balancer.
    fn set_ready(&mut self, ready: bool);
}
