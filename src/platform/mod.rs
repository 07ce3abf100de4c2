//! Client and adapter of the platform's key-value store and VM list, over HTTP.

mod adapter;
mod client;
mod wire;

pub use adapter::PlatformAdapter;
pub use client::{PlatformClient, PlatformError};
pub use wire::{UsageLineWire, UsageWire, VmListWire};
