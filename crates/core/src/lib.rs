//! The decisions of the cardamomslip dispatcher.
//!
//! A [`Node`] is one run of the entry daemon without its surroundings. Adapters feed it events and
//! carry out its actions; time and randomness are passed in. So the same code runs in the daemon,
//! in the fuzzing oracle and in the benchmark, the latter two in virtual time.
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
//! let req = Request::TakeIds { customer: CustomerId(1), count: 2 };
//! node.handle(Time::ZERO, Event::Call { call: CallId(0), req }, &mut actions);
//! assert!(matches!(actions[0], Action::Respond { .. }));
//! ```
//!
//! # Guarantees
//!
//! * Only the incarnation that issued a job id ever starts tasks of that job, from its own table.
//! * A task starts again only if the executor, or the absence of any connection, proves that the
//!   earlier attempt did not start it, or if its job is marked repeatable.
//! * A job's answer is final, and it is complete or failed as a whole.
//! * [`model::outcome::Ran::NotRun`] is said only from the issuer's own table or from the archive
//!   of a closed issuer, and holds for ever.
//! * None of this rests on clocks, leases, membership or the store.
//!
//! # Limits
//!
//! * The outcome of a job is lost with its issuer, unless the issuer stopped gracefully. The job
//!   then counts as failed and may have run.
//! * Outcomes are forgotten after [`Policy::retention`].

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
