//! The systems of the dispatcher: functions that implement its logic on the tables in
//! [`crate::world::World`].

pub mod attempts;
pub mod calls;
pub mod configuration;
pub mod demand;
pub mod dispatch;
pub mod idempotency;
pub mod jobs;
pub mod membership;
pub mod planner;
pub mod routing;
pub mod shutdown;
pub mod store;
pub mod timer_events;
pub mod usage;
pub mod vm_list;
