//! Run times learned per kind of task.

use crate::collections::FastMap;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation.
const GAIN: f64 = 0.1;
/// Kinds that are kept at most; beyond it the declared run time counts.
const MAX_KINDS: usize = 4_096;
/// Observations before an estimate is used in full.
const TRUST_AFTER: f64 = 5.0;
/// Shortest run time that is reckoned with, in seconds.
const MIN_SECONDS: f64 = 0.000_1;
/// Longest run time that is reckoned with, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Two predictors of one kind, in natural logarithms of seconds.
#[derive(Clone, Copy, Debug)]
struct KindModel {
    /// Mean run time, whatever was declared.
    mean: f64,
    /// Mean error of predicting the mean.
    mean_error: f64,
    /// Mean ratio of run time to declared time.
    ratio: f64,
    /// Mean error of predicting by the ratio.
    ratio_error: f64,
    /// Observations.
    count: f64,
}

/// Learned run times. Of two predictors, the mean of the kind and the mean ratio to the declared
/// value, the one with the smaller past error is used.
#[derive(Debug, Default)]
pub struct Estimator {
    kinds: FastMap<Arc<str>, KindModel>,
}

impl Estimator {
    /// Estimates the run time on an executor of speed 1.
    #[must_use]
    pub fn estimate(&self, kind: &str, declared: Duration) -> Duration {
        let declared_ln = ln_seconds(declared);
        let Some(model) = self.kinds.get(kind) else {
            return from_ln(declared_ln);
        };
        let by_ratio = declared_ln + model.ratio;
        let learned = if model.mean_error <= model.ratio_error {
            model.mean
        } else {
            by_ratio
        };
        let trust = model.count / (model.count + TRUST_AFTER);
        from_ln(declared_ln + trust * (learned - declared_ln))
    }

    /// Learns from a run that took `observed`, scaled to an executor of speed 1.
    pub fn learn(&mut self, kind: &Arc<str>, declared: Duration, observed: Duration) {
        let observed = ln_seconds(observed);
        let declared = ln_seconds(declared);
        if let Some(model) = self.kinds.get_mut(kind) {
            model.learn(declared, observed);
        } else if self.kinds.len() < MAX_KINDS {
            let ratio = observed - declared;
            let model = KindModel {
                mean: observed,
                mean_error: 1.0,
                ratio,
                ratio_error: 1.0,
                count: 1.0,
            };
            self.kinds.insert(Arc::clone(kind), model);
        }
    }
}

impl KindModel {
    fn learn(&mut self, declared: f64, observed: f64) {
        let gain = GAIN.max(1.0 / (self.count + 1.0));
        let mean_error = (observed - self.mean).abs();
        let ratio_error = (observed - declared - self.ratio).abs();
        self.mean_error += gain * (mean_error - self.mean_error);
        self.ratio_error += gain * (ratio_error - self.ratio_error);
        self.mean += gain * (observed - self.mean);
        self.ratio += gain * (observed - declared - self.ratio);
        self.count += 1.0;
    }
}

fn ln_seconds(span: Duration) -> f64 {
    span.as_secs_f64().clamp(MIN_SECONDS, MAX_SECONDS).ln()
}

fn from_ln(ln: f64) -> Duration {
    Duration::from_secs_f64(ln.exp().clamp(MIN_SECONDS, MAX_SECONDS))
}
