//! Tunable parameters of the dispatcher.

use std::time::Duration;

macro_rules! policy {
    ($($(#[$doc:meta])* $name:ident: $ty:ty = $default:expr,)*) => {
        /// Parameters of the scheduling, routing and retention decisions of a node, built by
        /// [`PolicyBuilder`].
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $ty,)*
        }

        impl Default for Policy {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        /// Builder for [`Policy`]. Parameters that are not set keep their defaults.
        #[derive(Clone, Debug, Default)]
        pub struct PolicyBuilder {
            policy: Policy,
        }

        impl PolicyBuilder {
            /// Creates a builder with the default of every parameter.
            #[must_use]
            pub fn new() -> Self {
                Self::default()
            }

            $($(#[$doc])*
            #[must_use]
            pub fn $name(mut self, value: $ty) -> Self {
                self.policy.$name = value;
                self
            })*

            /// Returns the finished policy.
            #[must_use]
            pub fn build(self) -> Policy {
                self.policy
            }
        }
    };
}

/// How the slots of executors are shared between issuers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// A single slot owner grants slots to the issuers that have work.
    Owner,
    /// Each issuer starts tasks on the executor on which it has the least outstanding work of its
    /// own, and retries if the executor refuses. Baseline for the benchmarks.
    Independent,
}

/// Order in which the jobs of one customer are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOrder {
    /// The job with the least remaining estimated work first, with ageing against starvation.
    ShortestRemaining,
    /// The job that was submitted first.
    Fifo,
}

/// Choice of the idle slot for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// A slot of the fastest idle executor.
    Fastest,
    /// A slot of the slowest idle executor on which the task still ends by the time at which its
    /// job is expected to end.
    BestFit,
}

policy! {
    /// How the slots of executors are shared between issuers.
    sharing: Sharing = Sharing::Owner,
    /// Order in which the jobs of one customer are served.
    job_order: JobOrder = JobOrder::ShortestRemaining,
    /// Choice of the idle slot for a task.
    placement: Placement = Placement::BestFit,
    /// Interval of heartbeats between peers.
    heartbeat_interval: Duration = Duration::from_millis(2_000),
    /// Time without a message from a peer after which it is excluded from routing and slot
    /// ownership.
    peer_timeout: Duration = Duration::from_millis(5_000),
    /// Minimum interval between two demands of an issuer while work waits without slots.
    urgent_demand_interval: Duration = Duration::from_millis(5),
    /// Minimum interval between two demands of an issuer that only returns slots.
    demand_interval: Duration = Duration::from_millis(110),
    /// Delay between a demand and the owner's allocation of slots, which batches demands.
    plan_delay: Duration = Duration::from_micros(500),
    /// Minimum interval between two grants to an issuer of slots that need not be fast.
    grant_interval: Duration = Duration::from_millis(15),
    /// Interval at which an issuer repeats its demand while it holds slots or has claims.
    demand_refresh_interval: Duration = Duration::from_millis(500),
    /// Time for which an issuer keeps an idle slot for its next job before it returns the slot.
    idle_slot_timeout: Duration = Duration::from_millis(5),
    /// Time within which a demand must confirm a grant; after that the grant counts as lost.
    grant_lifetime: Duration = Duration::from_millis(1_500),
    /// Limit on the time that a new owner waits for the demands of all issuers before it grants.
    owner_startup_delay: Duration = Duration::from_millis(400),
    /// Reduction of a job's rank per unit of its age; a lower rank is served first.
    ageing: f64 = 0.5,
    /// Limit on the claims that a demand lists job by job; the rest is summed up per customer.
    max_claims: usize = 32,
    /// Weight of a new observation in the learned speed of an executor.
    speed_update_weight: f64 = 0.02,
    /// Consecutive task failures after which an executor is ejected. A fast failure counts twice.
    max_consecutive_failures: u32 = 3,
    /// Duration of the first ejection. It doubles with each further ejection.
    base_ejection_time: Duration = Duration::from_millis(1_000),
    /// Limit on the duration of an ejection.
    max_ejection_time: Duration = Duration::from_millis(30_000),
    /// Time for which an executor gets no work after it refused a start as busy.
    busy_backoff: Duration = Duration::from_millis(50),
    /// Time for which an executor's own report that it is leaving overrides a VM list that still
    /// shows it as live.
    leaving_report_ttl: Duration = Duration::from_millis(30_000),
    /// Attempt timeout as a multiple of the expected run time.
    attempt_timeout_factor: u32 = 20,
    /// Lower bound of the attempt timeout.
    min_attempt_timeout: Duration = Duration::from_millis(20_000),
    /// Limit on the starts of one task of a repeatable job.
    max_attempts: u32 = 3,
    /// Time for which an id may be submitted after it was issued, and for which an outcome is kept
    /// after the job ended.
    retention: Duration = Duration::from_secs(600),
    /// Limit on the ids that one request may take.
    max_id_batch: u32 = 1_000,
    /// Limit on the bytes of all open jobs that this incarnation issued. A job beyond it is refused.
    max_open_bytes: usize = 512 * 1024 * 1024,
    /// Limit on the tasks of one job.
    max_tasks: usize = 1_500,
    /// Limit on the requests that wait for one job.
    max_waiters: usize = 64,
    /// Limit on the forwarded requests without a response.
    max_forwards: usize = 10_000,
    /// Time, added to the request's own wait, after which a forwarded request counts as unanswered.
    forward_timeout_margin: Duration = Duration::from_millis(3_000),
    /// Timeout of a store operation, repetitions included.
    store_timeout: Duration = Duration::from_millis(10_000),
    /// Delay before a store operation is repeated.
    store_retry_delay: Duration = Duration::from_millis(200),
    /// Interval at which usage is written to the store if it changed.
    usage_interval: Duration = Duration::from_millis(5_000),
    /// Time for which a graceful stop waits for the handover and the last usage report.
    handover_timeout: Duration = Duration::from_millis(10_000),
    /// Limit on the outcomes in one part of a handover.
    handover_part_len: usize = 256,
    /// Time for which a VM must be missing from the VM list before its jobs count as lost.
    delisted_vm_timeout: Duration = Duration::from_secs(60),
}
