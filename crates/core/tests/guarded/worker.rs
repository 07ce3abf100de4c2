//! Model of a worker as the platform specifies it: checks capacity, lease, fencing token and run
//! numbers of each request.

use cardamomslip_core::guarded::model::ids::{FencingToken, RunId, TaskId};
use cardamomslip_core::guarded::model::reply::{
    EndedRun, RunEnd, RunInProgress, StartReply, StopReply, WorkerStatus,
};
use cardamomslip_core::guarded::model::resources::Resources;
use std::collections::BTreeMap;

/// How a worker executes the runs that it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Normal,
    /// Each run fails after 5 ms.
    FailAll,
    /// No run ends by itself.
    Hang,
    /// Each run takes six times as long.
    Slow,
}

#[derive(Clone, Debug)]
struct ActiveRun {
    number: u64,
    ends_at: u64,
    need: Resources,
    end: RunEnd,
}

/// Model of a worker. Times are in microseconds of the simulation.
#[derive(Debug)]
pub struct ModelWorker {
    pub capacity: Resources,
    pub behaviour: Behaviour,
    /// Kind of hardware, its first label.
    pub kind: &'static str,
    /// Factor by which runs take longer than their estimates.
    pub slowness: f64,
    pub up: bool,
    pub draining_since: Option<u64>,
    pub boot: u64,
    /// Speed of its monotonic clock relative to the simulation.
    clock_rate: f64,
    token: FencingToken,
    lease_end_ms: u64,
    runs: BTreeMap<TaskId, ActiveRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    /// Highest run number of each task that has ended or was stopped. A start with this number or a
    /// lower one is rejected.
    max_closed_run: BTreeMap<TaskId, u64>,
    pub rejected_for_capacity: u64,
    pub started: u64,
    /// Whether it rejects runs for which it has no room.
    pub guards_capacity: bool,
    /// Time for which it says that it is slow after its start.
    pub cold_left_ms: u64,
    /// Whether it refuses every stop and does nothing for it.
    pub refuses_stops: bool,
    /// Value at which its clock starts in each boot.
    pub clock_start_ms: u64,
    /// Capacity before it last shrank, and the time until which that still counts.
    former_capacity: Option<(Resources, u64)>,
}

/// Time for which a larger capacity of before still counts for starts, in microseconds: the time
/// within which VMs must know of a change, and a heartbeat of the worker.
const FORMER_CAPACITY_TIME: u64 = 4_500_000;

/// Time from a stop request to the end of the run, in microseconds.
const STOP_GRACE: u64 = 50_000;

impl ModelWorker {
    pub fn new(now: u64, capacity: Resources, clock_rate: f64) -> Self {
        Self {
            capacity,
            behaviour: Behaviour::Normal,
            kind: "a",
            slowness: 1.0,
            up: true,
            draining_since: None,
            boot: now + 1,
            clock_rate,
            token: FencingToken(0),
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            max_closed_run: BTreeMap::new(),
            rejected_for_capacity: 0,
            started: 0,
            guards_capacity: true,
            cold_left_ms: 0,
            refuses_stops: false,
            clock_start_ms: 0,
            former_capacity: None,
        }
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Restarts under the same id and loses all runs, the lease and the fencing token.
    pub fn reboot(&mut self, now: u64) {
        let started = self.started;
        let behaviour = self.behaviour;
        let (kind, slowness) = (self.kind, self.slowness);
        let guards_capacity = self.guards_capacity;
        let refuses_stops = self.refuses_stops;
        let clock_start_ms = self.clock_start_ms;
        let former_capacity = self.former_capacity;
        *self = Self {
            behaviour,
            kind,
            slowness,
            started,
            guards_capacity,
            refuses_stops,
            clock_start_ms,
            former_capacity,
            ..Self::new(now, self.capacity, self.clock_rate)
        };
    }

    fn clock_ms(&self, now: u64) -> u64 {
        self.clock_start_ms + ((now - self.boot.min(now)) as f64 * self.clock_rate / 1e3) as u64
    }

    /// Ends the runs that are due, and all runs if the lease has expired.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock_ms(now);
        let is_expired = clock >= self.lease_end_ms;
        let due: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| is_expired || run.ends_at <= now)
            .map(|(&task, _)| task)
            .collect();
        for task in due {
            let run = self.runs.remove(&task).expect("the run is in progress");
            let end = if run.ends_at <= now {
                run.end
            } else {
                RunEnd::Lapsed
            };
            self.record_end(task, run.number, end);
        }
    }

    fn record_end(&mut self, task: TaskId, number: u64, end: RunEnd) {
        let run = RunId { task, number };
        self.close_run(run);
        self.ended.push(EndedRun {
            number: self.next_end,
            run,
            end,
        });
        self.next_end += 1;
    }

    fn close_run(&mut self, run: RunId) {
        let closed = self.max_closed_run.entry(run.task).or_default();
        *closed = (*closed).max(run.number);
    }

    /// Returns the next time at which a run ends or the lease expires, or `None` without runs.
    pub fn next_event_at(&self, now: u64) -> Option<u64> {
        let first = self.runs.values().map(|run| run.ends_at).min()?;
        let left_ms = self.lease_end_ms.saturating_sub(self.clock_ms(now));
        let expiry = now + (left_ms as f64 * 1e3 / self.clock_rate) as u64 + 1_000;
        Some(first.min(expiry).max(now + 1))
    }

    /// Returns the time until the lease expires, in milliseconds of the worker's clock.
    pub fn lease_left_ms(&self, now: u64) -> u64 {
        self.lease_end_ms.saturating_sub(self.clock_ms(now))
    }

    /// Raises the highest fencing token seen.
    pub fn raise_token(&mut self, token: FencingToken) {
        self.token = self.token.max(token);
    }

    /// Returns whether a token is at least as high as all seen before, and if so records it.
    fn accept_token(&mut self, token: FencingToken) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }

    /// Handles a poll: removes the acknowledged ends and extends the lease. Returns `None` if the
    /// token is too low.
    pub fn poll(
        &mut self,
        now: u64,
        token: FencingToken,
        lease_end_ms: Option<u64>,
        last_seen: u64,
    ) -> Option<WorkerStatus> {
        self.advance(now);
        if !self.accept_token(token) {
            return None;
        }
        self.ended.retain(|ended| ended.number > last_seen);
        if let Some(end) = lease_end_ms {
            self.lease_end_ms = self.lease_end_ms.max(end.min(self.clock_ms(now) + 1_000));
        }
        Some(self.status(now))
    }

    pub fn status(&self, now: u64) -> WorkerStatus {
        let running = self.runs.iter().map(|(&task, run)| RunInProgress {
            run: RunId {
                task,
                number: run.number,
            },
            percent: None,
        });
        WorkerStatus {
            clock_ms: self.clock_ms(now),
            boot: Some(self.boot),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub fn has_ended_runs(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Handles the start of a run that takes `work` microseconds.
    pub fn start(
        &mut self,
        now: u64,
        run: RunId,
        token: FencingToken,
        lease_end_ms: u64,
        need: Resources,
        work: u64,
    ) -> StartReply {
        self.advance(now);
        if !self.accept_token(token) {
            return StartReply::Fenced;
        }
        let clock_ms = self.clock_ms(now);
        if lease_end_ms <= clock_ms && self.lease_end_ms <= clock_ms {
            return StartReply::Late;
        }
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms.min(clock_ms + 1_000));
        if let Some(active) = self.runs.get(&run.task) {
            return if active.number == run.number {
                StartReply::Started { clock_ms }
            } else {
                StartReply::OldRun
            };
        }
        let closed = self.max_closed_run.get(&run.task);
        if closed.is_some_and(|&closed| run.number <= closed) {
            return StartReply::OldRun;
        }
        let has_room = self.capacity.without(&self.used()).can_fit(&need);
        if !has_room && self.guards_capacity {
            self.rejected_for_capacity += 1;
            return StartReply::NoRoom;
        }
        let (ends_at, end) = match self.behaviour {
            Behaviour::Normal => (now + work, RunEnd::Done),
            Behaviour::Slow => (now + work * 6, RunEnd::Done),
            Behaviour::FailAll => (now + 5_000, RunEnd::Failed),
            Behaviour::Hang => (u64::MAX, RunEnd::Done),
        };
        self.started += 1;
        let number = run.number;
        self.runs.insert(
            run.task,
            ActiveRun {
                number,
                ends_at,
                need,
                end,
            },
        );
        StartReply::Started { clock_ms }
    }

    /// Changes the capacity of the running worker.
    pub fn resize(&mut self, now: u64, cpu_milli: u64) {
        let counting = self.former_capacity.filter(|(_, until)| now < *until);
        let largest = counting.map_or(self.capacity, |(former, _)| former);
        self.capacity.cpu_milli = cpu_milli;
        if largest.cpu_milli > cpu_milli {
            self.former_capacity = Some((largest, now + FORMER_CAPACITY_TIME));
        }
    }

    /// Returns whether the runs, with those that are being stopped, exceed the capacity, also that of
    /// before it shrank if this still counts.
    pub fn is_overloaded(&self, now: u64) -> bool {
        let former = self.former_capacity.filter(|(_, until)| now < *until);
        let former = former.map_or(self.capacity, |(former, _)| former);
        let used = self.used();
        !self.capacity.can_fit(&used) && !former.can_fit(&used)
    }

    fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.need;
        }
        used
    }

    /// Handles the stop of a run. The run ends after `STOP_GRACE` unless it is done before.
    pub fn stop(&mut self, now: u64, run: RunId, token: FencingToken) -> StopReply {
        self.advance(now);
        if self.refuses_stops {
            return StopReply::Refused;
        }
        if !self.accept_token(token) {
            return StopReply::Fenced;
        }
        self.close_run(run);
        if let Some(active) = self.runs.get_mut(&run.task)
            && active.number <= run.number
        {
            let stopped = now + STOP_GRACE;
            if stopped < active.ends_at {
                active.ends_at = stopped;
                active.end = RunEnd::Stopped;
            }
        }
        StopReply::Stopped
    }

    /// Returns the tasks that have a run in progress.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.runs.keys().copied()
    }
}
