//! A worker as the platform describes it: guards its capacity, lease and fencing token.

use cardamomslip_core::guarded::model::ids::{FencingToken, RunId, TaskId};
use cardamomslip_core::guarded::model::reply::{
    EndedRun, RunEnd, RunInProgress, StartReply, StopReply, WorkerStatus,
};
use cardamomslip_core::guarded::model::resources::Resources;
use std::collections::BTreeMap;

/// How a worker treats what it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    Sound,
    FailsAll,
    Hangs,
    Slow,
}

#[derive(Clone, Debug)]
struct ActiveRun {
    number: u64,
    ends_at: u64,
    need: Resources,
    end: RunEnd,
}

/// A worker. Times are in microseconds of the simulation.
#[derive(Debug)]
pub struct ModelWorker {
    pub capacity: Resources,
    pub conduct: Conduct,
    pub up: bool,
    pub draining_since: Option<u64>,
    pub boot: u64,
    /// Speed of its steady clock.
    rate: f64,
    token: FencingToken,
    lease_end_ms: u64,
    runs: BTreeMap<TaskId, ActiveRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    barred: BTreeMap<TaskId, u64>,
    pub refused_for_room: u64,
    pub started: u64,
}

/// Time for which a stopped run goes on, in microseconds.
const STOP_GRACE: u64 = 50_000;

impl ModelWorker {
    pub fn new(now: u64, capacity: Resources, rate: f64) -> Self {
        Self {
            capacity,
            conduct: Conduct::Sound,
            up: true,
            draining_since: None,
            boot: now + 1,
            rate,
            token: FencingToken(0),
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
            refused_for_room: 0,
            started: 0,
        }
    }

    /// Loses everything and starts anew under the same id.
    pub fn reboot(&mut self, now: u64) {
        let started = self.started;
        let conduct = self.conduct;
        *self = Self {
            conduct,
            started,
            ..Self::new(now, self.capacity, self.rate)
        };
    }

    fn clock_ms(&self, now: u64) -> u64 {
        ((now - self.boot.min(now)) as f64 * self.rate / 1e3) as u64
    }

    /// Ends what has ended by now.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock_ms(now);
        let lapsed = clock >= self.lease_end_ms;
        let over: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(&task, _)| task)
            .collect();
        for task in over {
            let run = self.runs.remove(&task).expect("the run is there");
            let end = if run.ends_at <= now {
                run.end
            } else {
                RunEnd::Lapsed
            };
            self.add_end(task, run.number, end);
        }
    }

    fn add_end(&mut self, task: TaskId, number: u64, end: RunEnd) {
        let run = RunId { task, number };
        self.bar(run);
        self.ended.push(EndedRun {
            number: self.next_end,
            run,
            end,
        });
        self.next_end += 1;
    }

    fn bar(&mut self, run: RunId) {
        let barred = self.barred.entry(run.task).or_default();
        *barred = (*barred).max(run.number);
    }

    /// Returns the next time at which something ends by itself.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        let first = self.runs.values().map(|run| run.ends_at).min()?;
        let left_ms = self.lease_end_ms.saturating_sub(self.clock_ms(now));
        let lapse = now + (left_ms as f64 * 1e3 / self.rate) as u64 + 1_000;
        Some(first.min(lapse).max(now + 1))
    }

    /// Lets the worker have seen a token.
    pub fn raise_token(&mut self, token: FencingToken) {
        self.token = self.token.max(token);
    }

    fn sees(&mut self, token: FencingToken) -> bool {
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }

    /// Takes in a look; `None` if the token is too low.
    pub fn poll(
        &mut self,
        now: u64,
        token: FencingToken,
        lease_end_ms: Option<u64>,
        last_seen: u64,
    ) -> Option<WorkerStatus> {
        self.advance(now);
        if !self.sees(token) {
            return None;
        }
        self.ended.retain(|ended| ended.number > last_seen);
        if let Some(end) = lease_end_ms {
            self.lease_end_ms = self.lease_end_ms.max(end.min(self.clock_ms(now) + 1_000));
        }
        Some(self.listing(now))
    }

    pub fn listing(&self, now: u64) -> WorkerStatus {
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

    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Takes in a start of a run that works for `work` microseconds.
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
        if !self.sees(token) {
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
        let barred = self.barred.get(&run.task);
        if barred.is_some_and(|&barred| run.number <= barred) {
            return StartReply::OldRun;
        }
        if !self.capacity.without(&self.used()).can_fit(&need) {
            self.refused_for_room += 1;
            return StartReply::NoRoom;
        }
        let (ends_at, end) = match self.conduct {
            Conduct::Sound => (now + work, RunEnd::Done),
            Conduct::Slow => (now + work * 6, RunEnd::Done),
            Conduct::FailsAll => (now + 5_000, RunEnd::Failed),
            Conduct::Hangs => (u64::MAX, RunEnd::Done),
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

    fn used(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.need;
        }
        used
    }

    /// Takes in a stop.
    pub fn stop(&mut self, now: u64, run: RunId, token: FencingToken) -> StopReply {
        self.advance(now);
        if !self.sees(token) {
            return StopReply::Fenced;
        }
        self.bar(run);
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

    /// Iterates over the tasks that run.
    pub fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.runs.keys().copied()
    }
}
