//! Dispatch of best-effort jobs to guarded workers.
//!
//! A *guarded worker* enforces its own capacity and runs tasks under a lease. One entry VM at a
//! time, the *holder*, renews the lease, starts and stops runs there, and acknowledges their ends.
//! The workers of a data centre are grouped into *cells*, which pass between entry VMs as a whole.
//! The VM that a client called is the *entry* of its job; the holder of the cell that runs the
//! whole job is its *runner*.
//!
//! [`Dispatcher`] makes all decisions of one entry VM without I/O: it takes events and returns
//! actions.
//!
//! # Guarantees
//!
//! * Two runs of a task do not overlap: a task is started again only when the end of its earlier run
//!   is known, or when the lease that could keep that run alive has certainly expired, and while no
//!   earlier start of it may still be carried out. The exceptions are in docs/PLATFORM.md: chiefly a
//!   start that one boot of a worker ruled out and that the next one begins before it is fenced.
//! * A run outlives the client, the entry or the runner of its job by at most
//!   [`Policy::max_orphan_duration`], also if its stop has no effect.
//! * A job is answered as completed only if each of its tasks succeeded.
//! * A job is refused only if none of its tasks was started.
//! * None of these guarantees depends on the store, on membership or on the time of day.
//!
//! # Limits
//!
//! * Jobs are not persisted: a job is lost with its entry or its runner, and the client submits it
//!   again.
//! * Tasks that must run together, that are scheduled by the time of day, or that run until they
//!   are cancelled are refused.

pub mod action;
mod dispatcher;
pub mod event;
pub mod forecast;
pub mod model;
pub mod policy;
pub mod shares;
pub mod stats;
mod systems;
mod tables;
mod world;

pub use action::Action;
pub use dispatcher::{Dispatcher, Identity};
pub use event::Event;
pub use policy::Policy;
pub use stats::{QueueShare, Stats};
pub use tables::room::WaitObservation;
