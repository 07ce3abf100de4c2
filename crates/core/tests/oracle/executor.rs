//! Simulated executor that tracks running tasks and the slot time that they used.

use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::ids::{AttemptId, DataCentreId, ExecutorId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::request::{NotStarted, StartReply, StartRequest};
use cardamomslip_core::model::vm_list::{ExecutorVm, VmState};
use std::time::Duration;

/// How an executor behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs tasks.
    #[default]
    Normal,
    /// Refuses every start as busy.
    Busy,
    /// Runs tasks to their end and reports them as failed.
    FailAll,
    /// Runs tasks and never replies.
    Silent,
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Running {
    /// The request that started it.
    pub req: StartRequest,
    /// Start time, in microseconds of simulation time.
    pub started: u64,
    /// Behaviour of the executor at the start, which decides the reply.
    pub behaviour: Behaviour,
}

/// State of an executor.
#[derive(Debug)]
pub struct Executor {
    /// Its id; ids count from 0 and index `Fleet::executors`.
    pub id: ExecutorId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Total number of slots.
    pub slots: u16,
    /// Relative speed in thousandths; a task takes its true run time at 1,000.
    pub speed_milli: u32,
    /// How it treats new starts.
    pub behaviour: Behaviour,
    /// Whether it is leaving; it then refuses all starts.
    pub leaving: bool,
    /// Running tasks, by issuer and attempt.
    pub running: FastMap<(Incarnation, AttemptId), Running>,
    /// Slot time of ended tasks, by issuer.
    pub used_slot_time: FastMap<Incarnation, Duration>,
}

impl Executor {
    /// Builds an executor without tasks.
    pub fn new(id: u64, data_centre: u64, slots: u16, speed_milli: u32) -> Self {
        Self {
            id: ExecutorId(id),
            data_centre: DataCentreId(data_centre),
            slots,
            speed_milli,
            behaviour: Behaviour::Normal,
            leaving: false,
            running: FastMap::default(),
            used_slot_time: FastMap::default(),
        }
    }

    /// Returns its entry in the VM list.
    pub fn vm_list_entry(&self) -> ExecutorVm {
        ExecutorVm {
            id: self.id,
            data_centre: self.data_centre,
            address: "".into(),
            slots: self.slots,
            speed_milli: self.speed_milli,
            state: if self.leaving {
                VmState::Leaving
            } else {
                VmState::Live
            },
        }
    }

    /// Handles a start. Returns the time that the task will run if it was started.
    pub fn start(
        &mut self,
        issuer: Incarnation,
        req: StartRequest,
        now: u64,
    ) -> Result<Duration, NotStarted> {
        if self.leaving {
            return Err(NotStarted::Leaving);
        }
        let used: u16 = self.running.values().map(|row| row.req.task.slots).sum();
        if self.behaviour == Behaviour::Busy || used + req.task.slots > self.slots {
            return Err(NotStarted::Busy);
        }
        let run = true_run_time(&req).mul_f64(1_000.0 / f64::from(self.speed_milli));
        let behaviour = self.behaviour;
        let key = (issuer, req.attempt);
        self.running.insert(
            key,
            Running {
                req,
                started: now,
                behaviour,
            },
        );
        Ok(run)
    }

    /// Ends a running task. Returns the reply, or `None` if the task is not running or the executor
    /// does not reply.
    pub fn end_task(
        &mut self,
        issuer: Incarnation,
        attempt: AttemptId,
        now: u64,
        aborted: bool,
    ) -> Option<StartReply> {
        let row = self.running.remove(&(issuer, attempt))?;
        let elapsed = Duration::from_micros(now - row.started);
        let slot_time = elapsed * u32::from(row.req.task.slots);
        *self.used_slot_time.entry(issuer).or_default() += slot_time;
        match row.behaviour {
            Behaviour::Silent => None,
            _ if aborted => Some(StartReply::Failed {
                slot_time,
                aborted: true,
            }),
            Behaviour::FailAll => Some(StartReply::Failed {
                slot_time,
                aborted: false,
            }),
            Behaviour::Normal | Behaviour::Busy => {
                let result = result_of(&row.req.task.payload).into();
                Some(StartReply::Done { result, slot_time })
            }
        }
    }
}

/// Returns the result of a task with this payload.
pub fn result_of(payload: &str) -> String {
    format!("result of {payload}")
}

/// Returns the run time of a task at speed 1,000. The kind of the task contains it in milliseconds,
/// independent of the declared run time.
fn true_run_time(req: &StartRequest) -> Duration {
    Duration::from_millis(req.task.kind.parse().unwrap_or(50))
}
