//! Guarded workers: the actor that runs the core's dispatcher, and the traits that an adapter
//! implements.
//!
//! An adapter implements [`Adapter`], which provides the [`WorkerClient`] and the
//! [`JobResponder`]s, and sends [`Input`]s to the actor. The protocols for workers and clients are
//! up to the adapter.

mod actor;
mod adapter;
mod backlog;
mod clock;
mod input;
mod metrics;
mod run;
mod wire;

pub use actor::DispatcherActor;
pub use adapter::{Adapter, JobResponder, WorkerClient};
pub use clock::{DispatcherClock, SuspensionSource, SystemClocks};
pub use input::{Input, InputSender};
pub use metrics::DispatcherMetrics;
pub use run::{Setup, run};
