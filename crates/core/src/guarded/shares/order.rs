//! Order of the waiting jobs of several queues.

use crate::collections::FastMap;
use crate::guarded::model::ids::QueueId;
use std::hash::BuildHasher;

/// What a queue may still get, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Part that it does not use of its part by weight; negative above that.
    pub part_left: f64,
    /// Part of its share that it does not use; negative above its share.
    pub share_left: f64,
    /// Part of its quota that it does not use; negative above its quota.
    pub quota_left: f64,
}

/// Group of a job; the lower one goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The job has begun, or is urgent and its queue uses less than its part by weight.
    #[default]
    First,
    /// The job is urgent and its queue uses less than its share.
    WithinShare,
    /// Its queue uses its share.
    AboveShare,
    /// Its queue uses its quota.
    AboveQuota,
}

/// A waiting job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entrant<T> {
    /// Its queue.
    pub queue: QueueId,
    /// CPU that its due tasks need, in thousandths of a core.
    pub need_milli: f64,
    /// Whether a task of it was started.
    pub has_begun: bool,
    /// Whether it will be late unless it starts soon.
    pub is_urgent: bool,
    /// Whether jobs of its size are behind those of the other sizes of its queue.
    pub is_behind: bool,
    /// Its group, set by [`order`].
    pub standing: Standing,
    /// Whether it goes before a job of another queue that would precede it otherwise. Set by [`order`].
    pub is_put_first: bool,
    /// Whether a job of another queue goes before it that would follow it otherwise. Set by [`order`].
    pub is_held_back: bool,
    /// The job.
    pub item: T,
}

/// Sorts jobs, given in the order that would apply without shares.
///
/// Jobs that have begun go first, with urgent ones that fit in what their queue does not use of its part by
/// weight; then urgent ones that fit in its share.
/// Within a group the given order applies. Within a queue, sizes that are behind go before others
/// that have not begun.
pub fn order<T, S: BuildHasher>(
    entrants: &mut [Entrant<T>],
    budgets: &std::collections::HashMap<QueueId, Budget, S>,
) {
    promote_sizes_behind(entrants);
    assign_standings(entrants, budgets);
    mark_changes(entrants);
    entrants.sort_by_key(|entrant| entrant.standing);
}

/// Moves the sizes that are behind to the first places that their queue has. The places of the other
/// queues, and of jobs that have begun, do not change.
fn promote_sizes_behind<T>(entrants: &mut [Entrant<T>]) {
    let mut next_by_queue: FastMap<QueueId, usize> = FastMap::default();
    for i in 0..entrants.len() {
        if !entrants[i].is_behind || entrants[i].has_begun {
            continue;
        }
        let queue = entrants[i].queue;
        let from = next_by_queue.get(&queue).copied().unwrap_or(0);
        let is_place = |j: &usize| entrants[*j].queue == queue && !entrants[*j].has_begun;
        let places: Vec<usize> = (from..=i).filter(is_place).collect();
        next_by_queue.insert(queue, places[0] + 1);
        // Moves the job to the first place and each of the others one place on.
        for pair in places.windows(2).rev() {
            entrants.swap(pair[0], pair[1]);
        }
    }
}

fn assign_standings<T, S: BuildHasher>(
    entrants: &mut [Entrant<T>],
    budgets: &std::collections::HashMap<QueueId, Budget, S>,
) {
    let mut budgets: FastMap<QueueId, Budget> = budgets.iter().map(|(&id, &b)| (id, b)).collect();
    // Begun jobs take their part of the budget first.
    for entrant in entrants.iter().filter(|entrant| entrant.has_begun) {
        charge(&mut budgets, entrant);
    }
    for entrant in entrants.iter_mut().filter(|entrant| !entrant.has_begun) {
        let budget = budgets.get(&entrant.queue);
        entrant.standing = budget.map_or(Standing::First, |budget| {
            if budget.quota_left <= 0.0 {
                Standing::AboveQuota
            } else if budget.share_left <= 0.0 || !entrant.is_urgent {
                Standing::AboveShare
            } else if budget.part_left <= 0.0 {
                Standing::WithinShare
            } else {
                Standing::First
            }
        });
        charge(&mut budgets, entrant);
    }
}

fn charge<T>(budgets: &mut FastMap<QueueId, Budget>, entrant: &Entrant<T>) {
    if let Some(budget) = budgets.get_mut(&entrant.queue) {
        budget.part_left -= entrant.need_milli;
        budget.share_left -= entrant.need_milli;
        budget.quota_left -= entrant.need_milli;
    }
}

fn mark_changes<T>(entrants: &mut [Entrant<T>]) {
    let mut highest = Standing::First;
    for entrant in entrants.iter_mut() {
        entrant.is_put_first = entrant.standing < highest;
        highest = highest.max(entrant.standing);
    }
    let mut lowest = highest;
    for entrant in entrants.iter_mut().rev() {
        entrant.is_held_back = entrant.standing > lowest;
        lowest = lowest.min(entrant.standing);
    }
}
