//! Prediction of run times from completed runs.

use crate::collections::FastMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation in the moving average.
const UPDATE_WEIGHT: f64 = 0.05;
/// Run time assumed for a task whose client gave no estimate.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(200);
/// Maximum number of worker kinds with a factor of their own.
const MAX_KINDS: usize = 256;
/// Bounds of a single observation, as a factor on the client's estimate.
const OBSERVATION_BOUNDS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// Weight of a new observation of a cold worker. Workers are cold for seconds only.
const COLD_UPDATE_WEIGHT: f64 = 0.2;
/// Bounds of the factor of cold workers.
const COLD_BOUNDS: std::ops::RangeInclusive<f64> = 1.0..=10.0;

/// Tracks, per kind of worker, the ratio of actual run times to the clients' estimates.
#[derive(Debug)]
pub struct Estimator {
    factors: FastMap<Arc<str>, f64>,
    /// Factor by which runs take longer on workers that have started a moment ago.
    cold_factor: f64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            factors: FastMap::default(),
            cold_factor: 1.0,
        }
    }
}

impl Estimator {
    /// Predicts the run time of a task on a healthy worker of a kind.
    pub fn predict(&self, estimate: Duration, kind: Option<&Arc<str>>) -> Duration {
        Self::estimate_or_default(estimate).mul_f64(self.factor(kind))
    }

    /// Predicts the run time on the fastest known kind.
    pub fn predict_fastest(&self, estimate: Duration) -> Duration {
        let fastest = self.factors.values().copied().reduce(f64::min);
        Self::estimate_or_default(estimate).mul_f64(fastest.unwrap_or(1.0))
    }

    /// Records the actual run time of a task on a worker of a kind. Workers without a kind are
    /// ignored.
    pub fn record(&mut self, kind: Option<&Arc<str>>, estimate: Duration, actual: Duration) {
        let Some(kind) = kind else {
            return;
        };
        let observed = actual.as_secs_f64() / Self::estimate_or_default(estimate).as_secs_f64();
        let observed = observed.clamp(*OBSERVATION_BOUNDS.start(), *OBSERVATION_BOUNDS.end());
        if let Some(factor) = self.factors.get_mut(kind) {
            *factor += UPDATE_WEIGHT * (observed - *factor);
        } else if self.factors.len() < MAX_KINDS {
            self.factors.insert(Arc::clone(kind), observed.sqrt());
        }
    }

    /// Returns the factor by which runs take longer on cold workers than later.
    pub const fn cold_factor(&self) -> f64 {
        self.cold_factor
    }

    /// Records a run on a cold worker that would have taken `expected` later. It says nothing about the
    /// kind of the worker.
    pub fn record_cold(&mut self, expected: Duration, actual: Duration) {
        if expected.is_zero() {
            return;
        }
        let observed = actual.as_secs_f64() / expected.as_secs_f64();
        let observed = observed.clamp(*COLD_BOUNDS.start(), *COLD_BOUNDS.end());
        self.cold_factor += COLD_UPDATE_WEIGHT * (observed - self.cold_factor);
    }

    fn factor(&self, kind: Option<&Arc<str>>) -> f64 {
        kind.and_then(|kind| self.factors.get(kind))
            .copied()
            .unwrap_or(1.0)
    }

    fn estimate_or_default(estimate: Duration) -> Duration {
        if estimate.is_zero() {
            DEFAULT_ESTIMATE
        } else {
            estimate
        }
    }
}
