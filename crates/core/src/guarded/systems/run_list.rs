//! Formatting of the runs of a worker in log lines.

use crate::guarded::model::ids::TaskId;
use crate::guarded::tables::worker::Run;
use crate::model::time::Time;
use std::collections::BTreeMap;
use std::fmt;

/// Formats runs as `job.step.index#run(age_ms)`, separated by spaces.
#[derive(Debug)]
pub struct RunList<'a> {
    /// Time from which the ages count back.
    pub now: Time,
    /// Runs to format.
    pub runs: &'a BTreeMap<TaskId, Run>,
}

impl fmt::Display for RunList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, run) in self.runs.values().enumerate() {
            let space = if i == 0 { "" } else { " " };
            let age_ms = self.now.since(run.requested_at).as_millis();
            write!(f, "{space}{}({age_ms})", run.id)?;
        }
        Ok(())
    }
}
