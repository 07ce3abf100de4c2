//! Client and adapter of the platform's key-value store and VM list, over HTTP.

mod client;
mod link;
mod wire;

pub use client::{PlatformClient, PlatformError};
pub use link::PlatformAdapter;
pub use wire::{UsageLineWire, UsageWire, VmListWire};
