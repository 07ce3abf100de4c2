//! Run times learned from ends.

use crate::collections::FastMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation.
const GAIN: f64 = 0.05;
/// Estimate for a task whose client gave none.
const UNKNOWN: Duration = Duration::from_millis(200);
/// Kinds of workers that are kept at most.
const MAX_KINDS: usize = 256;
/// Bounds of one observation, as a factor on the client's estimate.
const OBSERVED: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// Learns by which factor tasks run longer on a kind of worker than their clients estimate.
#[derive(Debug, Default)]
pub struct Estimator {
    factors: FastMap<Arc<str>, f64>,
}

impl Estimator {
    /// Predicts the run time of a task on a sound worker of a kind.
    pub fn predict(&self, estimate: Duration, kind: Option<&Arc<str>>) -> Duration {
        Self::base(estimate).mul_f64(self.factor(kind))
    }

    /// Predicts the run time on the fastest kind.
    pub fn predict_fastest(&self, estimate: Duration) -> Duration {
        let fastest = self.factors.values().copied().reduce(f64::min);
        Self::base(estimate).mul_f64(fastest.unwrap_or(1.0))
    }

    /// Learns from a run on a sound worker.
    pub fn learn(&mut self, kind: Option<&Arc<str>>, estimate: Duration, actual: Duration) {
        let Some(kind) = kind else {
            return;
        };
        let observed = actual.as_secs_f64() / Self::base(estimate).as_secs_f64();
        let observed = observed.clamp(*OBSERVED.start(), *OBSERVED.end());
        if let Some(factor) = self.factors.get_mut(kind) {
            *factor += GAIN * (observed - *factor);
        } else if self.factors.len() < MAX_KINDS {
            self.factors.insert(Arc::clone(kind), observed.sqrt());
        }
    }

    fn factor(&self, kind: Option<&Arc<str>>) -> f64 {
        kind.and_then(|kind| self.factors.get(kind))
            .copied()
            .unwrap_or(1.0)
    }

    fn base(estimate: Duration) -> Duration {
        if estimate.is_zero() {
            UNKNOWN
        } else {
            estimate
        }
    }
}
