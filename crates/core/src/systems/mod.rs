//! The systems of the dispatcher: functions that implement its logic on the tables in
//! [`crate::world::World`].

pub mod calls;
pub mod closing;
pub mod configuration;
pub mod demand;
pub mod dispatch;
pub mod jobs;
pub mod keyed;
pub mod membership;
pub mod planner;
pub mod routing;
pub mod starts;
pub mod store;
pub mod upkeep;
pub mod usage;
pub mod vm_list;
