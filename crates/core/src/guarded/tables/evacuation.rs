//! Evacuations that this VM knows of, and since when.

use crate::collections::FastMap;
use crate::guarded::model::evacuations::Evacuations;
use crate::model::ids::DataCentreId;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Time after this VM learned of a request in which a job that has begun may still start its remaining
/// tasks in the data centre. Most jobs end within it, and a VM of which the store's watch lagged stays within the
/// seconds that an evacuation may take.
const STARTED_JOB_GRACE: Duration = Duration::from_secs(1);

/// The evacuations that this VM knows of.
#[derive(Debug, Default)]
pub struct EvacuationTable {
    state: Arc<Evacuations>,
    /// Time until which jobs that have begun may start tasks in an evacuated data centre.
    grace_until: FastMap<DataCentreId, Time>,
}

impl EvacuationTable {
    /// Returns the state as of the newest revision that this VM knows.
    pub const fn state(&self) -> &Arc<Evacuations> {
        &self.state
    }

    /// Replaces the state. A data centre that was not evacuated before gets a grace period for jobs
    /// that have begun if `is_recent`, that is if the request was made a moment ago.
    pub fn replace(&mut self, now: Time, state: Arc<Evacuations>, is_recent: bool) {
        self.grace_until.retain(|&id, _| state.contains(id));
        let new = state.iter().filter(|(id, _)| !self.state.contains(*id));
        for (id, _) in new.filter(|_| is_recent) {
            self.grace_until.insert(id, now + STARTED_JOB_GRACE);
        }
        self.state = state;
    }

    /// Returns whether new runs of a job may start in a data centre.
    pub fn admits(&self, now: Time, data_centre: DataCentreId, job_has_begun: bool) -> bool {
        let is_in_grace = || {
            let until = self.grace_until.get(&data_centre);
            job_has_begun && until.is_some_and(|&until| now < until)
        };
        !self.state.contains(data_centre) || is_in_grace()
    }
}
