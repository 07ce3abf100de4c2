//! Identifiers of jobs, tasks and workers.

use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

id!(
    /// A job, named by its client.
    ClientJobId
);
id!(
    /// A worker, derived from its name.
    WorkerId
);
id!(
    /// A queue, derived from its name.
    QueueId
);
id!(
    /// An upstream: the service whose workers run a queue's tasks, derived from its name.
    UpstreamId
);
id!(
    /// A fencing token. A worker does nothing for a token below the highest that it saw.
    FencingToken
);

/// A task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: ClientJobId,
    /// Number of the repetition, 0 for jobs that run once.
    pub repetition: u32,
    /// Number of the step within the job.
    pub step: u32,
    /// Number of the task within the step.
    pub index: u32,
}

/// One start of a task. Later runs have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the start, from 1.
    pub number: u64,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let task = self.task;
        write!(
            f,
            "{}.{}.{}#{}",
            task.job, task.step, task.index, self.number
        )
    }
}
