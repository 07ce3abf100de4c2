//! Jobs whose clients called this VM.

use crate::guarded::model::job::Job;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;

/// A job whose clients wait at this VM.
#[derive(Debug)]
pub struct EntryJob {
    /// The job.
    pub job: Arc<Job>,
    /// Calls that wait for its answer.
    pub calls: Vec<CallId>,
    /// Time of its submission.
    pub submitted: Time,
    /// The VM that runs it; this one or a peer.
    pub runner: Option<Incarnation>,
    /// How often it was placed.
    pub placements: u32,
}
