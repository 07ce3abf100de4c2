//! Run time estimates, learned per task kind.

use crate::collections::FastMap;
use crate::model::spec::TaskSpec;
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new observation in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Limit on tracked kinds. Tasks of further kinds are estimated by their declared run time.
const MAX_KINDS: usize = 4_096;
/// Lower bound on the error of a predictor, so that its weight stays finite.
const MIN_ERROR: f64 = 0.02;
/// Observations of a kind that are needed before executor speeds are learned from its runs.
const MIN_OBSERVATIONS: f64 = 20.0;
/// Lower bound to which run times are clamped, in seconds.
const MIN_SECONDS: f64 = 0.000_1;
/// Upper bound to which run times are clamped, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// State of the two predictors for one kind. All values are natural logarithms of seconds.
#[derive(Clone, Copy, Debug)]
struct KindModel {
    /// Moving average of the observed run times, independent of what was declared.
    mean: f64,
    /// Mean absolute error of predicting `mean`.
    mean_error: f64,
    /// Mean absolute error of predicting the declared time, corrected by the bias of its job.
    declared_error: f64,
    /// Number of observations.
    count: f64,
}

/// Run time estimates for the tasks of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobEstimate {
    /// Estimated run time of each task on an executor of speed 1.
    pub tasks: Vec<Duration>,
    /// Natural logarithm of the factor by which the job's declared run times are too short,
    /// averaged over the tasks of known kinds. Zero if no kind is known.
    pub bias: f64,
}

/// Learns the run times of task kinds.
///
/// Declared run times are often far off, by a similar factor for all tasks of one job. An estimate
/// therefore combines two predictors, weighted by their past errors: the mean run time of the
/// task's kind, and the declared time multiplied by the factor by which the job's declarations
/// differ from the means of their kinds.
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

    /// Returns whether a kind has enough observations to learn executor speeds from its runs.
    #[must_use]
    pub fn has_enough_observations(&self, kind: &str) -> bool {
        self.kinds
            .get(kind)
            .is_some_and(|model| model.count >= MIN_OBSERVATIONS)
    }

    /// Updates the predictors from a run that took `observed`, scaled to an executor of speed 1.
    /// `bias` is the job's [`JobEstimate::bias`] at the time of the estimate.
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
    /// Returns the average of both predictors, weighted by the inverse square of their errors.
    fn combine(&self, declared: f64) -> f64 {
        let by_mean = self.mean_error.max(MIN_ERROR).powi(-2);
        let by_declared = self.declared_error.max(MIN_ERROR).powi(-2);
        (self.mean * by_mean + declared * by_declared) / (by_mean + by_declared)
    }

    fn learn(&mut self, declared: f64, observed: f64) {
        let weight = EWMA_WEIGHT.max(1.0 / (self.count + 1.0));
        let mean_error = (observed - self.mean).abs();
        let declared_error = (observed - declared).abs();
        self.mean_error += weight * (mean_error - self.mean_error);
        self.declared_error += weight * (declared_error - self.declared_error);
        self.mean += weight * (observed - self.mean);
        self.count += 1.0;
    }
}

fn ln_seconds(span: Duration) -> f64 {
    span.as_secs_f64().clamp(MIN_SECONDS, MAX_SECONDS).ln()
}

fn from_ln(ln: f64) -> Duration {
    Duration::from_secs_f64(ln.exp().clamp(MIN_SECONDS, MAX_SECONDS))
}
