//! Run times learned per kind of task.

use crate::collections::FastMap;
use crate::model::spec::TaskSpec;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation.
const GAIN: f64 = 0.1;
/// Kinds that are kept at most; beyond it the declared run time counts.
const MAX_KINDS: usize = 4_096;
/// Smallest error that a predictor is credited with.
const MIN_ERROR: f64 = 0.02;
/// Observations of a kind before executors are judged by it.
const JUDGE_AFTER: f64 = 20.0;
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
    /// Mean error of predicting the declared time, corrected by the bias of its job.
    declared_error: f64,
    /// Observations.
    count: f64,
}

/// Estimates for the tasks of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEstimate {
    /// Estimated run time per task on an executor of speed 1.
    pub tasks: Vec<Duration>,
    /// Logarithm of the factor by which the declared times are too short, as far as known.
    pub bias: f64,
}

/// Learned run times.
///
/// A caller's declarations are often far off, and alike within one job. So two predictors are
/// combined by their past errors: the mean of the task's kind, and the declared time times the
/// factor by which the job's declarations differ from the means of their kinds.
#[derive(Debug, Default)]
pub struct Estimator {
    kinds: FastMap<Arc<str>, KindModel>,
}

impl Estimator {
    /// Estimates the run times of a job's tasks on an executor of speed 1.
    #[must_use]
    pub fn estimate(&self, tasks: &[TaskSpec]) -> JobEstimate {
        let models: Vec<_> = tasks
            .iter()
            .map(|task| self.kinds.get(&task.kind))
            .collect();
        let pairs = || models.iter().zip(tasks);
        let known = pairs().filter_map(|(model, task)| Some((model.as_ref()?, task)));
        let (mut sum, mut count) = (0.0, 0.0);
        for (model, task) in known {
            sum += model.mean - ln_seconds(task.declared);
            count += 1.0;
        }
        let bias = if count > 0.0 { sum / count } else { 0.0 };
        let estimates = pairs().map(|(model, task)| {
            let declared = ln_seconds(task.declared) + bias;
            from_ln(model.map_or(declared, |model| model.combine(declared)))
        });
        JobEstimate {
            tasks: estimates.collect(),
            bias,
        }
    }

    /// Tells whether enough was learned of a kind to judge executors by it.
    #[must_use]
    pub fn knows(&self, kind: &str) -> bool {
        self.kinds
            .get(kind)
            .is_some_and(|model| model.count >= JUDGE_AFTER)
    }

    /// Learns from a run that took `observed`, scaled to an executor of speed 1. `bias` is that of
    /// the job when it was estimated.
    pub fn learn(&mut self, kind: &Arc<str>, declared: Duration, bias: f64, observed: Duration) {
        let observed = ln_seconds(observed);
        let declared = ln_seconds(declared) + bias;
        if let Some(model) = self.kinds.get_mut(kind) {
            model.learn(declared, observed);
        } else if self.kinds.len() < MAX_KINDS {
            let model = KindModel {
                mean: observed,
                mean_error: 1.0,
                declared_error: 1.0,
                count: 1.0,
            };
            self.kinds.insert(Arc::clone(kind), model);
        }
    }
}

impl KindModel {
    /// Weighs both predictors by the inverse square of their errors.
    fn combine(&self, declared: f64) -> f64 {
        let by_mean = self.mean_error.max(MIN_ERROR).powi(-2);
        let by_declared = self.declared_error.max(MIN_ERROR).powi(-2);
        (self.mean * by_mean + declared * by_declared) / (by_mean + by_declared)
    }

    fn learn(&mut self, declared: f64, observed: f64) {
        let gain = GAIN.max(1.0 / (self.count + 1.0));
        let mean_error = (observed - self.mean).abs();
        let declared_error = (observed - declared).abs();
        self.mean_error += gain * (mean_error - self.mean_error);
        self.declared_error += gain * (declared_error - self.declared_error);
        self.mean += gain * (observed - self.mean);
        self.count += 1.0;
    }
}

fn ln_seconds(span: Duration) -> f64 {
    span.as_secs_f64().clamp(MIN_SECONDS, MAX_SECONDS).ln()
}

fn from_ln(ln: f64) -> Duration {
    Duration::from_secs_f64(ln.exp().clamp(MIN_SECONDS, MAX_SECONDS))
}
