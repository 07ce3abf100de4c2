//! What each queue uses of the workers held by this VM.

use crate::collections::FastMap;
use crate::guarded::model::ids::QueueId;
use crate::guarded::shares::SizeClasses;
use crate::model::time::Time;
use std::time::Duration;

/// Maximum number of accounts. Queues beyond it are ordered as if they were below their share.
const MAX_ACCOUNTS: usize = 64;
/// Time constant of the mean of the recent use.
const RECENT_SPAN: Duration = Duration::from_secs(1);
/// Time constant of the mean of the usual use, several times as long as a burst.
const USUAL_SPAN: Duration = Duration::from_secs(30);
/// Time without runs and jobs after which an account is removed.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Time for which room counts as short after a task found none.
const SHORT_FOR: Duration = Duration::from_millis(100);
/// Time for which a queue must not exceed its share for that to be logged. Limits the log lines of a
/// queue that is close to its share.
const LOG_END_AFTER: Duration = Duration::from_secs(1);

/// Decaying mean. Before it has run for long, it is the mean of what was recorded so far.
#[derive(Clone, Copy, Debug, Default)]
struct LongMean {
    sum: f64,
    weight: f64,
}

impl LongMean {
    /// Records a value for the time since the last one, in which the older ones decay to the part `kept`.
    fn record(&mut self, value: f64, kept: f64) {
        self.sum = kept * self.sum + (1.0 - kept) * value;
        self.weight = kept * self.weight + (1.0 - kept);
    }

    fn get(&self) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            0.0
        }
    }
}

/// Use of the workers held by this VM by one queue.
#[derive(Clone, Debug)]
pub struct QueueAccount {
    /// Priority of its last job.
    pub priority: u32,
    /// CPU that its runs occupy, in thousandths of a core.
    pub in_use_milli: u64,
    /// Mean of that over the last second or so.
    recent_milli: f64,
    usual: LongMean,
    /// Sizes of its jobs, and how they are served.
    pub sizes: SizeClasses,
    last_used_at: Time,
    /// Last time at which it exceeded its share while others waited.
    above_at: Time,
    /// Whether the last log line said that it exceeds its share.
    is_logged: bool,
}

impl QueueAccount {
    fn new(now: Time, priority: u32) -> Self {
        Self {
            priority,
            in_use_milli: 0,
            recent_milli: 0.0,
            usual: LongMean::default(),
            sizes: SizeClasses::default(),
            last_used_at: now,
            above_at: now,
            is_logged: false,
        }
    }

    /// Returns what it uses, as the mean of the present and the recent use: a queue may exceed its
    /// share for a moment if it used less before.
    #[allow(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn held_milli(&self) -> f64 {
        f64::midpoint(self.in_use_milli as f64, self.recent_milli)
    }

    /// Returns its mean use over a longer time, or since its first job.
    pub fn usual_milli(&self) -> f64 {
        self.usual.get()
    }

    /// Records whether the queue exceeds its share while others wait. Returns the state if a log line
    /// is due.
    pub fn record_excess(&mut self, now: Time, is_above: bool) -> Option<bool> {
        if is_above {
            self.above_at = now;
        }
        let is_over = !is_above && now.since(self.above_at) >= LOG_END_AFTER;
        let is_due = if self.is_logged { is_over } else { is_above };
        if !is_due {
            return None;
        }
        self.is_logged = is_above;
        Some(is_above)
    }
}

/// Accounts of all queues.
#[derive(Debug, Default)]
pub struct QueueAccounts {
    rows: FastMap<QueueId, QueueAccount>,
    updated_at: Time,
    /// Last time at which a task found no room.
    short_at: Option<Time>,
}

impl QueueAccounts {
    /// Returns whether room is short: a task found none a moment ago.
    pub fn is_short(&self, now: Time) -> bool {
        self.short_at.is_some_and(|at| now.since(at) < SHORT_FOR)
    }

    /// Records that a task found no room.
    pub const fn record_shortage(&mut self, now: Time) {
        self.short_at = Some(now);
    }

    /// Returns the account of a queue.
    pub fn get(&self, queue: QueueId) -> Option<&QueueAccount> {
        self.rows.get(&queue)
    }

    /// Same as [`Self::get`], to change it.
    pub fn get_mut(&mut self, queue: QueueId) -> Option<&mut QueueAccount> {
        self.rows.get_mut(&queue)
    }

    /// Returns the account of a queue, a new one if needed; `None` if there are too many.
    pub fn open(&mut self, now: Time, queue: QueueId, priority: u32) -> Option<&mut QueueAccount> {
        if self.rows.len() >= MAX_ACCOUNTS && !self.rows.contains_key(&queue) {
            return None;
        }
        let row = self.rows.entry(queue);
        let row = row.or_insert_with(|| QueueAccount::new(now, priority));
        row.priority = priority;
        row.last_used_at = now;
        Some(row)
    }

    /// Iterates over all accounts in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (QueueId, &QueueAccount)> {
        self.rows.iter().map(|(&queue, row)| (queue, row))
    }

    /// Same as [`Self::iter`], to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (QueueId, &mut QueueAccount)> {
        self.rows.iter_mut().map(|(&queue, row)| (queue, row))
    }

    /// Updates the means of the recent use, replaces the present use, and removes idle accounts.
    #[allow(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn update(&mut self, now: Time, in_use: &FastMap<QueueId, u64>) {
        let passed = now.since(self.updated_at).as_secs_f64();
        let kept = (-passed / RECENT_SPAN.as_secs_f64()).exp();
        let usual_kept = (-passed / USUAL_SPAN.as_secs_f64()).exp();
        self.updated_at = now;
        for (queue, row) in &mut self.rows {
            let present = row.in_use_milli as f64;
            row.recent_milli = present + kept * (row.recent_milli - present);
            row.usual.record(present, usual_kept);
            row.in_use_milli = in_use.get(queue).copied().unwrap_or(0);
            if row.in_use_milli > 0 {
                row.last_used_at = now;
            }
        }
        self.rows
            .retain(|_, row| now.since(row.last_used_at) < IDLE_TIME);
    }
}
