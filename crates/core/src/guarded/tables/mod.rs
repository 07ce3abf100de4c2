//! Tables that the systems work on.

pub mod bulkhead;
pub mod cancel_marks;
pub mod cancellation;
pub mod drains;
pub mod entry_job;
pub mod estimator;
pub mod evacuation;
pub mod peer;
pub mod queue_account;
pub mod read_horizon;
pub mod recent;
pub mod remote_holder;
pub mod room;
pub mod runner_job;
pub mod stamps;
pub mod starts_in_flight;
pub mod stop;
pub mod suspects;
pub mod token_bucket;
pub mod topology;
pub mod vm_directory;
pub mod worker;
pub mod worker_registry;
