//! Systems that run over the tables. Each leaves its results in the tables or in the queues of the
//! world; the dispatcher runs them in a fixed order, and none calls one that runs before it.

pub mod dispatch;
pub mod entry;
pub mod holding;
pub mod looks;
pub mod members;
pub mod progress;
pub mod runner;
pub mod starts;
pub mod stops;
pub mod sweep;
