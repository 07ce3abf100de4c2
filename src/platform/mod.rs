//! The platform's key-value service and VM list, over HTTP.

mod client;
mod link;
mod wire;

pub use client::{PlatformClient, PlatformError};
pub use link::PlatformLink;
pub use wire::{UsageLineWire, UsageWire, VmListWire};
