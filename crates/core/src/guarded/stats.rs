//! Counters and gauges of one dispatcher.

use std::sync::Arc;
use std::time::Duration;

/// Counters since the start of the process, and gauges of the current state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs submitted by clients of this VM.
    pub submitted: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused before any task was started.
    pub refused: u64,
    /// Jobs dropped after tasks may have run.
    pub lost: u64,
    /// Jobs whose last client disconnected before the answer.
    pub abandoned: u64,
    /// Jobs answered as cancelled.
    pub cancelled: u64,
    /// Cancellations that clients of this VM requested.
    pub cancels: u64,
    /// Cancellations acknowledged after some VM had ended the job.
    pub cancels_found: u64,
    /// Cancellations of jobs that no VM knew.
    pub cancels_unknown: u64,
    /// Cancellations of jobs that no VM knew that could be asked, while others could not.
    pub cancels_incomplete: u64,
    /// Cancellations that currently wait for other VMs.
    pub open_cancels: u64,
    /// Current number of marks of cancelled jobs.
    pub cancel_marks: u64,
    /// Cancellations by clients for which all VMs were asked.
    pub cancels_passed_on: u64,
    /// Cancellations by clients for which not all VMs were asked, as too many were asked before.
    pub cancels_over_limit: u64,
    /// Placements of jobs with a peer.
    pub placed_remote: u64,
    /// Runs started, not counting repeated requests.
    pub starts: u64,
    /// Starts that a worker refused for reasons other than a fencing token or a reboot.
    pub starts_refused: u64,
    /// Polls, starts and stops that went unanswered.
    pub unanswered_requests: u64,
    /// Start requests that went unanswered.
    pub starts_unanswered: u64,
    /// Tasks whose start may still be carried out by a worker that did not answer it.
    pub starts_in_flight: u64,
    /// Times that a due task waited for a start in flight.
    pub jobs_held_by_start: u64,
    /// Stop requests sent.
    pub stops: u64,
    /// Stops that a worker refused for reasons other than a fencing token or a reboot.
    pub stops_refused: u64,
    /// Runs whose stop had no effect for too long.
    pub stops_overdue: u64,
    /// Times that a worker's lease was no longer renewed because a stop there had no effect.
    pub leases_withheld: u64,
    /// Times that a worker's lease was no longer renewed because the entry of a job there may be gone.
    pub leases_in_doubt: u64,
    /// Polls sent to workers.
    pub polls: u64,
    /// Acquisitions of workers begun.
    pub acquisitions: u64,
    /// Workers whose runs ended because their lease expired, while they were silent or it was withheld.
    pub expired_leases: u64,
    /// Ejections of workers for failures.
    pub ejections: u64,
    /// Workers that were lost with their runs.
    pub lost_workers: u64,
    /// Jobs given up because a task of them crashes its workers.
    pub given_up: u64,
    /// Jobs ended because a task of them probably crashed a worker and was not tried again.
    pub set_aside: u64,
    /// Times that a queue was contained.
    pub containments: u64,
    /// Queues that are currently contained.
    pub contained_queues: u64,
    /// Jobs that the shares put before jobs of other queues.
    pub put_first_by_shares: u64,
    /// Jobs that the shares held back behind jobs of other queues.
    pub held_back_by_shares: u64,
    /// Changes of the evacuations that this VM learned of.
    pub evacuation_changes: u64,
    /// Data centres that are currently evacuated.
    pub evacuated_data_centres: u64,
    /// Tasks currently suspected of crashing their workers.
    pub suspects: u64,
    /// Peers that are currently connected.
    pub linked_peers: u64,
    /// Relays of this data centre, as this VM knows them.
    pub relays: u64,
    /// Cells that this VM currently claims.
    pub held_cells: u64,
    /// Workers in the registry; 0 if this VM does not follow it.
    pub registered_workers: u64,
    /// Workers of which this VM keeps the state of its hold; ticks visit these only.
    pub worker_rows: u64,
    /// Age of the oldest load of a holder in another data centre that relays reported.
    pub oldest_remote_load: Duration,
    /// Workers currently held.
    pub held_workers: u64,
    /// Tasks currently waiting.
    pub waiting_tasks: u64,
    /// Runs that are currently present or may be.
    pub running: u64,
}

/// What a queue uses of the workers held by this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueShare {
    /// Name of the queue; its id if the configuration does not list it.
    pub name: Arc<str>,
    /// CPU that its runs occupy, in thousandths of a core.
    pub in_use_milli: u64,
    /// Its share of these workers in thousandths of a core; 0 while there is room for all.
    pub share_milli: u64,
}
