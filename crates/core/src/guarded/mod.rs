//! Best-effort jobs on guarded workers.
//!
//! A *worker* guards its capacity and runs tasks under a lease. One entry VM at a time, the
//! *holder*, renews the lease, starts and stops runs there and acknowledges their ends. Workers of a
//! data centre are grouped into *cells*, which pass between entry VMs as a whole. The VM that a
//! client called is the *entry* of its job; the holder of the cell in which the whole job runs is
//! its *runner*.
//!
//! [`Dispatcher`] takes all decisions of one entry VM, without I/O: events in, orders out.
//!
//! # Guarantees
//!
//! * Two runs of a task never overlap: a task starts again only after the end of its earlier run is
//!   known, or the lease that could keep it alive has lapsed for certain.
//! * A run outlives neither the entry nor the runner of its job by more than
//!   [`Policy::worst_end_of_orphans`].
//! * A job is answered as completed only when each of its tasks ended as done.
//! * A refusal is given only to a job of which no task was started.
//! * None of this rests on the store, on membership or on the time of day.
//!
//! # Limits
//!
//! * A job is not recorded: it is lost with its entry or its runner, and the client sends it again.
//! * Tasks that must run together, that are scheduled by the time of day, or that run until they
//!   are cancelled are refused.

mod dispatcher;
pub mod event;
pub mod model;
pub mod order;
pub mod policy;
pub mod stats;
mod systems;
mod tables;
mod world;

pub use dispatcher::{Dispatcher, Member};
pub use event::Event;
pub use order::Order;
pub use policy::Policy;
pub use stats::Stats;
