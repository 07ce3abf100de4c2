//! Shares of the queues in the room of the workers, while room is short.
//!
//! Everything here is a plain decision over borrowed views. `systems::shares` collects the views and
//! applies the decisions.

pub mod division;
pub mod order;
pub mod settings;
pub mod size_classes;

pub use division::{Claim, divide, first_limits, parts};
pub use order::{Budget, Entrant, Standing, order};
pub use settings::ShareSettings;
pub use size_classes::{SizeClass, SizeClasses};
