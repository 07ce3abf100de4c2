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
    /// Id of a job, chosen by its client.
    ClientJobId
);
id!(
    /// Id of a worker, a hash of its name.
    WorkerId
);
id!(
    /// Id of a queue, a hash of its name.
    QueueId
);
id!(
    /// Id of an upstream, the service whose workers run a queue's tasks; a hash of its name.
    UpstreamId
);
id!(
    /// Fencing token of a hold on a worker. A worker refuses requests with a token below the
    /// highest one that it has seen.
    FencingToken
);

/// Id of a task within a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: ClientJobId,
    /// Number of the repetition; 0 for jobs that run once.
    pub repetition: u32,
    /// Number of the step within the job, from 0.
    pub step: u32,
    /// Number of the task within the step, from 0.
    pub index: u32,
}

/// Id of a run, which is one start of a task. Later runs of a task have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId {
    /// Task that the run executes.
    pub task: TaskId,
    /// Number of the run, from 1.
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
