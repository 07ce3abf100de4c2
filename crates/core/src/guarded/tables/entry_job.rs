//! Jobs whose clients called this VM.

use crate::guarded::model::job::Job;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// A job with clients that wait at this VM.
#[derive(Debug)]
pub struct EntryJob {
    /// The job as the client submitted it.
    pub job: Arc<Job>,
    /// Client calls that wait for the answer.
    pub calls: Vec<CallId>,
    /// Time at which this VM received it.
    pub submitted_at: Time,
    /// Longest time for which the submission may have lain unread before.
    pub unread: Duration,
    /// VM that runs it, which may be this one. `None` while it waits for a placement.
    pub runner: Option<Incarnation>,
    /// Number of placements so far.
    pub placements: u32,
}
