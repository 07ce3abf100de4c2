//! Parameters of the decisions.

use std::time::Duration;

macro_rules! policy {
    ($($(#[$doc:meta])* $name:ident: $ty:ty = $default:expr,)*) => {
        /// Parameters of the decisions, built by [`PolicyBuilder`].
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[$doc])* pub $name: $ty,)*
        }

        impl Default for Policy {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        /// Builds a [`Policy`]; what is not set keeps its default.
        #[derive(Clone, Debug, Default)]
        pub struct PolicyBuilder {
            policy: Policy,
        }

        impl PolicyBuilder {
            /// Starts from the defaults.
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

            /// Returns the policy.
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
    /// One owner grants slots to the issuers that have work.
    Owner,
    /// Each issuer starts on the executor with its own least outstanding work, and retries when
    /// the executor refuses. The baseline of the benchmarks.
    Independent,
}

/// Order of jobs within a customer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOrder {
    /// The job with the least remaining estimated work first, with ageing.
    SmallestRemaining,
    /// First come, first served.
    Arrival,
}

/// Which idle slot a task takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The fastest idle executor.
    Fastest,
    /// The slowest idle executor on which the task still ends by the time at which its job is
    /// expected to end anyway.
    Fit,
}

policy! {
    /// How slots are shared.
    sharing: Sharing = Sharing::Owner,
    /// Order of jobs within a customer's share.
    job_order: JobOrder = JobOrder::SmallestRemaining,
    /// Which idle slot a task takes.
    placement: Placement = Placement::Fit,
    /// Interval of heartbeats between peers.
    heartbeat_interval: Duration = Duration::from_millis(2_000),
    /// Silence after which a peer is left out of routing and ownership.
    peer_silence: Duration = Duration::from_millis(5_000),
    /// Least time between two demands of an issuer when work waits without slots.
    urgent_demand_interval: Duration = Duration::from_millis(5),
    /// Least time between two demands of an issuer that returns unneeded slots.
    demand_interval: Duration = Duration::from_millis(110),
    /// Time that an owner collects demands before it plans.
    plan_delay: Duration = Duration::from_micros(500),
    /// Least time between two grants to an issuer of slots that need not be fast.
    grant_interval: Duration = Duration::from_millis(15),
    /// Interval at which demands are repeated while an issuer holds slots or has claims.
    demand_refresh: Duration = Duration::from_millis(500),
    /// Time that an issuer keeps an idle slot for its next job.
    idle_slot_linger: Duration = Duration::from_millis(5),
    /// Age after which a grant that no demand confirmed counts as lost.
    grant_lifetime: Duration = Duration::from_millis(1_500),
    /// Time that a new owner waits for the issuers' demands before it grants.
    owner_settle_time: Duration = Duration::from_millis(400),
    /// Reduction of a job's rank per unit of its age.
    ageing: f64 = 0.5,
    /// Claims that one demand lists at most.
    max_claims: usize = 32,
    /// Weight of a new observation of an executor's speed.
    speed_gain: f64 = 0.02,
    /// Consecutive task failures without a success after which an executor is ejected.
    failure_streak: u32 = 3,
    /// First ejection time; doubles with each further ejection.
    ejection_base: Duration = Duration::from_millis(1_000),
    /// Longest ejection time.
    ejection_max: Duration = Duration::from_millis(30_000),
    /// Time for which an executor that refused as busy is left out.
    busy_backoff: Duration = Duration::from_millis(50),
    /// Time for which an executor's word counts that it is leaving while the list has it live.
    leaving_memory: Duration = Duration::from_millis(30_000),
    /// Attempt timeout as a multiple of the expected run time.
    timeout_factor: u32 = 20,
    /// Least attempt timeout.
    timeout_min: Duration = Duration::from_millis(20_000),
    /// Starts of one task of a repeatable job at most.
    max_attempts: u32 = 3,
    /// Time for which an id may be submitted after it was issued, and for which an outcome is
    /// kept after the job ended.
    retention: Duration = Duration::from_secs(600),
    /// Ids that one request takes at most.
    max_id_batch: u32 = 1_000,
    /// Tasks of one job at most.
    max_tasks: usize = 1_500,
    /// Requests that wait for one job at most.
    max_waiters: usize = 64,
    /// Forwarded requests without a response at most.
    max_forwards: usize = 10_000,
    /// Time on top of a request's own wait after which a forward counts as unanswered.
    forward_grace: Duration = Duration::from_millis(3_000),
    /// Time within which the store has to settle an operation, repetitions included.
    store_deadline: Duration = Duration::from_millis(10_000),
    /// Delay before an operation on the store is repeated.
    store_retry_delay: Duration = Duration::from_millis(200),
    /// Interval at which changed usage is written.
    usage_interval: Duration = Duration::from_millis(5_000),
    /// Time for which a graceful stop waits for the hand-over and the last usage report.
    handover_timeout: Duration = Duration::from_millis(10_000),
    /// Outcomes in one part of a hand-over.
    handover_part: usize = 256,
    /// Time that a VM has to be missing from the VM list before its jobs count as lost.
    delisted_after: Duration = Duration::from_secs(60),
}
