//! Tables that the systems work on.

pub mod entry_job;
pub mod estimator;
pub mod peer;
pub mod recent;
pub mod runner_job;
pub mod worker;
