//! Guarded workers: the actor around the core's dispatcher, and what it needs of an adapter.
//!
//! [`Ports`] names what an adapter brings: a client of workers and the answers to callers. The
//! adapter feeds [`Input`]s and is otherwise free in how it speaks to the outside.

mod actor;
mod input;
mod metrics;
mod ports;
mod run;
mod wire;

pub use actor::DispatcherActor;
pub use input::{Input, InputSender};
pub use metrics::DispatcherMetrics;
pub use ports::{Answerer, Ports, WorkerClient};
pub use run::{Setup, run};
