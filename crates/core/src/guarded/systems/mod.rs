//! The systems of the dispatcher: functions that implement its logic on the tables in
//! [`crate::guarded::world::World`].
//!
//! Each tick runs the systems in a fixed order. A system leaves results for others in the tables or
//! in the queues of the world, and does not call a system that runs before it. The exceptions are
//! [`holds::begin_acquisition`] and [`crashes::record_loss`], which [`polls`] and [`stops`] call.

pub mod cancel_marks;
pub mod cancel_targets;
pub mod cancels;
pub mod cell_assignment;
pub mod configuration;
pub mod containment;
pub mod crashes;
pub mod dispatch;
pub mod drain_reports;
pub mod entry;
pub mod evacuations;
pub mod heartbeats;
pub mod holds;
pub mod leases;
pub mod peers;
pub mod placement;
pub mod polls;
pub mod progress;
pub mod quarantine;
pub mod registrations;
pub mod room;
pub mod run_list;
pub mod runner;
pub mod shares;
pub mod start_reports;
pub mod starts;
pub mod starts_in_flight;
pub mod stops;
pub mod suspect_reports;
pub mod sweep;
pub mod topology;
pub mod watches;
