//! Data types that the core exchanges with its adapters and peers.

pub mod configuration;
pub mod ids;
pub mod incarnation;
pub mod job_id;
pub mod message;
pub mod outcome;
pub mod request;
pub mod spec;
pub mod store;
pub mod time;
pub mod vm_list;
