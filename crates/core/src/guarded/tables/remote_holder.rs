//! Holders in other data centres that relays reported.

use crate::guarded::model::cell::HolderLoad;
use crate::model::time::Time;

/// State of a holder in another data centre, as the relays of this data centre reported it.
#[derive(Clone, Copy, Debug)]
pub struct RemoteHolderRow {
    /// Its load.
    pub load: HolderLoad,
    /// Time at which the relay received the load from the holder, at the latest.
    pub known_at: Time,
    /// CPU of the tasks that this VM placed there since then, in thousandths of a core.
    pub placed_cpu_milli: u64,
}
