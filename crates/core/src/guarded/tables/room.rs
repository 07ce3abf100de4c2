//! The last forecast for the jobs that wait at this VM.

use crate::collections::FastMap;
use crate::guarded::forecast::Expected;
use crate::guarded::model::ids::{ClientJobId, QueueId};
use crate::guarded::model::room::RoomSummary;
use crate::model::time::Time;
use std::time::Duration;

/// Maximum number of observations that are kept until the caller takes them. Further ones are
/// dropped.
const MAX_OBSERVATIONS: usize = 256;

/// Weight of a new observation in the correction of a queue.
const CORRECTION_WEIGHT: f64 = 0.1;
/// Maximum correction of a forecast wait, in milliseconds.
const MAX_CORRECTION_MS: f64 = 500.0;
/// Maximum number of queues with a correction.
const MAX_QUEUES: usize = 256;

/// When a job may start and end, for the decision whether to keep it.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Expected wait.
    pub wait: Duration,
    /// Time until the job ends at the earliest.
    pub end: Duration,
}

/// Forecast and actual wait of a job, from its first forecast to the start of its last task. Jobs that
/// start without a forecast are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitObservation {
    /// Queue of the job.
    pub queue: QueueId,
    /// Wait according to the first forecast.
    pub forecast: Duration,
    /// Actual wait.
    pub actual: Duration,
}

/// The last forecast for the jobs that wait at this VM.
#[derive(Debug, Default)]
pub struct Room {
    /// Time of the forecast.
    pub made_at: Time,
    /// The jobs in the forecast.
    pub expected: FastMap<ClientJobId, Expected>,
    summary: Option<RoomSummary>,
    /// Mean excess of actual over forecast waits in milliseconds, by queue.
    corrections: FastMap<QueueId, f64>,
    observations: Vec<WaitObservation>,
}

impl Room {
    /// Replaces the forecast.
    pub fn replace(
        &mut self,
        now: Time,
        expected: FastMap<ClientJobId, Expected>,
        summary: RoomSummary,
    ) {
        self.made_at = now;
        self.expected = expected;
        self.summary = Some(summary);
    }

    /// Returns the room behind the waiting jobs; `None` without a forecast.
    pub const fn summary(&self) -> Option<RoomSummary> {
        self.summary
    }

    /// Returns the time by which the jobs of a queue wait longer than forecast: tasks that arrive
    /// later take room before them.
    pub fn correction(&self, queue: QueueId) -> Duration {
        let excess = self.corrections.get(&queue).copied().unwrap_or_default();
        Duration::from_secs_f64(excess.max(0.0) / 1e3)
    }

    /// Learns from an observation and keeps it, unless there are too many.
    pub fn observe(&mut self, observation: WaitObservation) {
        self.learn(&observation);
        if self.observations.len() < MAX_OBSERVATIONS {
            self.observations.push(observation);
        }
    }

    fn learn(&mut self, observation: &WaitObservation) {
        let has_room = self.corrections.len() < MAX_QUEUES;
        if observation.forecast.is_zero()
            || !has_room && !self.corrections.contains_key(&observation.queue)
        {
            return;
        }
        let [actual, forecast] = [observation.actual, observation.forecast];
        let error = (actual.as_secs_f64() - forecast.as_secs_f64()) * 1e3;
        let excess = self.corrections.entry(observation.queue).or_default();
        // The forecast contains the correction already, so the error is what it lacks.
        *excess += CORRECTION_WEIGHT * error;
        *excess = excess.clamp(0.0, MAX_CORRECTION_MS);
    }

    /// Takes the observations since the last call.
    pub fn take_observations(&mut self) -> Vec<WaitObservation> {
        std::mem::take(&mut self.observations)
    }
}
