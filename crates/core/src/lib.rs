//! Core logic of the cardamomslip dispatcher, free of I/O.
//!
//! A [`Node`] is the dispatcher of one entry daemon process as a deterministic state machine.
//! Adapters pass it events and carry out the actions that it returns; time and randomness are
//! passed in. The same code therefore runs in the daemon, in the fuzzing oracle and in the
//! benchmark; the latter two use virtual time.
//!
//! # Example
//!
//! ```
//! use cardamomslip_core::model::ids::{CallId, CustomerId, DataCentreId, VmId};
//! use cardamomslip_core::model::incarnation::Incarnation;
//! use cardamomslip_core::model::request::Request;
//! use cardamomslip_core::model::time::Time;
//! use cardamomslip_core::{Action, Event, Identity, Node, Policy};
//!
//! let me = Incarnation { data_centre: DataCentreId(1), vm: VmId(1), nonce: 7 };
//! let mut node = Node::new(Identity { me, weight: 1, seed: 42 }, Policy::default());
//! let mut actions = Vec::new();
//! let req = Request::IssueIds { customer: CustomerId(1), count: 2 };
//! node.handle(Time::ZERO, Event::Call { call: CallId(0), req }, &mut actions);
//! assert!(matches!(actions[0], Action::Respond { .. }));
//! ```
//!
//! # Guarantees
//!
//! * Only the incarnation that issued a job id ever starts tasks of that job, based on its own
//!   tables.
//! * A task is started again only if the executor's reply, or the failure to connect to it, proves
//!   that the earlier attempt did not start it, or if its job is marked as repeatable.
//! * A job's answer is final, and covers the whole job: complete or failed.
//! * [`model::outcome::Ran::NotRun`] is reported only from the issuer's own tables or from the
//!   archive of a closed issuer, and never becomes untrue later.
//! * None of these guarantees depends on clocks, leases, membership or the store.
//!
//! # Limits
//!
//! * The outcome of a job is lost with its issuer, unless the issuer stopped gracefully. The job
//!   then counts as failed and may have run.
//! * Outcomes are removed after [`Policy::retention`].

pub mod action;
pub mod collections;
pub mod event;
pub mod guarded;
pub mod model;
pub mod node;
pub mod policy;
pub mod status;
mod systems;
mod tables;
mod timers;
mod world;

pub use action::{Action, ChangeResult};
pub use event::Event;
pub use node::{Identity, Node};
pub use policy::{Policy, PolicyBuilder};
pub use status::Status;
pub use tables::executor_table::{Executor, Health};
