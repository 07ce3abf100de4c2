//! A fake executor that counts every start.

use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::ids::{AttemptId, DataCentreId, ExecutorId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::request::{NotStarted, StartReply, StartRequest};
use cardamomslip_core::model::vm_list::{ExecutorVm, VmState};
use std::time::Duration;

/// How an executor behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Runs tasks.
    #[default]
    Normal,
    /// Refuses every start as busy.
    Busy,
    /// Starts tasks, which fail.
    FailAll,
    /// Starts tasks and never answers.
    Silent,
}

/// A running task.
#[derive(Clone, Debug)]
pub struct Running {
    /// The order.
    pub order: StartRequest,
    /// Start, in microseconds of global time.
    pub started: u64,
    /// Mode at the start.
    pub mode: Mode,
}

/// An executor.
#[derive(Debug)]
pub struct Executor {
    /// Identifier.
    pub id: ExecutorId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Slots.
    pub slots: u16,
    /// Speed in thousandths.
    pub speed_milli: u32,
    /// Behaviour.
    pub mode: Mode,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Running tasks.
    pub running: FastMap<(Incarnation, AttemptId), Running>,
    /// Slot time counted per issuer.
    pub counted: FastMap<Incarnation, Duration>,
}

impl Executor {
    /// Builds an executor.
    pub fn new(id: u64, data_centre: u64, slots: u16, speed_milli: u32) -> Self {
        Self {
            id: ExecutorId(id),
            data_centre: DataCentreId(data_centre),
            slots,
            speed_milli,
            mode: Mode::Normal,
            leaving: false,
            running: FastMap::default(),
            counted: FastMap::default(),
        }
    }

    /// Returns its element of the VM list.
    pub fn listed(&self) -> ExecutorVm {
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

    /// Takes in a start. Returns the run time of a task that was started.
    pub fn start(
        &mut self,
        issuer: Incarnation,
        order: StartRequest,
        now: u64,
    ) -> Result<Duration, NotStarted> {
        if self.leaving {
            return Err(NotStarted::Leaving);
        }
        let used: u16 = self.running.values().map(|row| row.order.task.slots).sum();
        if self.mode == Mode::Busy || used + order.task.slots > self.slots {
            return Err(NotStarted::Busy);
        }
        let run = true_run_time(&order).mul_f64(1_000.0 / f64::from(self.speed_milli));
        let mode = self.mode;
        let key = (issuer, order.attempt);
        self.running.insert(
            key,
            Running {
                order,
                started: now,
                mode,
            },
        );
        Ok(run)
    }

    /// Ends a running task and returns its reply, if it answers at all.
    pub fn end(
        &mut self,
        issuer: Incarnation,
        attempt: AttemptId,
        now: u64,
        aborted: bool,
    ) -> Option<StartReply> {
        let row = self.running.remove(&(issuer, attempt))?;
        let elapsed = Duration::from_micros(now - row.started);
        let slot_time = elapsed * u32::from(row.order.task.slots);
        *self.counted.entry(issuer).or_default() += slot_time;
        match row.mode {
            Mode::Silent => None,
            _ if aborted => Some(StartReply::Failed {
                slot_time,
                aborted: true,
            }),
            Mode::FailAll => Some(StartReply::Failed {
                slot_time,
                aborted: false,
            }),
            Mode::Normal | Mode::Busy => {
                let result = result_of(&row.order.task.payload).into();
                Some(StartReply::Done { result, slot_time })
            }
        }
    }
}

/// Returns the result of a task with this payload.
pub fn result_of(payload: &str) -> String {
    format!("result of {payload}")
}

/// Returns how long a task really runs at speed 1: its kind is the number of milliseconds,
/// whatever the caller declared.
fn true_run_time(order: &StartRequest) -> Duration {
    Duration::from_millis(order.task.kind.parse().unwrap_or(50))
}
