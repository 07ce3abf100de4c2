//! Parameters of a generated job.

use crate::history::{Submission, task};
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::spec::{JobSpec, Repeatability};
use std::time::Duration;

/// Parameters of a generated job. All its tasks are alike.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of tasks.
    pub tasks: usize,
    /// True run time of a task, in milliseconds.
    pub run_ms: u64,
    /// Declared run time of a task, in milliseconds.
    pub declared_ms: u64,
    /// Slots of a task. If no executor has as many, the job is impossible.
    pub slots: u16,
    /// Deadline of the job, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether tasks may be started more than once.
    pub repeatable: bool,
}

impl Shape {
    /// Builds a submission with this label that has no id yet.
    pub fn submission(self, label: &str, customer: CustomerId) -> Submission {
        let tasks = (0..self.tasks)
            .map(|i| task(label, i, self.run_ms, self.declared_ms, self.slots))
            .collect();
        let repeatability = if self.repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::Unrepeatable
        };
        let deadline = self.deadline_ms.map(Duration::from_millis);
        Submission {
            label: label.to_owned(),
            customer,
            id: None,
            spec: JobSpec {
                tasks,
                deadline,
                repeatability,
            },
            submitted: false,
        }
    }
}
