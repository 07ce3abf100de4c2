//! State tables that the systems read and update.

pub mod allocation_table;
pub mod archive;
pub mod attempt_table;
pub mod estimator;
pub mod executor_table;
pub mod forward_table;
pub mod job;
pub mod job_table;
pub mod member_table;
pub mod ready_index;
pub mod store_op_table;
pub mod usage_table;
