//! Wire format of the ids of tasks.

use cardamomslip_core::guarded::model::ids::{ClientJobId, TaskId};
use serde::{Deserialize, Serialize};

/// `job`, `repetition`, `step`, `index`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TaskWire(u64, u32, u32, u32);

impl From<TaskId> for TaskWire {
    fn from(id: TaskId) -> Self {
        Self(id.job.0, id.repetition, id.step, id.index)
    }
}

impl From<TaskWire> for TaskId {
    fn from(TaskWire(job, repetition, step, index): TaskWire) -> Self {
        Self {
            job: ClientJobId(job),
            repetition,
            step,
            index,
        }
    }
}
