//! Traits that an adapter implements.

use cardamomslip_core::guarded::action::{Poll, Start, Stop};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::cancel::CancelOutcome;
use cardamomslip_core::guarded::model::evacuations::Evacuations;
use cardamomslip_core::guarded::model::queue::QueueTable;
use std::sync::Arc;

/// Responds to a client that submitted or cancelled a job.
pub trait JobResponder: std::fmt::Debug {
    /// Returns whether the client has disconnected, so that no answer can reach it.
    fn is_abandoned(&self) -> bool;

    /// Sends the answer to the client.
    fn respond(self, answer: Answer);

    /// Tells a client the outcome of its cancellation of a job.
    fn acknowledge(self, outcome: CancelOutcome);
}

/// Sends requests to workers. Every request results in an input to the actor, even if the worker
/// does not reply.
pub trait WorkerClient {
    /// Polls a worker.
    fn poll(&mut self, poll: Poll);

    /// Starts a run on a worker.
    fn start(&mut self, start: Start);

    /// Stops a run on a worker.
    fn stop(&mut self, stop: Stop);
}

/// Connects the actor to clients and workers.
pub trait Adapter: 'static {
    /// Type that sends the answer to a submitted job.
    type Responder: JobResponder;
    /// Type that sends requests to the workers.
    type Workers: WorkerClient;

    /// Returns the sender of requests to the workers.
    fn workers(&mut self) -> &mut Self::Workers;

    /// Applies the queues of a newer configuration.
    fn set_queues(&mut self, queues: &Arc<QueueTable>);

    /// Called with the evacuations of data centres when they have changed.
    fn set_evacuations(&mut self, state: &Arc<Evacuations>);

    /// Sets whether the registry of the workers is to be followed.
    fn follow_workers(&mut self, follow: bool);

    /// Called when a graceful stop begins. From then on, client connections should be closed after
    /// their next response.
    fn begin_stop(&mut self);

    /// Sets whether the VM accepts work, which load balancers query.
    fn set_ready(&mut self, ready: bool);
}
